/**
 * One HTTP/1.1 connection to an endpoint, based on `undici`. It distinguishes the outcomes that decide whether a
 * request may be retried.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher } from "undici";
import { guardResponses } from "@wisteriapick/http";
import { type Address, formatAddress } from "@wisteriapick/wire";
import { afterPoll } from "./after_poll.ts";

/** A request as it is written to an endpoint. */
export interface UpstreamRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | null;
  /** Asked when the request is about to be written, as a connection takes time to open. */
  readonly mayStillSend?: () => boolean;
}

/** Reason why a call got no complete response. */
export type UpstreamFailureType =
  | "connect"
  /** The request has a form that cannot be sent, to whatever endpoint. */
  | "unsendable"
  | "connection_lost"
  | "malformed"
  | "aborted"
  /** The request was no longer allowed to be sent when the connection was open. */
  | "withdrawn";

/** The failure of a call that got no complete response. */
export interface UpstreamFailure {
  readonly type: UpstreamFailureType;
  /** False only if the request is known not to have left this process in full. */
  readonly sent: boolean;
  readonly message: string;
}

/** Receives one response. The last call is either `onEnd` or `onFailure`, exactly once. */
export interface UpstreamSink {
  /** Receives the status and the header fields as alternating names and values. */
  onHead(status: number, headers: readonly string[]): void;
  /** Receives a chunk of the body. Returns false to pause further chunks until {@link UpstreamCall.resume}. */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onFailure(failure: UpstreamFailure): void;
}

/** A call in progress. */
export interface UpstreamCall {
  /** Whether bytes of the request may have left this process. */
  readonly hasBeenSent: boolean;
  /** Closes the connection. The sink receives an `aborted` failure unless the call has ended. */
  abort(): void;
  resume(): void;
}

/** Options of {@link UpstreamConnection}. */
export interface UpstreamConnectionOptions {
  readonly address: Address;
  /** Time to establish the connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Idle time after which the connection is closed if the endpoint announces none, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Called once, when the connection can no longer be used. */
  readonly onClosed: () => void;
}

/** Largest header section accepted from an endpoint. */
const MAX_RESPONSE_HEADER_BYTES = 65_536;
/**
 * Bytes of a response that are neither in its body nor fit any sensible framing of it, after which the connection is
 * closed: the parser accepts status texts, interim responses and chunk extensions of any length.
 */
const MAX_OVERHEAD_BYTES = 262_144;
/** Framing allowed for each byte of the body: a chunk of one byte has five. */
const MAX_OVERHEAD_PER_BODY_BYTE = 8;
/** Subtracted from an announced keep-alive time, so that no request is sent while the endpoint closes. */
const KEEP_ALIVE_MARGIN_MS = 700;
/** Upper bound of the idle time, whatever an endpoint announces. */
const MAX_IDLE_MS = 60_000;

const FIRST_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/** Marks errors raised by {@link UpstreamCall.abort}. */
class AbortedError extends Error {}

/** Ends a response that consists of framing. */
class OverheadError extends Error {
  override readonly name = "OverheadError";
}

/** Ends a response with a status that HTTP does not define. */
class StatusError extends Error {
  override readonly name = "StatusError";
}

/** A connection that carries one request at a time. It is opened with the first one. */
export class UpstreamConnection {
  #client: Client | null = null;
  readonly #options: UpstreamConnectionOptions;
  #socket: Socket | null = null;
  #socketError = false;
  /** Whether the connection failed before the operating system had taken all bytes of the request. */
  #hasUnwritten = false;
  #busy = false;
  #closed = false;
  /** Bytes that the socket had received when the present request was sent. */
  #bytesBefore = 0;
  #bodyBytes = 0;

  constructor(options: UpstreamConnectionOptions) {
    this.#options = options;
  }

