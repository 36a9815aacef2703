/**
 * Latency, stall and throughput measurements of a load.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";

/** Longest time to first token that is no stall, as the design page defines it. */
export const FIRST_TOKEN_TARGET_MS = 340;
/** Longest gap between tokens that is no stall, as the design page defines it. */
export const GAP_TARGET_MS = 49;

/** Percentiles of one measurement in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Measures the stall time of one response: the time that its tokens are late beyond the targets. */
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

  /** Records a token and returns the milliseconds since the previous one, or since the start. */
  record(nowMs: number): number {
    const waitMs = nowMs - this.#lastMs;
    const targetMs = this.#tokens === 0 ? FIRST_TOKEN_TARGET_MS : GAP_TARGET_MS;
    this.#stallMs += Math.max(0, waitMs - targetMs);
    this.#lastMs = nowMs;
    this.#tokens++;
    return waitMs;
  }
}

// Histograms hold integers; gaps need a resolution of a tenth of a millisecond.
const UNITS_PER_MS = 10;
const MAX_TRACKED_UNITS = 3_600_000 * UNITS_PER_MS;

/** A histogram of durations in milliseconds. */
export class TimeHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKED_UNITS,
    numberOfSignificantValueDigits: 3,
  });

  record(ms: number): void {
    const units = Math.round(Math.max(0, ms) * UNITS_PER_MS);
    this.#histogram.recordValue(Math.min(MAX_TRACKED_UNITS, units));
  }

  valueAt(percentile: number): number {
    if (this.#histogram.totalCount === 0) return 0;
    return this.#histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  }

  summary(): Percentiles {
    return {
      count: this.#histogram.totalCount,
      p50: this.valueAt(50),
      p95: this.valueAt(95),
      p99: this.valueAt(99),
      max: this.valueAt(100),
    };
  }
}

/** Measurements of one group of requests, such as those of one service. */
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
