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
import type { Established, LinkEnd } from "./handshake.ts";
import {
  type Identity,
  Link,
  type LinkAcceptor,
  type LinkTrafficObserver,
  type StreamHandler,
} from "./link.ts";
import { decodeMessage, FIRST_MESSAGE_KIND, FRAME } from "./message_codec.ts";
import type { Message } from "./messages.ts";
import { encodeMessage, SocketStream, type StreamTransport } from "./stream.ts";

/** Time without received bytes after which an end sends a ping. */
export const HEARTBEAT_MS = 500;
/** A link that has received nothing for longer than this is closed as dead. */
export const HEARTBEAT_TIMEOUT_MS = 2_000;
/**
 * Bytes that may wait to be sent on a link before it is closed. Senders of state hold back far below it; a peer that is
 * alive but reads nothing would have the rest fill the memory.
 */
export const MAX_QUEUED_BYTES = 8_388_608;
const REQUEST_TIMEOUT_MS = 5_000;
/** Open streams per link; a peer that opens more is considered faulty. */
const MAX_STREAMS = 65_536;
/** Time in which a closing connection may deliver its last bytes. */
const CLOSE_LINGER_MS = 2_000;

const PING = encodePayload(FRAME.ping, 0, null);
const PONG = encodePayload(FRAME.pong, 0, null);

/** Options of {@link SocketLink}. */
export interface SocketLinkOptions {
  readonly end: LinkEnd;
  readonly established: Established;
  readonly acceptor: LinkAcceptor;
  readonly clock: Clock;
  readonly log?: Logger;
  readonly traffic?: LinkTrafficObserver;
}

/** A {@link Link} over a socket that has completed its handshake. */
export class SocketLink extends Link implements StreamTransport {
  override readonly peer: Identity;
  readonly #version: number;
  readonly #socket: FrameSocket;
  readonly #acceptor: LinkAcceptor;
  readonly #clock: Clock;
  readonly #log: Logger | undefined;
  readonly #traffic: LinkTrafficObserver | undefined;
  readonly #streams = new Map<number, SocketStream>();
  readonly #awaitingDrain = new Set<SocketStream>();
  readonly #closeListeners = new Set<(err: WpError) => void>();
  #stopHeartbeat: Undo;
  #nextStreamId: number;
  #highestPeerStreamId = 0;
  #lastReceivedMs: number;
  #lastHeartbeatMs: number;
  #closed: LinkError | null = null;

