/**
 * Interface of the platform's object API: named values with versions, conditional updates and watches.
 *
 * @module
 */

import { raise } from "@wisteriapick/core";

/** Maximum size of a value in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** A stored object. `version` is positive and increases with each write to the key. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value: Uint8Array;
}

/** A change reported by a watch; `value` is `null` after a delete. `index` orders all changes of the store. */
export interface StoreEvent {
  readonly index: number;
  readonly key: string;
  readonly version: number;
  readonly value: Uint8Array | null;
}

/** One page of a listing. `index` is the store index at which it is valid. */
export interface StoreListing {
  readonly index: number;
  readonly objects: readonly StoredObject[];
}

/** Events after an index. If `gap` is true, older events are no longer available and a new listing is needed. */
export interface WatchResult {
  readonly index: number;
  readonly events: readonly StoreEvent[];
  readonly gap: boolean;
}

/**
 * The object API. Every call may fail with `store_unavailable` (it had no effect), `store_outcome_unknown` (a
 * write may have taken effect) or `rate_limited`.
 */
export abstract class ObjectStore {
  /** Reads one object; returns `null` if it does not exist. */
  abstract get(key: string): Promise<StoredObject | null>;

  /** Lists the objects under a prefix in key order. */
  abstract list(
    prefix: string,
    options?: { after?: string; limit?: number },
  ): Promise<StoreListing>;

  /**
   * Writes an object if its current version is `ifVersion` (0: it must not exist), otherwise fails with
   * `store_conflict`. Returns the new version.
   */
  abstract put(key: string, value: Uint8Array, options: { ifVersion: number }): Promise<number>;

  /** Deletes an object if its current version is `ifVersion`. */
  abstract delete(key: string, options: { ifVersion: number }): Promise<void>;

  /** Waits up to `waitMs` for changes under a prefix after `index`. Counts as one call, however long it waits. */
  abstract watch(
    prefix: string,
    options: { index: number; waitMs?: number; signal?: AbortSignal },
  ): Promise<WatchResult>;
}

/** Raises `store_value_too_large` for a value above {@link MAX_VALUE_BYTES}. */
export function requireValueSize(key: string, value: Uint8Array): void {
  if (value.byteLength <= MAX_VALUE_BYTES) return;
  const message = `${key}: ${value.byteLength} bytes exceed ${MAX_VALUE_BYTES}`;
  raise({ type: "store_value_too_large", message });
}
