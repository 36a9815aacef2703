/**
 * Lets large bodies wait, unread, until there is room for them.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import type { MemoryBudget } from "@wisteriapick/policy";

/** Options of {@link BodyQueue}. */
export interface BodyQueueOptions {
  readonly budget: MemoryBudget;
  readonly clock: Clock;
  /** Longest time for which a body waits, in milliseconds. */
  readonly maxWaitMs: number;
}

interface WaitingBody {
  readonly bytes: number;
  finish(hasRoom: boolean): void;
}

/** Bytes of a waiting body that its connection may have read already. */
const READ_AHEAD_BYTES = 65_536;
/** Fraction of the room for bodies that may be read ahead by those that wait. */
const READ_AHEAD_FRACTION = 0.25;

/**
 * Bodies that wait for room, in the order of their arrival.
 *
 * @example
 * ```ts
 * const leave = queue.enter(4_000_000, (hasRoom) => hasRoom ? read() : refuse());
 * res.once("close", leave);
 * ```
 */
export class BodyQueue {
  readonly #options: BodyQueueOptions;
  readonly #waiting: WaitingBody[] = [];

  constructor(options: BodyQueueOptions) {
    this.#options = options;
  }

  /** Number of bodies that wait. */
  get size(): number {
    return this.#waiting.length;
  }

  /**
   * Takes room for a body and calls `onDone` with `true`, at once or later. Calls it with `false` if there can be none,
   * too many wait, or none came in time. The returned function ends the wait without a call.
   */
  enter(bytes: number, onDone: (hasRoom: boolean) => void): Undo {
    const { budget, clock, maxWaitMs } = this.#options;
    if (this.#waiting.length === 0 && budget.takeBody(bytes)) {
      onDone(true);
      return () => {};
    }
    const mostWaiting = READ_AHEAD_FRACTION * budget.shares.bodies / READ_AHEAD_BYTES;
    if (!budget.canHold(bytes) || this.#waiting.length >= mostWaiting) {
      onDone(false);
      return () => {};
    }
    const leave = () => {
      stopTimer();
      const i = this.#waiting.indexOf(waiting);
      if (i >= 0) this.#waiting.splice(i, 1);
    };
    const finish = (hasRoom: boolean) => {
      leave();
      onDone(hasRoom);
    };
    const waiting: WaitingBody = { bytes, finish };
    const stopTimer = clock.setTimer(maxWaitMs, () => finish(false));
    this.#waiting.push(waiting);
    return () => {
      leave();
      this.#serve();
    };
  }

  /** Gives back the room of a body, which others may wait for. */
  release(bytes: number): void {
    this.#options.budget.releaseBody(bytes);
    this.#serve();
  }

  #serve(): void {
    const [first] = this.#waiting;
    if (first === undefined || !this.#options.budget.takeBody(first.bytes)) return;
    first.finish(true);
    this.#serve();
  }
}
