/**
 * Outages of the store, which decide how what it no longer shows is interpreted.
 *
 * @module
 */

/** The present or the last outage. */
export interface StoreOutage {
  /** Whether the content of the store is unknown now. */
  readonly isDown: boolean;
  /** When the last outage ended, by the monotonic clock; `-Infinity` if there was none. */
  readonly endedAtMs: number;
}

/** No outage so far. */
export const NO_OUTAGE: StoreOutage = { isDown: false, endedAtMs: -Infinity };
