/**
 * Learns the concurrency that an endpoint sustains from the gaps between its tokens, as nothing
 * announces a cold start.
 *
 * The allowance starts at one. It grows quickly while added generations leave the gaps unchanged,
 * which shows that the endpoint is far from its limit, and slowly by the number of tokens
 * otherwise. A sudden rise of the gaps, or idle time, puts the endpoint on probation: the allowance
 * returns to one until the gaps show that the endpoint is as fast as before.
 *
 * @module
 */

/** Options of {@link ColdStart}. */
export interface ColdStartOptions {
  /** Allowance of an endpoint of which nothing is known. */
  readonly initial?: number;
  /** Upper bound of the allowance. */
  readonly max?: number;
  /** Factor of growth while added generations leave the gaps unchanged, and the tokens required for each growth. */
  readonly fastGrowth?: number;
  readonly fastTokens?: number;
  /** Factor of growth on tokens alone, and the tokens required for each growth. */
  readonly slowGrowth?: number;
  readonly slowTokens?: number;
  /** An endpoint has turned cold when its gap exceeds the recent mean by this factor. */
  readonly coldFactor?: number;
  /** Idle time after which the endpoint has to show again that it is warm. */
  readonly idleMs?: number;
  /** Longest acceptable gap; above it the allowance shrinks. */
  readonly targetGapMs?: number;
}

// The median over this many steps ignores steps that a prefill lengthened, and jitter on the link
// between endpoint and side. Their minimum would mistake jitter for speed.
const WINDOW_STEPS = 5;
// Steps at full allowance before that concurrency counts as sustained.
const LEVEL_STEPS = 8;
// Tokens that arrive less than this apart belong to the same engine step.
const SAME_STEP_MS = 1;
// Gaps count as flat (unchanged) when they rose by at most this fraction, plus a fraction per added generation.
const FLAT_TOLERANCE = 0.03;
const FLAT_PER_GEN = 0.012;
// A gap of at most this factor of the warm one shows that the endpoint is warm; cold endpoints are far slower.
const WARM_FACTOR = 1.15;
const MEAN_SMOOTHING = 0.02;
const MAX_LIGHT_RUNNING = 3;
const MIN_LIGHT_ALLOWANCE = 12;
const SHRINK_FACTOR = 0.95;
const SHRINK_TOKENS = 200;

/** Learns the allowance of one endpoint. */
export class ColdStart {
  readonly #cfg: Required<ColdStartOptions>;
  #allowance: number;
  /** Tokens and consecutive steps at full allowance since it last changed. */
  #tokens = 0;
  #stepsAtLevel = 0;
  #windowGapsMs: number[] = [];
  #lastStepAtMs = -Infinity;
  #lastGapMs = 0;
  #lastActiveMs = -Infinity;
  /** Smoothed mean of the windows' median gaps; 0 until known. */
  #meanGapMs = 0;
  /** Gap and running generations when the allowance last grew on flat gaps. */
  #levelGapMs = Infinity;
  #levelRunning = 0;
  /** Gap of the warm endpoint under light load; infinite until known. */
  #lightGapMs = Infinity;
  /** Allowance to restore once a gap of at most `maxGapMs` is seen again; `null` while not on probation. */
  #probation: { readonly allowance: number; readonly maxGapMs: number } | null = null;

