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
  /** Refuses stalled bodies so that so many bytes are free, if there are any; does nothing by default. */
  readonly makeRoom?: (bytes: number) => void;
}

/** A body that arrives, for all of which room has been taken. */
export interface ArrivingBody {
  /** Bytes that have arrived. */
  arrivedBytes(): number;
  /** Gives back the room for what has not arrived, in bytes. The body enters the queue again when more of it arrives. */
  giveBack(): number;
}

interface WaitingBody {
  readonly bytes: number;
  /** Bytes of later bodies that got room while this one was the first to wait. */
  passedBytes: number;
  finish(hasRoom: boolean): void;
}

/** Bytes of a waiting body that its connection may have read already. */
const READ_AHEAD_BYTES = 65_536;
/** Fraction of the room for bodies that may be read ahead by those that wait. */
const READ_AHEAD_FRACTION = 0.25;
/** Interval at which bodies that arrive too slowly give back room while others wait, in milliseconds. */
const SLOW_CHECK_INTERVAL_MS = 200;
/** Bytes that have to arrive of a body in this interval so that it keeps its room while others wait. */
const MIN_ARRIVED_BYTES = 65_536;

/**
 * Bodies that wait for room, in the order of their arrival. Later ones that fit pass one that does not, up to the size
 * of that one in total, so that it is not kept out by many smaller ones.
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
  /** Bodies that arrive, with the bytes that had arrived at the last check. */
  readonly #arriving = new Map<ArrivingBody, number>();
  #stopChecks: Undo | null = null;

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
    if (this.#takeInTurn(bytes)) {
      onDone(true);
      return () => {};
    }
    const maxWaiting = READ_AHEAD_FRACTION * budget.shares.bodies / READ_AHEAD_BYTES;
    if (!budget.canHold(bytes) || this.#waiting.length >= maxWaiting) {
      onDone(false);
      return () => {};
    }
    const leave = () => {
      stopTimer();
      const i = this.#waiting.indexOf(waiting);
      if (i >= 0) this.#waiting.splice(i, 1);
      if (this.#waiting.length === 0) this.#endChecks();
    };
    const finish = (hasRoom: boolean) => {
      leave();
      onDone(hasRoom);
    };
    const waiting: WaitingBody = { bytes, passedBytes: 0, finish };
    const stopTimer = clock.setTimer(maxWaitMs, () => finish(false));
    this.#waiting.push(waiting);
    this.#beginChecks();
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

  /**
   * Watches a body that has room until the returned function is called or the body has given room back. A body that
   * arrives too slowly gives it back while others wait: its caller decides how long it takes.
   */
  watch(body: ArrivingBody): Undo {
    this.#arriving.set(body, body.arrivedBytes());
    return () => this.#arriving.delete(body);
  }

  #beginChecks(): void {
    if (this.#stopChecks !== null) return;
    for (const body of this.#arriving.keys()) this.#arriving.set(body, body.arrivedBytes());
    this.#stopChecks = this.#options.clock.setRepeating(
      SLOW_CHECK_INTERVAL_MS,
      () => this.#takeBack(),
    );
  }

  #endChecks(): void {
    this.#stopChecks?.();
    this.#stopChecks = null;
  }

  #takeBack(): void {
    for (const [body, before] of this.#arriving) {
      const arrived = body.arrivedBytes();
      this.#arriving.set(body, arrived);
      if (arrived - before >= MIN_ARRIVED_BYTES) continue;
      this.#arriving.delete(body);
      this.#options.budget.releaseBody(body.giveBack());
    }
    this.#serve();
    const [first] = this.#waiting;
    if (first !== undefined) this.#options.makeRoom?.(first.bytes);
  }

  #serve(): void {
    const { budget } = this.#options;
    for (;;) {
      const next = this.#waiting.find(({ bytes }, i) =>
        i === 0 ? budget.takeBody(bytes) : this.#takeInTurn(bytes)
      );
      if (next === undefined) return;
      next.finish(true);
    }
  }

  /** Takes room for a body behind all that wait, if it may pass them. */
  #takeInTurn(bytes: number): boolean {
    const [first] = this.#waiting;
    if (first !== undefined && first.passedBytes + bytes > first.bytes) return false;
    if (!this.#options.budget.takeBody(bytes)) return false;
    if (first !== undefined) first.passedBytes += bytes;
    return true;
  }
}