  #makeClient(): Client {
    const { address, idleTimeoutMs } = this.#options;
    const client = new Client(`http://${formatAddress(address)}`, {
      connect: (_opts, callback) => this.#connect(callback),
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleTimeoutMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
    });
    client.on("disconnect", () => this.#drop());
    client.on("connectionError", () => this.#drop());
    return client;
  }

  get busy(): boolean {
    return this.#busy;
  }

  get closed(): boolean {
    return this.#closed;
  }

  /**
   * Sends one request. The connection must be neither busy nor closed. Never raises: an error while the connection is
   * opened fails the call.
   */
  send(req: UpstreamRequest, sink: UpstreamSink): UpstreamCall {
    this.#busy = true;
    this.#bytesBefore = this.#socket?.bytesRead ?? 0;
    this.#bodyBytes = 0;
    const call = new Exchange(req, sink, {
      hasConnectionFailed: () => this.#socketError,
      hasUnwritten: () => this.#hasUnwritten,
      onBodyBytes: (bytes) => this.#bodyBytes += bytes,
      onEnded: (reusable) => this.#onExchangeEnded(reusable),
    });
    const { method, target: path, headers, body } = req;
    call.whileDispatching(() => {
      this.#client ??= this.#makeClient();
      this.#client.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body }, call);
    });
    return call;
  }

  /** Closes the connection, and fails a call in progress. */
  destroy(): void {
    if (this.#closed) return;
    this.#drop();
    void this.#client?.destroy(new AbortedError("connection closed"));
  }

  #onExchangeEnded(reusable: boolean): void {
    this.#busy = false;
    if (!reusable) this.destroy();
  }

  #drop(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#options.onClosed();
    if (this.#client?.destroyed === false) void this.#client.destroy();
  }

  #connect(callback: buildConnector.Callback): void {
    const { address, connectTimeoutMs } = this.#options;
    const socket = guardResponses(
      connect({ host: address.host, port: address.port, noDelay: true }),
    );
    this.#socket = socket;
    let isSettled = false;
    const expire = () => {
      if (!isSettled) socket.destroy(new Error(`no connection after ${connectTimeoutMs} ms`));
    };
    const timer = setTimeout(() => afterPoll(expire), connectTimeoutMs);
    const finish = (err: Error | null) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      if (err === null) callback(null, socket);
      else callback(err, null);
    };
    // Registered before the client's own listener, which treats a reset as the end of a response without length.
    socket.on("error", (err) => {
      this.#socketError = true;
      this.#hasUnwritten = socket.writableLength > 0 || isWriteError(err);
      finish(err);
    });
    socket.once("connect", () => finish(null));
    socket.on("readable", () => this.#checkOverhead(socket));
  }

  /** Closes the connection when a response exceeds the limit of bytes outside its body. */
  #checkOverhead(socket: Socket): void {
    const overhead = socket.bytesRead - this.#bytesBefore - this.#bodyBytes;
    if (overhead <= MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * this.#bodyBytes) return;
    socket.destroy(new OverheadError(`${overhead} bytes outside the response's body`));
  }

  /** Local port, for tests. */
  get localPort(): number | undefined {
    return this.#socket?.localPort;
  }
}

interface ExchangeOptions {
  /** Whether the connection has failed, so that a response without length may be truncated. */
  readonly hasConnectionFailed: () => boolean;
  /** Whether it has failed before all of the request was written. */
  readonly hasUnwritten: () => boolean;
  readonly onBodyBytes: (bytes: number) => void;
  readonly onEnded: (reusable: boolean) => void;
}

/** Translates the callbacks of `undici` for one request into calls of its sink. */
class Exchange implements Dispatcher.DispatchHandler, UpstreamCall {
  readonly #req: UpstreamRequest;
  readonly #sink: UpstreamSink;
  readonly #options: ExchangeOptions;
  #abort: ((err?: Error) => void) | null = null;
  #resume: (() => void) | null = null;
  #sent = false;
  #hasEnded = false;
  #abortRequested = false;
  #hasHead = false;
  #isDispatching = false;

  constructor(req: UpstreamRequest, sink: UpstreamSink, options: ExchangeOptions) {
    this.#req = req;
    this.#sink = sink;
    this.#options = options;
  }

  /**
   * Runs `dispatch`, which may fail or raise before it returns. The owner hears of that later, so that what it then
   * sends is not sent in the call stack of this request.
   */
  whileDispatching(dispatch: () => void): void {
    this.#isDispatching = true;
    try {
      dispatch();
    } catch (e) {
      // Not `onError`, as an error of this kind while a connection is opened says nothing about the request's form.
      const type = this.#sent ? "connection_lost" : "connect";
      this.#finish(() => this.#fail({ type, message: String(e) }), false);
    } finally {
      this.#isDispatching = false;
    }
  }

