/**
 * One generation at the side: follows the engine, keeps the log, feeds the entries that follow it.
 *
 * @module
 */
import {
  type AccountId,
  type Clock,
  type GenerationId,
  type Refusal,
  type RefusalReason,
  toWpError,
  type Undo,
} from "@wisteriapick/core";
import type { GenerationLog } from "@wisteriapick/delivery";
import type { EngineEvent, EngineRequest, ModelEngine } from "@wisteriapick/clients";
import type { EndpointLoad, Fail, LinkStream, StreamHandler } from "@wisteriapick/wire";
import { Follower, type GenerationEnd, MAX_TOKEN_CHARS } from "./side_follower.ts";
import { failOnIdle } from "./idle_timeout.ts";
import type { TurnBatch } from "./turn_batch.ts";

/** What a generation tells the side. */
export interface GenerationHooks {
  /** A token arrived; `gapMs` is the time since the one before, or since the start for the first. */
  onToken(gen: GenerationId, offset: number, gapMs: number): void;
  /** The generation ended; called once. */
  onEnd(gen: GenerationId, how: "done" | "failed" | "cancelled", end: GenerationEnd): void;
  /** Present load, for the message that ends the generation. */
  load(): EndpointLoad;
  makeFail(refusal: Refusal): Fail;
}

/** Times of {@link SideGeneration}. */
export interface GenerationTimes {
  /** How long a generation goes on with no entry following it. */
  readonly graceMs: number;
  /** Silence of an engine stream after which a new connection resumes it. */
  readonly silenceMs: number;
  /** Wait before the engine is asked again, multiplied by the number of failures in a row. */
  readonly backoffMs: number;
  /** Failures in a row after which the engine counts as lost. */
  readonly maxFailures: number;
}

/** Times for production use. */
export const GENERATION_TIMES: GenerationTimes = {
  graceMs: 10_000,
  silenceMs: 2_000,
  backoffMs: 100,
  maxFailures: 4,
};

/** Parts that a generation works with. */
export interface GenerationDeps {
  readonly engine: ModelEngine;
  readonly clock: Clock;
  readonly batch: TurnBatch;
  readonly hooks: GenerationHooks;
  readonly times: GenerationTimes;
}

/** Statuses with which an engine refuses a generation before it starts. */
const REFUSED_BY_ENGINE: Readonly<Record<number, RefusalReason>> = {
  400: "invalid_request",
  422: "version_mismatch",
  429: "overloaded",
  503: "side_not_ready",
};

const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;

/** A running generation. */
export class SideGeneration {
  readonly gen: GenerationId;
  /** `null` where a restarted side learned the generation from its engine. */
  account: AccountId | null;
  readonly log: GenerationLog<GenerationEnd>;
  readonly #deps: GenerationDeps;
  readonly #followers = new Set<Follower>();
  readonly #flush = () => this.#flushAll();
  #abort = new AbortController();
  #undoGrace: Undo | null = null;
  #lastEventMs = 0;
  #started = false;
  // A generation that was asked for by id only may never have existed, which is no sign of a crash.
  #known = true;

  constructor(
    gen: GenerationId,
    log: GenerationLog<GenerationEnd>,
    deps: GenerationDeps,
    { account }: { account: AccountId | null },
  ) {
    this.gen = gen;
    this.log = log;
    this.account = account;
    this.#deps = deps;
  }

  get ended(): boolean {
    return this.log.end !== null;
  }

  get started(): boolean {
    return this.#started;
  }

  /** Starts the generation at the engine. */
  start(req: EngineRequest): void {
    this.#started = true;
    this.#lastEventMs = this.#deps.clock.now();
    void this.#follow(req);
  }

