/**
 * HTTP calls to one external system. Timeouts use the given clock, and failures state whether the request was sent.
 *
 * @module
 */
import { type Clock, raise, SystemClock, type Undo, WpFailure } from "@wisteriapick/core";
import { guardedConnector } from "@wisteriapick/http";
import { type Dispatcher, Pool } from "undici";

/** Options common to the HTTP clients of this package. Times are in milliseconds. */
export interface HttpClientOptions {
  readonly clock?: Clock;
  /** Timeout for opening a connection. */
  readonly connectTimeoutMs?: number;
  /** Timeout for a complete call, not including the time for which a watch waits. */
  readonly callTimeoutMs?: number;
  /** Maximum number of connections to the system. */
  readonly connections?: number;
}

/** An HTTP request. `path` includes the query string. */
export interface HttpCall {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: Uint8Array | string;
  readonly signal?: AbortSignal;
  readonly timeoutMs?: number;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Buffer;
}

/** A response whose body is streamed. `release` removes the call's listener from its abort signal. */
export interface HttpStreamingResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Dispatcher.ResponseData["body"];
  readonly release: Undo;
}

// With these error codes no connection was established, so nothing was sent.
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_CALL_TIMEOUT_MS = 2_000;
const DEFAULT_CONNECTIONS = 64;

function errorCodeOf(e: unknown): string {
  const err = e as { code?: unknown; cause?: { code?: unknown } };
  if (typeof err?.code === "string") return err.code;
  return typeof err?.cause?.code === "string" ? err.cause.code : "";
}

/** Sends HTTP requests to one origin, for example `http://127.0.0.1:9000`. Fails with `unreachable` or `timeout`. */
export class HttpCaller {
  readonly callTimeoutMs: number;
  readonly clock: Clock;
  readonly #pool: Pool;
  readonly #origin: string;

  constructor(
    origin: string,
    {
      clock = new SystemClock(),
      connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS,
      callTimeoutMs = DEFAULT_CALL_TIMEOUT_MS,
      connections = DEFAULT_CONNECTIONS,
    }: HttpClientOptions = {},
  ) {
    this.clock = clock;
    this.callTimeoutMs = callTimeoutMs;
    this.#origin = origin;
    this.#pool = new Pool(origin, {
      connections,
      connect: guardedConnector({ timeout: connectTimeoutMs }),
      // Timers of the clock limit each call. A stream may legitimately be idle for a long time.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Makes a call and reads the complete response. */
  async call(call: HttpCall): Promise<HttpResponse> {
    const abort = this.#abortAfter(call.timeoutMs ?? this.callTimeoutMs, call.signal);
    try {
      const res = await this.#pool.request({ ...this.#request(call), signal: abort.signal });
      const body = Buffer.from(await res.body.arrayBuffer());
      return { status: res.statusCode, headers: res.headers, body };
    } catch (e) {
      throw this.#toFailure(e, abort.timedOut());
    } finally {
      abort.release();
    }
  }

  /** Makes a call and resolves when the response head has arrived. The timeout covers the head only. */
  async stream(call: HttpCall): Promise<HttpStreamingResponse> {
    const abort = this.#abortAfter(call.timeoutMs ?? this.callTimeoutMs, call.signal);
    try {
      const res = await this.#pool.request({ ...this.#request(call), signal: abort.signal });
      abort.stopTimer();
      return {
        status: res.statusCode,
        headers: res.headers,
        body: res.body,
        release: abort.release,
      };
    } catch (e) {
      abort.release();
      throw this.#toFailure(e, abort.timedOut());
    }
  }

  /** Converts an error while reading a streamed body to a {@link WpFailure}. */
  bodyFailure(e: unknown): WpFailure {
    return e instanceof WpFailure ? e : this.#toFailure(e, false);
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #request(call: HttpCall): Dispatcher.RequestOptions {
    return { method: call.method, path: call.path, headers: call.headers, body: call.body };
  }

  #abortAfter(ms: number, outer?: AbortSignal) {
    const controller = new AbortController();
    let timedOut = false;
    const stopTimer = this.clock.setTimer(ms, () => {
      timedOut = true;
      controller.abort();
    });
    const onOuterAbort = () => controller.abort();
    if (outer?.aborted) controller.abort();
    outer?.addEventListener("abort", onOuterAbort, { once: true });
    return {
      signal: controller.signal,
      stopTimer,
      timedOut: () => timedOut,
      release: () => {
        stopTimer();
        outer?.removeEventListener("abort", onOuterAbort);
      },
    };
  }

  #toFailure(e: unknown, timedOut: boolean): WpFailure {
    if (timedOut) {
      return new WpFailure({
        type: "timeout",
        message: `no response from ${this.#origin} in time`,
        sent: true,
      }, { cause: e });
    }
    const code = errorCodeOf(e);
    const sent = !NOT_SENT_CODES.has(code);
    const outcome = sent ? "broke the connection" : "could not be reached";
    const message = `${this.#origin} ${outcome}${code ? ` (${code})` : ""}`;
    return new WpFailure({ type: "unreachable", message, sent }, { cause: e });
  }
}

/** Parses a JSON body. Invalid JSON is an `engine` failure, as the peer then violates the protocol. */
export function parseJson<T>(body: Buffer, status: number): T {
  try {
    return JSON.parse(body.toString("utf8")) as T;
  } catch {
    return raise({ type: "engine", message: "response is not JSON", status });
  }
}

/** Returns the `Retry-After` header (seconds) in milliseconds, or `fallbackMs` if it is missing or invalid. */
export function retryAfterMs(headers: HttpResponse["headers"], fallbackMs: number): number {
  const seconds = Number(headers["retry-after"]);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1_000 : fallbackMs;
}