  get hasBeenSent(): boolean {
    return this.#sent;
  }

  abort(): void {
    if (this.#hasEnded) return;
    this.#abortRequested = true;
    this.#finish(() => this.#fail({ type: "aborted", message: "aborted" }), false);
    this.#abort?.(new AbortedError("aborted"));
  }

  resume(): void {
    // A response may be resumed while another one is being parsed, which the parser does not allow.
    queueMicrotask(() => {
      if (!this.#hasEnded) this.#resume?.();
    });
  }

  onConnect(abort: (err?: Error) => void): void {
    if (this.#abortRequested) return abort(new AbortedError("aborted"));
    if (this.#sent) {
      // After a lost connection, the client would send the request a second time.
      this.#finish(
        () => this.#fail({ type: "connection_lost", message: "connection lost" }),
        false,
      );
      return abort(new AbortedError("sent before"));
    }
    if (this.#req.mayStillSend?.() === false) {
      this.#finish(() => this.#fail({ type: "withdrawn", message: "no longer allowed" }), false);
      return abort(new AbortedError("no longer allowed"));
    }
    this.#abort = abort;
    this.#sent = true;
  }

  onHeaders(status: number, headers: Buffer[], resume: () => void): boolean {
    if (this.#hasEnded) return false;
    if (!isHttpStatus(status)) {
      const err = new StatusError(`status ${status}, which HTTP does not define`);
      this.onError(err);
      this.#abort?.(err);
      return false;
    }
    // Interim responses contain nothing to forward.
    if (status < FIRST_FINAL_STATUS) return true;
    this.#hasHead = true;
    this.#resume = resume;
    this.#sink.onHead(status, headers.map((b) => b.toString("latin1")));
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.#options.onBodyBytes(chunk.length);
    if (this.#hasEnded) return false;
    // The parser passes an empty chunk when it is resumed, and must not be paused by it before the end.
    return chunk.length === 0 || this.#sink.onData(chunk);
  }

  onComplete(): void {
    if (this.#options.hasConnectionFailed()) {
      const message = "connection reset inside a response without length";
      return this.#finish(() => this.#fail({ type: "connection_lost", message }), false);
    }
    this.#finish(() => this.#sink.onEnd(), true);
  }

  onError(err: Error): void {
    if (err instanceof AbortedError) {
      return this.#finish(() => this.#fail({ type: "aborted", message: err.message }), false);
    }
    if (this.#sent && !this.#hasHead && this.#options.hasUnwritten()) {
      const message = `not written in full: ${err.message}`;
      return this.#finish(() => this.#fail({ type: "connect", message, sent: false }), false);
    }
    const type = this.#sent
      ? isMalformed(err) ? "malformed" : "connection_lost"
      : isUnsendable(err)
      ? "unsendable"
      : "connect";
    this.#finish(() => this.#fail({ type, message: err.message }), false);
  }

  #fail(
    { type, message, sent = this.#sent }: {
      readonly type: UpstreamFailureType;
      readonly message: string;
      readonly sent?: boolean;
    },
  ): void {
    const location = this.#hasHead ? " inside the response" : "";
    this.#sink.onFailure({
      type,
      sent,
      message: `${this.#req.method}: ${message}${location}`,
    });
  }

  #finish(report: () => void, reusable: boolean): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#options.onEnded(reusable);
    if (this.#isDispatching) setImmediate(report);
    else report();
  }
}

/** Whether the operating system has refused to take bytes. */
function isWriteError(err: Error): boolean {
  return (err as NodeJS.ErrnoException).syscall === "write";
}

/** Whether HTTP defines the class of a status, interim ones included (RFC 9110, section 15). */
function isHttpStatus(status: number): boolean {
  return status >= FIRST_STATUS && status <= LAST_STATUS;
}

/** Whether the client has refused a request because of its form. */
function isUnsendable(err: Error): boolean {
  return err.name === "InvalidArgumentError" || err.name === "NotSupportedError";
}

function isMalformed(err: Error): boolean {
  const { name } = err;
  return name === "HTTPParserError" || name === "ResponseContentLengthMismatchError" ||
    name === "HeadersOverflowError" || name === "OverheadError" || name === "StatusError";
}
