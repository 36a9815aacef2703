/**
 * Forecast of the KV memory of a batch: mean and variance at several horizons, from the probability
 * that each generation is still running then. Placement and admission use it to avoid batches that
 * would outgrow memory.
 *
 * @module
 */
import { conditionalSurvival } from "./length_estimator.ts";

/** Horizons in output tokens from now at which memory is forecast; the last covers the longest generations. */
export const HORIZONS_TOKENS: readonly number[] = [
  0,
  64,
  256,
  512,
  768,
  1_152,
  1_536,
  2_048,
  3_072,
  4_096,
  6_144,
  8_192,
  16_384,
];

/** One generation of the batch. */
export interface ForecastItem {
  /** Survival curve of the generation's length. */
  readonly curve: Float64Array;
  /** Prompt tokens that are not shared with other generations. */
  readonly promptTokens: number;
  readonly produced: number;
  readonly maxTokens: number;
}

/** Mean and variance of a batch's memory at each horizon. */
export class MemoryForecast {
  readonly #mean = new Float64Array(HORIZONS_TOKENS.length);
  readonly #variance = new Float64Array(HORIZONS_TOKENS.length);

  clear(): void {
    this.#mean.fill(0);
    this.#variance.fill(0);
  }

  /** Adds a generation to the batch. */
  add(item: ForecastItem): void {
    for (let i = 0; i < HORIZONS_TOKENS.length; i++) {
      const { survival, tokens } = project(item, HORIZONS_TOKENS[i]!);
      this.#mean[i]! += survival * tokens;
      this.#variance[i]! += survival * (1 - survival) * tokens * tokens;
    }
  }

  /** Adds the generations of another forecast. */
  merge(other: MemoryForecast): void {
    for (let i = 0; i < HORIZONS_TOKENS.length; i++) {
      this.#mean[i]! += other.#mean[i]!;
      this.#variance[i]! += other.#variance[i]!;
    }
  }

  /**
   * The largest memory in tokens over all horizons, `z` standard deviations above the mean: it is
   * exceeded only with the probability that `z` stands for.
   */
  peakTokens(z: number): number {
    let peak = 0;
    for (let i = 0; i < HORIZONS_TOKENS.length; i++) {
      peak = Math.max(peak, this.#mean[i]! + z * Math.sqrt(Math.max(0, this.#variance[i]!)));
    }
    return peak;
  }

  /** {@link peakTokens} of the batch with one more generation. */
  peakWith(item: ForecastItem, z: number): number {
    let peak = 0;
    for (let i = 0; i < HORIZONS_TOKENS.length; i++) {
      const { survival, tokens } = project(item, HORIZONS_TOKENS[i]!);
      const mean = this.#mean[i]! + survival * tokens;
      const variance = this.#variance[i]! + survival * (1 - survival) * tokens * tokens;
      peak = Math.max(peak, mean + z * Math.sqrt(Math.max(0, variance)));
    }
    return peak;
  }
}

function project(item: ForecastItem, extraTokens: number): { survival: number; tokens: number } {
  const remainingTokens = item.maxTokens - item.produced;
  const tokens = item.promptTokens + item.produced + extraTokens;
  if (extraTokens === 0) return { survival: 1, tokens };
  if (extraTokens > remainingTokens) return { survival: 0, tokens };
  return { survival: conditionalSurvival(item.curve, item.produced, extraTokens), tokens };
}
