/**
 * One call to a plain service at its side.
 *
 * @module
 */
import { PassThrough, type Readable } from "node:stream";
import type { Refusal } from "@wisteriapick/core";
import type { BodyChunk, Call, LinkStream, Message, StreamHandler } from "@wisteriapick/wire";
import type { Dispatcher } from "undici";
import { endToEndHeaders, parseRawHeaders, toHeaderRecord } from "./http_headers.ts";
import type { SideContext } from "./side_context.ts";

/** Bytes of one body message. */
export const BODY_CHUNK_BYTES = 32_768;

/** Errors that occur before any byte of a request is sent. */
const NOT_SENT_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "UND_ERR_INVALID_ARG",
]);

/** How a call ended, for admission. */
export type CallOutcome = "done" | "failed" | "cancelled";

/** Parts of a {@link SideCall}. */
export interface SideCallDependencies {
  readonly ctx: SideContext;
  readonly dispatcher: Dispatcher;
  /** Base of the endpoint, for example `http://127.0.0.1:7300`. */
  readonly origin: string;
  onEnd(outcome: CallOutcome): void;
}

/**
 * Relays one call. The endpoint is only asked once both admission has started the call and the entry has sent
 * the first part of the body, so an entry that sent none knows that the call did not run.
 */
export class SideCall {
  readonly #call: Call;
  readonly #stream: LinkStream;
  readonly #dependencies: SideCallDependencies;
  readonly #body = new PassThrough({ highWaterMark: BODY_CHUNK_BYTES });
  readonly #abort = new AbortController();
  #isAdmitted = false;
  #hasBodyMessage = false;
  #isSent = false;
  #isEnded = false;
  #receivedBytes = 0;
  #resumeSending: (() => void) | null = null;

  constructor(call: Call, stream: LinkStream, deps: SideCallDependencies) {
    this.#call = call;
    this.#stream = stream;
    this.#dependencies = deps;
    this.#body.on("error", () => {});
    this.#body.on("drain", () => stream.resume());
  }

  readonly handler: StreamHandler = {
    onMessage: (msg) => this.#onMessage(msg),
    onClose: (err) => {
      this.#resumeSending?.();
      if (err !== null) this.#cancel();
    },
    onDrain: () => this.#resumeSending?.(),
  };

  /** Admission started the call. */
  start(): void {
    this.#isAdmitted = true;
    this.#sendRequestWhenReady();
  }

  /** Admission gave the call up before it started. */
  expire(refusal: Refusal): void {
    this.#fail(refusal);
  }

  #onMessage(msg: Message): void {
    if (msg.kind === "body") this.#onBody(msg);
  }

  #onBody(msg: BodyChunk): void {
    if (msg.about !== undefined && msg.about !== this.#call.req) return this.#failBrokenBody();
    const offset = msg.offset ?? this.#receivedBytes;
    if (offset < this.#receivedBytes) return;
    if (offset > this.#receivedBytes) return this.#failBrokenBody();
    this.#receivedBytes += msg.bytes.length;
    // The bytes share memory with the link's buffer, and the body may wait.
    if (msg.bytes.length > 0 && !this.#body.write(Buffer.from(msg.bytes))) this.#stream.pause();
    if (msg.last) this.#body.end();
    this.#hasBodyMessage = true;
    this.#sendRequestWhenReady();
  }

  #failBrokenBody(): void {
    this.#abort.abort();
    const message = "part of the request body was lost";
    this.#fail({ type: "link_lost", message, notRun: this.#isSent ? "unknown" : true });
  }

  #cancel(): void {
    if (this.#isEnded) return;
    this.#abort.abort();
    this.#body.destroy();
    this.#finish("cancelled");
  }

  #sendRequestWhenReady(): void {
    if (!this.#isAdmitted || !this.#hasBodyMessage || this.#isSent || this.#isEnded) return;
    this.#isSent = true;
    void this.#sendRequest();
  }

  async #sendRequest(): Promise<void> {
    const { dispatcher, origin } = this.#dependencies;
    const { method, path, headers } = this.#call;
    try {
      const res = await dispatcher.request({
        origin,
        path,
        method: method as Dispatcher.HttpMethod,
        headers: toHeaderRecord(headers),
        body: this.#call.hasBody === true ? this.#body : null,
        signal: this.#abort.signal,
        responseHeaders: "raw",
      });
      await this.#relayResponse(res);
    } catch (e) {
      this.#fail(this.#classify(e));
    }
  }

  async #relayResponse(res: Dispatcher.ResponseData): Promise<void> {
    const raw = (res.headers as unknown as (string | Buffer)[]).map(String);
    const headers = endToEndHeaders(parseRawHeaders(raw));
    const about = this.#call.req;
    const status = res.statusCode;
    this.#stream.send({
      kind: "reply_head",
      status,
      headers,
      load: this.#dependencies.ctx.load(),
      about,
    });
    let offset = 0;
    for await (const chunk of res.body as Readable & AsyncIterable<Buffer>) {
      for (let i = 0; i < chunk.length; i += BODY_CHUNK_BYTES) {
        const bytes = chunk.subarray(i, i + BODY_CHUNK_BYTES);
        await this.#sendMessage({ kind: "body", bytes, last: false, offset, about });
        offset += bytes.length;
        if (this.#isEnded) return;
      }
    }
    this.#stream.send({ kind: "body", bytes: Buffer.alloc(0), last: true, offset, about });
    this.#finish("done");
  }

  async #sendMessage(msg: Message): Promise<void> {
    if (this.#isEnded || this.#stream.send(msg)) return;
    await new Promise<void>((resolve) => {
      this.#resumeSending = resolve;
    });
    this.#resumeSending = null;
  }

  /** A refused connection proves that the endpoint never saw the call. */
  #classify(e: unknown): Refusal {
    const code = (e as { code?: string }).code;
    const isNotSent = NOT_SENT_ERROR_CODES.has(code ?? "");
    const message = isNotSent ? "the service cannot be reached" : "the service failed";
    return { type: "upstream_failed", message, notRun: isNotSent ? true : "unknown" };
  }

  #fail(refusal: Refusal): void {
    if (this.#isEnded) return;
    const { ctx } = this.#dependencies;
    ctx.metrics.countRefusal(refusal.type);
    this.#stream.send({ kind: "fail", refusal, load: ctx.load(), about: this.#call.req });
    this.#finish("failed");
  }

  #finish(outcome: CallOutcome): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#stream.end();
    this.#dependencies.onEnd(outcome);
  }
}
