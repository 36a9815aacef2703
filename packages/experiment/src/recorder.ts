/**
 * Records the responses as callers see them, in the same way for every policy.
 *
 * @module
 */
import type { RefusalReason } from "@wisteriapick/core";
import { build, type Histogram } from "hdr-histogram-js";
import { CLIENT_DELAY_MS } from "./delays.ts";
import type { GroupOutcome, Integrity, Job, Measures, PolicyResult, Quantiles } from "./types.ts";

/** Time to the first token beyond which the wait counts as stall. */
export const FIRST_TOKEN_LIMIT_MS = 340;
/** Gap between tokens beyond which the wait counts as stall. */
export const GAP_LIMIT_MS = 49;

// Gaps are recorded in units of 10 microseconds; three significant digits are precise enough for a ratio.
const GAP_UNIT_MS = 0.01;

interface RequestRecord {
  readonly job: Job;
  firstMs: number;
  lastMs: number;
  stallMs: number;
  tokens: number;
  /** Tokens that reached the caller before the arrivals ended. */
  tokensInWindow: number;
  attempt: number;
  outcome: "open" | "completed" | "refused" | "failed";
}

/** Event counts of all engines at the end of a run. */
export interface EngineCounts {
  readonly preemptions: number;
  readonly coldOverloads: number;
  readonly crashes: number;
  readonly poisonCrashes: number;
}

