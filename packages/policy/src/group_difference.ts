/**
 * Decides whether the endpoints of a service differ as a group, before any single one is treated differently.
 *
 * Load pattern: engines of equal speed that are all slow for half a second now and then, under bursts that fill them.
 * Where many are watched, some always look slow by chance; a group of which several stay slow for longer than a slow
 * period differs.
 *
 * @module
 */

/** Number of endpoints of which one has to differ. A quarter of the engines are slow where any are. */
const ENDPOINTS_PER_DIFFERENT_ONE = 8;
/** Fraction of that number that keeps a group different. */
const HYSTERESIS = 0.5;
/** Time for which a group stays different without that, in milliseconds: slow engines may leave before others join. */
const HOLD_MS = 5_000;
/**
 * Time for which an endpoint has to differ without interruption, in milliseconds: a slow period of 600 ms at a new
 * endpoint reaches into two results of 400 ms, or four spans of 200 ms.
 */
const MIN_LASTING_MS = 1_000;
/**
 * Number of endpoints from which on that suffices, as several rarely have slow periods in a row together. Fewer have to
 * differ for longer than differences that ended by themselves.
 */
const MANY = 3;
const LONGER_THAN_ENDED = 3;
const MAX_LASTING_MS = 4_000;
/** Time for which a difference that ended by itself counts, in milliseconds. */
const ENDED_TTL_MS = 30_000;

/**
 * Whether a group of endpoints differs.
 *
 * @example
 * ```ts
 * const group = new GroupDifference();
 * group.update([1_200, 1_200, 1_600, 1_200], { endpoints: 36, nowMs }); // false: five are needed
 * ```
 */
export class GroupDifference {
  #supportedUntilMs = -Infinity;
  #longestEndedMs = 0;
  #endedAtMs = -Infinity;

  /** Takes in that an endpoint differed for a time, and then no longer. */
  recordEnded(lastedMs: number, nowMs: number): void {
    if (lastedMs < this.#longestEnded(nowMs)) return;
    this.#longestEndedMs = lastedMs;
    this.#endedAtMs = nowMs;
  }

  /** Takes in for how long each endpoint that differs has done so. Returns whether the group differs. */
  update(
    lastingMs: readonly number[],
    { endpoints, nowMs }: { readonly endpoints: number; readonly nowMs: number },
  ): boolean {
    const differed = nowMs < this.#supportedUntilMs;
    const needed = Math.ceil(endpoints / ENDPOINTS_PER_DIFFERENT_ONE);
    const enoughMs = differed || needed >= MANY ? MIN_LASTING_MS : this.#enoughMs(nowMs);
    const count = lastingMs.filter((ms) => ms >= enoughMs).length;
    if (count > 0 && count >= needed * (differed ? HYSTERESIS : 1)) {
      this.#supportedUntilMs = nowMs + HOLD_MS;
      return true;
    }
    return differed;
  }

  #enoughMs(nowMs: number): number {
    const longerMs = LONGER_THAN_ENDED * this.#longestEnded(nowMs);
    return Math.max(MIN_LASTING_MS, Math.min(MAX_LASTING_MS, longerMs));
  }

  #longestEnded(nowMs: number): number {
    return nowMs - this.#endedAtMs < ENDED_TTL_MS ? this.#longestEndedMs : 0;
  }
}
