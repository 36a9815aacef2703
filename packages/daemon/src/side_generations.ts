/**
 * The generations of one side. Each id runs at most once, and entries can follow a generation from any offset.
 *
 * @module
 */
import {
  accountId,
  type GenerationId,
  type Refusal,
  type RefusalReason,
  type ServiceId,
  type Table,
  type World,
} from "@wisteriapick/core";
import {
  DEFAULT_MAX_TOKENS,
  GenerationLogStore,
  type GenerationLogStoreOptions,
} from "@wisteriapick/delivery";
import type { ModelEngine } from "@wisteriapick/clients";
import type { AdmissionAction, AdmissionRequest } from "@wisteriapick/policy";
import type {
  Fail,
  LinkStream,
  Resume,
  Run,
  StreamHandler,
  SuspectReport,
} from "@wisteriapick/wire";
import { PREFIX_BLOCK_TOKENS } from "./prompt_summary.ts";
import { IGNORE_STREAM, refuseRun, type SideContext } from "./side_context.ts";
import type { GenerationEnd } from "./side_follower.ts";
import { type GenerationTimes, SideGeneration } from "./side_generation.ts";
import { TurnBatch } from "./turn_batch.ts";

/** A row of the `generations` table, which operators can dump. */
export interface GenerationRow {
  readonly account: string | null;
  readonly sinceMs: number;
}

/** Options of {@link SideGenerations}. */
export interface SideGenerationsOptions {
  readonly engine: ModelEngine;
  readonly times: GenerationTimes;
  readonly world: World;
  readonly service: ServiceId;
  readonly logs?: GenerationLogStoreOptions;
  /** Called when a generation ends because its engine was lost, before the end is reported to admission. */
  onEngineLost(): void;
  /** Requests that are suspected of crashing endpoints. */
  suspects(): readonly SuspectReport[] | undefined;
}

const ADOPTED_ACCOUNT = accountId("adopted");

/** Runs generations at the engine and serves the logs of running and ended ones. */
export class SideGenerations {
  readonly #ctx: SideContext;
  readonly #o: SideGenerationsOptions;
  readonly #batch: TurnBatch;
  readonly #logs: GenerationLogStore<GenerationId, GenerationEnd>;
  readonly #running = new Map<GenerationId, SideGeneration>();
  readonly #queued = new Map<GenerationId, Run>();
  readonly #table: Table<GenerationId, GenerationRow>;
  #openStreams = 0;

  constructor(ctx: SideContext, options: SideGenerationsOptions) {
    this.#ctx = ctx;
    this.#o = options;
    this.#batch = new TurnBatch((err) => ctx.log.error({ err }, "sending tokens failed"));
    this.#logs = new GenerationLogStore(options.logs);
    this.#table = options.world.registerTable<GenerationId, GenerationRow>("generations").table;
  }

  /** Whether no generation is running and every entry has received all of the generations that it follows. */
  get isIdle(): boolean {
    return this.#running.size === 0 && this.#openStreams === 0;
  }

