/**
 * Sinks for the response of a generation: an event stream or a buffered response.
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
import { waitForDrainOrClose } from "./http_server.ts";
import { ChunkedBody } from "./chunked_body.ts";

/** Receives one response. */
export abstract class ResponseSink {
  /** Whether a part of the current generation has been delivered, so that no other generation may replace it. */
  abstract readonly isCommitted: boolean;
  /** Whether the caller is slow, so that tokens should be held back at the side. */
  abstract readonly needsDrain: boolean;
  /** Begins an attempt and discards what an earlier one has buffered. */
  abstract begin(head: CompletionHead, signedRef: string): void;
  abstract writeTokens(offset: number, items: readonly string[]): void;
  abstract end(reason: FinishReason, usage: Usage): void;
  abstract fail(refusal: Refusal): void;
  /** Resolves when the caller reads again. */
  abstract waitForDrain(): Promise<void>;
}

/** Responds with a problem document. */
export function sendProblem(res: ServerResponse, refusal: Refusal): void {
  const { status, headers, body } = makeProblemResponse(refusal);
  if (!res.headersSent) res.writeHead(status, headers);
  res.end(body);
}

/** Sends tokens as they arrive. The response head is written with the first token. */
export class StreamingResponseSink extends ResponseSink {
  readonly #res: ServerResponse;
  readonly #includeUsage: boolean;
  readonly #isResumed: boolean;
  #head: CompletionHead | null = null;
  #signedRef = "";
  #sse: SseWriter | null = null;
  #body: ChunkedBody | null = null;

  constructor(res: ServerResponse, options: { includeUsage: boolean; isResumed: boolean }) {
    super();
    this.#res = res;
    this.#includeUsage = options.includeUsage;
    this.#isResumed = options.isResumed;
  }

  get isCommitted(): boolean {
    return this.#sse !== null || this.#isResumed;
  }

  get needsDrain(): boolean {
    return this.#res.writableNeedDrain;
  }

  begin(head: CompletionHead, signedRef: string): void {
    this.#head = head;
    this.#signedRef = signedRef;
  }

  writeTokens(offset: number, items: readonly string[]): void {
    this.#ensureOpen().tokens(offset, items);
  }

  end(reason: FinishReason, usage: Usage): void {
    this.#ensureOpen().end(reason, usage);
    this.#body!.end();
  }

  fail(refusal: Refusal): void {
    if (this.#sse === null) return sendProblem(this.#res, refusal);
    this.#sse.fail(refusal);
    this.#body!.end();
  }

  async waitForDrain(): Promise<void> {
    // The buffer may have drained before this call, and its event would be missed.
    if (!this.#res.writableNeedDrain) return;
    const { promise, removeListeners } = waitForDrainOrClose(this.#res);
    await promise;
    removeListeners();
  }

  #ensureOpen(): SseWriter {
    if (this.#sse !== null) return this.#sse;
    this.#res.writeHead(200, SSE_HEADERS);
    const options = {
      head: this.#head!,
      signedRef: this.#signedRef,
      includeUsage: this.#includeUsage,
    };
    this.#body = new ChunkedBody(this.#res);
    this.#sse = new SseWriter(this.#body, options);
    if (!this.#isResumed) this.#sse.open();
    return this.#sse;
  }
}

/** Buffers a response until it is complete, so that another generation may replace it. */
export class BufferedResponseSink extends ResponseSink {
  readonly isCommitted = false;
  readonly needsDrain = false;
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

  writeTokens(_offset: number, items: readonly string[]): void {
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

  async waitForDrain(): Promise<void> {}
}
