/**
 * Limits retries in proportion to the requests of callers, for each service and all gateways together. Load
 * pattern: the endpoints of a service refuse or crash and every gateway repeats what they did not take, beside many
 * requests for another service, while gateways start, end, or lose contact with each other.
 *
 * @module
 */

/** Limits of the retries at one service, for all gateways together. */
export interface RetryBudgetLimits {
  /** Retries allowed per request for the service in the window. */
  readonly ratio: number;
  /** Further retries allowed in the window; `Infinity` where retries have no budget. */
  readonly extra: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

/** Options of {@link RetryBudget} and {@link RetryBudgets}. */
export interface RetryBudgetOptions extends RetryBudgetLimits {
  /** When this gateway's process started; it may have used its share just before. Default: long ago. */
  readonly startedAtMs?: number;
}

/** Buckets of the sliding window. */
const BUCKET_COUNT = 20;
/** Buckets of the window and of the one before it, and the one in progress. */
const RING_SIZE = 2 * BUCKET_COUNT + 1;
/** Fraction of the budget that is used: endpoints get repeats up to a second after they are taken. */
const USED_FRACTION = 0.8;
/**
 * Fraction of its fixed part that a gateway uses in the first window after its start. Its last process, or the gateways
 * that did not know of it, may have used the rest; both together stay within the whole.
 */
const FIRST_WINDOW_FRACTION = 1 - USED_FRACTION;

interface Bucket {
  slot: number;
  requests: number;
  retries: number;
}

/**
 * One gateway's share of the retry budget of one service.
 *
 * All gateways' retries in any window may not exceed `ratio` times the requests in the window or in the one before it,
 * whichever has more, plus `extra`. No gateway knows the requests of the others, so each keeps to the mean of its own
 * two counts: their sum is the mean of the two sums, and never more than the greater one.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget({ ratio: 0.2, extra: 50, windowMs: 10_000 });
 * budget.recordRequest(nowMs);
 * if (budget.take(nowMs, divisor)) retry();
 * ```
 */
export class RetryBudget {
  #limits: RetryBudgetLimits;
  readonly #startedAtMs: number;
  readonly #buckets: Bucket[] = Array.from(
    { length: RING_SIZE },
    () => ({ slot: -1, requests: 0, retries: 0 }),
  );

  constructor({ startedAtMs = -Infinity, ...limits }: RetryBudgetOptions) {
    this.#limits = limits;
    this.#startedAtMs = startedAtMs;
  }

  /** Replaces the limits; requests and retries already counted stay counted. */
  configure(limits: RetryBudgetLimits): void {
    this.#limits = limits;
  }

  /** Records a request of a caller, however often it is attempted; a fraction where it may go to several services. */
  recordRequest(nowMs: number, fraction = 1): void {
    this.#bucket(nowMs).requests += fraction;
  }

  /** Records a retry that is sent regardless of the budget. */
  recordRetry(nowMs: number): void {
    this.#bucket(nowMs).retries++;
  }

  /**
   * Takes one retry where the budget allows it. The fixed part is divided by `divisor`, the number of gateways, or the
   * inverse of this gateway's share where shares differ; `null` if the number of gateways is unknown, and nothing of the
   * fixed part may be used.
   */
  take(nowMs: number, divisor: number | null): boolean {
    if (this.remaining(nowMs, divisor) < 1) return false;
    this.recordRetry(nowMs);
    return true;
  }

  /** Number of retries that may be sent now; may be negative or a fraction. */
  remaining(nowMs: number, divisor: number | null): number {
    const { ratio } = this.#limits;
    const fixed = this.#fixedPart(nowMs, divisor);
    const current = this.#slot(nowMs);
    const oldest = current - BUCKET_COUNT;
    let requests = 0;
    for (let slot = oldest + 1; slot <= current; slot++) requests += this.#requestsIn(slot);
    let retries = 0;
    let remaining = Infinity;
    // Windows that begin in each bucket, the newest first. Retries of the whole bucket count, requests that may precede
    // the window before it do not.
    for (let slot = current; slot >= oldest; slot--) {
      retries += this.#retriesIn(slot);
      const meanRequests = requests / 2;
      remaining = Math.min(remaining, USED_FRACTION * ratio * meanRequests + fixed - retries);
      requests += this.#requestsIn(slot - BUCKET_COUNT);
    }
    return remaining;
  }

  /** Whether neither requests nor retries of the present and the last window are known. */
  isIdle(nowMs: number): boolean {
    const oldest = this.#slot(nowMs) - RING_SIZE;
    return this.#buckets.every(({ slot }) => slot <= oldest);
  }

  /** This gateway's share of the retries that are allowed beside those in proportion to requests. */
  #fixedPart(nowMs: number, divisor: number | null): number {
    const { extra, windowMs } = this.#limits;
    if (extra === Infinity) return Infinity;
    if (divisor === null) return 0;
    const isFirstWindow = nowMs - this.#startedAtMs < windowMs;
    const fraction = isFirstWindow ? FIRST_WINDOW_FRACTION : USED_FRACTION;
    return fraction * extra / Math.max(1, divisor);
  }

  #slot(nowMs: number): number {
    return Math.floor(nowMs * BUCKET_COUNT / this.#limits.windowMs);
  }

  #bucket(nowMs: number): Bucket {
    const slot = this.#slot(nowMs);
    const bucket = this.#buckets[indexOf(slot)]!;
    if (bucket.slot !== slot) {
      bucket.slot = slot;
      bucket.requests = 0;
      bucket.retries = 0;
    }
    return bucket;
  }

  #requestsIn(slot: number): number {
    const bucket = this.#buckets[indexOf(slot)]!;
    return bucket.slot === slot ? bucket.requests : 0;
  }

  #retriesIn(slot: number): number {
    const bucket = this.#buckets[indexOf(slot)]!;
    return bucket.slot === slot ? bucket.retries : 0;
  }
}

function indexOf(slot: number): number {
  return ((slot % RING_SIZE) + RING_SIZE) % RING_SIZE;
}

/**
 * One gateway's shares of the retry budgets of all services.
 *
 * @example
 * ```ts
 * const budgets = new RetryBudgets({ ratio: 0.2, extra: 50, windowMs: 10_000, startedAtMs });
 * budgets.of("scribe", nowMs).recordRequest(nowMs);
 * ```
 */
export class RetryBudgets {
  #limits: RetryBudgetLimits;
  readonly #startedAtMs: number | undefined;
  readonly #budgets = new Map<string, RetryBudget>();

  constructor({ startedAtMs, ...limits }: RetryBudgetOptions) {
    this.#limits = limits;
    this.#startedAtMs = startedAtMs;
  }

  /** Replaces the limits of all services; requests and retries already counted stay counted. */
  configure(limits: RetryBudgetLimits): void {
    this.#limits = limits;
    for (const budget of this.#budgets.values()) budget.configure(limits);
  }

  /** The budget of one service. */
  of(service: string, nowMs: number): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      this.#forgetIdle(nowMs);
      budget = new RetryBudget({ ...this.#limits, startedAtMs: this.#startedAtMs });
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  /** Forgets services without requests, as configurations may name ever new ones. */
  #forgetIdle(nowMs: number): void {
    for (const [service, budget] of this.#budgets) {
      if (budget.isIdle(nowMs)) this.#budgets.delete(service);
    }
  }
}
