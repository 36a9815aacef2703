/**
 * The platform's object API: named values with versions, conditional updates and watches.
 *
 * @module
 */

import { raise } from "@wisteriapick/core";

/** Largest value in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** One stored object. `version` is positive and rises with each write to the key. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value: Uint8Array;
}

/** A change seen by a watch; `value` is `null` after a delete. `index` orders all changes of the store. */
export interface StoreEvent {
  readonly index: number;
  readonly key: string;
  readonly version: number;
  readonly value: Uint8Array | null;
}

/** One page of a listing. `index` is the store index the listing is valid at. */
export interface StoreListing {
  readonly index: number;
  readonly objects: readonly StoredObject[];
}

/** Events after an index; `gap` says that older events are gone and a new listing is needed. */
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
  /** Reads one object, or `null`. */
  abstract get(key: string): Promise<StoredObject | null>;

  /** Lists the objects under a prefix in key order. */
  abstract list(
    prefix: string,
    options?: { after?: string; limit?: number },
  ): Promise<StoreListing>;

  /**
   * Writes an object when its present version is `ifVersion` (0: it must not exist). Otherwise fails with
   * `store_conflict`. Returns the new version.
   */
  abstract put(key: string, value: Uint8Array, options: { ifVersion: number }): Promise<number>;

  /** Deletes an object when its present version is `ifVersion`. */
  abstract delete(key: string, options: { ifVersion: number }): Promise<void>;

  /** Waits up to `waitMs` for changes under a prefix after `index`. Counts as one call while it waits. */
  abstract watch(
    prefix: string,
    options: { index: number; waitMs?: number; signal?: AbortSignal },
  ): Promise<WatchResult>;
}

/** Raises `store_value_too_large` for a value that no store takes. */
export function requireValueSize(key: string, value: Uint8Array): void {
  if (value.byteLength <= MAX_VALUE_BYTES) return;
  const message = `${key}: ${value.byteLength} bytes exceed ${MAX_VALUE_BYTES}`;
  raise({ type: "store_value_too_large", message });
}
