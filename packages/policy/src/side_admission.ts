/**
 * Admission at one side: what starts, waits or is refused.
 *
 * @module
 */
import type { GenerationId, RefusalReason } from "@wisteriapick/core";
import { AccountShares, type AccountUse } from "./account_shares.ts";
import { ColdStart } from "./cold_start.ts";
import { FairQueue, type Queued } from "./fair_queue.ts";
import {
  Admission,
  type AdmissionAction,
  type AdmissionDecision,
  type AdmissionRequest,
  type LoadView,
} from "./interfaces.ts";
import { LengthEstimator } from "./length_estimator.ts";
import { MemoryForecast } from "./memory_forecast.ts";
import { PromptSharing } from "./prompt_sharing.ts";
import { Quarantine } from "./quarantine.ts";
import type { SideAdmissionOptions } from "./side_options.ts";

interface Waiting extends Queued {
  readonly req: AdmissionRequest;
}

interface Running {
  readonly req: AdmissionRequest;
  readonly curve: Float64Array;
  readonly charged: number;
  produced: number;
  /** Tokens up to which the length estimate knows of this generation. */
  recorded: number;
  nextRecord: number;
  suspect: boolean;
  readonly use: AccountUse;
  readonly heavy: boolean;
}

type Blocked = "cold_start" | "memory_pressure" | "overloaded" | "next_step";

// Progress is recorded each time a generation has grown by this factor.
const RECORD_GROWTH = 1.25;
const WAIT_SMOOTHING = 0.1;
// Without a token for this long, all that runs is in its prompt, and nobody's gap suffers.
const LONGEST_STEP_MS = 60;
// The forecast moves with each token; this much later it is made anew.
const FORECAST_MS = 25;
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 10_000;

/**
 * Admission by learned concurrency and forecast memory.
 *
 * @example
 * ```ts
 * const admission = new SideAdmission({ kvTotalTokens: 60_000 });
 * const decision = admission.offer(req, clock.now());
 * ```
 */
export class SideAdmission extends Admission {
  readonly #cfg: Required<Omit<SideAdmissionOptions, "cold" | "shares" | "lengths" | "quarantine">>;
  readonly lengths: LengthEstimator;
  readonly quarantine: Quarantine;
  readonly cold: ColdStart;
  readonly #queue: FairQueue<Waiting>;
  readonly #running = new Map<GenerationId, Running>();
  readonly #waiting = new Map<GenerationId, Waiting>();
  readonly #forecast = new MemoryForecast();
  #kvTotal: number;
  #crashes = 0;
  #draining = false;
  /** Refused at the next tick because the engine died before they ran. */
  #dropped: GenerationId[] = [];
  #startIntervalMs = 200;
  #lastStartMs = -Infinity;
  #meanTokens = 500;
  readonly #sharing = new PromptSharing();
  readonly #shares: AccountShares;
  #forecastAtMs = -Infinity;
  /** Prompt tokens started since the last step, and when that was. */
  #stepPrompts = 0;
  #stepAtMs = -Infinity;

