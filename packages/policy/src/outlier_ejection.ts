/**
 * Decides which endpoints are ejected from service for a while: those that fail or are slow in
 * comparison with the others. A floor of endpoints stays in service, so that a fault common to all
 * cannot empty the fleet.
 *
 * @module
 */

/** Recent failures and token gaps of an endpoint, and its ejections. */
export interface OutlierSubject {
  /** Fraction of recent attempts that failed. */
  readonly failureRate: number;
  readonly attempts: number;
  /** Recent mean gap between tokens; 0 until known. */
  readonly gapMs: number;
  readonly gapCount: number;
  ejectedUntilMs: number;
  ejections: number;
  /** Clears failures and gaps, so that the endpoint is rated anew after its return. */
  resetStatistics(): void;
}

/** Options of {@link OutlierEjection}. */
export interface OutlierOptions {
  /** An endpoint is ejected when its failure rate exceeds the median by this much. */
  readonly failureRateMargin?: number;
  readonly minAttempts?: number;
  /** An endpoint is ejected when its token gap exceeds the median by this factor. */
  readonly slowFactor?: number;
  readonly minGaps?: number;
  readonly firstEjectionMs?: number;
  readonly maxEjectionMs?: number;
  /** Fraction of endpoints that always stays in service. */
  readonly minInServiceFraction?: number;
}

/** Compares endpoints with each other and ejects outliers; each further ejection lasts twice as long. */
export class OutlierEjection {
  readonly #cfg: Required<OutlierOptions>;
  #updatedAtMs = -Infinity;

  constructor(options: OutlierOptions = {}) {
    this.#cfg = {
      failureRateMargin: options.failureRateMargin ?? 0.3,
      minAttempts: options.minAttempts ?? 3,
      slowFactor: options.slowFactor ?? 2.5,
      minGaps: options.minGaps ?? 50,
      firstEjectionMs: options.firstEjectionMs ?? 2_000,
      maxEjectionMs: options.maxEjectionMs ?? 60_000,
      minInServiceFraction: options.minInServiceFraction ?? 0.5,
    };
  }

  /** Ejects outliers among `subjects`, the worst first. Runs at most once per 50 ms. */
  update(subjects: readonly OutlierSubject[], nowMs: number): void {
    if (nowMs - this.#updatedAtMs < 50) return;
    this.#updatedAtMs = nowMs;
    const inService = subjects.filter((s) => s.ejectedUntilMs <= nowMs);
    let ejectable = inService.length - Math.ceil(subjects.length * this.#cfg.minInServiceFraction);
    if (ejectable <= 0) return;
    const medianGap = median(
      inService.filter((s) => s.gapCount >= this.#cfg.minGaps),
      (s) => s.gapMs,
    );
    const medianFailureRate = median(inService, (s) => s.failureRate);
    const outliers = inService
      .filter((s) => this.#isOutlier(s, medianGap, medianFailureRate))
      .sort((a, b) => b.failureRate - a.failureRate || b.gapMs - a.gapMs);
    for (const subject of outliers) {
      if (ejectable <= 0) return;
      this.#eject(subject, nowMs);
      ejectable--;
    }
  }

  #isOutlier(subject: OutlierSubject, medianGap: number, medianFailureRate: number): boolean {
    const { failureRateMargin, minAttempts, slowFactor, minGaps } = this.#cfg;
    const isFailing = subject.attempts >= minAttempts &&
      subject.failureRate > medianFailureRate + failureRateMargin;
    const isSlow = subject.gapCount >= minGaps && subject.gapMs > medianGap * slowFactor;
    return isFailing || isSlow;
  }

  #eject(subject: OutlierSubject, nowMs: number): void {
    const ms = this.#cfg.firstEjectionMs * 2 ** Math.min(10, subject.ejections);
    subject.ejections++;
    subject.ejectedUntilMs = nowMs + Math.min(this.#cfg.maxEjectionMs, ms);
    subject.resetStatistics();
  }
}

function median<T>(items: readonly T[], of: (item: T) => number): number {
  if (items.length === 0) return 0;
  const sorted = items.map(of).sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1]!;
}
