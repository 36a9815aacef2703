/**
 * Admission at one side: decides which requests start at its engine now, which are queued and which
 * are refused. It weighs the concurrency that the engine has been shown to sustain, the KV memory that
 * running generations are forecast to need, the fair shares of client accounts, and suspicion of
 * poison requests.
 *
 * @module
 */
import type { GenerationId, RefusalReason } from "@wisteriapick/core";
import { AccountShares, type AccountUsage } from "./account_shares.ts";
import { ColdStart } from "./cold_start.ts";
import { FairQueue, type QueueItem } from "./fair_queue.ts";
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

interface QueuedRequest extends QueueItem {
  readonly req: AdmissionRequest;
}

interface RunningGeneration {
  readonly req: AdmissionRequest;
  readonly curve: Float64Array;
  readonly chargedTokens: number;
  produced: number;
  /** Output tokens up to which the length estimator has counted this generation. */
  recordedTokens: number;
  nextRecordTokens: number;
  isSuspect: boolean;
  readonly usage: AccountUsage;
  readonly isHeavy: boolean;
}

type BlockingReason = "cold_start" | "memory_pressure" | "overloaded" | "next_step";

// The length estimator is updated each time a generation has grown by this factor.
const RECORD_GROWTH = 1.25;
const START_INTERVAL_SMOOTHING = 0.1;
// When no token has arrived for this long, all running generations are in prefill, and more prompts lengthen no gap.
const MAX_STEP_MS = 60;
// Each token changes the forecast a little; it is recomputed when it is this old.
const FORECAST_MAX_AGE_MS = 25;
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 10_000;

