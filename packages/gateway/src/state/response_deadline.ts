/**
 * A deadline for the progress of a response. A large response on a thin link takes as long as it takes; it is given up
 * only when its bytes stop arriving.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";

/** Options of {@link ResponseDeadline}. */
export interface ResponseDeadlineOptions {
  readonly clock: Clock;
  /** Time until the first byte, in milliseconds. */
  readonly firstByteMs: number;
  /** Time without a further byte, in milliseconds. */
  readonly idleMs: number;
  /** Whether another response occupies the link, which delays the first byte of this one. */
  readonly isLinkBusy?: () => boolean;
  /** Longest time until the first byte while the link is busy, in milliseconds. */
  readonly busyFirstByteMs?: number;
  readonly onExpired: () => void;
}

/**
 * Watches one response, and calls `onExpired` once if it makes no progress.
 *
 * @example
 * ```ts
 * const deadline = new ResponseDeadline({ clock, firstByteMs: 1_500, idleMs: 800, onExpired: abort });
 * store.list("config", { onProgress: deadline.record }).finally(deadline.stop);
 * ```
 */
export class ResponseDeadline {
  readonly #options: ResponseDeadlineOptions;
  readonly #startedAtMs: number;
  #firstByteAtMs: number | null = null;
  #lastByteAtMs: number | null = null;
  #stopTimer: Undo;
  receivedBytes = 0;

  constructor(options: ResponseDeadlineOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.now();
    this.#stopTimer = options.clock.setTimer(options.firstByteMs, () => this.#check());
  }

  /** Records the number of bytes received so far. */
  readonly record = (receivedBytes: number): void => {
    this.receivedBytes = receivedBytes;
    this.#lastByteAtMs = this.#options.clock.now();
    this.#firstByteAtMs ??= this.#lastByteAtMs;
  };

  /** Ends the deadline: the response is complete or abandoned. */
  readonly stop = (): void => this.#stopTimer();

  /** Whether bytes of this response have arrived recently. */
  get isArriving(): boolean {
    const last = this.#lastByteAtMs;
    return last !== null && this.#options.clock.now() - last < this.#options.idleMs;
  }

  /** Time from the first to the last byte received so far, in milliseconds. */
  get transferMs(): number {
    if (this.#firstByteAtMs === null || this.#lastByteAtMs === null) return 0;
    return this.#lastByteAtMs - this.#firstByteAtMs;
  }

  /** Fields of a log line; times are in milliseconds and `null` if no byte has arrived. */
  summary(): Record<string, number | null> {
    const now = this.#options.clock.now();
    const first = this.#firstByteAtMs;
    const last = this.#lastByteAtMs;
    return {
      receivedBytes: this.receivedBytes,
      firstByteMs: first === null ? null : Math.round(first - this.#startedAtMs),
      transferMs: first === null ? null : Math.round(this.transferMs),
      silentMs: last === null ? null : Math.round(now - last),
    };
  }

  #check(): void {
    const { clock, onExpired } = this.#options;
    const remainingMs = this.#remainingMs(clock.now());
    if (remainingMs > 0) this.#stopTimer = clock.setTimer(remainingMs, () => this.#check());
    else onExpired();
  }

  #remainingMs(now: number): number {
    const { idleMs, firstByteMs, busyFirstByteMs = firstByteMs, isLinkBusy } = this.#options;
    if (this.#lastByteAtMs !== null) return this.#lastByteAtMs + idleMs - now;
    if (!(isLinkBusy?.() ?? false)) return 0;
    return Math.min(idleMs, this.#startedAtMs + busyFirstByteMs - now);
  }
}
