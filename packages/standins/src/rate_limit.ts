/**
 * Rate limits for calls to the stand-ins.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";

/**
 * A token bucket. Open calls, such as pending watches, take one token each per second.
 */
export class RateLimit {
  readonly perSecond: number;
  readonly #clock: Clock;
  #tokens: number;
  #atMs: number;
  #openCalls = 0;

  constructor(perSecond: number, clock: Clock) {
    this.perSecond = perSecond;
    this.#clock = clock;
    this.#tokens = perSecond;
    this.#atMs = clock.now();
  }

  get openCalls(): number {
    return this.#openCalls;
  }

  /** Takes one token. Returns 0 on success, otherwise the time in milliseconds until one is available. */
  take(): number {
    this.#refill();
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    const rate = this.#rate();
    return rate <= 0 ? 1_000 : Math.max(1, ((1 - this.#tokens) / rate) * 1_000);
  }

  /** Adds `change` to the number of open calls. */
  addOpenCalls(change: number): void {
    this.#refill();
    this.#openCalls += change;
  }

  #rate(): number {
    return this.perSecond - this.#openCalls;
  }

  #refill(): void {
    const nowMs = this.#clock.now();
    const gained = (this.#rate() * (nowMs - this.#atMs)) / 1_000;
    this.#tokens = Math.max(0, Math.min(this.perSecond, this.#tokens + gained));
    this.#atMs = nowMs;
  }
}
