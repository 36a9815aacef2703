/**
 * What an endpoint bears, learned from the gaps between its tokens. Nothing announces a cold start.
 *
 * The allowance starts at one. It grows quickly while more work leaves the gaps as they were, which shows that
 * the endpoint is far from its limit, and slowly by tokens otherwise. A sudden rise of the gaps, or an idle
 * time, takes it back to one until the gaps show the endpoint to be as fast as before.
 *
 * @module
 */

/** Options of {@link ColdStart}. */
export interface ColdStartOptions {
  /** Concurrency of an endpoint of which nothing is known. */
  readonly initial?: number;
  /** Largest concurrency ever allowed. */
  readonly max?: number;
  /** Growth while more work leaves the gaps as they were, and the tokens needed for each step. */
  readonly fastGrowth?: number;
  readonly fastTokens?: number;
  /** Growth on tokens alone, and the tokens needed for each step. */
  readonly slowGrowth?: number;
  readonly slowTokens?: number;
  /** Rise of the gap over its recent mean that counts as turning cold. */
  readonly coldFactor?: number;
  /** Idle time after which the endpoint has to show again that it is warm. */
  readonly idleMs?: number;
  /** Longest gap that is acceptable; beyond it the allowance shrinks. */
  readonly targetGapMs?: number;
}

// The median of this many steps ignores those lengthened by a prompt, and jitter of the links between endpoint and
// side; their least value would take jitter for speed.
const WINDOW = 5;
// Steps at a level before it counts as borne.
const LEVEL_STEPS = 8;
// Tokens that arrive closer together than this belong to the same step.
const SAME_STEP_MS = 1;
// A level is flat when the gap rose by no more than this, plus a share per generation added.
const FLAT_TOLERANCE = 0.03;
const FLAT_PER_GEN = 0.012;
// A gap within this factor of the warm one shows that the endpoint is warm; cold ones are far slower.
const WARM_FACTOR = 1.15;
const MEAN_WEIGHT = 0.02;
const LIGHT_RUNNING = 3;
const LIGHT_LEARN_ALLOWANCE = 12;
const SHRINK = 0.95;
const SHRINK_TOKENS = 200;

/** Learns the concurrency of one endpoint. */
export class ColdStart {
  readonly #cfg: Required<ColdStartOptions>;
  #allowance: number;
  /** Tokens and steps while as much ran as is allowed. */
  #tokens = 0;
  #stepsAtLevel = 0;
  #window: number[] = [];
  #lastAtMs = -Infinity;
  #lastGapMs = 0;
  #lastActiveMs = -Infinity;
  /** Mean of the windows' medians. */
  #meanMs = 0;
  /** Gap and running generations when the allowance last grew. */
  #levelMs = Infinity;
  #levelRunning = 0;
  /** Gap of the warm endpoint under light load; infinite until known. */
  #lightMs = Infinity;
  /** What is restored once a gap of at most `ms` is seen again. */
  #doubt: { readonly allowance: number; readonly ms: number } | null = null;

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

