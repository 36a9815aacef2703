/**
 * Decides when this host is too slow for new streams, and whether they are shed to other hosts.
 *
 * Load pattern: some hosts are slowed, or have a fraction of a core, and stall for hundreds of
 * milliseconds again and again while the others have spare capacity. A stream that is relayed by
 * such a host stalls as long as the host does. A single stall is another thing: a pause of a whole
 * machine, a moment without a core on a shared machine, the start of a process. It says little
 * about the next second, and a rejection costs the caller one of its few tries.
 *
 * @module
 */

/** Options of {@link HostOverload}. */
export interface HostOverloadOptions {
  /** Scheduling delay of the process from which on it counts as a stall, in milliseconds. */
  readonly stallMs?: number;
  /** Time over which delays are added up, in milliseconds. */
  readonly windowMs?: number;
  /**
   * Sum of the delays in the window but for the longest, from which on a host that has stalled is overloaded, in
   * milliseconds.
   */
  readonly repeatedMs?: number;
  /** Time without a stall after which the host accepts new streams again, in milliseconds. */
  readonly quietMs?: number;
  /** Time from which on an overloaded host sheds streams, in milliseconds. */
  readonly settleMs?: number;
}

/** Below the pauses that callers tolerate (180 ms), and above those of garbage collection. */
const STALL_MS = 150;
/** Delays from this on, the interval of polls, are added up: on a slowed host all polls are late. */
const DELAY_MS = 50;
/** Holds two stalls in succession of a host that stalls for up to 1.3 s at a time, and the delays between them. */
const WINDOW_MS = 3_000;
/**
 * A tenth of the window. The longest delay does not count, so that neither one stall nor the work
 * that piles up behind a long one (less than this) makes a host overloaded.
 */
const REPEATED_MS = 300;
/** Several times the interval between stalls of a host that is too slow. */
const QUIET_MS = 1_000;
/**
 * Five polls of the event loop: by then other hosts that had the same stalls, as on a machine that
 * is busy as a whole, have said that they are overloaded too.
 */
const SETTLE_MS = 250;
/** Fraction of the other hosts that must not be overloaded before this host's streams are shed to them. */
const MIN_HEALTHY_FRACTION = 0.5;
/**
 * Time for which a host still counts as overloaded after it has said that it is not. Hosts that
 * stall together recover within a few polls of each other, and the last would shed to the first.
 */
const RECOVERY_MS = 500;

/** A scheduling delay of the process: when it ended and how long it was, in milliseconds. */
interface Delay {
  readonly endedAtMs: number;
  readonly ms: number;
}

/**
 * Tracks whether the host is overloaded: whether it stalls again and again.
 *
 * @example
 * ```ts
 * const overload = new HostOverload();
 * overload.recordDelay(400, nowMs);
 * if (overload.shouldShed(nowMs) && canShedToOthers(peers)) sendElsewhere(req);
 * ```
 */
export class HostOverload {
  readonly #options: Required<HostOverloadOptions>;
  #delays: Delay[] = [];
  #lastStallMs = -Infinity;
  /** When the host became overloaded; `null` if it has not since it was last quiet. */
  #sinceMs: number | null = null;

  constructor(
    {
      stallMs = STALL_MS,
      windowMs = WINDOW_MS,
      repeatedMs = REPEATED_MS,
      quietMs = QUIET_MS,
      settleMs = SETTLE_MS,
    }: HostOverloadOptions = {},
  ) {
    this.#options = { stallMs, windowMs, repeatedMs, quietMs, settleMs };
  }

  /** Records for how long the process was not scheduled until `nowMs`. */
  recordDelay(delayMs: number, nowMs: number): void {
    const { stallMs, windowMs, repeatedMs } = this.#options;
    if (delayMs < DELAY_MS) return;
    if (!this.isOverloaded(nowMs)) this.#sinceMs = null;
    if (delayMs >= stallMs) this.#lastStallMs = nowMs;
    this.#delays = this.#delays.filter(({ endedAtMs }) => nowMs - endedAtMs < windowMs);
    this.#delays.push({ endedAtMs: nowMs, ms: delayMs });
    if (this.#sinceMs !== null) return;
    const total = this.#delays.reduce((sum, { ms }) => sum + ms, 0);
    const longest = Math.max(...this.#delays.map(({ ms }) => ms));
    if (longest >= stallMs && total - longest >= repeatedMs) this.#sinceMs = nowMs;
  }

  isOverloaded(nowMs: number): boolean {
    return this.#sinceMs !== null && nowMs - this.#lastStallMs < this.#options.quietMs;
  }

  /** Whether the host is overloaded, and has been for long enough to know whether the others are too. */
  shouldShed(nowMs: number): boolean {
    return this.isOverloaded(nowMs) && nowMs - this.#sinceMs! >= this.#options.settleMs;
  }
}

/**
 * Tracks which other hosts are overloaded, or were until a moment ago.
 *
 * @example
 * ```ts
 * const others = new OverloadedHosts();
 * others.record("entry-2", true, nowMs);
 * const overloaded = names.filter((name) => others.has(name, nowMs)).length;
 * ```
 */
export class OverloadedHosts {
  /** Until when each host counts as overloaded. */
  readonly #untilMs = new Map<string, number>();

  record(host: string, isOverloaded: boolean, nowMs: number): void {
    if (isOverloaded) this.#untilMs.set(host, Infinity);
    else if (this.has(host, nowMs)) this.#untilMs.set(host, nowMs + RECOVERY_MS);
    else if (!this.isKnown(host)) this.#untilMs.set(host, -Infinity);
  }

  /** Whether a host has said how it is. */
  isKnown(host: string): boolean {
    return this.#untilMs.has(host);
  }

  /** Forgets what a host has said, as when its process has ended. */
  forget(host: string): void {
    this.#untilMs.delete(host);
  }

  has(host: string, nowMs: number): boolean {
    return nowMs < (this.#untilMs.get(host) ?? -Infinity);
  }
}

/**
 * Whether this host's streams can be shed to the others. Where most of those are overloaded,
 * shedding gains nothing.
 */
export function canShedToOthers(others: { readonly total: number; readonly overloaded: number }) {
  const healthy = others.total - others.overloaded;
  return healthy > 0 && healthy >= MIN_HEALTHY_FRACTION * others.total;
}
