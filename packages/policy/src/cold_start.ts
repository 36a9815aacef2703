/**
 * What an endpoint bears, learned from the gaps between its tokens. Nothing announces a cold start.
 *
 * @module
 */

/** Options of {@link ColdStart}. */
export interface ColdStartOptions {
  /** Concurrency of an endpoint of which nothing is known. */
  readonly initial?: number;
  /** Largest concurrency ever allowed. */
  readonly max?: number;
  /** Factor by which the allowance grows on one unit of evidence. */
  readonly growth?: number;
  /** Tokens that make one unit of evidence. */
  readonly evidenceTokens?: number;
  /** Gap relative to the expected one beyond which the endpoint is taken to turn cold. */
  readonly coldFactor?: number;
  /** Idle time after which warmth has to be shown again. */
  readonly idleMs?: number;
  /** Gaps longer than this are never taken as a healthy step. */
  readonly targetGapMs?: number;
}

// The least of this many gaps ignores steps lengthened by a prompt.
const WINDOW = 6;
// Tokens that arrive closer together than this belong to the same step.
const SAME_STEP_MS = 1;
// Relative growth of a healthy step per further generation, from the batch itself and its KV memory.
const SLOPE_PER_GEN = 0.05;
// While growing, the gap may exceed its least value by the slope and this share.
const GROWTH_TOLERANCE = 1.08;
// Slow upward drift lets a floor recover that was learned from an unusual moment.
const FLOOR_DRIFT = 1.0005;

/** Learns the concurrency of one endpoint. */
export class ColdStart {
  readonly #cfg: Required<ColdStartOptions>;
  #allowance: number;
  /** Step time with a single generation, as inferred from the best windows seen. */
  #floorMs = Infinity;
  /** Floor of the warm state; infinite until a full growth was seen. */
  #warmFloorMs = Infinity;
  #tokens = 0;
  #window: number[] = [];
  #lastAt = -Infinity;
  #lastActiveAt = -Infinity;
  #checkWarm = false;
  #beforeIdle = 0;

  constructor(options: ColdStartOptions = {}) {
    this.#cfg = {
      initial: options.initial ?? 1,
      max: options.max ?? 512,
      growth: options.growth ?? 1.4,
      evidenceTokens: options.evidenceTokens ?? 320,
      coldFactor: options.coldFactor ?? 1.45,
      idleMs: options.idleMs ?? 1_000,
      targetGapMs: options.targetGapMs ?? 46,
    };
    this.#allowance = this.#cfg.initial;
  }

  /** Generations that may run now. `running` is the present number. */
  allowance(running: number, nowMs: number): number {
    if (running > 0) this.#lastActiveAt = nowMs;
    else this.#expireWarmth(nowMs);
    return Math.max(1, Math.floor(this.#allowance));
  }

  get warm(): boolean {
    return Number.isFinite(this.#warmFloorMs);
  }

  /** Records that a generation waited `gapMs` for its latest token while `running` were running. */
  recordGap(gapMs: number, count: number, running: number, nowMs: number): void {
    this.#lastActiveAt = nowMs;
    this.#tokens += count;
    if (nowMs - this.#lastAt < SAME_STEP_MS) {
      const last = this.#window.length - 1;
      if (last >= 0) this.#window[last] = Math.min(this.#window[last]!, gapMs);
      return;
    }
    this.#lastAt = nowMs;
    this.#window.push(gapMs);
    if (this.#window.length < WINDOW) return;
    if (this.#window.length > WINDOW) this.#window.shift();
    this.#judge(running);
  }

  /** Falls back to the smallest allowance, for example after a crash or a failed start. */
  reset(): void {
    this.#allowance = this.#cfg.initial;
    this.#floorMs = Infinity;
    this.#forgetEvidence();
    this.#checkWarm = false;
  }

  #judge(running: number): void {
    const gap = Math.min(...this.#window);
    const load = 1 + SLOPE_PER_GEN * Math.max(0, running - 1);
    this.#floorMs = Math.min(this.#floorMs * FLOOR_DRIFT, gap / load);
    const expected = Math.min(this.#floorMs, this.#warmFloorMs) * load;
    if (gap > expected * this.#cfg.coldFactor && this.warm) {
      this.#turnCold();
      return;
    }
    if (this.#checkWarm && gap <= this.#warmFloorMs * load * GROWTH_TOLERANCE) this.#restore();
    if (gap > this.#cfg.targetGapMs) this.#shrink(running);
    else if (gap <= expected * GROWTH_TOLERANCE) this.#grow(running);
  }

  #turnCold(): void {
    this.#allowance = this.#cfg.initial;
    this.#checkWarm = true;
    this.#beforeIdle = 0;
    this.#forgetEvidence();
  }

  #shrink(running: number): void {
    if (this.#tokens < this.#cfg.evidenceTokens) return;
    this.#allowance = Math.max(1, Math.min(this.#allowance, running) * 0.95);
    this.#forgetEvidence();
  }

  #grow(running: number): void {
    if (this.#tokens < this.#cfg.evidenceTokens) return;
    // Only what was really borne is evidence for more.
    if (running < Math.floor(this.#allowance) * 0.7) return;
    this.#allowance = Math.min(this.#cfg.max, Math.max(2, this.#allowance * this.#cfg.growth));
    if (this.#allowance >= 16) this.#warmFloorMs = Math.min(this.#warmFloorMs, this.#floorMs);
    this.#forgetEvidence();
  }

  #restore(): void {
    this.#allowance = Math.max(this.#allowance, this.#beforeIdle);
    this.#checkWarm = false;
  }

  #expireWarmth(nowMs: number): void {
    if (nowMs - this.#lastActiveAt < this.#cfg.idleMs) return;
    if (this.#allowance <= this.#cfg.initial) return;
    this.#beforeIdle = this.#allowance;
    this.#allowance = this.#cfg.initial;
    this.#checkWarm = true;
    this.#forgetEvidence();
  }

  #forgetEvidence(): void {
    this.#tokens = 0;
    this.#window = [];
  }
}
