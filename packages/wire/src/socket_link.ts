/**
 * An authenticated link over one socket.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  toWpError,
  type Undo,
  type WpError,
  WpFailure,
} from "@wisteriapick/core";
import { encodePayload, type Frame } from "./frame.ts";
import { type FrameSocket, type LinkError, linkError } from "./frame_socket.ts";
import type { End, Established } from "./handshake.ts";
import { type Identity, Link, type LinkAcceptor, type StreamHandler } from "./link.ts";
import { decodeMessage, FIRST_MESSAGE_KIND, FRAME } from "./message_codec.ts";
import type { Message } from "./messages.ts";
import { encodeMessage, SocketStream, type StreamHost } from "./stream.ts";

/** Time without a frame after which an end pings. */
export const HEARTBEAT_MS = 500;
/** A link that has received nothing for this long is dead. */
export const HEARTBEAT_TIMEOUT_MS = 2_000;
const REQUEST_TIMEOUT_MS = 5_000;
/** Open streams of one link above which the peer is taken to be faulty. */
const MAX_STREAMS = 65_536;
/** Time a closing connection gets to deliver its last bytes. */
const LINGER_MS = 2_000;

const PING = encodePayload(FRAME.ping, 0, null);
const PONG = encodePayload(FRAME.pong, 0, null);

/** Options of {@link SocketLink}. */
export interface SocketLinkOptions {
  readonly end: End;
  readonly established: Established;
  readonly acceptor: LinkAcceptor;
  readonly clock: Clock;
  readonly log?: Logger;
}

/** A {@link Link} over a socket whose handshake is done. */
export class SocketLink extends Link implements StreamHost {
  override readonly peer: Identity;
  /** Protocol version of this link. */
  readonly version: number;
  readonly #socket: FrameSocket;
  readonly #acceptor: LinkAcceptor;
  readonly #clock: Clock;
  readonly #log: Logger | undefined;
  readonly #streams = new Map<number, SocketStream>();
  readonly #awaitingDrain = new Set<SocketStream>();
  readonly #listeners = new Set<(err: WpError) => void>();
  #stopHeartbeat: Undo;
  #nextId: number;
  #highestPeerId = 0;
  #lastReceivedMs: number;
  #lastBeatMs: number;
  #closed: LinkError | null = null;