  /** Follows a generation that the engine has, or with `known: false` may have. */
  adopt({ known }: { known: boolean }): void {
    this.#started = true;
    this.#known = known;
    this.#lastEventMs = this.#deps.clock.now();
    if (this.#followers.size === 0) this.#armGrace();
    void this.#follow(null);
  }

  /** Adds an entry that wants the tokens from `offset` on. */
  attach(stream: LinkStream, offset: number): StreamHandler {
    const follower = new Follower(stream, this.log, { about: this.gen, offset });
    this.#followers.add(follower);
    this.#undoGrace?.();
    this.#undoGrace = null;
    const detach = () => {
      if (!this.#followers.delete(follower)) return;
      if (this.#followers.size === 0 && !this.ended) this.#armGrace();
    };
    this.#deps.batch.add(this.#flush);
    return {
      onMessage() {},
      onClose: detach,
      onDrain: () => {
        if (follower.drained()) detach();
      },
    };
  }

  /** Ends the generation at once. */
  cancel(): void {
    if (this.ended) return;
    const refusal: Refusal = {
      type: "cancelled",
      message: "the generation was cancelled",
      notRun: !this.#started,
    };
    this.finish("cancelled", this.#makeFail(refusal));
    if (this.#started) void this.#deps.engine.cancel(this.gen).catch(() => {});
  }

  /** Ends the generation with a message for its followers. */
  finish(how: "done" | "failed" | "cancelled", end: GenerationEnd): void {
    if (!this.log.finish(end, this.#deps.clock.now())) return;
    this.#undoGrace?.();
    this.#abort.abort();
    this.#deps.hooks.onEnd(this.gen, how, end);
    this.#deps.batch.add(this.#flush);
  }

  /** Drops every entry and timer without ending the generation at the engine; used when the side stops. */
  release(): void {
    this.#undoGrace?.();
    this.#abort.abort();
    this.log.finish(
      this.#makeFail({ type: "side_lost", message: "side stopped", notRun: false }),
      this.#deps.clock.now(),
    );
  }

  #armGrace(): void {
    this.#undoGrace = this.#deps.clock.setTimer(this.#deps.times.graceMs, () => this.cancel());
  }

  #flushAll(): void {
    for (const follower of this.#followers) {
      if (follower.flush()) this.#followers.delete(follower);
    }
  }

  async #follow(first: EngineRequest | null): Promise<void> {
    let req = first;
    let failures = 0;
    while (!this.ended) {
      const before = this.log.length;
      try {
        await this.#consume(req);
        failures = this.log.length > before ? 0 : failures + 1;
      } catch (e) {
        if (this.ended) return;
        const verdict = this.#classify(e, req !== null);
        if (verdict !== null) return this.finish("failed", this.#makeFail(verdict));
        const silent = toWpError(e).type === "timeout";
        if (this.log.length > before || silent) failures = 0;
        else failures++;
      }
      req = null;
      if (this.ended) return;
      if (failures > this.#deps.times.maxFailures) return this.#finishLost();
      await this.#deps.clock.sleep(this.#deps.times.backoffMs * failures);
    }
  }

  async #consume(req: EngineRequest | null): Promise<void> {
    const { engine, clock, times } = this.#deps;
    this.#abort = new AbortController();
    const abort = this.#abort;
    const { signal } = abort;
    const events = req !== null
      ? engine.run(req, { signal })
      : engine.resume(this.gen, { offset: this.log.length, signal });
    try {
      for await (const ev of failOnIdle(events, { clock, idleTimeoutMs: times.silenceMs })) {
        if (this.ended) return;
        if (ev.type === "token") {
          if (!this.#accept(ev.offset, ev.text)) return;
        } else {
          return this.#finishNormally(ev);
        }
      }
    } finally {
      abort.abort();
    }
  }

  /** Takes a token. Returns false where tokens are missing and the engine must be asked again. */
  #accept(offset: number, text: string): boolean {
    if (text.length > MAX_TOKEN_CHARS) {
      const message = "the model engine produced a token that is too large";
      this.finish("failed", this.#makeFail({ type: "engine_failed", message, notRun: false }));
      void this.#deps.engine.cancel(this.gen).catch(() => {});
      return false;
    }
    const res = this.log.append(offset, text);
    if (res === "gap") return false;
    if (!res) return true;
    const now = this.#deps.clock.now();
    const gapMs = now - this.#lastEventMs;
    this.#lastEventMs = now;
    this.#known = true;
    this.#deps.hooks.onToken(this.gen, offset, gapMs);
    this.#deps.batch.add(this.#flush);
    return true;
  }

  #finishNormally(ev: Extract<EngineEvent, { type: "end" }>): void {
    // An end that counts more tokens than arrived is a gap: the rest is asked for.
    if (ev.reason !== "cancelled" && ev.completionTokens > this.log.length) return;
    const how = ev.reason === "cancelled" ? "cancelled" : "done";
    const { reason, promptTokens, cachedTokens, completionTokens } = ev;
    const load = this.#deps.hooks.load();
    const usage = { promptTokens, cachedTokens, completionTokens };
    this.finish(how, { kind: "end", reason, ...usage, load });
  }

  #makeFail(refusal: Refusal): GenerationEnd {
    return this.#deps.hooks.makeFail(refusal);
  }

  /** Returns the refusal with which the generation ends, or `null` where the engine is asked again. */
  #classify(e: unknown, wasRun: boolean): Refusal | null {
    const err = toWpError(e);
    if (err.type === "invariant") {
      return { type: "internal", message: "internal error at the side", notRun: false };
    }
    if (err.type === "unreachable" && wasRun && err.sent === false) return lost(true);
    if (err.type !== "engine") return null;
    if (wasRun && err.status === STATUS_CONFLICT) return null;
    const refused = REFUSED_BY_ENGINE[err.status];
    if (wasRun && refused !== undefined && this.log.length === 0) {
      return { type: refused, message: "the model engine refused", notRun: true };
    }
    if (!wasRun && err.status === STATUS_NOT_FOUND) {
      return this.#known ? lost() : {
        type: "generation_unknown",
        message: "neither this side nor its engine knows the generation",
        notRun: false,
      };
    }
    if (!wasRun && err.status >= 500) return null;
    return { type: "engine_failed", message: "the model engine failed", notRun: false };
  }

  #finishLost(): void {
    this.finish("failed", this.#makeFail(lost()));
  }
}

function lost(notRun = false): Refusal {
  return { type: "engine_lost", message: "the model engine was lost", notRun };
}
