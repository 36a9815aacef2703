/**
 * Gives connections with more requests to be read one turn after the other.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";

/** Time for turns between two polls, in milliseconds, so that other connections are read in between. */
const TURNS_MS = 4;

/** Runs work of one connection. An error in it ends that work only. */
export type ContainWork = (work: () => void) => void;

/** Takes turns for a connection. */
export interface TurnTaker {
  takeTurn(): void;
}

/**
 * A queue of connections. Each gets one turn between two polls of the event loop at most.
 *
 * @example
 * ```ts
 * turns.enter(gate);
 * ```
 */
export class TurnQueue {
  readonly #clock: Clock;
  readonly #contain: ContainWork;
  readonly #waiting = new Set<TurnTaker>();
  #isScheduled = false;

  constructor(clock: Clock, contain: ContainWork) {
    this.#clock = clock;
    this.#contain = contain;
  }

  /** Number of connections that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  enter(taker: TurnTaker): void {
    this.#waiting.add(taker);
    this.#schedule();
  }

  leave(taker: TurnTaker): void {
    this.#waiting.delete(taker);
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#run());
  }

  #run(): void {
    this.#isScheduled = false;
    const endsAtMs = this.#clock.now() + TURNS_MS;
    let left = this.#waiting.size;
    for (const taker of this.#waiting) {
      // Those that enter again are behind the ones that waited.
      this.#waiting.delete(taker);
      this.#contain(() => taker.takeTurn());
      if (--left <= 0 || this.#clock.now() >= endsAtMs) break;
    }
    if (this.#waiting.size > 0) this.#schedule();
  }
}
