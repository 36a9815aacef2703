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
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "UND_ERR_INVALID_ARG",
]);

/** How a call ended, for admission. */
export type CallEnd = "done" | "failed" | "cancelled";

/** Parts of a {@link SideCall}. */
export interface SideCallDeps {
  readonly ctx: SideContext;
  readonly dispatcher: Dispatcher;
  /** Base of the endpoint, for example `http://127.0.0.1:7300`. */
  readonly origin: string;
  onEnd(how: CallEnd): void;
}

/**
 * Relays one call. The endpoint is only asked once both admission has started the call and the entry has sent
 * the first part of the body, so an entry that sent none knows that the call did not run.
 */
export class SideCall {
  readonly #call: Call;
  readonly #stream: LinkStream;
  readonly #deps: SideCallDeps;
  readonly #body = new PassThrough({ highWaterMark: BODY_CHUNK_BYTES });
  readonly #abort = new AbortController();
  #allowed = false;
  #confirmed = false;
  #sent = false;
  #ended = false;
  #received = 0;
  #drain: (() => void) | null = null;

  constructor(call: Call, stream: LinkStream, deps: SideCallDeps) {
    this.#call = call;
    this.#stream = stream;
    this.#deps = deps;
    this.#body.on("error", () => {});
    this.#body.on("drain", () => stream.resume());
  }

  readonly handler: StreamHandler = {
    onMessage: (msg) => this.#onMessage(msg),
    onClose: (err) => {
      this.#drain?.();
      if (err !== null) this.#cancel();
    },
    onDrain: () => this.#drain?.(),
  };

  /** Admission started the call. */
  start(): void {
    this.#allowed = true;
    this.#sendWhenReady();
  }

  /** Admission gave the call up before it started. */
  expire(refusal: Refusal): void {
    this.#fail(refusal);
  }

  #onMessage(msg: Message): void {
    if (msg.kind === "body") this.#onBody(msg);
  }

  #onBody(msg: BodyChunk): void {
    if (msg.about !== undefined && msg.about !== this.#call.req) return this.#breakBody();
    const offset = msg.offset ?? this.#received;
    if (offset < this.#received) return;
    if (offset > this.#received) return this.#breakBody();
    this.#received += msg.bytes.length;
    // The bytes share memory with the link's buffer, and the body may wait.
    if (msg.bytes.length > 0 && !this.#body.write(Buffer.from(msg.bytes))) this.#stream.pause();
    if (msg.last) this.#body.end();
    this.#confirmed = true;
    this.#sendWhenReady();
  }

  #breakBody(): void {
    this.#abort.abort();
    const message = "part of the request body was lost";
    this.#fail({ type: "link_lost", message, notRun: this.#sent ? "unknown" : true });
  }

  #cancel(): void {
    if (this.#ended) return;
    this.#abort.abort();
    this.#body.destroy();
    this.#finish("cancelled");
  }

  #sendWhenReady(): void {
    if (!this.#allowed || !this.#confirmed || this.#sent || this.#ended) return;
    this.#sent = true;
    void this.#relay();
  }

  async #relay(): Promise<void> {
    const { dispatcher, origin } = this.#deps;
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
      await this.#answer(res);
    } catch (e) {
      this.#fail(this.#classify(e));
    }
  }

  async #answer(res: Dispatcher.ResponseData): Promise<void> {
    const raw = (res.headers as unknown as (string | Buffer)[]).map(String);
    const headers = endToEndHeaders(parseRawHeaders(raw));
    const about = this.#call.req;
    const status = res.statusCode;
    this.#stream.send({ kind: "reply_head", status, headers, load: this.#deps.ctx.load(), about });
    let offset = 0;
    for await (const chunk of res.body as Readable & AsyncIterable<Buffer>) {
      for (let i = 0; i < chunk.length; i += BODY_CHUNK_BYTES) {
        const bytes = chunk.subarray(i, i + BODY_CHUNK_BYTES);
        await this.#send({ kind: "body", bytes, last: false, offset, about });
        offset += bytes.length;
        if (this.#ended) return;
      }
    }
    this.#stream.send({ kind: "body", bytes: Buffer.alloc(0), last: true, offset, about });
    this.#finish("done");
  }

  async #send(msg: Message): Promise<void> {
    if (this.#ended || this.#stream.send(msg)) return;
    await new Promise<void>((resolve) => {
      this.#drain = resolve;
    });
    this.#drain = null;
  }

  /** A refused connection proves that the endpoint never saw the call. */
  #classify(e: unknown): Refusal {
    const code = (e as { code?: string }).code;
    const refused = NOT_SENT_CODES.has(code ?? "");
    const message = refused ? "the service cannot be reached" : "the service failed";
    return { type: "upstream_failed", message, notRun: refused ? true : "unknown" };
  }

  #fail(refusal: Refusal): void {
    if (this.#ended) return;
    const { ctx } = this.#deps;
    ctx.metrics.countRefusal(refusal.type);
    this.#stream.send({ kind: "fail", refusal, load: ctx.load(), about: this.#call.req });
    this.#finish("failed");
  }

  #finish(how: CallEnd): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#stream.end();
    this.#deps.onEnd(how);
  }
}
