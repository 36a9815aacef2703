/**
 * Records what callers see. Used alike for every policy.
 *
 * @module
 */
import type { RefusalReason } from "@wisteriapick/core";
import { build, type Histogram } from "hdr-histogram-js";
import { CLIENT_DELAY_MS } from "./delays.ts";
import type { GroupOutcome, Integrity, Job, Measures, PolicyResult, Quantiles } from "./types.ts";

/** First-token wait that is not stall. */
export const FIRST_TOKEN_LIMIT_MS = 340;
/** Gap between tokens that is not stall. */
export const GAP_LIMIT_MS = 49;

// Gaps are kept in units of 10 microseconds; three digits are exact enough for a ratio.
const GAP_UNIT_MS = 0.01;

interface Track {
  readonly job: Job;
  firstMs: number;
  lastMs: number;
  stallMs: number;
  tokens: number;
  /** Tokens that reached the caller while load arrived. */
  tokensInWindow: number;
  attempt: number;
  outcome: "open" | "completed" | "refused" | "failed";
}

/** Counts of the engines at the end of a run. */
export interface EngineCounts {
  readonly preemptions: number;
  readonly coldOverloads: number;
  readonly crashes: number;
  readonly poisonCrashes: number;
}

/** Per-request records of one run. */
export class Recorder {
  readonly #tracks: Track[] = [];
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
    this.#tracks[job.index] = {
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

  /** Token `offset` of the given attempt reaches the caller. */
  token(index: number, attempt: number, offset: number, nowMs: number): void {
    const track = this.#tracks[index]!;
    if (track.outcome !== "open") this.#duplicated++;
    if (track.attempt !== attempt && track.tokens > 0) this.#spliced++;
    if (offset < track.tokens) this.#duplicated++;
    if (offset > track.tokens) this.#lost++;
    track.attempt = attempt;
    if (track.lastMs < 0) this.#first(track, nowMs);
    else this.#gap(track, nowMs - track.lastMs);
    track.lastMs = nowMs;
    track.tokens++;
    if (nowMs <= this.#windowMs) track.tokensInWindow++;
  }

  /** Drops what was held back of an answer that has to run again. */
  discard(index: number): void {
    const track = this.#tracks[index]!;
    if (track.job.streamed && track.tokens > 0) this.#spliced++;
    track.tokens = 0;
    track.tokensInWindow = 0;
  }

  completed(index: number): void {
    const track = this.#tracks[index]!;
    if (track.outcome !== "open") this.#duplicated++;
    if (track.tokens !== track.job.outputTokens) this.#lost++;
    track.outcome = "completed";
  }

  refused(index: number, reason: RefusalReason): void {
    this.#end(index, "refused", reason);
  }

  failed(index: number, reason: RefusalReason): void {
    this.#end(index, "failed", reason);
  }

  /** Whether the request already has its outcome. */
  ended(index: number): boolean {
    return this.#tracks[index]!.outcome !== "open";
  }

  /** Time since the last token of a request, for what an entry measures itself. */
  sinceLast(index: number, atMs: number): number {
    const { lastMs } = this.#tracks[index]!;
    return lastMs < 0 ? 0 : Math.max(0, atMs + CLIENT_DELAY_MS - lastMs);
  }

  delivered(index: number): number {
    return this.#tracks[index]!.tokens;
  }

  result(engines: EngineCounts): PolicyResult {
    const open = this.#tracks.filter((t) => t.outcome === "open").length;
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
      stalls: this.#tracks
        .filter((t) => t.outcome === "completed")
        .map((t) => ({ account: t.job.account, stallMs: t.stallMs })),
      refusals: Object.fromEntries([...this.#refusals].sort()),
    };
  }

  #first(track: Track, nowMs: number): void {
    track.firstMs = nowMs - track.job.atMs;
    track.stallMs += Math.max(0, track.firstMs - FIRST_TOKEN_LIMIT_MS);
  }

  #gap(track: Track, gapMs: number): void {
    this.#gaps.recordValue(Math.max(1, Math.round(gapMs / GAP_UNIT_MS)));
    if (gapMs > GAP_LIMIT_MS) track.stallMs += gapMs - GAP_LIMIT_MS;
  }

  #end(index: number, how: "refused" | "failed", reason: RefusalReason): void {
    const track = this.#tracks[index]!;
    if (track.outcome !== "open") this.#duplicated++;
    track.outcome = how;
    const key = `${how}.${reason}`;
    this.#refusals.set(key, (this.#refusals.get(key) ?? 0) + 1);
  }

  #measures(engines: EngineCounts): Measures {
    const done = this.#tracks.filter((t) => t.outcome === "completed");
    const tokens = done.reduce((sum, t) => sum + t.tokensInWindow, 0);
    const gap = (p: number) => round(this.#gaps.getValueAtPercentile(p) * GAP_UNIT_MS);
    return {
      first_token_ms: quantiles(done.map((t) => t.firstMs)),
      stall_ms: quantiles(done.map((t) => t.stallMs)),
      token_gap_ms: { p50: gap(50), p95: gap(95), p99: gap(99) },
      preemptions_per_1000: round(1000 * engines.preemptions / Math.max(1, done.length)),
      cold_overloads: engines.coldOverloads,
      completed: done.length,
      refused: this.#count("refused"),
      failed: this.#count("failed"),
      goodput_tokens_per_s: round(tokens / (this.#windowMs / 1_000)),
    };
  }

  #count(outcome: Track["outcome"]): number {
    return this.#tracks.filter((t) => t.outcome === outcome).length;
  }

  #groups(of: (t: Track) => string): Record<string, GroupOutcome> {
    const groups = new Map<string, Track[]>();
    for (const track of this.#tracks) {
      const key = of(track);
      const list = groups.get(key);
      if (list === undefined) groups.set(key, [track]);
      else list.push(track);
    }
    const out: Record<string, GroupOutcome> = {};
    for (const key of [...groups.keys()].sort()) out[key] = groupOutcome(groups.get(key)!);
    return out;
  }
}

function groupOutcome(tracks: readonly Track[]): GroupOutcome {
  const done = tracks.filter((t) => t.outcome === "completed");
  const refused = tracks.filter((t) => t.outcome === "refused").length;
  return {
    offered: tracks.length,
    completed: done.length,
    refused,
    failed: tracks.filter((t) => t.outcome === "failed").length,
    refused_share: Math.round(10_000 * refused / tracks.length) / 10_000,
    stall_p99_ms: quantiles(done.map((t) => t.stallMs)).p99,
  };
}

/** Exact quantiles (nearest rank), rounded to 0.01. */
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