  onRun(run: Run, stream: LinkStream): StreamHandler {
    const existing = this.#running.get(run.gen);
    if (existing !== undefined) return this.#attach(existing, stream, 0);
    if (this.#logs.wasUsed(run.gen)) return this.#attachEnded(run.gen, stream, 0);
    const refusalReason = this.#ctx.gate(run);
    if (refusalReason !== null) return refuseRun(this.#ctx, stream, run.gen, refusalReason);
    const now = this.#ctx.clock.now();
    const decision = this.#ctx.admission.offer({ ...run, deadlineMs: now + run.remainingMs }, now);
    if (decision.type === "not_run") {
      return refuseRun(this.#ctx, stream, run.gen, decision.reason, decision.retryAfterMs);
    }
    const generation = this.#create(run);
    this.#queued.set(run.gen, run);
    stream.send({ kind: "admitted", load: this.#ctx.load(), about: run.gen });
    if (decision.type === "start") this.#start(run.gen);
    return this.#attach(generation, stream, 0);
  }

  onResume(msg: Resume, stream: LinkStream, ready: boolean): StreamHandler {
    const generation = this.#running.get(msg.gen);
    if (generation !== undefined) {
      if (generation.account !== null && generation.account !== msg.account) {
        return this.#failResume(msg.gen, stream, "resume_forbidden");
      }
      generation.account = msg.account;
      // Lets the entry know that this side is alive, as the next token may take long.
      stream.send({ kind: "admitted", load: this.#ctx.load(), about: msg.gen });
      return this.#attach(generation, stream, msg.offset);
    }
    if (this.#logs.wasUsed(msg.gen)) return this.#attachEnded(msg.gen, stream, msg.offset);
    if (!ready) return this.#failResume(msg.gen, stream, "side_not_ready");
    // The engine may still hold a generation from before this process started.
    const adopted = this.#create(msg);
    const handler = this.#attach(adopted, stream, msg.offset);
    adopted.adopt({ isConfirmed: false });
    return handler;
  }

  cancel(gen: GenerationId): void {
    this.#running.get(gen)?.cancel();
  }

  /**
   * Follows the generations that the engine already runs, so that a restarted side counts them and cancels those that
   * no entry follows within the grace period.
   */
  async adoptAll(): Promise<void> {
    for (const reported of await this.#o.engine.generations()) {
      if (reported.done || this.#logs.wasUsed(reported.gen)) continue;
      const adopted = this.#create({ gen: reported.gen, account: null });
      this.#ctx.admission.adopt(
        this.#adoptionRequest(reported.gen),
        reported.produced,
        this.#ctx.clock.now(),
      );
      adopted.adopt({ isConfirmed: true });
    }
  }

  /** Executes an action of admission. Returns false where it does not concern one of these generations. */
  perform(action: AdmissionAction): boolean {
    const generation = this.#running.get(action.gen);
    if (generation === undefined) return false;
    if (action.type === "start") this.#start(action.gen);
    else this.#expire(generation, action.reason, action.retryAfterMs);
    return true;
  }

  sweep(): void {
    this.#logs.sweep(this.#ctx.clock.now());
  }

  /** Releases all generations without cancelling them at the engine. */
  release(): void {
    for (const generation of this.#running.values()) generation.release();
  }

  #create(run: { gen: GenerationId; account: Run["account"] | null }): SideGeneration {
    const log = this.#logs.create(run.gen)!;
    const generation = new SideGeneration(run.gen, log, {
      engine: this.#o.engine,
      clock: this.#ctx.clock,
      batch: this.#batch,
      times: this.#o.times,
      hooks: {
        onToken: (gen, offset, gapMs) => this.#onToken(gen, offset, gapMs),
        onEnd: (gen, outcome, end) => this.#onEnd(gen, outcome, end),
        load: () => this.#ctx.load(),
        makeFail: (refusal) => this.#makeFail(refusal),
      },
    }, { account: run.account });
    this.#running.set(run.gen, generation);
    this.#o.world.update((sinceMs) =>
      this.#table.set(run.gen, { account: run.account, sinceMs: Math.round(sinceMs) })
    );
    return generation;
  }

  /** The admission request for a generation whose original request this process has never received. */
  #adoptionRequest(gen: GenerationId): AdmissionRequest {
    return {
      gen,
      service: this.#o.service,
      account: ADOPTED_ACCOUNT,
      weight: 1,
      promptTokens: 0,
      maxTokens: DEFAULT_MAX_TOKENS,
      priority: 0,
      deadlineMs: Infinity,
      digest: gen,
      attempt: 1,
    };
  }

  #makeFail(refusal: Refusal): Fail {
    const isCrash = refusal.type === "engine_lost" && refusal.notRun !== true;
    // The crash is recorded first, so that the message lists the requests that ran during it.
    if (isCrash) this.#o.onEngineLost();
    const suspects = isCrash ? this.#o.suspects() : undefined;
    return { kind: "fail", refusal, load: this.#ctx.load(), suspects };
  }

  #start(gen: GenerationId): void {
    const run = this.#queued.get(gen);
    if (run === undefined) return;
    this.#queued.delete(gen);
    const service = this.#ctx.config.current().services.get(run.service);
    const version = service?.versions.find((v) => v.id === run.version);
    const { prompt, maxTokens, stop, temperature, route, prefixes } = run;
    this.#running.get(gen)?.start({
      gen,
      model: version?.model ?? "",
      version: run.version,
      prompt,
      maxTokens,
      priority: this.#ctx.admission.enginePriority(gen),
      stop,
      temperature,
      route,
      prefixes,
      prefixTokens: PREFIX_BLOCK_TOKENS,
    });
  }

  #attach(generation: SideGeneration, stream: LinkStream, offset: number): StreamHandler {
    this.#openStreams++;
    const handler = generation.attach(stream, offset);
    return {
      ...handler,
      onClose: (err) => {
        this.#openStreams--;
        handler.onClose(err);
      },
    };
  }

  #attachEnded(gen: GenerationId, stream: LinkStream, offset: number): StreamHandler {
    const log = this.#logs.get(gen);
    if (log === null) return this.#failResume(gen, stream, "resume_expired");
    const ended = new SideGeneration(gen, log, {
      engine: this.#o.engine,
      clock: this.#ctx.clock,
      batch: this.#batch,
      times: this.#o.times,
      hooks: {
        onToken() {},
        onEnd() {},
        load: () => this.#ctx.load(),
        makeFail: (refusal) => this.#makeFail(refusal),
      },
    }, { account: null });
    return this.#attach(ended, stream, offset);
  }

  #failResume(gen: GenerationId, stream: LinkStream, type: RefusalReason): StreamHandler {
    this.#ctx.metrics.countRefusal(type);
    const refusal = { type, message: "the generation cannot be resumed here", notRun: false };
    stream.send({ kind: "fail", refusal, load: this.#ctx.load(), about: gen });
    stream.end();
    return IGNORE_STREAM;
  }

  #onToken(gen: GenerationId, offset: number, gapMs: number): void {
    const { admission, clock } = this.#ctx;
    const now = clock.now();
    if (offset === 0) admission.recordFirstToken(gen, gapMs, now);
    admission.recordTokens(gen, 1, offset === 0 ? 0 : gapMs, now);
  }

  #onEnd(gen: GenerationId, outcome: "done" | "failed" | "cancelled", end: GenerationEnd): void {
    const now = this.#ctx.clock.now();
    const reason = end.kind === "fail" ? end.refusal.type : undefined;
    if (reason !== undefined) this.#ctx.metrics.countRefusal(reason);
    this.#ctx.admission.recordEnd(gen, outcome, now);
    const account = this.#running.get(gen)?.account;
    this.#ctx.log.info(
      { gen, account, endpoint: this.#ctx.load().endpoint, how: outcome, reason },
      "ended",
    );
    this.#running.delete(gen);
    this.#queued.delete(gen);
    this.#logs.finish(gen, end, now);
    this.#o.world.update(() => this.#table.delete(gen));
    this.#ctx.runAdmission();
  }

  #expire(generation: SideGeneration, type: RefusalReason, retryAfterMs?: number): void {
    const message = "the request did not start in time";
    const refusal = { type, message, notRun: true, retryAfterMs };
    generation.finish("failed", { kind: "fail", refusal, load: this.#ctx.load() });
  }
}
