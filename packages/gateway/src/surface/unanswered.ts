/**
 * Logs requests whose connection ends without a complete answer, and how far each had come.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "@wisteriapick/core";
import { closeUnsent } from "@wisteriapick/http";
import type { DecisionLog } from "../observe/decision_log.ts";

/**
 * How far a request had come: its head was read; it waited for the first configuration; its body was being read; it was
 * read whole and waited for one more poll of its connection, as the process was stalled; it was with the relay, whose
 * lines say whether it was sent; a response had begun; or it was dropped, as its connection took no more requests.
 */
export type ExchangeStage =
  | "head_read"
  | "waiting_for_config"
  | "reading_body"
  | "deferred_by_stall"
  | "with_relay"
  | "responding"
  | "dropped";

/** Why a connection ended: the gateway's own reason, or that the caller closed it. */
export type CloseCause =
  | "caller_left"
  | "process_end"
  | "response_cut"
  | "unreadable_request"
  | "connection_closing";

/** Options of {@link Exchange}. */
export interface ExchangeOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** The request's id as the caller sent it; `null` if its head has none that can be read. */
  readonly requestId: () => string | null;
}

/** One request and its response on a caller's connection. */
export class Exchange {
  readonly #options: ExchangeOptions;
  readonly #req: IncomingMessage;
  readonly #res: ServerResponse;
  readonly #arrivedAtMs: number;
  #cause: CloseCause | null = null;
  #detail: string | undefined;
  #hasEnded = false;
  stage: ExchangeStage = "head_read";
  /** Bytes of the body that were read. */
  bodyBytes = 0;
  /** Number of bytes of the response that the connection has not taken yet. */
  unreadBytes: () => number = () => 0;

  /** Logs when the response closes, unless it was complete by then. */
  constructor(req: IncomingMessage, res: ServerResponse, options: ExchangeOptions) {
    this.#options = options;
    this.#req = req;
    this.#res = res;
    this.#arrivedAtMs = options.clock.now();
    res.once("close", () => this.#end(this.#cause ?? "caller_left"));
  }

  /** The request's id as the caller sent it; `null` if its head has none that can be read. */
  get requestId(): string | null {
    return this.#options.requestId();
  }

  /** Closes the response if its turn on the connection has not come when the connection ends. */
  closeUnsent(): void {
    closeUnsent(this.#res);
  }

  /** Records why the gateway closes the connection. The first reason stays. */
  recordClose(cause: CloseCause, detail?: string): void {
    if (this.#cause !== null) return;
    this.#cause = cause;
    this.#detail = detail;
  }

  /** Logs at once that the request stays unanswered, as nothing more may happen in this process. */
  endUnanswered(cause: CloseCause, detail?: string): void {
    this.recordClose(cause, detail);
    this.#end(this.#cause!);
  }

  /** Leaves out the line, as the request was answered outside of its response. */
  recordAnswered(): void {
    this.#hasEnded = true;
  }

  #end(cause: CloseCause): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    const res = this.#res;
    if (res.writableFinished) return;
    // `request_over` and `caller_left_unread` tell of callers that left meanwhile.
    const hasOwnLine = this.stage === "deferred_by_stall" ||
      this.stage === "with_relay" && !res.writableEnded;
    if (cause === "caller_left" && hasOwnLine) return;
    this.#options.log.request("request_unanswered", {
      req: this.requestId ?? undefined,
      stage: res.headersSent ? "responding" : this.stage,
      cause,
      detail: this.#detail,
      // A complete response may still wait for a caller that reads slowly.
      isResponseWritten: res.writableEnded,
      bodyBytes: this.bodyBytes,
      target: this.#req.url?.slice(0, 80),
      remote: this.#req.socket.remoteAddress,
      ms: Math.round(this.#options.clock.now() - this.#arrivedAtMs),
    });
  }
}
