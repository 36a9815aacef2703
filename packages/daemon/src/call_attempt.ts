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
import { SilenceTimer } from "./silence_timer.ts";

/** Receives the response of a call. */
export interface CallResponseSink {
  writeHead(status: number, headers: HeaderList): void;
  /** Returns false while the caller reads too slowly; `onDrain` is called once more data can be written. */
  write(bytes: Uint8Array, onDrain: () => void): boolean;
  end(): void;
}

/** How an attempt ended. `mayHaveRun`: the side had been allowed to run the call. */
export type CallResult =
  | { readonly type: "answered" }
  | { readonly type: "not_sent" }
  | { readonly type: "not_run"; readonly reply: NotRunReply }
  | { readonly type: "failed"; readonly refusal: Refusal }
  | { readonly type: "lost"; readonly mayHaveRun: boolean; readonly reason: string }
  | { readonly type: "caller_gone" };

/** Options of a {@link CallAttempt}. */
export interface CallAttemptOptions {
  readonly clock: Clock;
  readonly body: ReplayableBody;
  readonly sink: CallResponseSink;
  /** Time within which the response head must arrive. */
  readonly headTimeoutMs: number;
  /** The attempt ends when nothing arrives for this long after the response head. */
  readonly idleTimeoutMs: number;
  /** Aborted when the caller has disconnected. */
  readonly callerSignal: AbortSignal;
  onAdmitted?(load: EndpointLoad): void;
  onHead?(load: EndpointLoad): void;
}

/** Sends one call and relays its response. */
export class CallAttempt {
  readonly result: Promise<CallResult>;
  readonly #call: Call;
  readonly #o: CallAttemptOptions;
  #resolveResult: (res: CallResult) => void = () => {};
  #isSettled = false;
  #stream: LinkStream | null = null;
  #isSendingBody = false;
  #mayHaveRun = false;
  #hasResponseHead = false;
  #receivedBytes = 0;
  #resumeSending: (() => void) | null = null;
  readonly #cancelHeadTimer: Undo;
  readonly #silence: SilenceTimer;
  readonly #onCallerGone = () => this.#finish({ type: "caller_gone" });

  constructor(link: Link, call: Call, options: CallAttemptOptions) {
    this.#call = call;
    this.#o = options;
    this.result = new Promise((resolve) => {
      this.#resolveResult = resolve;
    });
    const { clock, headTimeoutMs, idleTimeoutMs } = options;
    this.#cancelHeadTimer = clock.setTimer(headTimeoutMs, () => this.#onHeadTimeout());
    const onSilent = () => this.#finishLost("silent");
    this.#silence = new SilenceTimer({ clock, idleTimeoutMs, onSilent });
    options.callerSignal.addEventListener("abort", this.#onCallerGone, { once: true });
    try {
      this.#stream = link.openStream(call, {
        onMessage: (msg) => this.#onMessage(msg),
        onClose: (err) => this.#finishLost(err === null ? "ended" : toWpError(err).type),
        onDrain: () => this.#resumeSending?.(),
      });
    } catch {
      this.#finish({ type: "not_sent" });
    }
  }

  #onMessage(msg: Message): void {
    if (this.#isSettled) return;
    const about = "about" in msg ? msg.about : undefined;
    // A message for another request on this stream: this request's response may be on another one.
    if (about !== undefined && about !== this.#call.req) return this.#finishLost("misrouted");
    switch (msg.kind) {
      case "admitted":
        this.#o.onAdmitted?.(msg.load);
        if (!this.#isSendingBody) void this.#sendBody();
        return;
      case "not_run":
        return this.#finish({ type: "not_run", reply: msg });
      case "fail":
        return this.#finish({ type: "failed", refusal: msg.refusal });
      case "reply_head":
        if (this.#hasResponseHead) return;
        this.#hasResponseHead = true;
        this.#o.onHead?.(msg.load);
        this.#cancelHeadTimer();
        this.#o.sink.writeHead(msg.status, msg.headers);
        return this.#silence.restart();
      case "body":
        return this.#onBody(msg);
    }
  }

  #onBody(msg: BodyChunk): void {
    const offset = msg.offset ?? this.#receivedBytes;
    if (!this.#hasResponseHead || offset > this.#receivedBytes) return this.#finishLost("gap");
    // A duplicate chunk has been delivered already. The last chunk carries no bytes.
    if (offset < this.#receivedBytes) return;
    this.#receivedBytes += msg.bytes.length;
    this.#silence.restart();
    if (msg.bytes.length > 0) this.#write(msg.bytes);
    if (!msg.last) return;
    this.#o.sink.end();
    this.#finish({ type: "answered" });
  }

  #write(bytes: Uint8Array): void {
    const stream = this.#stream!;
    const onDrain = () => {
      if (this.#isSettled) return;
      stream.resume();
      this.#silence.restart();
    };
    if (this.#o.sink.write(bytes, onDrain)) return;
    // A slow caller, for whom the stream is paused, is no sign of a stalled service.
    this.#silence.stop();
    stream.pause();
  }

  /** Sends the body. Its first message allows the side to run the call. */
  async #sendBody(): Promise<void> {
    this.#isSendingBody = true;
    const about = this.#call.req;
    let offset = 0;
    try {
      for await (const chunk of this.#o.body.chunks()) {
        for (let i = 0; i < chunk.length; i += BODY_CHUNK_BYTES) {
          if (this.#isSettled) return;
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
    if (this.#isSettled) return;
    this.#mayHaveRun = true;
    if (this.#stream!.send(msg) || this.#isSettled) return;
    await new Promise<void>((resolve) => {
      this.#resumeSending = resolve;
    });
    this.#resumeSending = null;
  }

  #onHeadTimeout(): void {
    const message = "the service did not respond before the deadline";
    const notRun = this.#mayHaveRun ? "unknown" : true;
    this.#finish({ type: "failed", refusal: { type: "deadline_exceeded", message, notRun } });
  }

  #finishLost(reason: string): void {
    this.#finish({ type: "lost", mayHaveRun: this.#mayHaveRun, reason });
  }

  #finish(res: CallResult): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#cancelHeadTimer();
    this.#silence.stop();
    this.#o.callerSignal.removeEventListener("abort", this.#onCallerGone);
    this.#resumeSending?.();
    if (res.type === "answered" || res.type === "not_run") this.#stream?.end();
    else this.#stream?.abort();
    this.#resolveResult(res);
  }
}
