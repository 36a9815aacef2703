/**
 * Writes the response to one caller's request over HTTP.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { RefusalReason, Undo } from "@wisteriapick/core";
import type { MemoryBudget } from "@wisteriapick/policy";
import { type HeaderList, type Rejection, Responder } from "../relay/inbound.ts";
import { deniesRun } from "../relay/response_check.ts";

/** Status codes of rejections that do not mean "try again later". */
const STATUS: Partial<Record<RefusalReason, number>> = {
  unauthenticated: 401,
  unknown_route: 404,
  invalid_request: 400,
  request_too_large: 413,
  upstream_failed: 502,
  engine_lost: 502,
  quarantined: 503,
};
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** Status code of a rejection. 503 guarantees that the request did not run, so it is only used if that is certain. */
export function statusOf({ reason, notRun }: Rejection): number {
  const status = STATUS[reason] ?? UNAVAILABLE;
  if (notRun === true) return status === 502 ? UNAVAILABLE : status;
  if (reason === "deadline_exceeded") return GATEWAY_TIMEOUT;
  return deniesRun(status) ? 502 : status;
}

/** Options of {@link HttpResponder}. */
export interface HttpResponderOptions {
  /** Whether the connection is to be closed after this response. */
  readonly closeAfter: () => boolean;
  /** Called when a response that has begun is cut. */
  readonly onAbort?: () => void;
  /** Counts what the caller has not read yet. */
  readonly budget: MemoryBudget;
}

/** Responds to one request of `node:http`. */
export class HttpResponder extends Responder {
  readonly #res: ServerResponse;
  readonly #options: HttpResponderOptions;
  /** Bytes that were written and that the connection has not taken yet. */
  #unreadBytes = 0;
  #isAborted = false;

  constructor(res: ServerResponse, options: HttpResponderOptions) {
    super();
    this.#res = res;
    this.#options = options;
    res.once("close", () => this.#release(this.#unreadBytes));
  }

  /** Bytes of the response that were written and that the connection has not taken yet. */
  get unreadBytes(): number {
    return this.#unreadBytes;
  }

  override get isClosed(): boolean {
    return this.#res.destroyed || this.#res.socket === null;
  }

  override writeHead(status: number, headers: HeaderList, contentLength: number | null): void {
    const res = this.#res;
    res.sendDate = false;
    const flat: string[] = [];
    for (const [name, value] of headers) flat.push(name, value);
    if (contentLength !== null) flat.push("Content-Length", String(contentLength));
    if (this.#options.closeAfter()) flat.push("Connection", "close");
    res.writeHead(status, flat);
    if (contentLength === null) res.flushHeaders();
  }

  override write(chunk: Buffer): boolean {
    if (this.#res.destroyed) return false;
    const bytes = chunk.length;
    this.#unreadBytes += bytes;
    this.#options.budget.takeResponse(bytes);
    return this.#res.write(chunk, () => this.#release(bytes));
  }

  #release(bytes: number): void {
    // What the end of the connection has released is not released by its writes again.
    const released = Math.min(bytes, this.#unreadBytes);
    this.#unreadBytes -= released;
    this.#options.budget.releaseResponse(released);
  }

  override end(): void {
    this.#res.end();
  }

  override abort(): void {
    if (this.#isAborted) return;
    this.#isAborted = true;
    try {
      this.#options.onAbort?.();
    } finally {
      this.#res.destroy();
    }
  }

  override reject(rejection: Rejection): void {
    const headers: [string, string][] = [];
    if (rejection.retryAfterMs !== undefined) {
      headers.push(["Retry-After", (rejection.retryAfterMs / 1_000).toFixed(3)]);
    }
    this.writeHead(statusOf(rejection), headers, 0);
    this.#res.end();
  }

  override registerClose(fn: () => void): Undo {
    const listener = () => {
      if (!this.#res.writableFinished) fn();
    };
    this.#res.once("close", listener);
    return () => this.#res.off("close", listener);
  }

  override registerDrain(fn: () => void): Undo {
    this.#res.on("drain", fn);
    return () => this.#res.off("drain", fn);
  }
}
