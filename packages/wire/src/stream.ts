/**
 * One stream of a link: ordered messages, credit-based flow control and a half-close in each direction.
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
 * Initial credit of a stream in each direction. A frame may be sent while credit is above 0, so at most one window and
 * one frame are in flight. At 12 bytes per token, a window holds minutes of a generation; at a one-way latency of 1 ms,
 * a body can be transferred at 30 MB/s.
 */
export const STREAM_WINDOW_BYTES = 65_536;
/** Credit is returned once this much has been received, so that not each token costs a credit frame. */
const CREDIT_RETURN_BYTES = STREAM_WINDOW_BYTES / 2;

/** Encodes a message as the payload of a frame. */
export function encodeMessage(correlationId: number, msg: Message): Buffer {
  const payload = encodePayload(kindNumber(msg), correlationId, encodeBody(msg));
  if (payload.length > MAX_FRAME_BYTES) {
    const message = `${msg.kind} message of ${payload.length} bytes exceeds a frame`;
    throw new WpFailure(linkError("frame_too_large", message));
  }
  return payload;
}

/** The services that a link provides to its streams. */
export interface StreamTransport {
  readonly isCongested: boolean;
  write(payload: Buffer): void;
  /** Calls the stream's `pump` once the socket accepts data again. */
  awaitDrain(stream: SocketStream): void;
  release(id: number): void;
  /** Runs a handler, and aborts the stream if it throws, so that the error does not reach the socket. */
  runHandler(stream: SocketStream, fn: () => void): void;
}

/** A {@link LinkStream} over a {@link StreamTransport}. */
export class SocketStream extends LinkStream {
  readonly id: number;
  handler: StreamHandler | null = null;
  readonly #transport: StreamTransport;
  readonly #queue: Buffer[] = [];
  #sendCredit = STREAM_WINDOW_BYTES;
  #receiveCredit = STREAM_WINDOW_BYTES;
  #unreturnedBytes = 0;
  #isPaused = false;
  #needsDrainEvent = false;
  #isEnded = false;
  #isEndSent = false;
  #isPeerEnded = false;
  #closed: { err: WpError | null } | null = null;

  constructor(id: number, transport: StreamTransport) {
    super();
    this.id = id;
    this.#transport = transport;
  }

  /** Sends the first message of a stream opened by this end. */
  open(payload: Buffer): void {
    this.#write(payload);
  }

  override send(msg: Message): boolean {
    if (this.#isEnded || this.#closed !== null) return false;
    const payload = encodeMessage(this.id, msg);
    if (this.#canWrite()) this.#write(payload);
    else this.#queue.push(payload);
    if (this.#canWrite()) return true;
    this.#needsDrainEvent = true;
    if (this.#transport.isCongested) this.#transport.awaitDrain(this);
    return false;
  }

  override end(): void {
    if (this.#isEnded || this.#closed !== null) return;
    this.#isEnded = true;
    this.#sendEndWhenDrained();
  }

  override abort(): void {
    if (this.#closed !== null) return;
    this.#transport.write(encodePayload(FRAME.streamAbort, this.id, null));
    this.close(linkError("closed", "stream aborted by this end"));
  }

  override pause(): void {
    this.#isPaused = true;
  }

  override resume(): void {
    this.#isPaused = false;
    this.#returnCredit(1);
  }

  /** Sends queued messages while there is credit and the socket is not congested. */
  pump(): void {
    while (this.#queue.length > 0 && this.#hasCredit() && !this.#transport.isCongested) {
      this.#write(this.#queue.shift()!);
    }
    this.#sendEndWhenDrained();
    if (!this.#needsDrainEvent || this.#isEnded) return;
    if (this.#transport.isCongested) return this.#transport.awaitDrain(this);
    if (!this.#canWrite()) return;
    this.#needsDrainEvent = false;
    this.#transport.runHandler(this, () => this.handler?.onDrain?.());
  }

  /** Handles a message from the peer. Returns false if the peer had no credit or had ended the stream. */
  acceptMessage(msg: Message, bytes: number): boolean {
    if (!this.chargeReceivedBytes(bytes)) return false;
    this.#transport.runHandler(this, () => this.handler?.onMessage(msg));
    this.#returnCredit(CREDIT_RETURN_BYTES);
    return true;
  }

  /** Deducts received bytes from the peer's credit. Returns false if it had none or had ended the stream. */
  chargeReceivedBytes(bytes: number): boolean {
    if (this.#receiveCredit <= 0 || this.#isPeerEnded) return false;
    this.#receiveCredit -= bytes;
    this.#unreturnedBytes += bytes;
    return true;
  }

  /** Handles credit returned by the peer. Returns false if it exceeds the credit that was used. */
  acceptCredit(bytes: number): boolean {
    if (bytes <= 0 || this.#sendCredit + bytes > STREAM_WINDOW_BYTES) return false;
    this.#sendCredit += bytes;
    this.pump();
    return true;
  }

  /** Handles the peer's half-close. */
  acceptEnd(): void {
    if (this.#isPeerEnded) return;
    this.#isPeerEnded = true;
    this.#transport.runHandler(this, () => this.handler?.onEnd?.());
    this.#closeWhenBothEnded();
  }

  /** Closes the stream at this end and notifies its handler. */
  close(err: WpError | null): void {
    if (this.#closed !== null) return;
    this.#closed = { err };
    this.#queue.length = 0;
    this.#transport.release(this.id);
    const handler = this.handler;
    if (handler !== null) this.#transport.runHandler(this, () => handler.onClose(err));
  }

  /** Sets the handler of a stream that the peer opened. If the stream has been closed meanwhile, notifies it at once. */
  attach(handler: StreamHandler): void {
    this.handler = handler;
    const closed = this.#closed;
    if (closed !== null) this.#transport.runHandler(this, () => handler.onClose(closed.err));
    else this.#returnCredit(CREDIT_RETURN_BYTES);
  }

  /** Returns credit to the peer once at least `minBytes` have been received since it was last returned. */
  #returnCredit(minBytes: number): void {
    if (this.#isPaused || this.#closed !== null || this.#isPeerEnded) return;
    if (this.#unreturnedBytes < minBytes) return;
    this.#transport.write(encodePayload(FRAME.credit, this.id, this.#unreturnedBytes));
    this.#receiveCredit += this.#unreturnedBytes;
    this.#unreturnedBytes = 0;
  }

  #hasCredit(): boolean {
    return this.#sendCredit > 0;
  }

  #canWrite(): boolean {
    return this.#hasCredit() && this.#queue.length === 0 && !this.#transport.isCongested;
  }

  #write(payload: Buffer): void {
    this.#sendCredit -= payload.length;
    this.#transport.write(payload);
  }

  #sendEndWhenDrained(): void {
    if (!this.#isEnded || this.#isEndSent || this.#queue.length > 0) return;
    this.#isEndSent = true;
    this.#transport.write(encodePayload(FRAME.streamEnd, this.id, null));
    this.#closeWhenBothEnded();
  }

  #closeWhenBothEnded(): void {
    if (this.#isEndSent && this.#isPeerEnded) this.close(null);
  }
}
