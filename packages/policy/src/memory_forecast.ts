/**
 * Whether a batch will outgrow KV memory: expected memory and its spread at several points ahead, from the
 * chance that each generation is still running then.
 *
 * @module
 */
import { conditional } from "./length_estimator.ts";

/** Steps ahead at which memory is forecast; the last covers the longest drafts. */
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
  readonly curve: Float64Array;
  /** Prompt tokens, less what is shared with other generations. */
  readonly promptTokens: number;
  readonly produced: number;
  readonly maxTokens: number;
}

/** Mean and variance of memory per horizon. */
export class MemoryForecast {
  readonly #mean = new Float64Array(HORIZONS_TOKENS.length);
  readonly #variance = new Float64Array(HORIZONS_TOKENS.length);

  clear(): void {
    this.#mean.fill(0);
    this.#variance.fill(0);
  }

  /** Adds a generation. */
  add(item: ForecastItem): void {
    for (let i = 0; i < HORIZONS_TOKENS.length; i++) {
      const { alive, tokens } = project(item, HORIZONS_TOKENS[i]!);
      this.#mean[i]! += alive * tokens;
      this.#variance[i]! += alive * (1 - alive) * tokens * tokens;
    }
  }

  /** Adds what another forecast holds. */
  merge(other: MemoryForecast): void {
    for (let i = 0; i < HORIZONS_TOKENS.length; i++) {
      this.#mean[i]! += other.#mean[i]!;
      this.#variance[i]! += other.#variance[i]!;
    }
  }

  /** The largest memory over all horizons that is exceeded only with the chance that `z` stands for. */
  peakTokens(z: number): number {
    let peak = 0;
    for (let i = 0; i < HORIZONS_TOKENS.length; i++) {
      peak = Math.max(peak, this.#mean[i]! + z * Math.sqrt(Math.max(0, this.#variance[i]!)));
    }
    return peak;
  }

  /** {@link peakTokens} with one more generation. */
  peakWith(item: ForecastItem, z: number): number {
    let peak = 0;
    for (let i = 0; i < HORIZONS_TOKENS.length; i++) {
      const { alive, tokens } = project(item, HORIZONS_TOKENS[i]!);
      const mean = this.#mean[i]! + alive * tokens;
      const variance = this.#variance[i]! + alive * (1 - alive) * tokens * tokens;
      peak = Math.max(peak, mean + z * Math.sqrt(Math.max(0, variance)));
    }
    return peak;
  }
}

function project(item: ForecastItem, ahead: number): { alive: number; tokens: number } {
  const left = item.maxTokens - item.produced;
  const tokens = item.promptTokens + item.produced + ahead;
  if (ahead === 0) return { alive: 1, tokens };
  if (ahead > left) return { alive: 0, tokens };
  return { alive: conditional(item.curve, item.produced, ahead), tokens };
}
