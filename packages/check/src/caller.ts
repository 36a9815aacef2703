/**
 * A caller: sends one request, gathers the answer, resumes at another entry when its connection breaks.
 *
 * @module
 */
import { type Refusal, type RequestId, toRefusal } from "@wisteriapick/core";
import { AnswerSink } from "@wisteriapick/daemon";
import type { AnswerHead, FinishReason } from "@wisteriapick/delivery";
import { CHECK_ACCOUNT, CHECK_SERVICE } from "./check_config.ts";
import type { CheckEntry, CheckRequest } from "./check_entry.ts";
import type { RunContext } from "./context.ts";

/** Connections tried for one request. */
const MAX_CONNECTIONS = 6;
const RECONNECT_MS = 200;

/** What the caller has received so far, over all its connections. */
class CallerSink extends AnswerSink {
  readonly full = false;
  readonly #ctx: RunContext;
  readonly #request: CheckRequest;
  readonly #held: string[] = [];
  #signedRef = "";
  #last = -1;
  #cut = false;
  ended = false;

  constructor(ctx: RunContext, request: CheckRequest) {
    super();
    this.#ctx = ctx;
    this.#request = request;
  }

  get committed(): boolean {
    return this.#last >= 0;
  }

  /** The id of the last event received, or `null` without one. */
  get lastEventId(): string | null {
    return this.#last < 0 ? null : `${this.#signedRef}.${this.#last}`;
  }

  begin(_head: AnswerHead, signedRef: string): void {
    if (this.#cut) return;
    this.#signedRef = signedRef;
    this.#held.length = 0;
  }

  tokens(offset: number, items: readonly string[]): void {
    if (this.#cut) return;
    if (!this.#request.streamed) this.#held.push(...items);
    else items.forEach((text, i) => this.#receive(offset + i, text));
  }

  end(reason: FinishReason): void {
    if (this.#cut) return;
    this.#held.forEach((text, offset) => this.#receive(offset, text));
    this.#finish();
    const { req } = this.#request;
    this.#ctx.recorder.record({
      atMs: this.#ctx.clock.now(),
      type: "answer_ended",
      req,
      finish: reason,
    });
  }

  fail({ type, notRun }: Refusal): void {
    if (this.#cut) return;
    this.#finish();
    const { req } = this.#request;
    const atMs = this.#ctx.clock.now();
    this.#ctx.recorder.record({ atMs, type: "answer_failed", req, reason: type, notRun });
  }

  async drained(): Promise<void> {}

  /** Ignores what still comes on a connection that has broken. */
  cut(): void {
    this.#cut = true;
  }

  /** Goes on with what an earlier connection received. */
  continueFrom(earlier: CallerSink): void {
    this.#signedRef = earlier.#signedRef;
    this.#last = earlier.#last;
  }

  #receive(offset: number, text: string): void {
    this.#last = offset;
    const { req } = this.#request;
    this.#ctx.recorder.record({
      atMs: this.#ctx.clock.now(),
      type: "token_received",
      req,
      offset,
      text,
    });
  }

  #finish(): void {
    this.ended = true;
  }
}

/** Sends requests through the balancer. */
export class Callers {
  readonly #ctx: RunContext;
  readonly #entries: readonly CheckEntry[];

  constructor(ctx: RunContext, entries: readonly CheckEntry[]) {
    this.#ctx = ctx;
    this.#entries = entries;
  }

  /** Sends one request and waits for its end. */
  async send(request: CheckRequest): Promise<void> {
    this.#recordSent(request);
    let sink = new CallerSink(this.#ctx, request);
    for (let i = 0; i < MAX_CONNECTIONS; i++) {
      const entry = this.#pickEntry();
      if (entry !== null) {
        const cut = await this.#connect(entry, request, sink);
        if (sink.ended) return;
        if (!cut) break;
        // Without an event id there is nothing to resume; a caller cannot know whether it ran.
        if (sink.lastEventId === null) break;
        const next = new CallerSink(this.#ctx, request);
        next.continueFrom(sink);
        sink = next;
      }
      await this.#ctx.clock.sleep(RECONNECT_MS);
    }
    this.#recordLeft(request.req);
  }

  /** Resolves with whether the connection broke. */
  async #connect(entry: CheckEntry, request: CheckRequest, sink: CallerSink): Promise<boolean> {
    const gone = new AbortController();
    let broken = false;
    const cut = new Promise<void>((resolve) => {
      gone.signal.addEventListener("abort", () => {
        broken = true;
        sink.cut();
        resolve();
      });
    });
    const id = sink.lastEventId;
    const answered = id === null
      ? entry.run(request, sink, gone).then(() => {})
      : entry.resume(request, id, sink, gone);
    const guarded = answered.catch((e) => {
      if (!sink.ended) sink.fail(toRefusal(e, "unknown"));
    });
    await Promise.race([guarded, cut]);
    return broken;
  }

  #pickEntry(): CheckEntry | null {
    const healthy = this.#entries.filter((e) => e.healthy);
    return healthy.length === 0 ? null : this.#ctx.rng.pick(healthy);
  }

  #recordSent({ req, prompt, streamed }: CheckRequest): void {
    this.#ctx.recorder.record({
      atMs: this.#ctx.clock.now(),
      type: "request_sent",
      req,
      account: CHECK_ACCOUNT,
      service: CHECK_SERVICE,
      prompt,
      repeatable: true,
      streamed,
    });
  }

  #recordLeft(req: RequestId): void {
    this.#ctx.recorder.record({ atMs: this.#ctx.clock.now(), type: "caller_left", req });
  }
}
