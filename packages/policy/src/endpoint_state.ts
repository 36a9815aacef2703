/**
 * What one entry knows of one endpoint.
 *
 * @module
 */
import type { RefusalReason, VersionId } from "@wisteriapick/core";
import type { AttemptOutcome, EndpointInfo, LoadView } from "./interfaces.ts";

// Refusals that say the endpoint is full, not broken.
const LOAD_REASONS: ReadonlySet<RefusalReason> = new Set([
  "overloaded",
  "queue_full",
  "cold_start",
  "memory_pressure",
]);
// Load at which an endpoint that has just refused is ranked: behind every one with room.
const REFUSED_LOAD = 1.5;
const WAIT_LOAD_MS = 1_000;
const SMOOTHING = 0.1;
// Steps get longer with each generation, whatever room is left; evens out batches under little load.
const LOAD_PER_GEN = 0.012;

/** Load as reported, plus what this entry sent since. */
export class EndpointState {
  readonly info: EndpointInfo;
  /** Order of this endpoint in the entry's subset. */
  readonly key: number;
  version: VersionId | null = null;
  leaving = false;
  ejectedUntilMs = 0;
  ejections = 0;
  /** Share of recent attempts that failed. */
  failureRate = 0;
  attempts = 0;
  /** Recent gap between tokens; 0 until known. */
  gapMs = 0;
  gapCount = 0;
  inFlight = 0;
  #load: LoadView | null = null;
  #loadAtMs = -Infinity;
  /** Attempts sent that no report covers yet. */
  #unseen = 0;
  #unseenTokens = 0;
  #refusedUntilMs = 0;

  constructor(info: EndpointInfo, key: number) {
    this.info = info;
    this.key = key;
  }

  /** Load from 0 to about 1, more when work would wait. */
  loadWith(tokens: number, nowMs: number): number {
    const load = this.#load;
    // Nothing is known: one request at a time until the first answer.
    if (load === null) return this.inFlight === 0 ? 0.3 : REFUSED_LOAD;
    const ahead = load.running + load.queued + this.#unseen + 1;
    const slots = ahead / Math.max(1, load.allowance);
    const memory = (load.kvUsedTokens + this.#unseenTokens + tokens) /
      Math.max(1, load.kvTotalTokens);
    const wait = load.expectedWaitMs / WAIT_LOAD_MS;
    const full = nowMs < this.#refusedUntilMs ? REFUSED_LOAD : 0;
    return Math.max(slots, memory) + LOAD_PER_GEN * (load.running + this.#unseen) + wait + full;
  }

  ageMs(nowMs: number): number {
    return Math.min(10_000, nowMs - this.#loadAtMs);
  }

  recordSent(tokens: number, _nowMs: number): void {
    this.inFlight++;
    this.#unseen++;
    this.#unseenTokens += tokens;
  }

  recordLoad(load: LoadView, nowMs: number): void {
    if (this.#load !== null && load.seq <= this.#load.seq && !this.#restarted(load)) return;
    this.#load = load;
    this.#loadAtMs = nowMs;
    this.version = load.version;
    this.leaving = load.leaving;
  }

  recordOutcome(outcome: AttemptOutcome, nowMs: number, backoffMs: number): void {
    switch (outcome.type) {
      case "admitted":
        this.#answered();
        this.recordLoad(outcome.load, nowMs);
        this.#refusedUntilMs = 0;
        return;
      case "not_run":
        this.#answered();
        this.#ended();
        this.recordLoad(outcome.load, nowMs);
        if (LOAD_REASONS.has(outcome.reason)) this.#refusedUntilMs = nowMs + backoffMs;
        return;
      case "gap":
        this.#recordGap(outcome.gapMs);
        return;
      case "ended":
        this.#ended();
        this.#count(0);
        if (outcome.load !== undefined) this.recordLoad(outcome.load, nowMs);
        return;
      case "failed":
        this.#answered();
        this.#ended();
        this.#count(1);
        return;
      case "abandoned":
        this.#ended();
        return;
      case "first_token":
        return;
    }
  }

  /** Forgets failures before a return to service, so that it is judged by what it does now. */
  resetOutlierStats(): void {
    this.failureRate = 0;
    this.attempts = 0;
    this.gapCount = 0;
    this.#load = null;
  }

  // A new side process starts its sequence again; it is recognised by a much lower number.
  #restarted(load: LoadView): boolean {
    return this.#load !== null && load.seq < this.#load.seq / 2 && load.seq < 1_000;
  }

  #answered(): void {
    if (this.#unseen === 0) return;
    this.#unseenTokens -= this.#unseenTokens / this.#unseen;
    this.#unseen--;
  }

  #ended(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
  }

  #count(failed: 0 | 1): void {
    this.attempts++;
    this.failureRate += SMOOTHING * (failed - this.failureRate);
  }

  #recordGap(gapMs: number): void {
    this.gapCount++;
    const weight = Math.max(0.02, 1 / this.gapCount);
    this.gapMs += weight * (gapMs - this.gapMs);
  }
}
