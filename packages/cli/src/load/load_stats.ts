/**
 * What the load tool measures.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";

/** First-token time without stall, from the measures of the design page. */
export const FIRST_TOKEN_TARGET_MS = 340;
/** Gap without stall. */
export const GAP_TARGET_MS = 49;

/** Percentiles of one measure in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Stall time of one answer: what it waits beyond the targets. */
export class StallMeter {
  #lastMs: number;
  #tokens = 0;
  #stallMs = 0;

  constructor(startMs: number) {
    this.#lastMs = startMs;
  }

  get tokens(): number {
    return this.#tokens;
  }

  get stallMs(): number {
    return this.#stallMs;
  }

  /** Records a token; returns the time since the one before, or since the start. */
  record(nowMs: number): number {
    const waitMs = nowMs - this.#lastMs;
    const targetMs = this.#tokens === 0 ? FIRST_TOKEN_TARGET_MS : GAP_TARGET_MS;
    this.#stallMs += Math.max(0, waitMs - targetMs);
    this.#lastMs = nowMs;
    this.#tokens++;
    return waitMs;
  }
}

// Histograms hold whole numbers; a tenth of a millisecond is fine enough for gaps.
const UNITS_PER_MS = 10;
const MAX_UNITS = 3_600_000 * UNITS_PER_MS;

/** A histogram of times. */
export class TimeHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_UNITS,
    numberOfSignificantValueDigits: 3,
  });

  record(ms: number): void {
    const units = Math.round(Math.max(0, ms) * UNITS_PER_MS);
    this.#histogram.recordValue(Math.min(MAX_UNITS, units));
  }

  at(percentile: number): number {
    if (this.#histogram.totalCount === 0) return 0;
    return this.#histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  }

  summary(): Percentiles {
    return {
      count: this.#histogram.totalCount,
      p50: this.at(50),
      p95: this.at(95),
      p99: this.at(99),
      max: this.at(100),
    };
  }
}

/** Measures of one group of requests. */
export class LoadGroup {
  readonly firstToken = new TimeHistogram();
  readonly gap = new TimeHistogram();
  readonly stall = new TimeHistogram();
  readonly problems = new Map<string, number>();
  sent = 0;
  completed = 0;
  tokens = 0;

  countProblem(type: string): void {
    this.problems.set(type, (this.problems.get(type) ?? 0) + 1);
  }

  summary(durationMs: number) {
    return {
      sent: this.sent,
      completed: this.completed,
      problems: Object.fromEntries([...this.problems].sort()),
      goodput: {
        share: this.sent === 0 ? 0 : this.completed / this.sent,
        requestsPerSecond: (this.completed * 1_000) / durationMs,
        tokensPerSecond: (this.tokens * 1_000) / durationMs,
      },
      firstTokenMs: this.firstToken.summary(),
      gapMs: this.gap.summary(),
      stallMs: this.stall.summary(),
    };
  }
}

/** Summary of one group. */
export type GroupSummary = ReturnType<LoadGroup["summary"]>;
