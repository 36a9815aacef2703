/**
 * Calls to the object store with bounded, jittered retries.
 *
 * @module
 */
import { type Clock, type Rng, toWpError, type WpError } from "@wisteriapick/core";

/** How calls are retried. The delay doubles from `firstDelayMs` to `maxDelayMs`, each time with jitter. */
export interface RetryOptions {
  readonly attempts?: number;
  readonly firstDelayMs?: number;
  readonly maxDelayMs?: number;
}

/** Whether a retry of a failed call may succeed. */
export function isTransient(err: WpError): boolean {
  return err.type === "store_unavailable" || err.type === "store_outcome_unknown" ||
    err.type === "rate_limited" || err.type === "unreachable" || err.type === "timeout";
}

/** Random delay after failure `n` (from 1), at least half of its maximum, so that callers do not retry in step. */
export function backoffMs(
  n: number,
  rng: Rng,
  { firstDelayMs = 50, maxDelayMs = 5_000 }: RetryOptions = {},
): number {
  const maxMs = Math.min(maxDelayMs, firstDelayMs * 2 ** Math.min(n - 1, 20));
  return maxMs * (0.5 + 0.5 * rng.next());
}

/** Calls `fn` and retries it after transient failures. Throws the last failure. */
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
      const rateLimitMs = err.type === "rate_limited" ? err.retryAfterMs : 0;
      await clock.sleep(rateLimitMs + backoffMs(n, rng, options));
    }
  }
}
