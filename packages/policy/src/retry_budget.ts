/**
 * Limits retries in proportion to the requests of callers. Load pattern: a failing service whose
 * callers and gateways all retry, so that retries crowd out first attempts.
 *
 * @module
 */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries allowed per request in the window. */
  readonly ratio: number;
  /** Further retries allowed in the window, for all gateways together. */
  readonly extra: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

/** Buckets of the sliding window. */
const BUCKET_COUNT = 20;
/** Fraction of the budget that is used, as gateways learn of changes of their number with a delay. */
const USED_FRACTION = 0.8;

interface Bucket {
  slot: number;
  requests: number;
  retries: number;
}

/**
 * One gateway's share of a retry budget for all gateways.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget({ ratio: 0.2, extra: 50, windowMs: 10_000 });
 * budget.recordRequest(nowMs);
 * if (budget.take(nowMs, gatewayCount)) retry();
 * ```
 */
export class RetryBudget {
  #options: RetryBudgetOptions;
  readonly #buckets: Bucket[] = Array.from(
    { length: BUCKET_COUNT },
    () => ({ slot: -1, requests: 0, retries: 0 }),
  );

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Replaces the limits; requests and retries already counted stay counted. */
  configure(options: RetryBudgetOptions): void {
    this.#options = options;
  }

  /** Records a request of a caller, however often it is attempted. */
  recordRequest(nowMs: number): void {
    this.#bucket(nowMs).requests++;
  }

  /** Records a retry that is sent regardless of the budget. */
  recordRetry(nowMs: number): void {
    this.#bucket(nowMs).retries++;
  }

  /** Takes one retry where the budget allows it. The fixed part is divided by `gatewayCount`. */
  take(nowMs: number, gatewayCount: number): boolean {
    if (this.remaining(nowMs, gatewayCount) < 1) return false;
    this.recordRetry(nowMs);
    return true;
  }

  /** Number of retries that may be sent now; may be negative or a fraction. */
  remaining(nowMs: number, gatewayCount: number): number {
    const { ratio, extra } = this.#options;
    const { requests, retries } = this.#totals(nowMs);
    return USED_FRACTION * (ratio * requests + extra / Math.max(1, gatewayCount)) - retries;
  }

  #slot(nowMs: number): number {
    return Math.floor(nowMs * BUCKET_COUNT / this.#options.windowMs);
  }

  #bucket(nowMs: number): Bucket {
    const slot = this.#slot(nowMs);
    const bucket = this.#buckets[slot % BUCKET_COUNT]!;
    if (bucket.slot !== slot) {
      bucket.slot = slot;
      bucket.requests = 0;
      bucket.retries = 0;
    }
    return bucket;
  }

  #totals(nowMs: number): { requests: number; retries: number } {
    const oldest = this.#slot(nowMs) - BUCKET_COUNT;
    let requests = 0;
    let retries = 0;
    for (const bucket of this.#buckets) {
      if (bucket.slot <= oldest) continue;
      requests += bucket.requests;
      retries += bucket.retries;
    }
    return { requests, retries };
  }
}
