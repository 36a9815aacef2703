/**
 * Decides which of a gateway's connections is closed when there are too many.
 *
 * Load pattern: more callers than the process has descriptors connect, send a part of a head or nothing, and stay. New
 * callers are then disconnected without a response, and requests find no connection to an endpoint.
 *
 * @module
 */

/** What is known of one connection. */
export interface OpenConnection {
  /** Requests that were read from it and have no whole response yet. */
  readonly unanswered: number;
  /** Whether bytes have arrived that belong to no request so far. */
  readonly hasPartOfHead: boolean;
  /** Whether a request was ever read from it. */
  readonly hasHadRequest: boolean;
  /** When it was opened, last had a request in progress, or was seen to have a part of a next head, in milliseconds. */
  readonly usedAtMs: number;
}

/**
 * Time for which a head may be awaited before its connection is closed in place of kept ones, in milliseconds. The heads
 * of callers that connect at once come within it; a crowd has to open all its connections anew in this time to close kept
 * ones.
 */
const HEAD_WAIT_MS = 250;

/** Fraction of the process's descriptors for callers' connections; the rest is for endpoints, peers and files. */
const OPEN_FRACTION = 0.75;
/** Fraction of the descriptors for what is not counted, such as files and the connections to the store. */
const RESERVED_FRACTION = 0.125;
/** Most descriptors that are kept for it. */
const MAX_RESERVED = 200;

/**
 * Largest number of callers' connections of a process with so many descriptors.
 *
 * @param otherDescriptors Descriptors that are open for endpoints, peers and operators, or promised to requests.
 *
 * @example
 * ```ts
 * const maxOpen = openConnectionLimit(4_100, 250);
 * ```
 */
export function openConnectionLimit(maxDescriptors: number | null, otherDescriptors = 0): number {
  if (maxDescriptors === null) return Infinity;
  const reserved = Math.min(MAX_RESERVED, RESERVED_FRACTION * maxDescriptors);
  const open = Math.min(
    OPEN_FRACTION * maxDescriptors,
    maxDescriptors - reserved - otherDescriptors,
  );
  return Math.max(1, Math.floor(open));
}

/**
 * Chooses the connection to close: one whose head has been awaited for a while, then one that is kept between requests,
 * then one whose head may still come soon, and of these the one that has been so for the longest. Returns `null` if all
 * have requests in progress. Without `nowMs`, every head has been awaited for long.
 */
export function chooseEviction<C extends OpenConnection>(
  connections: Iterable<C>,
  nowMs = Infinity,
): C | null {
  let chosen: C | null = null;
  for (const connection of connections) {
    if (connection.unanswered > 0) continue;
    if (chosen === null || comparesBefore(connection, chosen, nowMs)) chosen = connection;
  }
  return chosen;
}

function comparesBefore(a: OpenConnection, b: OpenConnection, nowMs: number): boolean {
  const difference = orderOf(a, nowMs) - orderOf(b, nowMs);
  return difference === 0 ? a.usedAtMs < b.usedAtMs : difference < 0;
}

/** Order in which connections without a request in progress are closed, lowest first. */
function orderOf(
  { hasHadRequest, hasPartOfHead, usedAtMs }: OpenConnection,
  nowMs: number,
): number {
  if (hasHadRequest && !hasPartOfHead) return 1;
  return nowMs - usedAtMs >= HEAD_WAIT_MS ? 0 : 2;
}
