/**
 * The calls that one side relays to its plain service.
 *
 * @module
 */
import type { GenerationId, Table, World } from "@wisteriapick/core";
import type { AdmissionAction } from "@wisteriapick/policy";
import type { Call, LinkStream, StreamHandler } from "@wisteriapick/wire";
import { guardedConnector } from "@wisteriapick/http";
import { Agent, type Dispatcher } from "undici";
import { RecentIds } from "./recent_ids.ts";
import { SideCall } from "./side_call.ts";
import { IGNORE_STREAM, refuseRun, type SideContext } from "./side_context.ts";

/** A row of the `calls` table, which operators can dump. */
export interface CallRow {
  readonly account: string;
  readonly method: string;
  readonly sinceMs: number;
}

/** Options of {@link SideCalls}. */
export interface SideCallsOptions {
  /** Base of the endpoint, for example `http://127.0.0.1:7300`. */
  readonly origin: string;
  readonly world: World;
  /** Time without data from the endpoint after which a call fails. */
  readonly idleTimeoutMs?: number;
  /** Number of recent call ids remembered, so that a duplicate message does not run a call again. */
  readonly maxRecentIds?: number;
  /** Sends the requests to the endpoint; `undici` agents by default. */
  readonly dispatcher?: Dispatcher;
}

const DEFAULT_IDLE_TIMEOUT_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Relays calls to one endpoint. */
export class SideCalls {
  readonly #ctx: SideContext;
  readonly #o: SideCallsOptions;
  readonly #calls = new Map<string, SideCall>();
  readonly #recentIds: RecentIds;
  readonly #table: Table<GenerationId, CallRow>;
  readonly #pooled: Dispatcher;
  readonly #singleUse: Dispatcher;

  constructor(ctx: SideContext, options: SideCallsOptions) {
    this.#ctx = ctx;
    this.#o = options;
    this.#recentIds = new RecentIds(options.maxRecentIds ?? 50_000);
    this.#table = options.world.registerTable<GenerationId, CallRow>("calls").table;
    const { idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS } = options;
    const timeouts = {
      headersTimeout: idleTimeoutMs,
      bodyTimeout: idleTimeoutMs,
      connect: guardedConnector({ timeout: CONNECT_TIMEOUT_MS }),
    };
    this.#pooled = options.dispatcher ?? new Agent(timeouts);
    // The endpoint may close an idle pooled connection while a request is in flight, which leaves it unknown
    // whether the request ran. Calls that must not be retried get a new connection each.
    this.#singleUse = options.dispatcher ?? new Agent({ ...timeouts, pipelining: 0 });
  }

  get isIdle(): boolean {
    return this.#calls.size === 0;
  }

  onCall(call: Call, stream: LinkStream): StreamHandler {
    const refusalReason = this.#ctx.gate(call);
    if (refusalReason !== null) return refuseRun(this.#ctx, stream, call.req, refusalReason);
    if (!this.#recentIds.add(`${call.req}/${call.attempt}`)) {
      stream.abort();
      return IGNORE_STREAM;
    }
    const now = this.#ctx.clock.now();
    const id = call.req as string as GenerationId;
    const decision = this.#ctx.admission.offer({
      gen: id,
      service: call.service,
      account: call.account,
      weight: call.weight,
      promptTokens: 0,
      maxTokens: 1,
      priority: 0,
      deadlineMs: now + call.remainingMs,
      digest: call.digest,
      attempt: call.attempt,
    }, now);
    if (decision.type === "not_run") {
      return refuseRun(this.#ctx, stream, call.req, decision.reason, decision.retryAfterMs);
    }
    const sideCall = this.#create(id, call, stream);
    stream.send({ kind: "admitted", load: this.#ctx.load(), about: call.req });
    if (decision.type === "start") sideCall.start();
    return sideCall.handler;
  }

  /** Executes an action of admission. Returns false where it does not concern one of these calls. */
  perform(action: AdmissionAction): boolean {
    const call = this.#calls.get(action.gen);
    if (call === undefined) return false;
    if (action.type === "start") call.start();
    else {
      const message = "the request did not start in time";
      const { reason: type, retryAfterMs } = action;
      call.expire({ type, message, notRun: true, retryAfterMs });
    }
    return true;
  }

  /** Whether the endpoint responds to a health check with a status below 500. */
  async probe(timeoutMs: number): Promise<boolean> {
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const { origin } = this.#o;
      const res = await this.#singleUse.request({
        origin,
        path: "/healthz",
        method: "GET",
        signal,
      });
      await res.body.dump();
      return res.statusCode < 500;
    } catch {
      return false;
    }
  }

  async close(): Promise<void> {
    await Promise.all([this.#pooled.destroy(), this.#singleUse.destroy()]);
  }

  #create(id: GenerationId, call: Call, stream: LinkStream): SideCall {
    const sideCall = new SideCall(call, stream, {
      ctx: this.#ctx,
      dispatcher: call.repeatable ? this.#pooled : this.#singleUse,
      origin: this.#o.origin,
      onEnd: (outcome) => {
        this.#calls.delete(id);
        this.#o.world.update(() => this.#table.delete(id));
        this.#ctx.admission.recordEnd(id, outcome, this.#ctx.clock.now());
        this.#ctx.runAdmission();
      },
    });
    this.#calls.set(id, sideCall);
    const { account, method } = call;
    this.#o.world.update((now) => this.#table.set(id, { account, method, sinceMs: now }));
    return sideCall;
  }
}
