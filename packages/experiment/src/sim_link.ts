/**
 * Simulated link between one entry and one side, with a delay, and with stalls that heartbeats detect.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";

/** A link that has received nothing for this long is considered dead and is replaced. */
export const LINK_IDLE_TIMEOUT_MS = 2_000;

/** Delivers messages after a delay, and none while it is stalled. */
export class SimLink {
  readonly #clock: Clock;
  readonly #delayMs: number;
  #isStalled = false;
  #heldMessages: (() => void)[] = [];
  #lossCallbacks: (() => void)[] = [];

  constructor(clock: Clock, delayMs: number) {
    this.#clock = clock;
    this.#delayMs = delayMs;
  }

  /** Stalls the link for `ms`, at most until it is considered dead and is replaced. */
  stall(ms: number): void {
    this.#isStalled = true;
    this.#clock.setTimer(Math.min(ms, LINK_IDLE_TIMEOUT_MS), () => this.#reconnect());
  }

  /** Sends a message to the side. A message sent into a stalled link is lost; `onLost` runs after the reconnect. */
  send(fn: () => void, onLost: () => void): void {
    if (this.#isStalled) this.#lossCallbacks.push(onLost);
    else this.#clock.setTimer(this.#delayMs, fn);
  }

  /** Sends a message to the entry. The side retains it until it is acknowledged, so a stall only delays it. */
  respond(fn: () => void): void {
    if (this.#isStalled) this.#heldMessages.push(fn);
    else this.#clock.setTimer(this.#delayMs, fn);
  }

  /**
   * Like {@link respond}, but without a timer per call: `fn` gets the time of arrival, and runs at once unless the
   * link is stalled.
   */
  stream(fn: (atMs: number) => void): void {
    if (this.#isStalled) this.#heldMessages.push(() => fn(this.#clock.now()));
    else fn(this.#clock.now() + this.#delayMs);
  }

  #reconnect(): void {
    this.#isStalled = false;
    const messages = this.#heldMessages;
    const callbacks = this.#lossCallbacks;
    this.#heldMessages = [];
    this.#lossCallbacks = [];
    for (const fn of messages) fn();
    for (const fn of callbacks) fn();
  }
}
