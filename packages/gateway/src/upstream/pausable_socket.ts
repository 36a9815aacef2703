/**
 * A socket whose reader stops while it is paused.
 *
 * @module
 */
import { Socket } from "node:net";

/**
 * A socket on which `read` returns nothing while it is paused, so that the end and the errors of a response reach an HTTP
 * client that is not paused itself. `undici` raises an error outside any request when a response without length ends or
 * is reset while its parser is paused.
 *
 * @example
 * ```ts
 * const socket = new PausableSocket();
 * socket.connect({ host, port });
 * socket.pauseReading();
 * socket.resumeReading();
 * ```
 */
export class PausableSocket extends Socket {
  #isPaused = false;

  /** Stops reading; what comes meanwhile is left in the buffers of the socket. */
  pauseReading(): void {
    this.#isPaused = true;
  }

  /** Reads on. */
  resumeReading(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    if (!this.destroyed) this.emit("readable");
  }

  // A size of 0 takes nothing, and lets the socket fill its buffer.
  override read(size?: number): ReturnType<Socket["read"]> {
    return this.#isPaused && size !== 0 ? null : super.read(size);
  }
}