  constructor(options: SideAdmissionOptions = {}) {
    super();
    this.#cfg = {
      kvTotalTokens: options.kvTotalTokens ?? 60_000,
      memoryShare: options.memoryShare ?? 0.97,
      memoryZ: options.memoryZ ?? 1,
      heavyMemoryShare: options.heavyMemoryShare ?? 0.85,
      maxWaitMs: options.maxWaitMs ?? 400,
      maxQueue: options.maxQueue ?? 16,
      shortTokens: options.shortTokens ?? 96,
      agingMs: options.agingMs ?? 1_000,
      stepPromptTokens: options.stepPromptTokens ?? 500,
      clearTokens: options.clearTokens ?? 8,
      name: options.name ?? "endpoint",
    };
    this.lengths = options.lengths ?? new LengthEstimator();
    this.quarantine = options.quarantine ?? new Quarantine();
    this.cold = new ColdStart(options.cold);
    this.#shares = new AccountShares(options.shares);
    this.#queue = new FairQueue({ agingMs: this.#cfg.agingMs });
    this.#kvTotal = this.#cfg.kvTotalTokens;
  }

  /** Refuses all new work while set. */
  setDraining(draining: boolean): void {
    this.#draining = draining;
  }

  /** Priority at the engine, lower first: when memory fills, heavy accounts are preempted first. */
  override enginePriority(gen: GenerationId): number {
    const run = this.#running.get(gen);
    if (run === undefined) return 0;
    return 2 * run.req.priority + (run.heavy ? 1 : 0);
  }

  /** Takes over a generation that the engine already runs, after a restart of the side. */
  override adopt(req: AdmissionRequest, produced: number, nowMs: number): void {
    this.#start(req, nowMs);
    const run = this.#running.get(req.gen)!;
    run.produced = produced;
    run.recorded = produced;
    run.nextRecord = Math.max(1, produced * RECORD_GROWTH);
  }

  offer(req: AdmissionRequest, nowMs: number): AdmissionDecision {
    const refusal = this.#refusal(req, nowMs);
    if (refusal !== null) return refusal;
    const item = this.#enqueue(req, nowMs);
    this.#prepare(nowMs);
    const blocked = this.#blocked(req, nowMs);
    // Work that fits may pass a head that does not; aging bounds how often.
    if (blocked === null && this.#mayPass(item, nowMs)) {
      this.#unqueue(item);
      this.#start(req, nowMs);
      return { type: "start" };
    }
    const waitMs = this.#expectedWaitMs();
    if (blocked === "next_step") return { type: "queued" };
    if (waitMs <= this.#cfg.maxWaitMs && nowMs + waitMs < req.deadlineMs) return { type: "queued" };
    this.#unqueue(item);
    return {
      type: "not_run",
      reason: blocked ?? "overloaded",
      retryAfterMs: this.#retryAfterMs(waitMs),
    };
  }

  recordTokens(gen: GenerationId, count: number, gapMs: number, nowMs: number): void {
    const run = this.#running.get(gen);
    if (run === undefined) return;
    // The wait for the first token is not a gap.
    if (run.produced > 0) this.cold.recordGap(gapMs, count, this.#running.size, nowMs);
    if (nowMs > this.#stepAtMs) {
      this.#stepAtMs = nowMs;
      this.#stepPrompts = 0;
    }
    run.produced += count;
    run.use.tokens += count;
    if (run.suspect && run.produced >= this.#cfg.clearTokens) {
      run.suspect = false;
      this.quarantine.recordCleared(run.req.digest, nowMs);
    }
    if (run.produced < run.nextRecord) return;
    this.lengths.recordProgress(run.req.service, run.req.account, run.recorded, run.produced);
    run.recorded = run.produced;
    run.nextRecord = run.produced * RECORD_GROWTH;
  }

  recordFirstToken(_gen: GenerationId, _waitMs: number, _nowMs: number): void {}

  recordEnd(gen: GenerationId, how: "done" | "failed" | "cancelled", _nowMs: number): void {
    const waiting = this.#waiting.get(gen);
    if (waiting !== undefined) this.#unqueue(waiting);
    const run = this.#running.get(gen);
    if (run === undefined) return;
    this.#running.delete(gen);
    this.#forecastAtMs = -Infinity;
    const { service, account, weight, promptTokens } = run.req;
    this.#queue.correct(account, promptTokens + run.produced - run.charged, weight);
    if (how !== "done") return;
    this.lengths.recordEnd(service, account, run.produced, run.recorded);
    const own = promptTokens * this.#sharing.share + run.produced;
    this.#meanTokens += 0.02 * (own - this.#meanTokens);
  }

  recordEngineLoad(
    load: { running: number; kvUsedTokens: number; kvTotalTokens: number },
    ageMs: number,
    nowMs: number,
  ): void {
    if (load.kvTotalTokens > 0) this.#kvTotal = load.kvTotalTokens;
    this.#sharing.record(this.#running.values(), nowMs);
    this.#sharing.compare(load, nowMs - ageMs);
  }

  recordEngineCrash(nowMs: number): void {
    this.#crashes++;
    const crashId = `${this.#cfg.name}#${this.#crashes}@${Math.round(nowMs)}`;
    for (const run of this.#running.values()) {
      this.quarantine.recordCrash(run.req.digest, crashId, nowMs);
    }
    this.#running.clear();
    this.#forecastAtMs = -Infinity;
    this.#dropped.push(...this.#waiting.keys());
    for (const item of [...this.#waiting.values()]) this.#unqueue(item);
    this.cold.reset();
  }

  tick(nowMs: number): AdmissionAction[] {
    const actions: AdmissionAction[] = this.#dropped.map((gen) => ({
      type: "not_run",
      gen,
      reason: "engine_failed",
    }));
    this.#dropped = [];
    for (const item of [...this.#waiting.values()]) {
      const reason = this.#expiry(item, nowMs);
      if (reason === null) continue;
      this.#unqueue(item);
      actions.push({ type: "not_run", gen: item.req.gen, reason });
    }
    if (this.#waiting.size > 0) this.#startWaiting(nowMs, actions);
    return actions;
  }

  load(nowMs: number): Pick<
    LoadView,
    "running" | "queued" | "allowance" | "kvUsedTokens" | "kvTotalTokens" | "expectedWaitMs"
  > {
    this.#prepare(nowMs);
    let used = 0;
    for (const run of this.#running.values()) {
      used += run.req.promptTokens * this.#sharing.share + run.produced;
    }
    const running = this.#running.size;
    const room = this.#limitTokens() - this.#forecast.peakTokens(this.#cfg.memoryZ);
    const fits = Math.max(0, Math.floor(room / this.#meanTokens));
    return {
      running,
      queued: this.#waiting.size,
      allowance: Math.min(this.cold.allowance(running, nowMs), running + fits),
      kvUsedTokens: Math.round(used),
      kvTotalTokens: this.#kvTotal,
      expectedWaitMs: this.#waiting.size === 0 && fits > 0 ? 0 : this.#expectedWaitMs(),
    };
  }

  #refusal(req: AdmissionRequest, nowMs: number): AdmissionDecision | null {
    if (nowMs >= req.deadlineMs) return { type: "not_run", reason: "deadline_exceeded" };
    if (this.#draining) return { type: "not_run", reason: "endpoint_leaving" };
    const quarantinedMs = this.quarantine.remainingMs(req.digest, nowMs);
    if (quarantinedMs > 0) {
      return { type: "not_run", reason: "quarantined", retryAfterMs: quarantinedMs };
    }
    if (this.#waiting.size < this.#cfg.maxQueue) return null;
    const retryAfterMs = this.#retryAfterMs(this.#expectedWaitMs());
    return { type: "not_run", reason: "queue_full", retryAfterMs };
  }

  #enqueue(req: AdmissionRequest, nowMs: number): Waiting {
    const expected = this.lengths.expectedRemaining(req.service, req.account, 0, req.maxTokens);
    const item: Waiting = {
      req,
      account: req.account,
      weight: req.weight,
      rank: req.priority + (expected <= this.#cfg.shortTokens ? 0 : 1),
      cost: req.promptTokens + expected,
      queuedAtMs: nowMs,
    };
    this.#queue.push(item);
    this.#waiting.set(req.gen, item);
    return item;
  }

  #unqueue(item: Waiting): void {
    this.#queue.remove(item);
    this.#waiting.delete(item.req.gen);
  }

  #start(req: AdmissionRequest, nowMs: number): void {
    const charged = req.promptTokens +
      this.lengths.expectedRemaining(req.service, req.account, 0, req.maxTokens);
    const run: Running = {
      req,
      curve: this.lengths.survivalCurve(req.service, req.account),
      charged,
      produced: 0,
      recorded: 0,
      nextRecord: 1,
      suspect: this.#isSuspect(req, nowMs),
      use: this.#shares.use(req.account, req.weight),
      heavy: this.#shares.isHeavy(req.account, nowMs),
    };
    run.use.tokens += req.promptTokens;
    this.#stepPrompts += req.promptTokens;
    this.#running.set(req.gen, run);
    this.#forecast.add(this.#item(run));
    this.#queue.charge(req.account, charged, req.weight);
    if (Number.isFinite(this.#lastStartMs)) {
      const interval = Math.min(5_000, nowMs - this.#lastStartMs);
      this.#startIntervalMs += WAIT_SMOOTHING * (interval - this.#startIntervalMs);
    }
    this.#lastStartMs = nowMs;
  }

  #isSuspect(req: AdmissionRequest, nowMs: number): boolean {
    return (req.suspectCrashes ?? 0) > 0 || this.quarantine.crashCount(req.digest, nowMs) > 0;
  }

  #limitTokens(): number {
    return this.#kvTotal * this.#cfg.memoryShare;
  }

  #prepare(nowMs: number): void {
    if (nowMs - this.#forecastAtMs < FORECAST_MS) return;
    this.#forecastAtMs = nowMs;
    this.#forecast.clear();
    for (const run of this.#running.values()) this.#forecast.add(this.#item(run));
  }

  #item(run: Running) {
    const { curve, produced, req } = run;
    const promptTokens = req.promptTokens * this.#sharing.share;
    return { curve, promptTokens, produced, maxTokens: req.maxTokens };
  }

  /** Why a request cannot start now. Needs a prepared forecast. */
  #blocked(req: AdmissionRequest, nowMs: number): Blocked | null {
    const running = this.#running.size;
    if (running >= this.cold.allowance(running, nowMs)) return "cold_start";
    if (this.#isSuspect(req, nowMs) && [...this.#running.values()].some((r) => r.suspect)) {
      return "overloaded";
    }
    // An empty engine takes anything: nothing else would ever run it.
    if (running === 0) return null;
    const curve = this.lengths.survivalCurve(req.service, req.account);
    const promptTokens = req.promptTokens * this.#sharing.share;
    const item = { curve, promptTokens, produced: 0, maxTokens: req.maxTokens };
    const peak = this.#forecast.peakWith(item, this.#cfg.memoryZ);
    const heavy = this.#shares.isHeavy(req.account, nowMs);
    const limit = heavy ? this.#kvTotal * this.#cfg.heavyMemoryShare : this.#limitTokens();
    if (peak > limit) return "memory_pressure";
    return this.#fitsStep(req, nowMs) ? null : "next_step";
  }

  #fitsStep(req: AdmissionRequest, nowMs: number): boolean {
    if (this.#stepPrompts === 0 || nowMs - this.#stepAtMs > LONGEST_STEP_MS) return true;
    return this.#stepPrompts + req.promptTokens <= this.#cfg.stepPromptTokens;
  }

  #mayPass(item: Waiting, nowMs: number): boolean {
    const head = this.#queue.peek(nowMs);
    return head === item || head === null || nowMs - head.queuedAtMs < this.#cfg.agingMs;
  }

  #startWaiting(nowMs: number, actions: AdmissionAction[]): void {
    this.#prepare(nowMs);
    for (let item = this.#queue.peek(nowMs); item !== null; item = this.#queue.peek(nowMs)) {
      if (this.#blocked(item.req, nowMs) !== null) return;
      this.#unqueue(item);
      this.#start(item.req, nowMs);
      actions.push({ type: "start", gen: item.req.gen });
    }
  }

  #expiry(item: Waiting, nowMs: number): RefusalReason | null {
    if (nowMs >= item.req.deadlineMs) return "deadline_exceeded";
    if (this.quarantine.remainingMs(item.req.digest, nowMs) > 0) return "quarantined";
    // Twice the longest expected wait: the estimate was wrong, and another endpoint may be better.
    return nowMs - item.queuedAtMs > 2 * this.#cfg.maxWaitMs ? "overloaded" : null;
  }

  #expectedWaitMs(): number {
    return this.#startIntervalMs * Math.max(1, this.#waiting.size);
  }

  #retryAfterMs(waitMs: number): number {
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)));
  }
}
