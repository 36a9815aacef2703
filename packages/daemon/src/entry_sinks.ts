/**
 * Where a generation's answer goes: an event stream or a whole answer.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Refusal } from "@wisteriapick/core";
import {
  type CompletionHead,
  encodeBufferedResponse,
  type FinishReason,
  makeProblemResponse,
  SSE_HEADERS,
  SseWriter,
  type Usage,
} from "@wisteriapick/delivery";
import { drainOrClose } from "./http_server.ts";
import { ChunkedBody } from "./chunked_body.ts";

/** Receives one answer. */
export abstract class AnswerSink {
  /** Whether something of the present generation has been delivered, so that no other may replace it. */
  abstract readonly committed: boolean;
  /** Whether the caller is slow and tokens should wait at the side. */
  abstract readonly full: boolean;
  /** Begins an attempt; what an earlier one gathered is dropped. */
  abstract begin(head: CompletionHead, signedRef: string): void;
  abstract tokens(offset: number, items: readonly string[]): void;
  abstract end(reason: FinishReason, usage: Usage): void;
  abstract fail(refusal: Refusal): void;
  /** Resolves when the caller takes data again. */
  abstract drained(): Promise<void>;
}

/** Answers with a problem document. */
export function sendProblem(res: ServerResponse, refusal: Refusal): void {
  const { status, headers, body } = makeProblemResponse(refusal);
  if (!res.headersSent) res.writeHead(status, headers);
  res.end(body);
}

/** Sends tokens as they come. The answer's head is written with the first token. */
export class StreamSink extends AnswerSink {
  readonly #res: ServerResponse;
  readonly #includeUsage: boolean;
  readonly #resumed: boolean;
  #head: CompletionHead | null = null;
  #ref = "";
  #sse: SseWriter | null = null;
  #body: ChunkedBody | null = null;

  constructor(res: ServerResponse, options: { includeUsage: boolean; resumed: boolean }) {
    super();
    this.#res = res;
    this.#includeUsage = options.includeUsage;
    this.#resumed = options.resumed;
  }

  get committed(): boolean {
    return this.#sse !== null || this.#resumed;
  }

  get full(): boolean {
    return this.#res.writableNeedDrain;
  }

  begin(head: CompletionHead, signedRef: string): void {
    this.#head = head;
    this.#ref = signedRef;
  }

  tokens(offset: number, items: readonly string[]): void {
    this.#open().tokens(offset, items);
  }

  end(reason: FinishReason, usage: Usage): void {
    this.#open().end(reason, usage);
    this.#body!.end();
  }

  fail(refusal: Refusal): void {
    if (this.#sse === null) return sendProblem(this.#res, refusal);
    this.#sse.fail(refusal);
    this.#body!.end();
  }

  async drained(): Promise<void> {
    // The buffer may have drained before anyone waits for it; an event alone would be missed.
    if (!this.#res.writableNeedDrain) return;
    const { promise, settle } = drainOrClose(this.#res);
    await promise;
    settle();
  }

  #open(): SseWriter {
    if (this.#sse !== null) return this.#sse;
    this.#res.writeHead(200, SSE_HEADERS);
    const options = { head: this.#head!, signedRef: this.#ref, includeUsage: this.#includeUsage };
    this.#body = new ChunkedBody(this.#res);
    this.#sse = new SseWriter(this.#body, options);
    if (!this.#resumed) this.#sse.open();
    return this.#sse;
  }
}

/** Holds an answer until it is whole, so that another generation may take its place. */
export class WholeSink extends AnswerSink {
  readonly committed = false;
  readonly full = false;
  readonly #res: ServerResponse;
  #head: CompletionHead | null = null;
  #text = "";

  constructor(res: ServerResponse) {
    super();
    this.#res = res;
  }

  begin(head: CompletionHead): void {
    this.#head = head;
    this.#text = "";
  }

  tokens(_offset: number, items: readonly string[]): void {
    for (const item of items) this.#text += item;
  }

  end(reason: FinishReason, usage: Usage): void {
    const body = encodeBufferedResponse(this.#head!, this.#text, reason, usage);
    this.#res.writeHead(200, { "content-type": "application/json" });
    this.#res.end(body);
  }

  fail(refusal: Refusal): void {
    sendProblem(this.#res, refusal);
  }

  async drained(): Promise<void> {}
}
