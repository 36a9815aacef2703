/**
 * Decides by when a request must be answered whose arrival is known only within a span.
 *
 * Load pattern: a host stalls for longer than callers wait, and new connections queue to be accepted for a while after
 * it. A request that is read then may have arrived before the stall or a moment ago. If it were rejected as late on the
 * earliest of these, its caller would come back on another new connection, which would be rejected as well.
 *
 * @module
 */

/** When a request may have arrived, by a monotonic clock in milliseconds. */
export interface Arrival {
  readonly earliestMs: number;
  readonly latestMs: number;
}

/**
 * Time that a request has left at least if it may have arrived late enough, in milliseconds: a caller that has not
 * disconnected still waits. An endpoint may get this much more time than the caller has.
 */
const MIN_LEFT_MS = 500;

/**
 * Time by which a request must be answered, in milliseconds. It is in the past only if the request is late whenever it
 * arrived.
 *
 * @example
 * ```ts
 * dueAtMs({ earliestMs: 0, latestMs: 1_500 }, { timeoutMs: 1_000, nowMs: 1_500 }); // 2_000
 * ```
 */
export function dueAtMs(
  { earliestMs, latestMs }: Arrival,
  { timeoutMs, nowMs }: { readonly timeoutMs: number; readonly nowMs: number },
): number {
  return Math.max(earliestMs + timeoutMs, Math.min(latestMs + timeoutMs, nowMs + MIN_LEFT_MS));
}