/** Records of the requests of one run. */
export class Recorder {
  readonly #records: RequestRecord[] = [];
  readonly #windowMs: number;
  readonly #gaps: Histogram = build({ numberOfSignificantValueDigits: 3 });
  readonly #refusals = new Map<string, number>();
  #duplicated = 0;
  #spliced = 0;
  #lost = 0;

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  arrive(job: Job): void {
    this.#records[job.index] = {
      job,
      firstMs: -1,
      lastMs: -1,
      stallMs: 0,
      tokens: 0,
      tokensInWindow: 0,
      attempt: -1,
      outcome: "open",
    };
  }

  /** Records that the caller receives token `offset` of the given attempt. */
  token(index: number, attempt: number, offset: number, nowMs: number): void {
    const record = this.#records[index]!;
    if (record.outcome !== "open") this.#duplicated++;
    if (record.attempt !== attempt && record.tokens > 0) this.#spliced++;
    if (offset < record.tokens) this.#duplicated++;
    if (offset > record.tokens) this.#lost++;
    record.attempt = attempt;
    if (record.lastMs < 0) this.#recordFirstToken(record, nowMs);
    else this.#recordGap(record, nowMs - record.lastMs);
    record.lastMs = nowMs;
    record.tokens++;
    if (nowMs <= this.#windowMs) record.tokensInWindow++;
  }

  /** Drops the buffered tokens of a response whose request has to run again. */
  discard(index: number): void {
    const record = this.#records[index]!;
    if (record.job.streamed && record.tokens > 0) this.#spliced++;
    record.tokens = 0;
    record.tokensInWindow = 0;
  }

  completed(index: number): void {
    const record = this.#records[index]!;
    if (record.outcome !== "open") this.#duplicated++;
    if (record.tokens !== record.job.outputTokens) this.#lost++;
    record.outcome = "completed";
  }

  refused(index: number, reason: RefusalReason): void {
    this.#recordEnd(index, "refused", reason);
  }

  failed(index: number, reason: RefusalReason): void {
    this.#recordEnd(index, "failed", reason);
  }

  /** Returns whether the request already has an outcome. */
  ended(index: number): boolean {
    return this.#records[index]!.outcome !== "open";
  }

  /** Returns the time since the last token of a request, as an entry measures it itself. */
  sinceLast(index: number, atMs: number): number {
    const { lastMs } = this.#records[index]!;
    return lastMs < 0 ? 0 : Math.max(0, atMs + CLIENT_DELAY_MS - lastMs);
  }

  delivered(index: number): number {
    return this.#records[index]!.tokens;
  }

  result(engines: EngineCounts): PolicyResult {
    const open = this.#records.filter((t) => t.outcome === "open").length;
    const integrity: Integrity = {
      lost: this.#lost + open,
      duplicated: this.#duplicated,
      spliced: this.#spliced,
      crashes: engines.crashes,
      poison_crashes: engines.poisonCrashes,
    };
    return {
      measures: this.#measures(engines),
      byKind: this.#groups((t) => t.job.kind),
      byAccount: this.#groups((t) => t.job.account),
      integrity,
      stalls: this.#records
        .filter((t) => t.outcome === "completed")
        .map((t) => ({ account: t.job.account, stallMs: t.stallMs })),
      refusals: Object.fromEntries([...this.#refusals].sort()),
    };
  }

  #recordFirstToken(record: RequestRecord, nowMs: number): void {
    record.firstMs = nowMs - record.job.atMs;
    record.stallMs += Math.max(0, record.firstMs - FIRST_TOKEN_LIMIT_MS);
  }

  #recordGap(record: RequestRecord, gapMs: number): void {
    this.#gaps.recordValue(Math.max(1, Math.round(gapMs / GAP_UNIT_MS)));
    if (gapMs > GAP_LIMIT_MS) record.stallMs += gapMs - GAP_LIMIT_MS;
  }

  #recordEnd(index: number, outcome: "refused" | "failed", reason: RefusalReason): void {
    const record = this.#records[index]!;
    if (record.outcome !== "open") this.#duplicated++;
    record.outcome = outcome;
    const key = `${outcome}.${reason}`;
    this.#refusals.set(key, (this.#refusals.get(key) ?? 0) + 1);
  }

  #measures(engines: EngineCounts): Measures {
    const completed = this.#records.filter((t) => t.outcome === "completed");
    const tokens = completed.reduce((sum, t) => sum + t.tokensInWindow, 0);
    const gap = (p: number) => round(this.#gaps.getValueAtPercentile(p) * GAP_UNIT_MS);
    return {
      first_token_ms: quantiles(completed.map((t) => t.firstMs)),
      stall_ms: quantiles(completed.map((t) => t.stallMs)),
      token_gap_ms: { p50: gap(50), p95: gap(95), p99: gap(99) },
      preemptions_per_1000: round(1000 * engines.preemptions / Math.max(1, completed.length)),
      cold_overloads: engines.coldOverloads,
      completed: completed.length,
      refused: this.#count("refused"),
      failed: this.#count("failed"),
      goodput_tokens_per_s: round(tokens / (this.#windowMs / 1_000)),
    };
  }

  #count(outcome: RequestRecord["outcome"]): number {
    return this.#records.filter((t) => t.outcome === outcome).length;
  }

  #groups(of: (t: RequestRecord) => string): Record<string, GroupOutcome> {
    const groups = new Map<string, RequestRecord[]>();
    for (const record of this.#records) {
      const key = of(record);
      const list = groups.get(key);
      if (list === undefined) groups.set(key, [record]);
      else list.push(record);
    }
    const out: Record<string, GroupOutcome> = {};
    for (const key of [...groups.keys()].sort()) out[key] = groupOutcome(groups.get(key)!);
    return out;
  }
}

function groupOutcome(records: readonly RequestRecord[]): GroupOutcome {
  const completed = records.filter((t) => t.outcome === "completed");
  const refused = records.filter((t) => t.outcome === "refused").length;
  return {
    offered: records.length,
    completed: completed.length,
    refused,
    failed: records.filter((t) => t.outcome === "failed").length,
    refused_share: Math.round(10_000 * refused / records.length) / 10_000,
    stall_p99_ms: quantiles(completed.map((t) => t.stallMs)).p99,
  };
}

/** Computes exact quantiles (nearest rank), rounded to 0.01. */
export function quantiles(values: readonly number[]): Quantiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (p: number) => {
    if (sorted.length === 0) return 0;
    return round(sorted[Math.min(sorted.length - 1, Math.ceil(p * sorted.length) - 1)]!);
  };
  return { p50: at(0.5), p95: at(0.95), p99: at(0.99) };
}

function round(x: number): number {
  return Math.round(x * 100) / 100;
}
