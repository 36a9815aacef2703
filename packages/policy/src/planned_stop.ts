/**
 * Decides which requests a process that is stopping still takes.
 *
 * Load pattern: callers that go on using their open connections until the process is gone, at endpoints that are slow
 * or full, so that what is taken late is still at an endpoint when the grace period ends. On a share of a core, a request
 * and its response also wait for the process itself, for as long as a turn of all connections in use takes.
 *
 * @module
 */

/** A request that has reached a stopping process. */
export interface LateRequest {
  /** Time since the process was told to stop, in milliseconds. */
  readonly sinceStopMs: number;
  /** Time until the process ends, in milliseconds. */
  readonly remainingMs: number;
  /** Time that most requests of its kind take, in milliseconds. */
  readonly usualMs: number;
  /** Time until its deadline or its route's timeout, in milliseconds: the longest that it can take. */
  readonly longestMs: number;
  /** Time that this process needs for one request or response on each connection in use, in milliseconds. */
  readonly turnMs: number;
}

/**
 * Time after the order to stop in which callers still connect, as they learn of it late. Their requests are taken on
 * the chance that they end in time.
 */
const ARRIVING_MS = 3_000;

/**
 * Whether a stopping process takes a request. After the first seconds it does so only if the request must have ended
 * before the process does.
 *
 * @example
 * ```ts
 * canTakeWhileStopping({
 *   sinceStopMs: 4_000,
 *   remainingMs: 3_900,
 *   usualMs: 100,
 *   longestMs: 6_000,
 *   turnMs: 60,
 * }); // false
 * ```
 */
export function canTakeWhileStopping(
  { sinceStopMs, remainingMs, usualMs, longestMs, turnMs }: LateRequest,
): boolean {
  // The request waits for its turn before it is passed on, and the response before it is written.
  const usualHereMs = usualMs + 2 * turnMs;
  // At its deadline the process responds by itself.
  const longestHereMs = longestMs + turnMs;
  const neededMs = sinceStopMs <= ARRIVING_MS
    ? Math.min(usualHereMs, longestHereMs)
    : longestHereMs;
  return remainingMs > 0 && neededMs <= remainingMs;
}
