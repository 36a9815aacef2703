/**
 * State that one entry keeps of one endpoint: its reported load, the attempts sent since, and its
 * recent failures and token gaps. Placement compares endpoints by the load computed here.
 *
 * @module
 */
import type { RefusalReason, VersionId } from "@wisteriapick/core";
import type { AttemptOutcome, EndpointInfo, LoadView } from "./interfaces.ts";

// Refusals by which an endpoint says that it is full, not faulty.
const CAPACITY_REASONS: ReadonlySet<RefusalReason> = new Set([
  "overloaded",
  "queue_full",
  "cold_start",
  "memory_pressure",
]);
// Load added to an endpoint that has just refused for load, so that it ranks behind all endpoints with capacity.
const BACKOFF_LOAD = 1.5;
const WAIT_PER_LOAD_MS = 1_000;
const SMOOTHING = 0.1;
// Each running generation lengthens the engine's steps, whatever capacity is left. Evens out batches under light load.
const LOAD_PER_GEN = 0.012;

/** Load as reported, plus what this entry has sent since the report. */
export class EndpointState {
  readonly info: EndpointInfo;
  /** Hash that ranks this endpoint for the entry's subset; the lowest are in it. */
  readonly rank: number;
  version: VersionId | null = null;
  leaving = false;
  ejectedUntilMs = 0;
  ejections = 0;
  /** Fraction of recent attempts that failed. */
  failureRate = 0;
  attempts = 0;
  /** Recent mean gap between tokens; 0 until known. */
  gapMs = 0;
  gapCount = 0;
  inFlight = 0;
  #load: LoadView | null = null;
  #loadAtMs = -Infinity;
  /** Attempts sent that no load report includes yet. */
  #unreportedAttempts = 0;
  #unreportedTokens = 0;
  #refusedUntilMs = 0;

  constructor(info: EndpointInfo, rank: number) {
    this.info = info;
    this.rank = rank;
  }

  /**
   * Load if a request of `tokens` tokens were sent now: 0 is idle, 1 about full, more means that it
   * would be queued.
   */
  loadWith(tokens: number, nowMs: number): number {
    const load = this.#load;
    // Without any load report, one request at a time is sent until the first response.
    if (load === null) return this.inFlight === 0 ? 0.3 : BACKOFF_LOAD;
    const requests = load.running + load.queued + this.#unreportedAttempts + 1;
    const concurrencyLoad = requests / Math.max(1, load.allowance);
    const memoryLoad = (load.kvUsedTokens + this.#unreportedTokens + tokens) /
      Math.max(1, load.kvTotalTokens);
    const waitLoad = load.expectedWaitMs / WAIT_PER_LOAD_MS;
    const backoffLoad = nowMs < this.#refusedUntilMs ? BACKOFF_LOAD : 0;
    return Math.max(concurrencyLoad, memoryLoad) +
      LOAD_PER_GEN * (load.running + this.#unreportedAttempts) + waitLoad + backoffLoad;
  }

  ageMs(nowMs: number): number {
    return Math.min(10_000, nowMs - this.#loadAtMs);
  }

  recordSent(tokens: number, _nowMs: number): void {
    this.inFlight++;
    this.#unreportedAttempts++;
    this.#unreportedTokens += tokens;
  }

  recordLoad(load: LoadView, nowMs: number): void {
    if (this.#load !== null && load.seq <= this.#load.seq && !this.#hasRestarted(load)) return;
    this.#load = load;
    this.#loadAtMs = nowMs;
    this.version = load.version;
    this.leaving = load.leaving;
  }

  recordOutcome(outcome: AttemptOutcome, nowMs: number, backoffMs: number): void {
    switch (outcome.type) {
      case "admitted":
        this.#markReported();
        this.recordLoad(outcome.load, nowMs);
        this.#refusedUntilMs = 0;
        return;
      case "not_run":
        this.#markReported();
        this.#markEnded();
        this.recordLoad(outcome.load, nowMs);
        if (CAPACITY_REASONS.has(outcome.reason)) this.#refusedUntilMs = nowMs + backoffMs;
        return;
      case "gap":
        this.#recordGap(outcome.gapMs);
        return;
      case "ended":
        this.#markEnded();
        this.#countAttempt(0);
        if (outcome.load !== undefined) this.recordLoad(outcome.load, nowMs);
        return;
      case "failed":
        this.#markReported();
        this.#markEnded();
        this.#countAttempt(1);
        return;
      case "abandoned":
        this.#markEnded();
        return;
      case "first_token":
        return;
    }
  }

  /**
   * Clears failures, gaps and load at ejection, so that after its return the endpoint is rated by
   * its behaviour then.
   */
  resetStatistics(): void {
    this.failureRate = 0;
    this.attempts = 0;
    this.gapCount = 0;
    this.#load = null;
  }

  // A new side process numbers its reports from the start again; a much lower number shows that.
  #hasRestarted(load: LoadView): boolean {
    return this.#load !== null && load.seq < this.#load.seq / 2 && load.seq < 1_000;
  }

  #markReported(): void {
    if (this.#unreportedAttempts === 0) return;
    this.#unreportedTokens -= this.#unreportedTokens / this.#unreportedAttempts;
    this.#unreportedAttempts--;
  }

  #markEnded(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
  }

  #countAttempt(failed: 0 | 1): void {
    this.attempts++;
    this.failureRate += SMOOTHING * (failed - this.failureRate);
  }

  #recordGap(gapMs: number): void {
    this.gapCount++;
    const weight = Math.max(0.02, 1 / this.gapCount);
    this.gapMs += weight * (gapMs - this.gapMs);
  }
}
