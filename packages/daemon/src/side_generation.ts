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
  onEnd(gen: GenerationId, outcome: "done" | "failed" | "cancelled", end: GenerationEnd): void;
  /** Present load, for the message that ends the generation. */
  load(): EndpointLoad;
  makeFail(refusal: Refusal): Fail;
}

/** Times of {@link SideGeneration}. */
export interface GenerationTimes {
  /** How long a generation goes on with no entry following it. */
  readonly graceMs: number;
  /** Silence of an engine stream after which a new connection resumes it. */
  readonly idleTimeoutMs: number;
  /** Wait before the engine is asked again, multiplied by the number of failures in a row. */
  readonly backoffMs: number;
  /** Failures in a row after which the engine counts as lost. */
  readonly maxFailures: number;
}

/** Times for production use. */
export const GENERATION_TIMES: GenerationTimes = {
  graceMs: 10_000,
  idleTimeoutMs: 2_000,
  backoffMs: 100,
  maxFailures: 4,
};

/** Parts that a generation works with. */
export interface GenerationDependencies {
  readonly engine: ModelEngine;
  readonly clock: Clock;
  readonly batch: TurnBatch;
  readonly hooks: GenerationHooks;
  readonly times: GenerationTimes;
}

/** Statuses with which an engine refuses a generation before it starts. */
const REFUSAL_REASON_BY_STATUS: Readonly<Record<number, RefusalReason>> = {
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
  readonly #dependencies: GenerationDependencies;
  readonly #followers = new Set<Follower>();
  readonly #flush = () => this.#flushAll();
  #abort = new AbortController();
  #cancelGraceTimer: Undo | null = null;
  #lastEventMs = 0;
  #isStarted = false;
  // A generation that was asked for by id only may never have existed, which is no sign of a crash.
  #isConfirmed = true;

  constructor(
    gen: GenerationId,
    log: GenerationLog<GenerationEnd>,
    deps: GenerationDependencies,
    { account }: { account: AccountId | null },
  ) {
    this.gen = gen;
    this.log = log;
    this.account = account;
    this.#dependencies = deps;
  }

  get isEnded(): boolean {
    return this.log.end !== null;
  }

  get isStarted(): boolean {
    return this.#isStarted;
  }

  /** Starts the generation at the engine. */
  start(req: EngineRequest): void {
    this.#isStarted = true;
    this.#lastEventMs = this.#dependencies.clock.now();
    void this.#follow(req);
  }

  /** Follows a generation that the engine has, or with `known: false` may have. */
  adopt({ isConfirmed: isConfirmed }: { isConfirmed: boolean }): void {
    this.#isStarted = true;
    this.#isConfirmed = isConfirmed;
    this.#lastEventMs = this.#dependencies.clock.now();
    if (this.#followers.size === 0) this.#startGraceTimer();
    void this.#follow(null);
  }

  /** Adds an entry that wants the tokens from `offset` on. */
  attach(stream: LinkStream, offset: number): StreamHandler {
    const follower = new Follower(stream, this.log, { about: this.gen, offset });
    this.#followers.add(follower);
    this.#cancelGraceTimer?.();
    this.#cancelGraceTimer = null;
    const detach = () => {
      if (!this.#followers.delete(follower)) return;
      if (this.#followers.size === 0 && !this.isEnded) this.#startGraceTimer();
    };
    this.#dependencies.batch.add(this.#flush);
    return {
      onMessage() {},
      onClose: detach,
      onDrain: () => {
        if (follower.resume()) detach();
      },
    };
  }

  /** Ends the generation at once. */
  cancel(): void {
    if (this.isEnded) return;
    const refusal: Refusal = {
      type: "cancelled",
      message: "the generation was cancelled",
      notRun: !this.#isStarted,
    };
    this.finish("cancelled", this.#makeFail(refusal));
    if (this.#isStarted) void this.#dependencies.engine.cancel(this.gen).catch(() => {});
  }

  /** Ends the generation with a message for its followers. */
  finish(outcome: "done" | "failed" | "cancelled", end: GenerationEnd): void {
    if (!this.log.finish(end, this.#dependencies.clock.now())) return;
    this.#cancelGraceTimer?.();
    this.#abort.abort();
    this.#dependencies.hooks.onEnd(this.gen, outcome, end);
    this.#dependencies.batch.add(this.#flush);
  }

  /** Drops every entry and timer without ending the generation at the engine; used when the side stops. */
  release(): void {
    this.#cancelGraceTimer?.();
    this.#abort.abort();
    this.log.finish(
      this.#makeFail({ type: "side_lost", message: "side stopped", notRun: false }),
      this.#dependencies.clock.now(),
    );
  }

  #startGraceTimer(): void {
    this.#cancelGraceTimer = this.#dependencies.clock.setTimer(
      this.#dependencies.times.graceMs,
      () => this.cancel(),
    );
  }

  #flushAll(): void {
    for (const follower of this.#followers) {
      if (follower.flush()) this.#followers.delete(follower);
    }
  }

  async #follow(initialReq: EngineRequest | null): Promise<void> {
    let req = initialReq;
    let failures = 0;
    while (!this.isEnded) {
      const lengthBefore = this.log.length;
      try {
        await this.#consume(req);
        failures = this.log.length > lengthBefore ? 0 : failures + 1;
      } catch (e) {
        if (this.isEnded) return;
        const refusal = this.#classify(e, req !== null);
        if (refusal !== null) return this.finish("failed", this.#makeFail(refusal));
        const isIdleTimeout = toWpError(e).type === "timeout";
        if (this.log.length > lengthBefore || isIdleTimeout) failures = 0;
        else failures++;
      }
      req = null;
      if (this.isEnded) return;
      if (failures > this.#dependencies.times.maxFailures) return this.#finishLost();
      await this.#dependencies.clock.sleep(this.#dependencies.times.backoffMs * failures);
    }
  }

  async #consume(req: EngineRequest | null): Promise<void> {
    const { engine, clock, times } = this.#dependencies;
    this.#abort = new AbortController();
    const abort = this.#abort;
    const { signal } = abort;
    const events = req !== null
      ? engine.run(req, { signal })
      : engine.resume(this.gen, { offset: this.log.length, signal });
    try {
      for await (const ev of failOnIdle(events, { clock, idleTimeoutMs: times.idleTimeoutMs })) {
        if (this.isEnded) return;
        if (ev.type === "token") {
          if (!this.#accept(ev.offset, ev.text)) return;
        } else {
          return this.#onEngineEnd(ev);
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
      void this.#dependencies.engine.cancel(this.gen).catch(() => {});
      return false;
    }
    const result = this.log.append(offset, text);
    if (result === "gap") return false;
    if (!result) return true;
    const now = this.#dependencies.clock.now();
    const gapMs = now - this.#lastEventMs;
    this.#lastEventMs = now;
    this.#isConfirmed = true;
    this.#dependencies.hooks.onToken(this.gen, offset, gapMs);
    this.#dependencies.batch.add(this.#flush);
    return true;
  }

  #onEngineEnd(ev: Extract<EngineEvent, { type: "end" }>): void {
    // An end that counts more tokens than arrived is a gap: the rest is asked for.
    if (ev.reason !== "cancelled" && ev.completionTokens > this.log.length) return;
    const outcome = ev.reason === "cancelled" ? "cancelled" : "done";
    const { reason, promptTokens, cachedTokens, completionTokens } = ev;
    const load = this.#dependencies.hooks.load();
    const usage = { promptTokens, cachedTokens, completionTokens };
    this.finish(outcome, { kind: "end", reason, ...usage, load });
  }

  #makeFail(refusal: Refusal): GenerationEnd {
    return this.#dependencies.hooks.makeFail(refusal);
  }

  /** Returns the refusal with which the generation ends, or `null` where the engine is asked again. */
  #classify(e: unknown, isRunRequest: boolean): Refusal | null {
    const err = toWpError(e);
    if (err.type === "invariant") {
      return { type: "internal", message: "internal error at the side", notRun: false };
    }
    if (err.type === "unreachable" && isRunRequest && err.sent === false) return engineLost(true);
    if (err.type !== "engine") return null;
    if (isRunRequest && err.status === STATUS_CONFLICT) return null;
    const reason = REFUSAL_REASON_BY_STATUS[err.status];
    if (isRunRequest && reason !== undefined && this.log.length === 0) {
      return { type: reason, message: "the model engine refused", notRun: true };
    }
    if (!isRunRequest && err.status === STATUS_NOT_FOUND) {
      return this.#isConfirmed ? engineLost() : {
        type: "generation_unknown",
        message: "neither this side nor its engine knows the generation",
        notRun: false,
      };
    }
    if (!isRunRequest && err.status >= 500) return null;
    return { type: "engine_failed", message: "the model engine failed", notRun: false };
  }

  #finishLost(): void {
    this.finish("failed", this.#makeFail(engineLost()));
  }
}

function engineLost(notRun = false): Refusal {
  return { type: "engine_lost", message: "the model engine was lost", notRun };
}