  constructor(socket: FrameSocket, options: SocketLinkOptions) {
    super();
    this.#socket = socket;
    this.#acceptor = options.acceptor;
    this.#clock = options.clock;
    this.#log = options.log;
    this.peer = options.established.peer;
    this.version = options.established.version;
    // The connector opens odd streams and the acceptor even ones, so ids never collide.
    this.#nextId = options.end === "connector" ? 1 : 2;
    this.#lastReceivedMs = this.#clock.now();
    this.#lastBeatMs = this.#lastReceivedMs;
    // All links of a process beat at the same moments, so that a process with many of them wakes once.
    const untilBeatMs = HEARTBEAT_MS - this.#clock.now() % HEARTBEAT_MS;
    this.#stopHeartbeat = this.#clock.setTimer(untilBeatMs, () => {
      this.#stopHeartbeat = this.#clock.setRepeating(HEARTBEAT_MS, () => this.#beat());
      this.#beat();
    });
    socket.acceptLargeFrames();
    socket.events = {
      onFrame: (frame) => this.#onFrame(frame),
      onDrain: () => this.#onDrain(),
      onClose: (err) => this.#onClose(err),
    };
  }

  override get open(): boolean {
    return this.#closed === null;
  }

  /** Number of open streams. */
  get streams(): number {
    return this.#streams.size;
  }

  /** When the last frame arrived, by this end's clock. */
  get lastReceivedMs(): number {
    return this.#lastReceivedMs;
  }

  /** Bytes received so far, with those of TLS. */
  get bytesReceived(): number {
    return this.#socket.bytesReceived;
  }

  override openStream(msg: Message, handler: StreamHandler): SocketStream {
    if (this.#closed !== null) throw new WpFailure(linkError("closed", "link is closed"));
    const id = this.#nextId;
    const stream = new SocketStream(id, this);
    const payload = encodeMessage(id, msg);
    this.#nextId += 2;
    this.#streams.set(id, stream);
    stream.handler = handler;
    stream.open(payload);
    return stream;
  }

  override notify(msg: Message): void {
    if (this.#closed === null) this.#socket.write(encodeMessage(0, msg));
  }

  override request(
    msg: Message,
    { timeoutMs = REQUEST_TIMEOUT_MS }: { timeoutMs?: number } = {},
  ): Promise<Message> {
    return new Promise((resolve, reject) => {
      const stopTimer = this.#clock.setTimer(timeoutMs, () => {
        const message = `no answer to ${msg.kind} within ${timeoutMs} ms`;
        reject(new WpFailure({ type: "timeout", message }));
        stream.abort();
      });
      const stream = this.openStream(msg, {
        onMessage: (answer) => {
          stopTimer();
          resolve(answer);
          stream.end();
        },
        onClose: (err) => {
          stopTimer();
          reject(new WpFailure(err ?? linkError("closed", `no answer to ${msg.kind}`)));
        },
        onEnd: () => stream.end(),
      });
    });
  }

  override close(): void {
    if (this.#closed !== null) return;
    this.#socket.close(linkError("closed", "closed by this end"));
    this.#clock.setTimer(LINGER_MS, () => this.#socket.destroy());
  }

  override registerCloseListener(fn: (err: WpError) => void): Undo {
    const closed = this.#closed;
    if (closed !== null) {
      queueMicrotask(() => fn(closed));
      return () => {};
    }
    this.#listeners.add(fn);
    return () => this.#listeners.delete(fn);
  }

  get congested(): boolean {
    return this.#socket.congested;
  }

  write(payload: Buffer): void {
    this.#socket.write(payload);
  }

  awaitDrain(stream: SocketStream): void {
    this.#awaitingDrain.add(stream);
  }

  release(id: number): void {
    this.#streams.delete(id);
  }

  guard(stream: SocketStream, fn: () => void): void {
    try {
      fn();
    } catch (e) {
      this.#log?.error({ err: toWpError(e), peer: this.peer.process }, "stream handler failed");
      stream.abort();
    }
  }

  #onFrame(frame: Frame): void {
    this.#lastReceivedMs = this.#clock.now();
    if (frame.kind >= FIRST_MESSAGE_KIND) return this.#onMessageFrame(frame);
    if (frame.correlationId === 0) return this.#onLinkFrame(frame);
    const stream = this.#streams.get(frame.correlationId);
    // The peer may not know yet that this end has closed the stream.
    if (stream === undefined) return;
    if (frame.kind === FRAME.credit) return this.#onCredit(stream, frame.body);
    if (frame.kind === FRAME.streamEnd) return stream.acceptEnd();
    if (frame.kind !== FRAME.streamAbort) return this.#malformed("unknown frame kind");
    stream.close(linkError("closed", "stream aborted by peer"));
  }

  #onLinkFrame(frame: Frame): void {
    if (frame.kind === FRAME.ping) return this.#socket.write(PONG);
    if (frame.kind !== FRAME.pong) this.#malformed("unexpected frame kind");
  }

  #onCredit(stream: SocketStream, bytes: unknown): void {
    if (!Number.isSafeInteger(bytes)) return this.#malformed("credit is not a whole number");
    if (!stream.acceptCredit(bytes as number)) this.#violation("credit beyond the window");
  }

  #onMessageFrame(frame: Frame): void {
    let msg: Message;
    try {
      msg = decodeMessage(frame.kind, frame.body);
    } catch (e) {
      return this.#malformed(toWpError(e).message);
    }
    const id = frame.correlationId;
    if (id === 0) return this.#onNotify(msg);
    const stream = this.#streams.get(id);
    if (stream === undefined) return this.#onUnknownStream(id, msg, frame.bytes);
    if (!stream.accept(msg, frame.bytes)) this.#violation("message without credit");
  }

  #onNotify(msg: Message): void {
    try {
      this.#acceptor.onNotify(this, msg);
    } catch (e) {
      this.#log?.error({ err: toWpError(e), peer: this.peer.process }, "notify handler failed");
    }
  }

  /** A message on no open stream opens one, or is late for one that this end has closed. */
  #onUnknownStream(id: number, msg: Message, bytes: number): void {
    if (id % 2 === this.#nextId % 2) {
      if (id >= this.#nextId) this.#malformed("message on a stream that was never opened");
      return;
    }
    if (id <= this.#highestPeerId) return;
    if (this.#streams.size >= MAX_STREAMS) return this.#violation("too many open streams");
    this.#highestPeerId = id;
    const stream = new SocketStream(id, this);
    this.#streams.set(id, stream);
    stream.take(bytes);
    this.guard(stream, () => stream.attach(this.#acceptor.onStream(this, msg, stream)));
  }

  #onDrain(): void {
    const streams = [...this.#awaitingDrain];
    this.#awaitingDrain.clear();
    for (const stream of streams) stream.pump();
  }

  #beat(): void {
    const now = this.#clock.now();
    const late = now - this.#lastBeatMs > 2 * HEARTBEAT_MS;
    this.#lastBeatMs = now;
    // After a pause of this process, timers run before the frames that have arrived meanwhile are read.
    if (!late && now - this.#lastReceivedMs > HEARTBEAT_TIMEOUT_MS) {
      const message = `nothing received for ${HEARTBEAT_TIMEOUT_MS} ms`;
      return this.#socket.fail(linkError("heartbeat_timeout", message));
    }
    // A frame that has just arrived proves the peer as well as an answer to a ping would.
    if (now - this.#lastReceivedMs >= HEARTBEAT_MS) this.#socket.write(PING);
  }

  #malformed(message: string): void {
    this.#socket.fail(linkError("frame_malformed", message));
  }

  #violation(message: string): void {
    this.#socket.fail(linkError("flow_control", message));
  }

  #onClose(err: LinkError): void {
    this.#closed = err;
    this.#stopHeartbeat();
    this.#awaitingDrain.clear();
    for (const stream of [...this.#streams.values()]) stream.close(err);
    const listeners = [...this.#listeners];
    this.#listeners.clear();
    for (const fn of listeners) this.#tell(fn, err);
  }

  #tell(fn: (err: WpError) => void, err: WpError): void {
    try {
      fn(err);
    } catch (e) {
      this.#log?.error({ err: toWpError(e) }, "close listener failed");
    }
  }
}
