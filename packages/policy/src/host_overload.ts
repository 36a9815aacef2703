/**
 * Decides when this host is too slow for new streams, and whether they are shed to other hosts.
 * Load pattern: some hosts are slowed, or have a fraction of a core, and stall for hundreds of
 * milliseconds at a time while the others have spare capacity. A stream that is relayed by such a
 * host stalls as long as the host does.
 *
 * @module
 */

/** Options of {@link HostOverload}. */
export interface HostOverloadOptions {
  /** Scheduling delay of the process from which on the host counts as overloaded, in milliseconds. */
  readonly stallMs?: number;
  /** Time without such a delay after which the host accepts new streams again, in milliseconds. */
  readonly quietMs?: number;
}

/** Below the pauses that callers tolerate (180 ms), and above those of garbage collection. */
const STALL_MS = 150;
/** Several times the interval between stalls of a host that is too slow. */
const QUIET_MS = 1_000;
/** Fraction of the other hosts that must not be overloaded before this host's streams are shed to them. */
const MIN_HEALTHY_FRACTION = 0.5;

/**
 * Tracks whether the host is overloaded.
 *
 * @example
 * ```ts
 * const overload = new HostOverload();
 * overload.recordDelay(400, nowMs);
 * if (overload.isOverloaded(nowMs) && canShedToOthers(peers)) sendElsewhere(req);
 * ```
 */
export class HostOverload {
  readonly #stallMs: number;
  readonly #quietMs: number;
  #lastStallMs = -Infinity;

  constructor({ stallMs = STALL_MS, quietMs = QUIET_MS }: HostOverloadOptions = {}) {
    this.#stallMs = stallMs;
    this.#quietMs = quietMs;
  }

  /** Records for how long the process was not scheduled. */
  recordDelay(delayMs: number, nowMs: number): void {
    if (delayMs >= this.#stallMs) this.#lastStallMs = nowMs;
  }

  isOverloaded(nowMs: number): boolean {
    return nowMs - this.#lastStallMs < this.#quietMs;
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