  constructor(options: ColdStartOptions = {}) {
    this.#cfg = {
      initial: options.initial ?? 1,
      max: options.max ?? 512,
      fastGrowth: options.fastGrowth ?? 1.5,
      fastTokens: options.fastTokens ?? 60,
      slowGrowth: options.slowGrowth ?? 1.25,
      slowTokens: options.slowTokens ?? 400,
      coldFactor: options.coldFactor ?? 1.45,
      idleMs: options.idleMs ?? 1_000,
      targetGapMs: options.targetGapMs ?? 46,
    };
    this.#allowance = this.#cfg.initial;
  }

  /** Generations that may run now. `running` is the number that do run. */
  allowance(running: number, nowMs: number): number {
    if (running > 0) this.#lastActiveMs = nowMs;
    else if (nowMs - this.#lastActiveMs >= this.#cfg.idleMs) this.#startProbationAfterIdle();
    const allowance = Math.max(1, Math.floor(this.#allowance));
    // One long step may be a prefill or the first sign of a cold start: nothing starts until the next step.
    const isSlowStep = this.#meanGapMs > 0 &&
      this.#lastGapMs > this.#meanGapMs * this.#cfg.coldFactor;
    return isSlowStep && running > 0 ? Math.min(allowance, running) : allowance;
  }

  /** Whether the endpoint has to show again that it is warm. */
  get isOnProbation(): boolean {
    return this.#probation !== null;
  }

  /** Records that the latest `count` tokens of a generation came after `gapMs` while `running` generations ran. */
  recordGap(gapMs: number, count: number, running: number, nowMs: number): void {
    this.#lastActiveMs = nowMs;
    const isAtLevel = running >= Math.floor(this.#allowance);
    if (isAtLevel) this.#tokens += count;
    if (nowMs - this.#lastStepAtMs < SAME_STEP_MS) return;
    this.#lastStepAtMs = nowMs;
    this.#stepsAtLevel = isAtLevel ? this.#stepsAtLevel + 1 : 0;
    this.#lastGapMs = gapMs / count;
    this.#windowGapsMs.push(this.#lastGapMs);
    if (this.#windowGapsMs.length < WINDOW_STEPS) return;
    if (this.#windowGapsMs.length > WINDOW_STEPS) this.#windowGapsMs.shift();
    this.#evaluateWindow(median(this.#windowGapsMs), Math.min(...this.#windowGapsMs), running);
  }

  /** Returns to the initial allowance and forgets all gaps, for example after a crash. */
  reset(): void {
    this.#allowance = this.#cfg.initial;
    this.#levelGapMs = Infinity;
    this.#levelRunning = 0;
    this.#meanGapMs = 0;
    this.#lightGapMs = Infinity;
    this.#probation = null;
    this.#clearEvidence();
  }

  #evaluateWindow(gapMs: number, minGapMs: number, running: number): void {
    if (this.#probation !== null && gapMs <= this.#probation.maxGapMs) this.#endProbation();
    // Only a window in which each step is long shows a cold start; a prefill lengthens a few steps.
    if (this.#meanGapMs > 0 && minGapMs > this.#meanGapMs * this.#cfg.coldFactor) {
      this.#turnCold();
      return;
    }
    this.#meanGapMs = this.#meanGapMs === 0
      ? gapMs
      : this.#meanGapMs + MEAN_SMOOTHING * (gapMs - this.#meanGapMs);
    if (running <= MAX_LIGHT_RUNNING && this.#allowance >= MIN_LIGHT_ALLOWANCE) {
      this.#lightGapMs = Math.min(this.#lightGapMs, gapMs);
    }
    if (minGapMs > this.#cfg.targetGapMs) this.#shrink(running);
    else if (gapMs <= this.#cfg.targetGapMs) this.#considerGrowth(gapMs, running);
  }

  #considerGrowth(gapMs: number, running: number): void {
    // Only concurrency that was sustained through a whole window is evidence for more.
    if (this.#stepsAtLevel <= LEVEL_STEPS) return;
    const added = Math.max(0, running - this.#levelRunning);
    const flatGapMs = this.#levelGapMs * (1 + FLAT_TOLERANCE + FLAT_PER_GEN * added);
    const { fastGrowth, fastTokens, slowGrowth, slowTokens } = this.#cfg;
    // The first level has nothing to compare with. An endpoint on probation gets faster as it warms
    // up, which would pass for unchanged gaps.
    const isFlat = this.#probation === null && (this.#levelRunning === 0 || gapMs <= flatGapMs);
    if (isFlat && this.#tokens >= fastTokens) {
      this.#grow(fastGrowth, gapMs);
      this.#levelGapMs = gapMs;
      this.#levelRunning = running;
    } else if (this.#tokens >= slowTokens) {
      // The level to compare with stays: growth on tokens alone does not show that gaps are unchanged.
      this.#grow(slowGrowth, gapMs);
    }
  }

  #grow(factor: number, gapMs: number): void {
    // Whole numbers: a fraction carried over would make the next growth larger than its factor.
    const sustained = Math.floor(this.#allowance);
    const grown = Math.max(sustained + 1, Math.floor(sustained * factor));
    this.#allowance = Math.min(this.#cfg.max, Math.max(this.#allowance, grown));
    // The gap of the larger batch is healthy; a mean that lags behind it would show a cold start.
    this.#meanGapMs = Math.max(this.#meanGapMs, gapMs);
    this.#clearEvidence();
  }

  #shrink(running: number): void {
    if (this.#tokens < SHRINK_TOKENS) return;
    this.#allowance = Math.max(1, Math.min(this.#allowance, running) * SHRINK_FACTOR);
    this.#clearEvidence();
  }

  #turnCold(): void {
    if (this.#probation === null) {
      this.#probation = { allowance: this.#allowance, maxGapMs: this.#meanGapMs * WARM_FACTOR };
    }
    this.#restartAllowance();
  }

  #startProbationAfterIdle(): void {
    if (this.#allowance <= this.#cfg.initial) return;
    this.#probation = { allowance: this.#allowance, maxGapMs: this.#lightGapMs * WARM_FACTOR };
    if (!Number.isFinite(this.#lightGapMs)) this.#probation = null;
    this.#restartAllowance();
  }

  #restartAllowance(): void {
    this.#allowance = this.#cfg.initial;
    this.#levelGapMs = Infinity;
    this.#levelRunning = 0;
    this.#meanGapMs = 0;
    this.#clearEvidence();
  }

  #endProbation(): void {
    this.#allowance = Math.max(this.#allowance, this.#probation!.allowance);
    this.#probation = null;
  }

  #clearEvidence(): void {
    this.#tokens = 0;
    this.#stepsAtLevel = 0;
    this.#windowGapsMs = [];
  }
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[values.length >> 1]!;
}
