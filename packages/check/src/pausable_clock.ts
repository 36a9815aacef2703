/**
 * A clock whose timers can be held back, as those of a process that the operating system has paused.
 *
 * @module
 */
import { Clock, type Undo } from "@wisteriapick/core";

/** Time goes on while paused; timers that fall due fire when the process goes on. */
export class PausableClock extends Clock {
  readonly #base: Clock;
  #paused = false;
  #held: (() => void)[] = [];

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
      if (this.#paused) this.#held.push(fire);
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

  /** Fires what fell due in the meantime, in order. */
  resume(): void {
    this.#paused = false;
    const held = this.#held;
    this.#held = [];
    for (const fire of held) fire();
  }
}
