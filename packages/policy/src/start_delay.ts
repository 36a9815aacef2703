/**
 * Learns how long the first event of a generation takes from its start at an engine, so that a
 * generation is not started so late that it misses its target after all.
 *
 * Load pattern: memory becomes free at one engine at a time, so that the generations which waited for
 * it are placed together and prefill their prompts one after the other.
 *
 * @module
 */

/** Weight of the newest delay in the mean and in the mean deviation; all of the first ones count alike. */
const WEIGHT = 0.1;
/**
 * Mean deviations above the mean that are allowed for. In replays of a burst, more made generations
 * late that could still have started on time, and less started many too late.
 */
const DEVIATIONS = 0.75;
/** Routes for which delays are kept. */
const MAX_ROUTES = 1_024;

interface Delay {
  count: number;
  mean: number;
  deviation: number;
}

/** Delays from the start to the first event, by route. */
export class StartDelays {
  readonly #delays = new Map<string, Delay>();

  /** Records the delay of one generation. */
  record(route: string, ms: number): void {
    const delay = this.#delays.get(route);
    if (delay === undefined) {
      if (this.#delays.size < MAX_ROUTES) {
        this.#delays.set(route, { count: 1, mean: ms, deviation: 0 });
      }
      return;
    }
    const weight = Math.max(WEIGHT, 1 / ++delay.count);
    delay.deviation += weight * (Math.abs(ms - delay.mean) - delay.deviation);
    delay.mean += weight * (ms - delay.mean);
  }

  /** A delay that about a fourth of the generations exceed; `null` where none was recorded. */
  high(route: string): number | null {
    const delay = this.#delays.get(route);
    return delay === undefined ? null : delay.mean + DEVIATIONS * delay.deviation;
  }
}
