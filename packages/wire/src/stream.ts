/**
 * One stream of a link: order, credit and the two half-closes.
 *
 * @module
 */
import { type WpError, WpFailure } from "@wisteriapick/core";
import { encodePayload, MAX_FRAME_BYTES } from "./frame.ts";
import { linkError } from "./frame_socket.ts";
import { LinkStream, type StreamHandler } from "./link.ts";
import { encodeBody, FRAME, kindNumber } from "./message_codec.ts";
import type { Message } from "./messages.ts";

/**
 * Credit of a new stream in each direction. A frame may be sent while credit is above 0, so one window and one frame
 * bound the data in flight. At 12 bytes a token it covers minutes of a generation; at 1 ms one way it lets a body
 * flow at 30 MB/s.
 */
export const STREAM_WINDOW_BYTES = 65_536;
/** Credit is returned in portions, so that a token does not cost a credit frame. */
const CREDIT_PORTION_BYTES = STREAM_WINDOW_BYTES / 2;

/** Encodes a message as the payload of a frame. */
export function encodeMessage(correlationId: number, msg: Message): Buffer {
  const payload = encodePayload(kindNumber(msg), correlationId, encodeBody(msg));
  if (payload.length > MAX_FRAME_BYTES) {
    const message = `${msg.kind} message of ${payload.length} bytes exceeds a frame`;
    throw new WpFailure(linkError("frame_too_large", message));
  }
  return payload;
}

/** What a stream needs from its link. */
export interface StreamHost {
  readonly congested: boolean;
  write(payload: Buffer): void;
  /** Calls the stream's `pump` when the socket accepts data again. */
  awaitDrain(stream: SocketStream): void;
  release(id: number): void;
  /** Runs a handler; a handler that throws must not reach the socket. */
  guard(stream: SocketStream, fn: () => void): void;
}

/** A stream on a {@link StreamHost}. */
export class SocketStream extends LinkStream {
  readonly id: number;
  handler: StreamHandler | null = null;
  readonly #host: StreamHost;
  readonly #queue: Buffer[] = [];
  #sendCredit = STREAM_WINDOW_BYTES;
  #receiveCredit = STREAM_WINDOW_BYTES;
  #ungranted = 0;
  #paused = false;
  #drainWanted = false;
  #ended = false;
  #endSent = false;
  #peerEnded = false;
  #closed: { err: WpError | null } | null = null;

  constructor(id: number, host: StreamHost) {
    super();
    this.id = id;
    this.#host = host;
  }

  /** Sends the first message of a stream that this end opens. */
  open(payload: Buffer): void {
    this.#write(payload);
  }

  override send(msg: Message): boolean {
    if (this.#ended || this.#closed !== null) return false;
    const payload = encodeMessage(this.id, msg);
    if (this.#writable()) this.#write(payload);
    else this.#queue.push(payload);
    if (this.#writable()) return true;
    this.#drainWanted = true;
    if (this.#host.congested) this.#host.awaitDrain(this);
    return false;
  }

  override end(): void {
    if (this.#ended || this.#closed !== null) return;
    this.#ended = true;
    this.#sendEnd();
  }

  override abort(): void {
    if (this.#closed !== null) return;
    this.#host.write(encodePayload(FRAME.streamAbort, this.id, null));
    this.close(linkError("closed", "stream aborted by this end"));
  }

  override pause(): void {
    this.#paused = true;
  }

  override resume(): void {
    this.#paused = false;
    this.#grant(1);
  }

  /** Sends queued messages as far as credit and the socket allow. */
  pump(): void {
    while (this.#queue.length > 0 && this.#creditLeft() && !this.#host.congested) {
      this.#write(this.#queue.shift()!);
    }
    this.#sendEnd();
    if (!this.#drainWanted || this.#ended) return;
    if (this.#host.congested) return this.#host.awaitDrain(this);
    if (!this.#writable()) return;
    this.#drainWanted = false;
    this.#host.guard(this, () => this.handler?.onDrain?.());
  }

  /** Takes one message from the peer. Returns false where the peer had no credit or had ended the stream. */
  accept(msg: Message, bytes: number): boolean {
    if (!this.take(bytes)) return false;
    this.#host.guard(this, () => this.handler?.onMessage(msg));
    this.#grant(CREDIT_PORTION_BYTES);
    return true;
  }

  /** Charges received bytes to the peer's credit. */
  take(bytes: number): boolean {
    if (this.#receiveCredit <= 0 || this.#peerEnded) return false;
    this.#receiveCredit -= bytes;
    this.#ungranted += bytes;
    return true;
  }

  /** Takes credit from the peer. Returns false where it exceeds what was used. */
  acceptCredit(bytes: number): boolean {
    if (bytes <= 0 || this.#sendCredit + bytes > STREAM_WINDOW_BYTES) return false;
    this.#sendCredit += bytes;
    this.pump();
    return true;
  }

  /** Takes the peer's half-close. */
  acceptEnd(): void {
    if (this.#peerEnded) return;
    this.#peerEnded = true;
    this.#host.guard(this, () => this.handler?.onEnd?.());
    this.#closeWhenEnded();
  }

  /** Ends the stream at this end and tells its handler. */
  close(err: WpError | null): void {
    if (this.#closed !== null) return;
    this.#closed = { err };
    this.#queue.length = 0;
    this.#host.release(this.id);
    const handler = this.handler;
    if (handler !== null) this.#host.guard(this, () => handler.onClose(err));
  }

  /** Sets the handler of a stream that the peer opened; it may have been closed meanwhile. */
  attach(handler: StreamHandler): void {
    this.handler = handler;
    const closed = this.#closed;
    if (closed !== null) this.#host.guard(this, () => handler.onClose(closed.err));
    else this.#grant(CREDIT_PORTION_BYTES);
  }

  /** Returns credit once at least `portion` bytes have arrived since the last time. */
  #grant(portion: number): void {
    if (this.#paused || this.#closed !== null || this.#peerEnded) return;
    if (this.#ungranted < portion) return;
    this.#host.write(encodePayload(FRAME.credit, this.id, this.#ungranted));
    this.#receiveCredit += this.#ungranted;
    this.#ungranted = 0;
  }

  #creditLeft(): boolean {
    return this.#sendCredit > 0;
  }

  #writable(): boolean {
    return this.#creditLeft() && this.#queue.length === 0 && !this.#host.congested;
  }

  #write(payload: Buffer): void {
    this.#sendCredit -= payload.length;
    this.#host.write(payload);
  }

  #sendEnd(): void {
    if (!this.#ended || this.#endSent || this.#queue.length > 0) return;
    this.#endSent = true;
    this.#host.write(encodePayload(FRAME.streamEnd, this.id, null));
    this.#closeWhenEnded();
  }

  #closeWhenEnded(): void {
    if (this.#endSent && this.#peerEnded) this.close(null);
  }
}
