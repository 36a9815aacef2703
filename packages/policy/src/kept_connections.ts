/**
 * Decides how many connections of callers stay open between requests.
 *
 * Load pattern: thousands of callers that each keep a connection. When all descriptors of the process are in use, new
 * callers are disconnected without a response, and requests find no connection to an endpoint.
 *
 * @module
 */

/** Fraction of the descriptors for kept connections; the rest is for requests in progress and endpoints. */
const KEPT_FRACTION = 0.5;

/**
 * Number of open connections from which on each closes with its next response, for a process with so many descriptors.
 *
 * @example
 * ```ts
 * const limit = keptConnectionLimit(4_100);
 * ```
 */
export function keptConnectionLimit(maxDescriptors: number | null): number {
  return maxDescriptors === null ? Infinity : Math.floor(KEPT_FRACTION * maxDescriptors);
}
