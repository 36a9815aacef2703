/**
 * Elapsed time for permissions that end: monotonic, and it goes on while the machine is suspended.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/**
 * Gain of the time of day on the monotonic clock from which the machine counts as suspended. Below it, the time of day
 * is being adjusted.
 */
const MIN_SUSPENSION_MS = 250;

/**
 * A monotonic clock that includes suspensions of the machine, which the monotonic clock of the operating system leaves
 * out. A suspension shows as a gain of the time of day. A step of the time of day looks the same, so this clock may run
 * ahead, which ends permissions early, and never falls behind.
 *
 * @example
 * ```ts
 * const elapsed = new SuspendAwareClock(clock);
 * const ageMs = elapsed.now() - confirmedAtMs;
 * ```
 */
export class SuspendAwareClock {
  readonly #clock: Clock;
  #suspendedMs = 0;
  #epoch: number;
  /** Time of day minus monotonic time, when they were last compared. */
  #wallOffsetMs: number;

  /** `epoch` is the first one. Processes that compare their clocks draw it at random. */
  constructor(clock: Clock, { epoch = 0 }: { readonly epoch?: number } = {}) {
    this.#clock = clock;
    this.#epoch = epoch;
    this.#wallOffsetMs = clock.wall() - clock.now();
  }

  /** Milliseconds since an arbitrary origin. */
  now(): number {
    const monotonicMs = this.#clock.now();
    const gainMs = this.#clock.wall() - monotonicMs - this.#wallOffsetMs;
    if (gainMs >= MIN_SUSPENSION_MS) {
      this.#suspendedMs += gainMs;
      this.#epoch++;
    }
    if (gainMs >= MIN_SUSPENSION_MS || gainMs < 0) this.#wallOffsetMs += gainMs;
    return monotonicMs + this.#suspendedMs;
  }

  /** Changes with each suspension. What is known of the distance to another clock holds within one epoch. */
  get epoch(): number {
    this.now();
    return this.#epoch;
  }
}
