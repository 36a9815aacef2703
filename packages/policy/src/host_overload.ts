/**
 * Tells when this host is too slow for new streams, and whether others can take them. Load pattern: some hosts are
 * slowed, or have a small part of a core, and stand still for hundreds of milliseconds at a time while the others have
 * time to spare. A stream that runs through such a host pauses as long as the host does.
 *
 * @module
 */

/** Options of {@link HostOverload}. */
export interface HostOverloadOptions {
  /** Delay of the process from which on the host counts as overloaded, in milliseconds. */
  readonly stallMs?: number;
  /** Time without such a delay after which the host takes new streams again, in milliseconds. */
  readonly quietMs?: number;
}

/** Below the pauses that callers bear (180 ms), and above those of garbage collection. */
const STALL_MS = 150;
/** Several times the interval between stalls of a host that is too slow. */
const QUIET_MS = 1_000;
/** Part of the other hosts that must keep up before one host's streams are sent to them. */
const FREE_PART = 0.5;

/**
 * Keeps whether the host is overloaded.
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

  /** Records how long the process did not come to its work. */
  recordDelay(delayMs: number, nowMs: number): void {
    if (delayMs >= this.#stallMs) this.#lastStallMs = nowMs;
  }

  isOverloaded(nowMs: number): boolean {
    return nowMs - this.#lastStallMs < this.#quietMs;
  }
}

/** Whether the other hosts can take what this one turns away: where most of them are slow, nothing is gained. */
export function canShedToOthers(others: { readonly total: number; readonly overloaded: number }) {
  const free = others.total - others.overloaded;
  return free > 0 && free >= FREE_PART * others.total;
}
