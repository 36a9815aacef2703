/**
 * A histogram of logarithms whose weights halve at a fixed interval, for quantiles of recent measurements.
 *
 * @module
 */

/** Range and width of the bins, in natural logarithms: 6% for each bin, from 1 in 55 to 400 times. */
const MIN_LOG = -4;
const MAX_LOG = 6;
const BIN_WIDTH = 0.0625;
const BINS = Math.round((MAX_LOG - MIN_LOG) / BIN_WIDTH);
/** Interval at which weights are scaled, in milliseconds; each scaling visits every bin. */
const DECAY_INTERVAL_MS = 100;

/** Weighted values of the recent past. */
export class DecayingHistogram {
  readonly #bins = new Float32Array(BINS);
  readonly #halfLifeMs: number;
  #weight = 0;
  #decayedAtMs = -Infinity;
  /** The last quantile, which holds until the next record: decay scales all weights alike. */
  #lastQuantile: { readonly fraction: number; readonly log: number } | null = null;
  /** Fractions of the weight below each bin, computed when needed. */
  #below: Float32Array | null = null;
  #isBelowCurrent = false;

  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  /** Total weight at the time of the last record or {@link decay}. */
  get weight(): number {
    return this.#weight;
  }

  /** Adds a value. */
  record(log: number, weight: number, nowMs: number): void {
    this.decay(nowMs);
    const bin = Math.floor((log - MIN_LOG) / BIN_WIDTH);
    this.#bins[Math.min(BINS - 1, Math.max(0, bin))]! += weight;
    this.#weight += weight;
    this.#lastQuantile = null;
    this.#isBelowCurrent = false;
  }

  /** Scales the weights to what is left of them now. */
  decay(nowMs: number): void {
    const elapsedMs = nowMs - this.#decayedAtMs;
    if (elapsedMs < DECAY_INTERVAL_MS) return;
    this.#decayedAtMs = nowMs;
    if (this.#weight === 0) return;
    const factor = 2 ** (-elapsedMs / this.#halfLifeMs);
    for (let i = 0; i < BINS; i++) this.#bins[i]! *= factor;
    this.#weight *= factor;
  }

  /** The value below which a fraction of the weight lies, interpolated within its bin; 0 if there is none. */
  quantile(fraction: number): number {
    if (this.#weight <= 0) return 0;
    if (this.#lastQuantile?.fraction === fraction) return this.#lastQuantile.log;
    const log = this.#computeQuantile(fraction);
    this.#lastQuantile = { fraction, log };
    return log;
  }

  #computeQuantile(fraction: number): number {
    let left = fraction * this.#weight;
    for (let i = 0; i < BINS; i++) {
      const weight = this.#bins[i]!;
      if (weight >= left && weight > 0) return MIN_LOG + (i + left / weight) * BIN_WIDTH;
      left -= weight;
    }
    return MAX_LOG;
  }

  /** Fraction of the weight above a value. */
  fractionAbove(log: number): number {
    if (this.#weight <= 0) return 0;
    const position = Math.min(BINS, Math.max(0, (log - MIN_LOG) / BIN_WIDTH));
    const first = Math.min(BINS - 1, Math.floor(position));
    const below = this.#fractionsBelow();
    const fractionBelow = below[first]! +
      (position - first) * (below[first + 1]! - below[first]!);
    return Math.min(1, Math.max(0, 1 - fractionBelow));
  }

  #fractionsBelow(): Float32Array {
    const below = this.#below ??= new Float32Array(BINS + 1);
    if (this.#isBelowCurrent) return below;
    let sum = 0;
    for (let i = 0; i < BINS; i++) {
      sum += this.#bins[i]!;
      below[i + 1] = sum / this.#weight;
    }
    this.#isBelowCurrent = true;
    return below;
  }
}