  /** Generations that may run now. `running` is the present number. */
  allowance(running: number, nowMs: number): number {
    if (running > 0) this.#lastActiveMs = nowMs;
    else if (nowMs - this.#lastActiveMs >= this.#cfg.idleMs) this.#doubtAfterIdle();
    const allowance = Math.max(1, Math.floor(this.#allowance));
    // One long step may be a prompt or the first sign of turning cold: nothing starts until the next step.
    const slow = this.#meanMs > 0 && this.#lastGapMs > this.#meanMs * this.#cfg.coldFactor;
    return slow && running > 0 ? Math.min(allowance, running) : allowance;
  }

  /** Whether the endpoint has to show that it is warm. */
  get doubted(): boolean {
    return this.#doubt !== null;
  }

  /** Records that a generation waited `gapMs` for its latest `count` tokens while `running` ran. */
  recordGap(gapMs: number, count: number, running: number, nowMs: number): void {
    this.#lastActiveMs = nowMs;
    const atLevel = running >= Math.floor(this.#allowance);
    if (atLevel) this.#tokens += count;
    if (nowMs - this.#lastAtMs < SAME_STEP_MS) return;
    this.#lastAtMs = nowMs;
    this.#stepsAtLevel = atLevel ? this.#stepsAtLevel + 1 : 0;
    this.#lastGapMs = gapMs / count;
    this.#window.push(this.#lastGapMs);
    if (this.#window.length < WINDOW) return;
    if (this.#window.length > WINDOW) this.#window.shift();
    this.#judge(median(this.#window), Math.min(...this.#window), running);
  }

  /** Falls back to the smallest allowance, for example after a crash. */
  reset(): void {
    this.#allowance = this.#cfg.initial;
    this.#levelMs = Infinity;
    this.#levelRunning = 0;
    this.#meanMs = 0;
    this.#lightMs = Infinity;
    this.#doubt = null;
    this.#forgetEvidence();
  }

  #judge(gapMs: number, leastMs: number, running: number): void {
    if (this.#doubt !== null && gapMs <= this.#doubt.ms) this.#restore();
    // All steps of the window are long: a prompt of a few steps is not a cold start.
    if (this.#meanMs > 0 && leastMs > this.#meanMs * this.#cfg.coldFactor) {
      this.#turnCold();
      return;
    }
    this.#meanMs = this.#meanMs === 0 ? gapMs : this.#meanMs + MEAN_WEIGHT * (gapMs - this.#meanMs);
    if (running <= LIGHT_RUNNING && this.#allowance >= LIGHT_LEARN_ALLOWANCE) {
      this.#lightMs = Math.min(this.#lightMs, gapMs);
    }
    if (leastMs > this.#cfg.targetGapMs) this.#shrink(running);
    else if (gapMs <= this.#cfg.targetGapMs) this.#considerGrowth(gapMs, running);
  }

  #considerGrowth(gapMs: number, running: number): void {
    // Only what was really borne, through a whole window, is evidence for more.
    if (this.#stepsAtLevel <= LEVEL_STEPS) return;
    const added = Math.max(0, running - this.#levelRunning);
    const flatMs = this.#levelMs * (1 + FLAT_TOLERANCE + FLAT_PER_GEN * added);
    const { fastGrowth, fastTokens, slowGrowth, slowTokens } = this.#cfg;
    // The first level has nothing to compare with. An endpoint in doubt gets faster as it warms, which would
    // pass for flat gaps.
    const flat = this.#doubt === null && (this.#levelRunning === 0 || gapMs <= flatMs);
    if (flat && this.#tokens >= fastTokens) {
      this.#grow(fastGrowth, gapMs);
      this.#levelMs = gapMs;
      this.#levelRunning = running;
    } else if (this.#tokens >= slowTokens) {
      // The level to compare with stays: growth on tokens alone does not show that gaps are flat.
      this.#grow(slowGrowth, gapMs);
    }
  }

  #grow(factor: number, gapMs: number): void {
    // Whole steps: a fraction carried over would make the next growth larger than its factor.
    const borne = Math.floor(this.#allowance);
    const grown = Math.max(borne + 1, Math.floor(borne * factor));
    this.#allowance = Math.min(this.#cfg.max, Math.max(this.#allowance, grown));
    // The gap of the larger batch is healthy; a mean that lags behind would take it for a cold start.
    this.#meanMs = Math.max(this.#meanMs, gapMs);
    this.#forgetEvidence();
  }

  #shrink(running: number): void {
    if (this.#tokens < SHRINK_TOKENS) return;
    this.#allowance = Math.max(1, Math.min(this.#allowance, running) * SHRINK);
    this.#forgetEvidence();
  }

  #turnCold(): void {
    if (this.#doubt === null) {
      this.#doubt = { allowance: this.#allowance, ms: this.#meanMs * WARM_FACTOR };
    }
    this.#startAgain();
  }

  #doubtAfterIdle(): void {
    if (this.#allowance <= this.#cfg.initial) return;
    this.#doubt = { allowance: this.#allowance, ms: this.#lightMs * WARM_FACTOR };
    if (!Number.isFinite(this.#lightMs)) this.#doubt = null;
    this.#startAgain();
  }

  #startAgain(): void {
    this.#allowance = this.#cfg.initial;
    this.#levelMs = Infinity;
    this.#levelRunning = 0;
    this.#meanMs = 0;
    this.#forgetEvidence();
  }

  #restore(): void {
    this.#allowance = Math.max(this.#allowance, this.#doubt!.allowance);
    this.#doubt = null;
  }

  #forgetEvidence(): void {
    this.#tokens = 0;
    this.#stepsAtLevel = 0;
    this.#window = [];
  }
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[values.length >> 1]!;
}
