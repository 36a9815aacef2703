/**
 * Accounts of what callers' connections hold and do, and the decisions how much more is read from each.
 *
 * Load pattern: callers that send thousands of requests ahead on each connection and read no response. Their requests
 * take the memory of the process and its event loop, while each of them is small and within all limits.
 *
 * @module
 */
import type { MemoryShares } from "./memory_budget.ts";

/** What one connection holds now. */
export interface CallerAccount {
  /** Requests that were read and whose response has not been written whole to the connection. */
  readonly unanswered: number;
  /** Whether the connection takes no more bytes of responses until its caller reads some. */
  readonly hasUnreadResponses: boolean;
}

/** What all connections hold together. */
export interface CallerTotals {
  /** Requests that were read and have no whole response yet. */
  readonly requests: number;
  /** Bytes that belong to requests in progress, by estimate. */
  readonly requestBytes: number;
  /** Bytes that were received and not passed to the parser. */
  readonly heldBytes: number;
}

/** Requests of one connection that may be unanswered before no more are read from it. */
export const MAX_UNANSWERED = 32;
/**
 * Fraction of the descriptors for requests in progress, each of which may have a connection to an endpoint, above which
 * each connection has one at a time.
 */
const REQUESTS_DESCRIPTORS_FRACTION = 0.1;
/** Memory of a request in progress, besides its head and body, in bytes: an estimate that was not measured. */
const REQUEST_BYTES = 8_192;
/** Fraction of a share of the host's memory for requests beyond the first one of each connection. */
const REQUESTS_FRACTION = 0.5;
/** Fraction of a share for received bytes of requests that wait for the ones before them. */
const HELD_FRACTION = 0.5;
/** Most bytes of requests' bodies that one turn of a connection passes to the parser. */
export const TURN_BYTES = 65_536;
/** Bytes of a chunked body that are passed on at once, as their number of chunks is not known before. */
export const CHUNKED_SLICE_BYTES = 1_024;
/** Chunks of a body that end the turn of its connection. Large chunks use up {@link TURN_BYTES} first. */
export const TURN_CHUNKS = 64;

/** What a host has room for. */
export interface CallerBounds {
  readonly shares: MemoryShares;
  /** Requests of one connection that may be unanswered; {@link MAX_UNANSWERED} by default. */
  readonly maxUnanswered?: number;
  /** Descriptors that the process may have open; `null` if there is no known limit. */
  readonly maxDescriptors: number | null;
}

/** Estimated memory of a request with a header section of so many bytes. */
export function requestBytesOf(headBytes: number): number {
  return REQUEST_BYTES + 2 * headBytes;
}

/**
 * Whether one more request may be read from a connection. The first one always may, unless the connection's responses
 * are not being read: the number of connections is bounded by the host's descriptors.
 *
 * @example
 * ```ts
 * if (!mayReadRequest(account, totals, bounds)) pause();
 * ```
 */
export function mayReadRequest(
  { unanswered, hasUnreadResponses }: CallerAccount,
  { requests, requestBytes }: CallerTotals,
  { shares, maxDescriptors, maxUnanswered = MAX_UNANSWERED }: CallerBounds,
): boolean {
  if (hasUnreadResponses) return false;
  if (unanswered === 0) return true;
  return unanswered < maxUnanswered &&
    requests < REQUESTS_DESCRIPTORS_FRACTION * (maxDescriptors ?? Infinity) &&
    requestBytes < REQUESTS_FRACTION * shares.responses;
}

/**
 * Whether a connection must be closed after the responses to what was read from it, as the bytes that wait behind them
 * on all connections have no room. These bytes are not read, so no request among them runs. {@link chooseMostHeld}
 * chooses the connection.
 */
export function mustDropHeld(
  { heldBytes }: Pick<CallerTotals, "heldBytes">,
  { shares }: Pick<CallerBounds, "shares">,
): boolean {
  return heldBytes > HELD_FRACTION * shares.responses;
}

/**
 * The connection with the most bytes that wait; `null` if there is none. A caller that sends little ahead is not closed
 * for what others send.
 */
export function chooseMostHeld<C extends { readonly heldBytes: number }>(
  connections: Iterable<C>,
): C | null {
  let most: C | null = null;
  for (const connection of connections) {
    if (most === null || connection.heldBytes > most.heldBytes) most = connection;
  }
  return most;
}
