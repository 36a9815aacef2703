/**
 * Calls to the object API with bounded, jittered retries.
 *
 * @module
 */
import { type Clock, type Rng, toWpError, type WpError } from "@wisteriapick/core";

/** How calls are tried again. Waits double from `firstMs` to `maxMs`, each with full jitter. */
export interface RetryOptions {
  readonly attempts?: number;
  readonly firstDelayMs?: number;
  readonly maxDelayMs?: number;
}

/** Whether a later call may succeed. */
export function isTransient(err: WpError): boolean {
  return err.type === "store_unavailable" || err.type === "store_outcome_unknown" ||
    err.type === "rate_limited" || err.type === "unreachable" || err.type === "timeout";
}

/** The wait before attempt `n` (from 1), spread over the whole interval so that callers do not meet. */
export function backoffMs(
  n: number,
  rng: Rng,
  { firstDelayMs = 50, maxDelayMs = 5_000 }: RetryOptions = {},
): number {
  const top = Math.min(maxDelayMs, firstDelayMs * 2 ** Math.min(n - 1, 20));
  return top * (0.5 + 0.5 * rng.next());
}

/** Calls `fn` again after transient failures. The last failure is thrown. */
export async function withRetry<T>(
  fn: () => Promise<T>,
  clock: Clock,
  rng: Rng,
  options: RetryOptions = {},
): Promise<T> {
  const attempts = options.attempts ?? 4;
  for (let n = 1;; n++) {
    try {
      return await fn();
    } catch (e) {
      const err = toWpError(e);
      if (n >= attempts || !isTransient(err)) throw e;
      const wait = err.type === "rate_limited" ? err.retryAfterMs : 0;
      await clock.sleep(wait + backoffMs(n, rng, options));
    }
  }
}
