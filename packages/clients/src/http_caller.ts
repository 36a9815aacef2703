/**
 * HTTP calls to one outside system, with time-outs from an injected clock and failures that say whether the
 * request was sent.
 *
 * @module
 */
import { type Clock, raise, SystemClock, type Undo, WpFailure } from "@wisteriapick/core";
import { type Dispatcher, Pool } from "undici";

/** Options of every HTTP client in this package. Times are milliseconds. */
export interface HttpClientOptions {
  readonly clock?: Clock;
  /** Longest time to open a connection. */
  readonly connectTimeoutMs?: number;
  /** Longest time for one whole call, without the time a watch waits. */
  readonly callTimeoutMs?: number;
  /** Largest number of connections to the system. */
  readonly connections?: number;
}

/** One call. `path` includes the query. */
export interface HttpCall {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: Uint8Array | string;
  readonly signal?: AbortSignal;
  readonly timeoutMs?: number;
}

/** A whole answer. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Buffer;
}

/** An answer whose body is still arriving. `release` ends the call's hold on its abort signal. */
export interface HttpStreamingResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Dispatcher.ResponseData["body"];
  readonly release: Undo;
}

// These say that no connection came about, so nothing was sent.
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

function codeOf(e: unknown): string {
  const err = e as { code?: unknown; cause?: { code?: unknown } };
  if (typeof err?.code === "string") return err.code;
  return typeof err?.cause?.code === "string" ? err.cause.code : "";
}

/** Calls one origin, for example `http://127.0.0.1:9000`. Fails with `unreachable` or `timeout`. */
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
      connect: { timeout: connectTimeoutMs },
      // The clock's timers bound each call; streams may rightly be silent for long.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Makes a call and reads its whole answer. */
  async call(call: HttpCall): Promise<HttpResponse> {
    const abort = this.#abortAfter(call.timeoutMs ?? this.callTimeoutMs, call.signal);
    try {
      const res = await this.#pool.request({ ...this.#request(call), signal: abort.signal });
      const body = Buffer.from(await res.body.arrayBuffer());
      return { status: res.statusCode, headers: res.headers, body };
    } catch (e) {
      throw this.#failure(e, abort.timedOut());
    } finally {
      abort.release();
    }
  }

  /** Makes a call and returns once the answer's head is there. The time-out covers the head only. */
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
      throw this.#failure(e, abort.timedOut());
    }
  }

  /** Turns an error of a body that was arriving into a failure. */
  bodyFailure(e: unknown): WpFailure {
    return e instanceof WpFailure ? e : this.#failure(e, false);
  }

  /** Closes all connections at once. */
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
    const onOuter = () => controller.abort();
    if (outer?.aborted) controller.abort();
    outer?.addEventListener("abort", onOuter, { once: true });
    return {
      signal: controller.signal,
      stopTimer,
      timedOut: () => timedOut,
      release: () => {
        stopTimer();
        outer?.removeEventListener("abort", onOuter);
      },
    };
  }

  #failure(e: unknown, timedOut: boolean): WpFailure {
    if (timedOut) {
      return new WpFailure({
        type: "timeout",
        message: `no answer from ${this.#origin} in time`,
        sent: true,
      }, { cause: e });
    }
    const code = codeOf(e);
    const sent = !NOT_SENT_CODES.has(code);
    const what = sent ? "broke the connection" : "could not be reached";
    const message = `${this.#origin} ${what}${code ? ` (${code})` : ""}`;
    return new WpFailure({ type: "unreachable", message, sent }, { cause: e });
  }
}

/** Parses a JSON body; anything else is an `engine` failure, because the peer does not speak the protocol. */
export function parseJson<T>(body: Buffer, status: number): T {
  try {
    return JSON.parse(body.toString("utf8")) as T;
  } catch {
    return raise({ type: "engine", message: "answer is not JSON", status });
  }
}

/** The time a refused caller should wait, from a `Retry-After` header in seconds. */
export function retryAfterMs(headers: HttpResponse["headers"], fallbackMs: number): number {
  const seconds = Number(headers["retry-after"]);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1_000 : fallbackMs;
}