  constructor(socket: FrameSocket, options: SocketLinkOptions) {
    super();
    this.#socket = socket;
    this.#acceptor = options.acceptor;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#traffic = options.traffic;
    this.peer = options.established.peer;
    this.#version = options.established.version;
    // The connector uses odd stream ids and the acceptor even ones, so they never collide.
    this.#nextStreamId = options.end === "connector" ? 1 : 2;
    this.#lastReceivedMs = this.#clock.now();
    this.#lastHeartbeatMs = this.#lastReceivedMs;
    // The heartbeat timers of all links fire at the same times, so that a process with many links wakes once for all.
    const untilHeartbeatMs = HEARTBEAT_MS - this.#clock.now() % HEARTBEAT_MS;
    this.#stopHeartbeat = this.#clock.setTimer(untilHeartbeatMs, () => {
      this.#stopHeartbeat = this.#clock.setRepeating(HEARTBEAT_MS, () => this.#onHeartbeat());
      this.#onHeartbeat();
    });
    socket.acceptLargeFrames();
    socket.events = {
      onBytes: () => this.#lastReceivedMs = this.#clock.now(),
      onFrame: (frame) => this.#onFrame(frame),
      onDrain: () => this.#onDrain(),
      onClose: (err) => this.#onClose(err),
    };
  }

  override get open(): boolean {
    return this.#closed === null;
  }

  override get version(): number {
    return this.#version;
  }

  override get queuedBytes(): number {
    return this.#socket.queuedBytes;
  }

  /** Number of open streams. */
  get streams(): number {
    return this.#streams.size;
  }

  /** Time at which the last bytes were received, on this end's clock. A large frame takes seconds on a thin link. */
  get lastReceivedMs(): number {
    return this.#lastReceivedMs;
  }

  /** Bytes received so far, including TLS overhead. */
  get bytesReceived(): number {
    return this.#socket.bytesReceived;
  }

  override openStream(msg: Message, handler: StreamHandler): SocketStream {
    if (this.#closed !== null) throw new WpFailure(linkError("closed", "link is closed"));
    const id = this.#nextStreamId;
    const stream = new SocketStream(id, this);
    const payload = encodeMessage(id, msg);
    this.#nextStreamId += 2;
    this.#streams.set(id, stream);
    stream.handler = handler;
    stream.open(payload);
    return stream;
  }

  override notify(msg: Message): void {
    if (this.#closed !== null) return;
    const payload = encodeMessage(0, msg);
    this.#traffic?.recordSent(msg.kind, payload.length);
    this.#socket.write(payload);
  }

  override request(
    msg: Message,
    { timeoutMs = REQUEST_TIMEOUT_MS }: { timeoutMs?: number } = {},
  ): Promise<Message> {
    return new Promise((resolve, reject) => {
      const stopTimer = this.#clock.setTimer(timeoutMs, () => {
        const message = `no response to ${msg.kind} within ${timeoutMs} ms`;
        reject(new WpFailure({ type: "timeout", message }));
        stream.abort();
      });
      const stream = this.openStream(msg, {
        onMessage: (response) => {
          stopTimer();
          resolve(response);
          stream.end();
        },
        onClose: (err) => {
          stopTimer();
          reject(new WpFailure(err ?? linkError("closed", `no response to ${msg.kind}`)));
        },
        onEnd: () => stream.end(),
      });
    });
  }

  override close(): void {
    if (this.#closed !== null) return;
    this.#socket.close(linkError("closed", "closed by this end"));
    this.#clock.setTimer(CLOSE_LINGER_MS, () => this.#socket.destroy());
  }

  override registerCloseListener(fn: (err: WpError) => void): Undo {
    const closed = this.#closed;
    if (closed !== null) {
      queueMicrotask(() => this.#callCloseListener(fn, closed));
      return () => {};
    }
    this.#closeListeners.add(fn);
    return () => this.#closeListeners.delete(fn);
  }

  get isCongested(): boolean {
    return this.#socket.isCongested;
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

  runHandler(stream: SocketStream, fn: () => void): void {
    try {
      fn();
    } catch (e) {
      this.#log?.error({ err: toWpError(e), peer: this.peer.process }, "stream handler failed");
      stream.abort();
    }
  }

  #onFrame(frame: Frame): void {
    if (frame.kind >= FIRST_MESSAGE_KIND) return this.#onMessageFrame(frame);
    if (frame.correlationId === 0) return this.#onLinkFrame(frame);
    const stream = this.#streams.get(frame.correlationId);
    // The peer may not have been notified yet that this end closed the stream.
    if (stream === undefined) return;
    if (frame.kind === FRAME.credit) return this.#onCredit(stream, frame.body);
    if (frame.kind === FRAME.streamEnd) return stream.acceptEnd();
    if (frame.kind !== FRAME.streamAbort) return this.#failMalformed("unknown frame kind");
    stream.close(linkError("closed", "stream aborted by peer"));
  }

  #onLinkFrame(frame: Frame): void {
    if (frame.kind === FRAME.ping) return this.#socket.write(PONG);
    if (frame.kind !== FRAME.pong) this.#failMalformed("unexpected frame kind");
  }

  #onCredit(stream: SocketStream, bytes: unknown): void {
    if (!Number.isSafeInteger(bytes)) return this.#failMalformed("credit is not a whole number");
    if (!stream.acceptCredit(bytes as number)) this.#failFlowControl("credit beyond the window");
  }

  #onMessageFrame(frame: Frame): void {
    let msg: Message;
    try {
      msg = decodeMessage(frame.kind, frame.body);
    } catch (e) {
      return this.#failMalformed(toWpError(e).message);
    }
    const id = frame.correlationId;
    if (id === 0) {
      this.#traffic?.recordReceived(msg.kind, frame.bytes);
      return this.#onNotify(msg);
    }
    const stream = this.#streams.get(id);
    if (stream === undefined) return this.#onUnknownStream(id, msg, frame.bytes);
    if (!stream.acceptMessage(msg, frame.bytes)) this.#failFlowControl("message without credit");
  }

  #onNotify(msg: Message): void {
    try {
      this.#acceptor.onNotify(this, msg);
    } catch (e) {
      this.#log?.error({ err: toWpError(e), peer: this.peer.process }, "notify handler failed");
    }
  }

  /** Opens a stream for the peer's message, or drops a late message of a stream that this end has closed. */
  #onUnknownStream(id: number, msg: Message, bytes: number): void {
    if (id % 2 === this.#nextStreamId % 2) {
      if (id >= this.#nextStreamId) this.#failMalformed("message on a stream never opened");
      return;
    }
    if (id <= this.#highestPeerStreamId) return;
    if (this.#streams.size >= MAX_STREAMS) return this.#failFlowControl("too many open streams");
    this.#highestPeerStreamId = id;
    const stream = new SocketStream(id, this);
    this.#streams.set(id, stream);
    stream.chargeReceivedBytes(bytes);
    this.runHandler(stream, () => stream.attach(this.#acceptor.onStream(this, msg, stream)));
  }

  #onDrain(): void {
    const streams = [...this.#awaitingDrain];
    this.#awaitingDrain.clear();
    for (const stream of streams) stream.pump();
    this.#acceptor.onDrain?.(this);
  }

  #onHeartbeat(): void {
    const now = this.#clock.now();
    const wasPaused = now - this.#lastHeartbeatMs > 2 * HEARTBEAT_MS;
    this.#lastHeartbeatMs = now;
    // After a pause of this process, timers run before the frames that arrived during the pause are read, so the
    // peer may only seem silent.
    if (!wasPaused && now - this.#lastReceivedMs > HEARTBEAT_TIMEOUT_MS) {
      const message = `nothing received for ${HEARTBEAT_TIMEOUT_MS} ms`;
      return this.#socket.fail(linkError("heartbeat_timeout", message));
    }
    // Bytes received recently show that the peer is alive, so no ping is needed.
    if (now - this.#lastReceivedMs >= HEARTBEAT_MS) this.#socket.write(PING);
  }

  #failMalformed(message: string): void {
    this.#socket.fail(linkError("frame_malformed", message));
  }

  #failFlowControl(message: string): void {
    this.#socket.fail(linkError("flow_control", message));
  }

  #onClose(err: LinkError): void {
    this.#closed = err;
    this.#stopHeartbeat();
    this.#awaitingDrain.clear();
    for (const stream of [...this.#streams.values()]) stream.close(err);
    const listeners = [...this.#closeListeners];
    this.#closeListeners.clear();
    for (const fn of listeners) this.#callCloseListener(fn, err);
  }

  #callCloseListener(fn: (err: WpError) => void, err: WpError): void {
    try {
      fn(err);
    } catch (e) {
      this.#log?.error({ err: toWpError(e) }, "close listener failed");
    }
  }
}
