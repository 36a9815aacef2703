/**
 * Decides how many endpoints a service should have in a data centre. Load pattern: load that rises within seconds and
 * falls in waves, while a new endpoint serves only after its start and each one is billed by the second.
 *
 * @module
 */

/** The limits that the platform keeps for the endpoints of a service, in each data centre. */
export interface ScaleLimits {
  readonly minReplicas: number;
  readonly maxReplicas: number;
  /** Time after which a new endpoint begins to serve, in milliseconds. */
  readonly bootMs: number;
}

/** The load of a service in one data centre, from all gateways together. */
export interface ScaleLoad {
  /** Requests at endpoints and those that wait for one. */
  readonly requests: number;
  /** Requests that one endpoint runs concurrently. */
  readonly slots: number;
}

interface LoadSample {
  readonly atMs: number;
  readonly needed: number;
}

/** Share of the slots that is to be in use, so that a new endpoint can start before the others are full. */
const TARGET_UTILISATION = 0.7;
/** Time for which more endpoints must be needed, so that a burst of a moment orders none. */
const RISE_MS = 1_000;
/** Shortest time for which fewer endpoints must be needed before some are given up. */
const MIN_FALL_MS = 30_000;
/** Times of the start-up for which fewer must be needed: giving up and starting again costs more than keeping. */
const FALL_BOOTS = 3;

/**
 * The target for one service in one data centre. It rises to what was needed throughout the last second, and falls to the
 * most that was needed in a longer time.
 *
 * @example
 * ```ts
 * target.record({ requests: 41, slots: 6 }, nowMs);
 * const desired = target.desired(current, nowMs);
 * ```
 */
export class ScaleTarget {
  readonly #samples: LoadSample[] = [];
  #sinceMs: number | null = null;

  /** Records the load at present. */
  record({ requests, slots }: ScaleLoad, nowMs: number): void {
    const needed = Math.ceil(requests / (TARGET_UTILISATION * Math.max(1, slots)));
    const last = this.#samples.at(-1);
    this.#sinceMs ??= nowMs;
    if (last?.needed !== needed) this.#samples.push({ atMs: nowMs, needed });
  }

  /** The number of endpoints to order, given the number that was ordered last. */
  desired(current: number, limits: ScaleLimits, nowMs: number): number {
    const fallMs = Math.max(MIN_FALL_MS, FALL_BOOTS * limits.bootMs);
    // The last sample before the time began holds until the next one.
    while (this.#samples.length > 1 && this.#samples[1]!.atMs <= nowMs - fallMs) {
      this.#samples.shift();
    }
    const clamp = (n: number) => Math.min(limits.maxReplicas, Math.max(limits.minReplicas, n));
    if (this.#sinceMs === null) return clamp(current);
    const recent = this.#samples.filter(({ atMs }, i) =>
      (this.#samples[i + 1]?.atMs ?? Infinity) > nowMs - RISE_MS || atMs > nowMs - RISE_MS
    );
    const risen = Math.min(...recent.map(({ needed }) => needed));
    if (nowMs - this.#sinceMs >= RISE_MS && risen > current) return clamp(risen);
    if (nowMs - this.#sinceMs < fallMs) return clamp(current);
    const most = Math.max(...this.#samples.map(({ needed }) => needed));
    return clamp(Math.min(current, most));
  }
}
