/**
 * A rate-limited in-memory weight store.
 *
 * @module
 */
import { type Clock, raise, SystemClock } from "@wisteriapick/core";
import { type WeightInfo, WeightStore } from "@wisteriapick/clients";
import { RateLimit } from "./rate_limit.ts";

/** Options of {@link MemoryWeightStore}. */
export interface MemoryWeightStoreOptions {
  readonly clock?: Clock;
  readonly fetchesPerSecond?: number;
  /** Sizes in bytes by name; other names are unknown. */
  readonly weights?: Readonly<Record<string, number>>;
}

/**
 * The weight store in memory.
 *
 * @example
 * ```ts
 * const weights = new MemoryWeightStore({ weights: { "scribe-7b": 14e9 } });
 * ```
 */
export class MemoryWeightStore extends WeightStore {
  readonly #limit: RateLimit;
  readonly #bytes: ReadonlyMap<string, number>;
  #grants = 0;

  constructor({
    clock = new SystemClock(),
    fetchesPerSecond = 5,
    weights = {},
  }: MemoryWeightStoreOptions = {}) {
    super();
    this.#limit = new RateLimit(fetchesPerSecond, clock);
    this.#bytes = new Map(Object.entries(weights));
  }

  /** Number of fetches granted so far. */
  get grants(): number {
    return this.#grants;
  }

  async stat(name: string): Promise<WeightInfo | null> {
    const bytes = this.#bytes.get(name);
    return bytes === undefined ? null : { name, bytes };
  }

  async reserve(name: string): Promise<{ readonly grant: string }> {
    if (!this.#bytes.has(name)) raise({ type: "not_found", message: `no weights ${name}` });
    const retryAfterMs = this.#limit.take();
    if (retryAfterMs > 0) {
      raise({ type: "rate_limited", message: "too many fetches", retryAfterMs });
    }
    return { grant: `${name}.${++this.#grants}` };
  }
}
