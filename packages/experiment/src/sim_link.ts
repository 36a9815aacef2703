/**
 * The link between one entry and one side in an experiment: a delay, and stalls that heartbeats detect.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";

/** A link that has received nothing for this long is considered dead and replaced. */
export const LINK_DEAD_MS = 2_000;

/** Delivers messages late, and nothing while stalled. */
export class SimLink {
  readonly #clock: Clock;
  readonly #delayMs: number;
  #stalled = false;
  #held: (() => void)[] = [];
  #lost: (() => void)[] = [];

  constructor(clock: Clock, delayMs: number) {
    this.#clock = clock;
    this.#delayMs = delayMs;
  }

  /** Stops the link for `ms`, or until the dead link has been replaced. */
  stall(ms: number): void {
    this.#stalled = true;
    this.#clock.setTimer(Math.min(ms, LINK_DEAD_MS), () => this.#reconnect());
  }

  /** Sends towards the side. What is sent into a stalled link is lost; `onLost` runs once that is known. */
  send(fn: () => void, onLost: () => void): void {
    if (this.#stalled) this.#lost.push(onLost);
    else this.#clock.setTimer(this.#delayMs, fn);
  }

  /** Answers towards the entry, kept by the side until acknowledged. */
  answer(fn: () => void): void {
    if (this.#stalled) this.#held.push(fn);
    else this.#clock.setTimer(this.#delayMs, fn);
  }

  /** As {@link answer}, without a timer per call: `fn` gets the time of arrival. */
  stream(fn: (atMs: number) => void): void {
    if (this.#stalled) this.#held.push(() => fn(this.#clock.now()));
    else fn(this.#clock.now() + this.#delayMs);
  }

  #reconnect(): void {
    this.#stalled = false;
    const held = this.#held;
    const lost = this.#lost;
    this.#held = [];
    this.#lost = [];
    for (const fn of held) fn();
    for (const fn of lost) fn();
  }
}
