/**
 * Decides which connections are closed as their callers do not read, while others have no room for responses.
 *
 * Load pattern: callers that ask for large responses and read none of them. What the process holds of each keeps its
 * room for as long as the connection stays open, and all other requests are refused meanwhile.
 *
 * @module
 */

/** What is known of one connection. */
export interface ReadingConnection {
  /** Bytes that were written to the connection and that it has not taken. */
  readonly unreadBytes: number;
  /** Bytes that the connection has taken so far. */
  readonly sentBytes: number;
}

/** Time after which a caller that has taken next to nothing counts as not reading, in milliseconds. */
export const UNREAD_MS = 5_000;
/**
 * Fraction of the unread bytes that a caller has to take in this time. One that takes less needs minutes for them; it may
 * take a byte now and then, or the events of a stream before large responses.
 */
const TAKEN_FRACTION = 0.01;
/** Shortest time between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Fraction of the room for responses from which on connections are checked. */
const CHECK_FRACTION = 0.5;
/** Fraction of the room for responses that is freed at once. */
const FREED_FRACTION = 0.25;

/** Room that connections share, in bytes or whatever `roomOf` of {@link StalledReaders} counts. */
export interface ReadersRoom {
  readonly used: number;
  readonly share: number;
}

interface Sample {
  readonly sentBytes: number;
  readonly atMs: number;
}

/**
 * Compares what connections have taken at several times.
 *
 * @example
 * ```ts
 * const room = { used: budget.responseBytes, share: budget.shares.responses };
 * for (const connection of readers.check(connections, room, nowMs)) connection.close();
 * ```
 */
export class StalledReaders<C extends ReadingConnection> {
  readonly #keyOf: (connection: C) => object;
  readonly #roomOf: (connection: C) => number;
  #samples = new Map<object, Sample>();
  #checkedAtMs = -Infinity;

  /**
   * `keyOf` identifies a connection from one check to the next one. `roomOf` returns how much of the room it takes: its
   * unread bytes by default.
   */
  constructor(
    keyOf: (connection: C) => object,
    roomOf: (connection: C) => number = ({ unreadBytes }) => unreadBytes,
  ) {
    this.#keyOf = keyOf;
    this.#roomOf = roomOf;
  }

  /**
   * Returns the connections to close, those that have taken nothing for the longest time first; none while there is enough
   * room, or shortly after the last check. Closes no more while the room is not full.
   */
  check(
    connections: () => Iterable<C>,
    { used, share }: ReadersRoom,
    nowMs: number,
  ): C[] {
    if (used < CHECK_FRACTION * share) return [];
    if (nowMs - this.#checkedAtMs < CHECK_INTERVAL_MS) return [];
    this.#checkedAtMs = nowMs;
    const samples = new Map<object, Sample>();
    const stalled: { readonly connection: C; readonly atMs: number }[] = [];
    for (const connection of connections()) {
      if (connection.unreadBytes === 0) continue;
      const key = this.#keyOf(connection);
      const known = this.#samples.get(key);
      const { sentBytes, unreadBytes } = connection;
      const isStalled = known !== undefined &&
        sentBytes - known.sentBytes < Math.max(1, TAKEN_FRACTION * unreadBytes);
      const sample = isStalled ? known : { sentBytes, atMs: nowMs };
      samples.set(key, sample);
      if (nowMs - sample.atMs >= UNREAD_MS) stalled.push({ connection, atMs: sample.atMs });
    }
    this.#samples = samples;
    if (used < share) return [];
    stalled.sort((a, b) => a.atMs - b.atMs);
    let freed = 0;
    const closed: C[] = [];
    for (const { connection } of stalled) {
      if (freed >= FREED_FRACTION * share) break;
      freed += this.#roomOf(connection);
      closed.push(connection);
    }
    return closed;
  }
}
