/**
 * One attempt of a plain service call at one side.
 *
 * @module
 */
import { type Clock, type Refusal, toWpError, type Undo } from "@wisteriapick/core";
import type {
  BodyChunk,
  Call,
  EndpointLoad,
  Link,
  LinkStream,
  Message,
  NotRunReply,
} from "@wisteriapick/wire";
import type { HeaderList } from "./http_headers.ts";
import type { ReplayableBody } from "./replayable_body.ts";
import { BODY_CHUNK_BYTES } from "./side_call.ts";

/** Receives the answer. */
export interface CallSink {
  head(status: number, headers: HeaderList): void;
  /** Returns false while the caller is slow; `onDrain` is called when it takes data again. */
  write(bytes: Uint8Array, onDrain: () => void): boolean;
  end(): void;
}

/** How an attempt ended. `released`: the side was allowed to run the call. */
export type CallResult =
  | { readonly type: "answered" }
  | { readonly type: "not_sent" }
  | { readonly type: "not_run"; readonly reply: NotRunReply }
  | { readonly type: "failed"; readonly refusal: Refusal }
  | { readonly type: "lost"; readonly released: boolean; readonly why: string }
  | { readonly type: "caller_gone" };

/** What an attempt is made with. */
export interface CallAttemptOptions {
  readonly clock: Clock;
  readonly body: ReplayableBody;
  readonly sink: CallSink;
  /** Time within which the answer's head must arrive. */
  readonly startMs: number;
  /** Silence after the head that ends the attempt. */
  readonly silenceMs: number;
  readonly gone: AbortSignal;
  onAdmitted?(load: EndpointLoad): void;
  onHead?(load: EndpointLoad): void;
}

/** Sends one call and relays its answer. */
export class CallAttempt {
  readonly done: Promise<CallResult>;
  readonly #call: Call;
  readonly #o: CallAttemptOptions;
  #settle: (res: CallResult) => void = () => {};
  #settled = false;
  #stream: LinkStream | null = null;
  #pumping = false;
  #released = false;
  #answering = false;
  #received = 0;
  #resumeSending: (() => void) | null = null;
  #stopTimer: Undo = () => {};
  readonly #onGone = () => this.#finish({ type: "caller_gone" });

  constructor(link: Link, call: Call, options: CallAttemptOptions) {
    this.#call = call;
    this.#o = options;
    this.done = new Promise((resolve) => {
      this.#settle = resolve;
    });
    this.#stopTimer = options.clock.setTimer(options.startMs, () => this.#onLate());
    options.gone.addEventListener("abort", this.#onGone, { once: true });
    try {
      this.#stream = link.openStream(call, {
        onMessage: (msg) => this.#onMessage(msg),
        onClose: (err) => this.#lost(err === null ? "ended" : toWpError(err).type),
        onDrain: () => this.#resumeSending?.(),
      });
    } catch {
      this.#finish({ type: "not_sent" });
    }
  }

  #onMessage(msg: Message): void {
    if (this.#settled) return;
    const about = "about" in msg ? msg.about : undefined;
    // An answer to another request on this stream: this request's own answer may be elsewhere.
    if (about !== undefined && about !== this.#call.req) return this.#lost("crossed");
    switch (msg.kind) {
      case "admitted":
        this.#o.onAdmitted?.(msg.load);
        if (!this.#pumping) void this.#pump();
        return;
      case "not_run":
        return this.#finish({ type: "not_run", reply: msg });
      case "fail":
        return this.#finish({ type: "failed", refusal: msg.refusal });
      case "reply_head":
        if (this.#answering) return;
        this.#answering = true;
        this.#o.onHead?.(msg.load);
        this.#o.sink.head(msg.status, msg.headers);
        return this.#armSilence();
      case "body":
        return this.#onBody(msg);
    }
  }

  #onBody(msg: BodyChunk): void {
    const offset = msg.offset ?? this.#received;
    if (!this.#answering || offset > this.#received) return this.#lost("gap");
    // A repeated chunk has been delivered already. The last one carries no bytes.
    if (offset < this.#received) return;
    this.#received += msg.bytes.length;
    this.#armSilence();
    if (msg.bytes.length > 0) this.#write(msg.bytes);
    if (!msg.last) return;
    this.#o.sink.end();
    this.#finish({ type: "answered" });
  }

  #write(bytes: Uint8Array): void {
    const stream = this.#stream!;
    const onDrain = () => {
      if (this.#settled) return;
      stream.resume();
      this.#armSilence();
    };
    if (this.#o.sink.write(bytes, onDrain)) return;
    // A slow caller is no silence of the service.
    this.#stopTimer();
    stream.pause();
  }

  /** Sends the body. Its first message is what allows the side to run the call. */
  async #pump(): Promise<void> {
    this.#pumping = true;
    const about = this.#call.req;
    let offset = 0;
    try {
      for await (const chunk of this.#o.body.chunks()) {
        for (let i = 0; i < chunk.length; i += BODY_CHUNK_BYTES) {
          if (this.#settled) return;
          const bytes = chunk.subarray(i, i + BODY_CHUNK_BYTES);
          await this.#send({ kind: "body", bytes, last: false, offset, about });
          offset += bytes.length;
        }
      }
      await this.#send({ kind: "body", bytes: Buffer.alloc(0), last: true, offset, about });
    } catch {
      this.#finish({ type: "caller_gone" });
    }
  }

  async #send(msg: BodyChunk): Promise<void> {
    if (this.#settled) return;
    this.#released = true;
    if (this.#stream!.send(msg) || this.#settled) return;
    await new Promise<void>((resolve) => {
      this.#resumeSending = resolve;
    });
    this.#resumeSending = null;
  }

  #armSilence(): void {
    this.#stopTimer();
    this.#stopTimer = this.#o.clock.setTimer(this.#o.silenceMs, () => this.#lost("silent"));
  }

  #onLate(): void {
    const message = "the service did not answer before the deadline";
    const notRun = this.#released ? "unknown" : true;
    this.#finish({ type: "failed", refusal: { type: "deadline_exceeded", message, notRun } });
  }

  #lost(why: string): void {
    this.#finish({ type: "lost", released: this.#released, why });
  }

  #finish(res: CallResult): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#stopTimer();
    this.#o.gone.removeEventListener("abort", this.#onGone);
    this.#resumeSending?.();
    if (res.type === "answered" || res.type === "not_run") this.#stream?.end();
    else this.#stream?.abort();
    this.#settle(res);
  }
}
