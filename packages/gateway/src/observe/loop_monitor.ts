/**
 * Measures for how long the event loop has not polled its connections.
 *
 * Load pattern: a weak or slowed host under a burst. Requests that are read after a stall arrived at any time during
 * it, and their callers may have disconnected since.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import type { DecisionLog } from "./decision_log.ts";

/** Interval of clock polls, in milliseconds: a third of the shortest delay that is acted on. */
export const POLL_INTERVAL_MS = 50;
/** Delay of a poll from which on the process counts as stalled: several times its usual work. */
const STALL_MS = 100;

/** Detects stalls of the event loop from the delay of a repeating timer. */
export class LoopMonitor {
  readonly #clock: Clock;
  readonly #log: DecisionLog;
  readonly #onPoll: (delayMs: number) => void;
  #lastPollMs: number;
  #lastDelayMs = 0;

  /** `onPoll` is called after each poll with its delay in milliseconds. */
  constructor(clock: Clock, log: DecisionLog, onPoll: (delayMs: number) => void = () => {}) {
    this.#onPoll = onPoll;
    this.#clock = clock;
    this.#log = log;
    this.#lastPollMs = clock.now();
  }

  start(): Undo {
    this.#lastPollMs = this.#clock.now();
    return this.#clock.setRepeating(POLL_INTERVAL_MS, () => {
      const now = this.#clock.now();
      this.#lastDelayMs = now - this.#lastPollMs - POLL_INTERVAL_MS;
      this.#lastPollMs = now;
      this.#onPoll(this.#lastDelayMs);
      if (this.#lastDelayMs < STALL_MS) return;
      this.#log.state("process_stalled", { ms: Math.round(this.#lastDelayMs) });
    });
  }

  /** Time for which data that is read now may have been waiting, in milliseconds; 0 if the process is not stalled. */
  stallMs(): number {
    const delayMs = Math.max(
      this.#lastDelayMs,
      this.#clock.now() - this.#lastPollMs - POLL_INTERVAL_MS,
    );
    return delayMs < STALL_MS ? 0 : delayMs;
  }

  /** Calls `fn` after connections have been polled once more, so that callers' disconnects are known by then. */
  afterNextPoll(fn: () => void): void {
    setImmediate(() => setImmediate(fn));
  }
}
