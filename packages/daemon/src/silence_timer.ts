/**
 * Notices that a peer sends nothing.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";

/** Options of {@link SilenceTimer}. */
export interface SilenceTimerOptions {
  readonly clock: Clock;
  /** Time without a message after which the peer counts as silent, in milliseconds; noticed up to half of it later. */
  readonly idleTimeoutMs: number;
  /** Called once, after which the timer is stopped. */
  readonly onSilent: () => void;
}

/** Checks without a message in a row that make a peer silent. */
const CHECKS = 2;

/**
 * Calls `onSilent` when no message was recorded between checks. After a stall of this process, a check runs before the
 * messages are read that arrived meanwhile, so that a single one proves nothing, and a late one is judged afterwards.
 *
 * @example
 * ```ts
 * const silence = new SilenceTimer({ clock, idleTimeoutMs: 5_000, onSilent: () => stream.breakOff("silent") });
 * silence.restart();
 * ```
 */
export class SilenceTimer {
  readonly #options: SilenceTimerOptions;
  #stop: Undo | null = null;
  #silentChecks = 0;
  /** When the last check ran, or the first interval began. */
  #checkedAtMs = 0;

  constructor(options: SilenceTimerOptions) {
    this.#options = options;
  }

  /** Starts to check, from now on; records that the peer has sent something if it has started before. */
  restart(): void {
    if (this.#stop !== null) {
      // The interval in which the message arrived does not count.
      this.#silentChecks = -1;
      return;
    }
    this.#silentChecks = 0;
    const { clock, idleTimeoutMs } = this.#options;
    this.#checkedAtMs = clock.now();
    this.#stop = clock.setRepeating(idleTimeoutMs / CHECKS, () => this.#check());
  }

  stop(): void {
    this.#stop?.();
    this.#stop = null;
  }

  #check(): void {
    const { clock, idleTimeoutMs } = this.#options;
    const lateMs = clock.now() - this.#checkedAtMs - idleTimeoutMs / CHECKS;
    this.#checkedAtMs = clock.now();
    if (++this.#silentChecks < CHECKS) return;
    if (lateMs <= 0) return this.#endSilent();
    // By the second turn, connections have been polled once more.
    setImmediate(() => setImmediate(() => this.#endSilent()));
  }

  #endSilent(): void {
    if (this.#stop === null || this.#silentChecks < CHECKS) return;
    this.stop();
    this.#options.onSilent();
  }
}
