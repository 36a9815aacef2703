/**
 * Orders what gateways know of the store by the store's era first. After the store was restored from a copy, it is in a
 * later era and gives out revisions once more, so revisions count only within one era.
 *
 * @module
 */

/** The era of a store that names none. */
export const UNNAMED_ERA = 0;

/** A place in the store's history. */
export interface StorePosition {
  /** Rises when the store is restored; {@link UNNAMED_ERA} if the store names none. */
  readonly era: number;
  /** Store revision within the era. */
  readonly revision: number;
}

/** Before all positions: the position of a view that has not been read. */
export const NO_POSITION: StorePosition = { era: UNNAMED_ERA, revision: 0 };

/**
 * Whether a position comes before another one.
 *
 * @example
 * ```ts
 * isBefore({ era: 1, revision: 900 }, { era: 2, revision: 40 }); // true
 * ```
 */
export function isBefore(a: StorePosition, b: StorePosition): boolean {
  return a.era === b.era ? a.revision < b.revision : a.era < b.era;
}