/**
 * Admits by learned concurrency and forecast memory, in the order of a queue that is fair between
 * client accounts.
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
  readonly #queue: FairQueue<QueuedRequest>;
  readonly #running = new Map<GenerationId, RunningGeneration>();
  readonly #queuedByGen = new Map<GenerationId, QueuedRequest>();
  readonly #forecast = new MemoryForecast();
  #kvTotalTokens: number;
  #crashCount = 0;
  #isDraining = false;
  /** Requests that were queued when the engine crashed; refused at the next tick. */
  #lostInCrash: GenerationId[] = [];
  #startIntervalMs = 200;
  #lastStartMs = -Infinity;
  #meanMemoryTokens = 500;
  readonly #promptSharing = new PromptSharing();
  readonly #accountShares: AccountShares;
  #forecastAtMs = -Infinity;
  /** Prompt tokens started since the last engine step, and the time of that step. */
  #stepPromptTokens = 0;
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
    this.#accountShares = new AccountShares(options.shares);
    this.#queue = new FairQueue({ agingMs: this.#cfg.agingMs });
    this.#kvTotalTokens = this.#cfg.kvTotalTokens;
  }

  /** Sets whether all new requests are refused; running generations continue. */
  setDraining(isDraining: boolean): void {
    this.#isDraining = isDraining;
  }

  /** Priority at the engine, lower first. The engine preempts heavy accounts first when memory fills. */
  override enginePriority(gen: GenerationId): number {
    const run = this.#running.get(gen);
    if (run === undefined) return 0;
    return 2 * run.req.priority + (run.isHeavy ? 1 : 0);
  }

  /** Takes over a generation that the engine already runs, after the side has restarted. */
  override adopt(req: AdmissionRequest, produced: number, nowMs: number): void {
    this.#start(req, nowMs);
    const run = this.#running.get(req.gen)!;
    run.produced = produced;
    run.recordedTokens = produced;
    run.nextRecordTokens = Math.max(1, produced * RECORD_GROWTH);
  }

  offer(req: AdmissionRequest, nowMs: number): AdmissionDecision {
    const refusal = this.#refusal(req, nowMs);
    if (refusal !== null) return refusal;
    const item = this.#enqueue(req, nowMs);
    this.#refreshForecast(nowMs);
    const blockingReason = this.#blockingReason(req, nowMs);
    // A request that fits may overtake a queue head that does not; aging bounds for how long.
    if (blockingReason === null && this.#mayOvertake(item, nowMs)) {
      this.#dequeue(item);
      this.#start(req, nowMs);
      return { type: "start" };
    }
    const waitMs = this.#expectedWaitMs();
    if (blockingReason === "next_step") return { type: "queued" };
    if (waitMs <= this.#cfg.maxWaitMs && nowMs + waitMs < req.deadlineMs) return { type: "queued" };
    this.#dequeue(item);
    return {
      type: "not_run",
      reason: blockingReason ?? "overloaded",
      retryAfterMs: this.#retryAfterMs(waitMs),
    };
  }

  recordTokens(gen: GenerationId, count: number, gapMs: number, nowMs: number): void {
    const run = this.#running.get(gen);
    if (run === undefined) return;
    // The time to the first token is not a gap between tokens.
    if (run.produced > 0) this.cold.recordGap(gapMs, count, this.#running.size, nowMs);
    if (nowMs > this.#stepAtMs) {
      this.#stepAtMs = nowMs;
      this.#stepPromptTokens = 0;
    }
    run.produced += count;
    run.usage.tokens += count;
    if (run.isSuspect && run.produced >= this.#cfg.clearTokens) {
      run.isSuspect = false;
      this.quarantine.recordCleared(run.req.digest, nowMs);
    }
    if (run.produced < run.nextRecordTokens) return;
    this.lengths.recordProgress(run.req.service, run.req.account, run.recordedTokens, run.produced);
    run.recordedTokens = run.produced;
    run.nextRecordTokens = run.produced * RECORD_GROWTH;
  }

  recordFirstToken(_gen: GenerationId, _waitMs: number, _nowMs: number): void {}

  recordEnd(gen: GenerationId, outcome: "done" | "failed" | "cancelled", _nowMs: number): void {
    const queued = this.#queuedByGen.get(gen);
    if (queued !== undefined) this.#dequeue(queued);
    const run = this.#running.get(gen);
    if (run === undefined) return;
    this.#running.delete(gen);
    this.#forecastAtMs = -Infinity;
    const { service, account, weight, promptTokens } = run.req;
    this.#queue.adjustCharge(account, promptTokens + run.produced - run.chargedTokens, weight);
    if (outcome !== "done") return;
    this.lengths.recordEnd(service, account, run.produced, run.recordedTokens);
    const memoryTokens = promptTokens * this.#promptSharing.unsharedFraction + run.produced;
    this.#meanMemoryTokens += 0.02 * (memoryTokens - this.#meanMemoryTokens);
  }

  recordEngineLoad(
    load: { running: number; kvUsedTokens: number; kvTotalTokens: number },
    ageMs: number,
    nowMs: number,
  ): void {
    if (load.kvTotalTokens > 0) this.#kvTotalTokens = load.kvTotalTokens;
    this.#promptSharing.record(this.#running.values(), nowMs);
    this.#promptSharing.compare(load, nowMs - ageMs);
  }

  recordEngineCrash(nowMs: number): void {
    this.#crashCount++;
    const crashId = `${this.#cfg.name}#${this.#crashCount}@${Math.round(nowMs)}`;
    for (const run of this.#running.values()) {
      this.quarantine.recordCrash(run.req.digest, crashId, nowMs);
    }
    this.#running.clear();
    this.#forecastAtMs = -Infinity;
    this.#lostInCrash.push(...this.#queuedByGen.keys());
    for (const item of [...this.#queuedByGen.values()]) this.#dequeue(item);
    this.cold.reset();
  }

  tick(nowMs: number): AdmissionAction[] {
    const actions: AdmissionAction[] = this.#lostInCrash.map((gen) => ({
      type: "not_run",
      gen,
      reason: "engine_failed",
    }));
    this.#lostInCrash = [];
    for (const item of [...this.#queuedByGen.values()]) {
      const reason = this.#expiryReason(item, nowMs);
      if (reason === null) continue;
      this.#dequeue(item);
      actions.push({ type: "not_run", gen: item.req.gen, reason });
    }
    if (this.#queuedByGen.size > 0) this.#startQueued(nowMs, actions);
    return actions;
  }

  load(nowMs: number): Pick<
    LoadView,
    "running" | "queued" | "allowance" | "kvUsedTokens" | "kvTotalTokens" | "expectedWaitMs"
  > {
    this.#refreshForecast(nowMs);
    let usedTokens = 0;
    for (const run of this.#running.values()) {
      usedTokens += run.req.promptTokens * this.#promptSharing.unsharedFraction + run.produced;
    }
    const running = this.#running.size;
    const freeTokens = this.#memoryLimitTokens() - this.#forecast.peakTokens(this.#cfg.memoryZ);
    const fittingCount = Math.max(0, Math.floor(freeTokens / this.#meanMemoryTokens));
    return {
      running,
      queued: this.#queuedByGen.size,
      allowance: Math.min(this.cold.allowance(running, nowMs), running + fittingCount),
      kvUsedTokens: Math.round(usedTokens),
      kvTotalTokens: this.#kvTotalTokens,
      expectedWaitMs: this.#queuedByGen.size === 0 && fittingCount > 0 ? 0 : this.#expectedWaitMs(),
    };
  }

  #refusal(req: AdmissionRequest, nowMs: number): AdmissionDecision | null {
    if (nowMs >= req.deadlineMs) return { type: "not_run", reason: "deadline_exceeded" };
    if (this.#isDraining) return { type: "not_run", reason: "endpoint_leaving" };
    const quarantinedMs = this.quarantine.remainingMs(req.digest, nowMs);
    if (quarantinedMs > 0) {
      return { type: "not_run", reason: "quarantined", retryAfterMs: quarantinedMs };
    }
    if (this.#queuedByGen.size < this.#cfg.maxQueue) return null;
    const retryAfterMs = this.#retryAfterMs(this.#expectedWaitMs());
    return { type: "not_run", reason: "queue_full", retryAfterMs };
  }

  #enqueue(req: AdmissionRequest, nowMs: number): QueuedRequest {
    const expected = this.lengths.expectedRemaining(req.service, req.account, 0, req.maxTokens);
    const item: QueuedRequest = {
      req,
      account: req.account,
      weight: req.weight,
      rank: req.priority + (expected <= this.#cfg.shortTokens ? 0 : 1),
      cost: req.promptTokens + expected,
      queuedAtMs: nowMs,
    };
    this.#queue.push(item);
    this.#queuedByGen.set(req.gen, item);
    return item;
  }

  #dequeue(item: QueuedRequest): void {
    this.#queue.remove(item);
    this.#queuedByGen.delete(item.req.gen);
  }

  #start(req: AdmissionRequest, nowMs: number): void {
    const chargedTokens = req.promptTokens +
      this.lengths.expectedRemaining(req.service, req.account, 0, req.maxTokens);
    const run: RunningGeneration = {
      req,
      curve: this.lengths.survivalCurve(req.service, req.account),
      chargedTokens,
      produced: 0,
      recordedTokens: 0,
      nextRecordTokens: 1,
      isSuspect: this.#isSuspect(req, nowMs),
      usage: this.#accountShares.usage(req.account, req.weight),
      isHeavy: this.#accountShares.isHeavy(req.account, nowMs),
    };
    run.usage.tokens += req.promptTokens;
    this.#stepPromptTokens += req.promptTokens;
    this.#running.set(req.gen, run);
    this.#forecast.add(this.#forecastItem(run));
    this.#queue.charge(req.account, chargedTokens, req.weight);
    if (Number.isFinite(this.#lastStartMs)) {
      const intervalMs = Math.min(5_000, nowMs - this.#lastStartMs);
      this.#startIntervalMs += START_INTERVAL_SMOOTHING * (intervalMs - this.#startIntervalMs);
    }
    this.#lastStartMs = nowMs;
  }

  #isSuspect(req: AdmissionRequest, nowMs: number): boolean {
    return (req.suspectCrashes ?? 0) > 0 || this.quarantine.crashCount(req.digest, nowMs) > 0;
  }

  #memoryLimitTokens(): number {
    return this.#kvTotalTokens * this.#cfg.memoryShare;
  }

  #refreshForecast(nowMs: number): void {
    if (nowMs - this.#forecastAtMs < FORECAST_MAX_AGE_MS) return;
    this.#forecastAtMs = nowMs;
    this.#forecast.clear();
    for (const run of this.#running.values()) this.#forecast.add(this.#forecastItem(run));
  }

  #forecastItem(run: RunningGeneration) {
    const { curve, produced, req } = run;
    const promptTokens = req.promptTokens * this.#promptSharing.unsharedFraction;
    return { curve, promptTokens, produced, maxTokens: req.maxTokens };
  }

  /** What keeps a request from starting now, or `null`. Requires a fresh forecast. */
  #blockingReason(req: AdmissionRequest, nowMs: number): BlockingReason | null {
    const running = this.#running.size;
    if (running >= this.cold.allowance(running, nowMs)) return "cold_start";
    if (this.#isSuspect(req, nowMs) && [...this.#running.values()].some((r) => r.isSuspect)) {
      return "overloaded";
    }
    // An idle engine takes any request: one that exceeds the limit would otherwise never start.
    if (running === 0) return null;
    const curve = this.lengths.survivalCurve(req.service, req.account);
    const promptTokens = req.promptTokens * this.#promptSharing.unsharedFraction;
    const item = { curve, promptTokens, produced: 0, maxTokens: req.maxTokens };
    const peak = this.#forecast.peakWith(item, this.#cfg.memoryZ);
    const isHeavy = this.#accountShares.isHeavy(req.account, nowMs);
    const limit = isHeavy
      ? this.#kvTotalTokens * this.#cfg.heavyMemoryShare
      : this.#memoryLimitTokens();
    if (peak > limit) return "memory_pressure";
    return this.#fitsStep(req, nowMs) ? null : "next_step";
  }

  #fitsStep(req: AdmissionRequest, nowMs: number): boolean {
    if (this.#stepPromptTokens === 0 || nowMs - this.#stepAtMs > MAX_STEP_MS) return true;
    return this.#stepPromptTokens + req.promptTokens <= this.#cfg.stepPromptTokens;
  }

  #mayOvertake(item: QueuedRequest, nowMs: number): boolean {
    const head = this.#queue.peek(nowMs);
    return head === item || head === null || nowMs - head.queuedAtMs < this.#cfg.agingMs;
  }

  #startQueued(nowMs: number, actions: AdmissionAction[]): void {
    this.#refreshForecast(nowMs);
    for (let item = this.#queue.peek(nowMs); item !== null; item = this.#queue.peek(nowMs)) {
      if (this.#blockingReason(item.req, nowMs) !== null) return;
      this.#dequeue(item);
      this.#start(item.req, nowMs);
      actions.push({ type: "start", gen: item.req.gen });
    }
  }

  #expiryReason(item: QueuedRequest, nowMs: number): RefusalReason | null {
    if (nowMs >= item.req.deadlineMs) return "deadline_exceeded";
    if (this.quarantine.remainingMs(item.req.digest, nowMs) > 0) return "quarantined";
    // After twice the longest allowed time in the queue, the estimate was wrong and another endpoint may be faster.
    return nowMs - item.queuedAtMs > 2 * this.#cfg.maxWaitMs ? "overloaded" : null;
  }

  #expectedWaitMs(): number {
    return this.#startIntervalMs * Math.max(1, this.#queuedByGen.size);
  }

  #retryAfterMs(waitMs: number): number {
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)));
  }
}
