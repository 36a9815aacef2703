/**
 * Server-sent events of one answer, written with one write a turn.
 *
 * @module
 */
import type { Refusal } from "@wisteriapick/core";
import {
  type CompletionHead,
  encodeFirstChunk,
  encodeLastChunk,
  encodeUsageChunk,
  type FinishReason,
  makeChunkTemplate,
  type Usage,
} from "./openai_response.ts";
import { makeProblemDocument } from "./problem.ts";

/** Where the text goes; `node:http`'s `ServerResponse` fits. */
export interface TextSink {
  write(text: string): unknown;
}

/** Headers of an event stream. */
export const SSE_HEADERS: Readonly<Record<string, string>> = {
  "content-type": "text/event-stream; charset=utf-8",
  "cache-control": "no-cache, no-transform",
  "x-accel-buffering": "no",
};

const pendingWriters: SseWriter[] = [];

function flushAll(): void {
  const writers = pendingWriters.splice(0);
  for (const writer of writers) writer.flush();
}

/**
 * Encodes one answer as events. A token costs one short `JSON.stringify` and one concatenation; everything
 * around the text is computed once.
 *
 * @example
 * ```ts
 * const sse = new SseWriter(res, { head, signedRef, includeUsage: false });
 * sse.open();
 * sse.tokens(0, ["Hello"]);
 * sse.end("stop", usage);
 * ```
 */
export class SseWriter {
  readonly #sink: TextSink;
  readonly #head: CompletionHead;
  readonly #before: string;
  readonly #middle: string;
  readonly #after: string;
  readonly #includeUsage: boolean;
  #buf = "";

  constructor(
    sink: TextSink,
    options: { head: CompletionHead; signedRef: string; includeUsage: boolean },
  ) {
    const template = makeChunkTemplate(options.head);
    this.#sink = sink;
    this.#head = options.head;
    this.#before = `id: ${options.signedRef}.`;
    this.#middle = `\ndata: ${template.before}`;
    this.#after = `${template.after}\n\n`;
    this.#includeUsage = options.includeUsage;
  }

  /** Writes the chunk that opens a chat answer. Not called when an answer is resumed. */
  open(): void {
    const first = encodeFirstChunk(this.#head);
    if (first !== null) this.#append(`data: ${first}\n\n`);
  }

  /** Writes tokens; `offset` is the offset of the first. */
  tokens(offset: number, items: readonly string[]): void {
    let text = "";
    for (let i = 0; i < items.length; i++) {
      const json = JSON.stringify(items[i]);
      text += this.#before + (offset + i) + this.#middle + json + this.#after;
    }
    this.#append(text);
  }

  /** Writes the end of a whole answer. */
  end(reason: FinishReason, usage: Usage): void {
    let text = `data: ${encodeLastChunk(this.#head, reason)}\n\n`;
    if (this.#includeUsage) text += `data: ${encodeUsageChunk(this.#head, usage)}\n\n`;
    this.#append(`${text}data: [DONE]\n\n`);
    this.flush();
  }

  /** Writes a typed error event, after which nothing follows. */
  fail(refusal: Refusal): void {
    this.#append(`event: error\ndata: ${JSON.stringify(makeProblemDocument(refusal))}\n\n`);
    this.flush();
  }

  /** Writes what has gathered in this turn. */
  flush(): void {
    if (this.#buf === "") return;
    const text = this.#buf;
    this.#buf = "";
    this.#sink.write(text);
  }

  #append(text: string): void {
    if (this.#buf === "") {
      // One immediate serves all streams that got tokens in this turn.
      if (pendingWriters.length === 0) setImmediate(flushAll);
      pendingWriters.push(this);
    }
    this.#buf += text;
  }
}
