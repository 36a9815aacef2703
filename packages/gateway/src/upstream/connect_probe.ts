/**
 * Tries to connect to an endpoint that no connection could be opened to, so that no request has to.
 *
 * @module
 */
import { connect } from "node:net";
import type { Clock, Undo } from "@wisteriapick/core";
import type { Address } from "@wisteriapick/wire";
import { afterPoll } from "./after_poll.ts";

/** Delay before the first attempt, in milliseconds. It doubles with each attempt that fails. */
const MIN_DELAY_MS = 150;
const MAX_DELAY_MS = 2_000;

/** Options of {@link ConnectProbe}. */
export interface ConnectProbeOptions {
  readonly address: Address;
  readonly clock: Clock;
  /** Time to establish a connection, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * After a failure to connect, opens and closes a connection from time to time until that succeeds. Nothing is sent.
 *
 * @example
 * ```ts
 * const probe = new ConnectProbe({ address, clock, timeoutMs: 400 });
 * probe.recordFailure();
 * probe.isFailing; // true until a connection can be opened
 * ```
 */
export class ConnectProbe {
  readonly #options: ConnectProbeOptions;
  /** Ends the present wait or attempt; `null` while the endpoint is not known to be unreachable. */
  #stopAttempt: Undo | null = null;
  #delayMs = MIN_DELAY_MS;
  #isClosed = false;

  constructor(options: ConnectProbeOptions) {
    this.#options = options;
  }

  /** Whether no connection could be opened when it was last tried. */
  get isFailing(): boolean {
    return this.#stopAttempt !== null;
  }

  /** Records that a connection could not be opened, and begins to try. */
  recordFailure(): void {
    if (!this.isFailing && !this.#isClosed) this.#wait();
  }

  /** Records that the endpoint has been reached. */
  recordReached(): void {
    this.#stopAttempt?.();
    this.#stopAttempt = null;
    this.#delayMs = MIN_DELAY_MS;
  }

  /** Stops trying for good. */
  close(): void {
    this.#isClosed = true;
    this.recordReached();
  }

  #wait(): void {
    this.#stopAttempt = this.#options.clock.setTimer(this.#delayMs, () => this.#attempt());
    this.#delayMs = Math.min(MAX_DELAY_MS, this.#delayMs * 2);
  }

  #attempt(): void {
    const { address, clock, timeoutMs } = this.#options;
    try {
      const socket = connect({ host: address.host, port: address.port });
      const expire = () => {
        if (socket.connecting) socket.destroy(new Error("timeout"));
      };
      const stopTimer = clock.setTimer(timeoutMs, () => afterPoll(expire));
      socket.once("connect", () => this.recordReached());
      socket.once("error", () => {
        stopTimer();
        this.#wait();
      });
      this.#stopAttempt = () => {
        stopTimer();
        socket.removeAllListeners("error").on("error", () => {}).destroy();
      };
    } catch {
      // Calls log why no connection can be opened.
      this.#wait();
    }
  }
}
