/**
 * Frames over a TCP or TLS socket. Writes made in one turn of the event loop are batched.
 *
 * @module
 */
import type { Socket } from "node:net";
import { type LinkReason, toWpError, type WpError } from "@wisteriapick/core";
import { type Frame, FrameReader, LENGTH_BYTES, MAX_FRAME_BYTES } from "./frame.ts";

/** Size of the buffers into which small frames are copied. */
const BATCH_BYTES = 65_536;
/** Frames of at least this size are written without copying them into a batch. */
const LARGE_FRAME_BYTES = 8_192;
/** Unsent bytes above which streams queue their messages, which bounds the memory per link. */
const CONGESTED_BYTES = 262_144;

/** Events of a {@link FrameSocket}. */
export interface FrameSocketEvents {
  /** Bytes have arrived, perhaps of a frame that is not complete yet. */
  onBytes?(): void;
  onFrame(frame: Frame): void;
  /** The socket accepts data again after `isCongested` was true. */
  onDrain(): void;
  /** The connection is closed; called once. */
  onClose(err: LinkError): void;
}

/** The `link` member of the error union. */
export type LinkError = Extract<WpError, { type: "link" }>;

/** Creates a link error, for example `linkError("closed", "closed by peer")`. */
export function linkError(reason: LinkReason, message: string): LinkError {
  return { type: "link", reason, message };
}

/** Options of {@link FrameSocket}. */
export interface FrameSocketOptions {
  /** Bytes that may wait to be sent before the connection is closed; without a limit by default. */
  readonly maxQueuedBytes?: number;
}

/** Sends and receives frames on a connected socket. */
export class FrameSocket {
  events: FrameSocketEvents;
  readonly #socket: Socket;
  readonly #maxQueuedBytes: number;
  readonly #reader = new FrameReader();
  readonly #chunks: Buffer[] = [];
  #batch: Buffer = Buffer.allocUnsafe(0);
  /** Range of the bytes of `#batch` that are not in `#chunks` yet. */
  #start = 0;
  #end = 0;
  #batchedBytes = 0;
  #pendingFlush: NodeJS.Immediate | null = null;
  #isOpen = true;

  constructor(
    socket: Socket,
    events: FrameSocketEvents,
    { maxQueuedBytes = Infinity }: FrameSocketOptions = {},
  ) {
    this.#socket = socket;
    this.#maxQueuedBytes = maxQueuedBytes;
    this.events = events;
    socket.setNoDelay(true);
    socket.on("data", (chunk: Buffer) => this.#contain(() => this.#receive(chunk)));
    socket.on("drain", () => this.#contain(() => this.#isOpen && this.events.onDrain()));
    socket.on("end", () => this.#onSocketEnd());
    socket.on("error", (e) => this.fail(linkError("closed", `socket error: ${e.message}`)));
    socket.on("close", () => this.#onSocketEnd());
  }

  /** Bytes that wait to be sent, without those in the buffers of the operating system. */
  get queuedBytes(): number {
    return this.#socket.writableLength + this.#batchedBytes;
  }

  /** Whether more than `CONGESTED_BYTES` are waiting to be sent. */
  get isCongested(): boolean {
    return this.queuedBytes > CONGESTED_BYTES;
  }

  get bytesReceived(): number {
    return this.#socket.bytesRead;
  }

  get open(): boolean {
    return this.#isOpen;
  }

  /** Accepts frames of up to `MAX_FRAME_BYTES`; called once the peer is authenticated. */
  acceptLargeFrames(): void {
    this.#reader.maxPayloadBytes = MAX_FRAME_BYTES;
  }

  /** Sends the payload of one frame at the end of this event-loop turn. */
  write(payload: Buffer): void {
    if (!this.#isOpen) return;
    this.#pendingFlush ??= setImmediate(() => this.#flush());
    // The connection is closed when it is flushed. Closing it here would call listeners while a message is handled.
    if (this.queuedBytes > this.#maxQueuedBytes) return;
    const size = LENGTH_BYTES + payload.length;
    this.#batchedBytes += size;
    const isLarge = payload.length >= LARGE_FRAME_BYTES;
    this.#reserve(isLarge ? LENGTH_BYTES : size);
    this.#batch.writeUInt32BE(payload.length, this.#end);
    this.#end += LENGTH_BYTES;
    if (isLarge) {
      this.#seal();
      this.#chunks.push(payload);
    } else {
      payload.copy(this.#batch, this.#end);
      this.#end += payload.length;
    }
  }

  /** Sends the batched frames, then closes the connection. */
  close(err: LinkError): void {
    if (!this.#isOpen) return;
    this.#flush();
    // It may have been closed just now, as too much was waiting.
    if (!this.#isOpen) return;
    this.#socket.destroySoon();
    this.#reportClosed(err);
  }

  /** Closes the connection immediately, without sending the batched frames. */
  fail(err: LinkError): void {
    if (!this.#isOpen) return;
    this.#socket.destroy();
    this.#reportClosed(err);
  }

  /** Destroys the socket of a closed connection whose last bytes the peer does not read. */
  destroy(): void {
    this.#socket.destroy();
  }

  /** Handles an event of the socket. An error that is raised meanwhile closes this connection only. */
  #contain(handle: () => void): void {
    try {
      handle();
    } catch (e) {
      this.fail(linkError("closed", `an event could not be handled: ${toWpError(e).message}`));
    }
  }

  #receive(chunk: Buffer): void {
    if (!this.#isOpen) return;
    this.events.onBytes?.();
    const fault = this.#reader.push(chunk, (frame) => {
      this.events.onFrame(frame);
      return this.#isOpen;
    });
    if (fault !== null) this.fail(linkError(fault, `received ${fault.replaceAll("_", " ")}`));
  }

  #onSocketEnd(): void {
    const err = this.#reader.isPartial
      ? linkError("frame_truncated", "connection ended inside a frame")
      : linkError("closed", "closed by peer");
    this.fail(err);
  }

  #reportClosed(err: LinkError): void {
    this.#isOpen = false;
    if (this.#pendingFlush !== null) clearImmediate(this.#pendingFlush);
    this.events.onClose(err);
  }

  #reserve(size: number): void {
    if (this.#batch.length - this.#end >= size) return;
    this.#seal();
    this.#batch = Buffer.allocUnsafe(BATCH_BYTES);
    this.#start = 0;
    this.#end = 0;
  }

  /** Appends the bytes of the current batch to the chunks to write. */
  #seal(): void {
    if (this.#end > this.#start) this.#chunks.push(this.#batch.subarray(this.#start, this.#end));
    this.#start = this.#end;
  }

  #flush(): void {
    this.#pendingFlush = null;
    if (this.#isOpen && this.queuedBytes > this.#maxQueuedBytes) {
      return this.fail(linkError("flow_control", "the peer does not read"));
    }
    this.#batchedBytes = 0;
    this.#seal();
    if (this.#chunks.length === 0) return;
    this.#socket.cork();
    for (const chunk of this.#chunks) this.#socket.write(chunk);
    this.#socket.uncork();
    this.#chunks.length = 0;
  }
}
