/**
 * A clock whose timers can be held back, as those of a process that the operating system pauses.
 *
 * @module
 */
import { Clock, type Undo } from "@wisteriapick/core";

/** Time advances during a pause; timers that expire during it fire on resume. */
export class PausableClock extends Clock {
  readonly #base: Clock;
  #paused = false;
  #deferred: (() => void)[] = [];

  constructor(base: Clock) {
    super();
    this.#base = base;
  }

  now(): number {
    return this.#base.now();
  }

  wall(): number {
    return this.#base.wall();
  }

  setTimer(ms: number, fn: () => void): Undo {
    let cancelled = false;
    const fire = () => {
      if (cancelled) return;
      if (this.#paused) this.#deferred.push(fire);
      else fn();
    };
    const undo = this.#base.setTimer(ms, fire);
    return () => {
      cancelled = true;
      undo();
    };
  }

  pause(): void {
    this.#paused = true;
  }

  /** Fires the timers that expired during the pause, in order. */
  resume(): void {
    this.#paused = false;
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const fire of deferred) fire();
  }
}
