/**
 * Tells how long this process has not looked at its connections.
 *
 * Load pattern: a weak or slowed host under a burst. What is read after a stall came in at any time during it, and its
 * caller may have left since.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import type { DecisionLog } from "./decision_log.ts";

/** Time between looks at the clock, in milliseconds: a third of the shortest delay that is acted on. */
export const POLL_INTERVAL_MS = 50;
/** Delay of a look from which on the process counts as stalled, in milliseconds: several times its usual work. */
const STALL_MS = 100;

/** See the module comment. */
export class LoopMonitor {
  readonly #clock: Clock;
  readonly #log: DecisionLog;
  readonly #onLook: (delayMs: number) => void;
  #lastLookMs: number;
  #lastDelayMs = 0;

  /** `onLook` is called after each look with its delay in milliseconds. */
  constructor(clock: Clock, log: DecisionLog, onLook: (delayMs: number) => void = () => {}) {
    this.#onLook = onLook;
    this.#clock = clock;
    this.#log = log;
    this.#lastLookMs = clock.now();
  }

  start(): Undo {
    this.#lastLookMs = this.#clock.now();
    return this.#clock.setRepeating(POLL_INTERVAL_MS, () => {
      const now = this.#clock.now();
      this.#lastDelayMs = now - this.#lastLookMs - POLL_INTERVAL_MS;
      this.#lastLookMs = now;
      this.#onLook(this.#lastDelayMs);
      if (this.#lastDelayMs < STALL_MS) return;
      this.#log.state("process_stalled", { ms: Math.round(this.#lastDelayMs) });
    });
  }

  /** Time for which what is read now may have waited, in milliseconds; 0 where the process keeps up. */
  stallMs(): number {
    const delayMs = Math.max(
      this.#lastDelayMs,
      this.#clock.now() - this.#lastLookMs - POLL_INTERVAL_MS,
    );
    return delayMs < STALL_MS ? 0 : delayMs;
  }

  /** Calls `fn` after connections have been looked at once more, so that a caller's leaving is known by then. */
  afterNextPoll(fn: () => void): void {
    setImmediate(() => setImmediate(fn));
  }
}
