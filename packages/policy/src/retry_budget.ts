/**
 * Limits how much work is sent a second time. Load pattern: a failing service whose callers and gateways all try
 * again, so that repeats crowd out first tries.
 *
 * @module
 */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Repeats allowed for each first try in the window. */
  readonly ratio: number;
  /** Repeats allowed in the window besides, for all gateways together. */
  readonly extra: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

/** Parts of the window that are counted apart. */
const BUCKETS = 20;
/** Part of the allowance that is used: gateways know each other's number with a delay. */
const USED_PART = 0.8;

interface Bucket {
  slot: number;
  requests: number;
  repeats: number;
}

/**
 * The part of one gateway in a budget that all gateways share.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget({ ratio: 0.2, extra: 50, windowMs: 10_000 });
 * budget.recordRequest(nowMs);
 * if (budget.take(nowMs, gateways)) sendAgain();
 * ```
 */
export class RetryBudget {
  #options: RetryBudgetOptions;
  readonly #buckets: Bucket[] = Array.from(
    { length: BUCKETS },
    () => ({ slot: -1, requests: 0, repeats: 0 }),
  );

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Replaces the limits; what was counted stays. */
  configure(options: RetryBudgetOptions): void {
    this.#options = options;
  }

  /** Records a request of a caller. */
  recordRequest(nowMs: number): void {
    this.#bucket(nowMs).requests++;
  }

  /** Records a repeat that is sent whatever the budget says. */
  recordRetry(nowMs: number): void {
    this.#bucket(nowMs).repeats++;
  }

  /** Takes one repeat where the budget allows it. `gateways` share the fixed part. */
  take(nowMs: number, gateways: number): boolean {
    if (this.remaining(nowMs, gateways) < 1) return false;
    this.recordRetry(nowMs);
    return true;
  }

  /** Repeats that may be sent now. */
  remaining(nowMs: number, gateways: number): number {
    const { ratio, extra } = this.#options;
    const { requests, repeats } = this.#sums(nowMs);
    return USED_PART * (ratio * requests + extra / Math.max(1, gateways)) - repeats;
  }

  #slot(nowMs: number): number {
    return Math.floor(nowMs * BUCKETS / this.#options.windowMs);
  }

  #bucket(nowMs: number): Bucket {
    const slot = this.#slot(nowMs);
    const bucket = this.#buckets[slot % BUCKETS]!;
    if (bucket.slot !== slot) {
      bucket.slot = slot;
      bucket.requests = 0;
      bucket.repeats = 0;
    }
    return bucket;
  }

  #sums(nowMs: number): { requests: number; repeats: number } {
    const oldest = this.#slot(nowMs) - BUCKETS;
    let requests = 0;
    let repeats = 0;
    for (const bucket of this.#buckets) {
      if (bucket.slot <= oldest) continue;
      requests += bucket.requests;
      repeats += bucket.repeats;
    }
    return { requests, repeats };
  }
}
