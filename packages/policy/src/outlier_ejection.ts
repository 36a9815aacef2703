/**
 * Ejects failing and slow endpoints for a while, and keeps a floor of endpoints in service.
 *
 * @module
 */
/** What is known of an endpoint's recent answers. */
export interface OutlierSubject {
  /** Share of recent attempts that failed. */
  readonly failureRate: number;
  readonly attempts: number;
  /** Recent gap between tokens; 0 until known. */
  readonly gapMs: number;
  readonly gapCount: number;
  ejectedUntilMs: number;
  ejections: number;
  /** Forgets failures before a return to service. */
  resetOutlierStats(): void;
}

/** Options of {@link OutlierEjection}. */
export interface OutlierOptions {
  /** Share of recent attempts that failed, beyond that of the others, that ejects. */
  readonly failureShare?: number;
  readonly minAttempts?: number;
  /** Gap between tokens relative to the median of the others that ejects. */
  readonly slowFactor?: number;
  readonly minGaps?: number;
  readonly firstEjectionMs?: number;
  readonly maxEjectionMs?: number;
  /** Share of endpoints that stays in service whatever happens. */
  readonly floorShare?: number;
}

/** Judges endpoints against each other. */
export class OutlierEjection {
  readonly #cfg: Required<OutlierOptions>;
  #updatedAtMs = -Infinity;

  constructor(options: OutlierOptions = {}) {
    this.#cfg = {
      failureShare: options.failureShare ?? 0.3,
      minAttempts: options.minAttempts ?? 3,
      slowFactor: options.slowFactor ?? 2.5,
      minGaps: options.minGaps ?? 50,
      firstEjectionMs: options.firstEjectionMs ?? 2_000,
      maxEjectionMs: options.maxEjectionMs ?? 60_000,
      floorShare: options.floorShare ?? 0.5,
    };
  }

  /** Ejects what stands out among `states`. At most once per 50 ms. */
  update(states: readonly OutlierSubject[], nowMs: number): void {
    if (nowMs - this.#updatedAtMs < 50) return;
    this.#updatedAtMs = nowMs;
    const inService = states.filter((s) => s.ejectedUntilMs <= nowMs);
    let spare = inService.length - Math.ceil(states.length * this.#cfg.floorShare);
    if (spare <= 0) return;
    const medianGap = median(
      inService.filter((s) => s.gapCount >= this.#cfg.minGaps),
      (s) => s.gapMs,
    );
    const medianFailures = median(inService, (s) => s.failureRate);
    const outliers = inService
      .filter((s) => this.#isOutlier(s, medianGap, medianFailures))
      .sort((a, b) => b.failureRate - a.failureRate || b.gapMs - a.gapMs);
    for (const state of outliers) {
      if (spare <= 0) return;
      this.#eject(state, nowMs);
      spare--;
    }
  }

  #isOutlier(state: OutlierSubject, medianGap: number, medianFailures: number): boolean {
    const { failureShare, minAttempts, slowFactor, minGaps } = this.#cfg;
    const failing = state.attempts >= minAttempts &&
      state.failureRate > medianFailures + failureShare;
    const slow = state.gapCount >= minGaps && state.gapMs > medianGap * slowFactor;
    return failing || slow;
  }

  #eject(state: OutlierSubject, nowMs: number): void {
    const ms = this.#cfg.firstEjectionMs * 2 ** Math.min(10, state.ejections);
    state.ejections++;
    state.ejectedUntilMs = nowMs + Math.min(this.#cfg.maxEjectionMs, ms);
    state.resetOutlierStats();
  }
}

function median<T>(xs: readonly T[], of: (x: T) => number): number {
  if (xs.length === 0) return 0;
  const sorted = xs.map(of).sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1]!;
}
