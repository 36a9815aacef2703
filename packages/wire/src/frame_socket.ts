/**
 * Frames over one TCP or TLS socket, with the writes of one event-loop turn batched.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { LinkReason, WpError } from "@wisteriapick/core";
import { type Frame, FrameReader, LENGTH_BYTES, MAX_FRAME_BYTES } from "./frame.ts";

/** Size of the buffers into which small frames are copied. */
const BATCH_BYTES = 65_536;
/** Frames from this size on are written without a copy. */
const LARGE_FRAME_BYTES = 8_192;
/** Unsent bytes above which streams hold their messages back, so that memory stays bounded per link. */
const CONGESTED_BYTES = 262_144;

/** What a {@link FrameSocket} reports. */
export interface FrameSocketEvents {
  onFrame(frame: Frame): void;
  /** The socket accepts data again after `congested` was true. */
  onDrain(): void;
  /** Called once. */
  onClose(err: LinkError): void;
}

/** The `link` member of the error union. */
export type LinkError = Extract<WpError, { type: "link" }>;

/** Makes a link error, for example `linkError("closed", "closed by peer")`. */
export function linkError(reason: LinkReason, message: string): LinkError {
  return { type: "link", reason, message };
}

/** Sends and receives frames on a connected socket. */
export class FrameSocket {
  events: FrameSocketEvents;
  readonly #socket: Socket;
  readonly #reader = new FrameReader();
  readonly #chunks: Buffer[] = [];
  #batch: Buffer = Buffer.allocUnsafe(0);
  #start = 0;
  #end = 0;
  #batched = 0;
  #flushing: NodeJS.Immediate | null = null;
  #open = true;

  constructor(socket: Socket, events: FrameSocketEvents) {
    this.#socket = socket;
    this.events = events;
    socket.setNoDelay(true);
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.on("drain", () => this.#open && this.events.onDrain());
    socket.on("end", () => this.#ended());
    socket.on("error", (e) => this.fail(linkError("closed", `socket error: ${e.message}`)));
    socket.on("close", () => this.#ended());
  }

  /** Whether more unsent bytes are buffered than a link may hold. */
  get congested(): boolean {
    return this.#socket.writableLength + this.#batched > CONGESTED_BYTES;
  }

  get bytesReceived(): number {
    return this.#socket.bytesRead;
  }

  get open(): boolean {
    return this.#open;
  }

  /** Accepts frames of full size; called once the peer is authenticated. */
  acceptLargeFrames(): void {
    this.#reader.maxBytes = MAX_FRAME_BYTES;
  }

  /** Sends the payload of one frame at the end of this event-loop turn. */
  write(payload: Buffer): void {
    if (!this.#open) return;
    const size = LENGTH_BYTES + payload.length;
    this.#batched += size;
    const large = payload.length >= LARGE_FRAME_BYTES;
    this.#reserve(large ? LENGTH_BYTES : size);
    this.#batch.writeUInt32BE(payload.length, this.#end);
    this.#end += LENGTH_BYTES;
    if (large) {
      this.#seal();
      this.#chunks.push(payload);
    } else {
      payload.copy(this.#batch, this.#end);
      this.#end += payload.length;
    }
    this.#flushing ??= setImmediate(() => this.#flush());
  }

  /** Sends what is batched, then closes the connection. */
  close(err: LinkError): void {
    if (!this.#open) return;
    this.#flush();
    this.#socket.destroySoon();
    this.#finish(err);
  }

  /** Drops the connection at once. */
  fail(err: LinkError): void {
    if (!this.#open) return;
    this.#socket.destroy();
    this.#finish(err);
  }

  /** Frees a connection whose last bytes the peer does not take. */
  destroy(): void {
    this.#socket.destroy();
  }

  #receive(chunk: Buffer): void {
    if (!this.#open) return;
    const fault = this.#reader.push(chunk, (frame) => {
      this.events.onFrame(frame);
      return this.#open;
    });
    if (fault !== null) this.fail(linkError(fault, `received ${fault.replaceAll("_", " ")}`));
  }

  #ended(): void {
    const err = this.#reader.partial
      ? linkError("frame_truncated", "connection ended inside a frame")
      : linkError("closed", "closed by peer");
    this.fail(err);
  }

  #finish(err: LinkError): void {
    this.#open = false;
    if (this.#flushing !== null) clearImmediate(this.#flushing);
    this.events.onClose(err);
  }

  #reserve(size: number): void {
    if (this.#batch.length - this.#end >= size) return;
    this.#seal();
    this.#batch = Buffer.allocUnsafe(BATCH_BYTES);
    this.#start = 0;
    this.#end = 0;
  }

  /** Moves the batched bytes to the list of chunks to write. */
  #seal(): void {
    if (this.#end > this.#start) this.#chunks.push(this.#batch.subarray(this.#start, this.#end));
    this.#start = this.#end;
  }

  #flush(): void {
    this.#flushing = null;
    this.#batched = 0;
    this.#seal();
    if (this.#chunks.length === 0) return;
    this.#socket.cork();
    for (const chunk of this.#chunks) this.#socket.write(chunk);
    this.#socket.uncork();
    this.#chunks.length = 0;
  }
}
