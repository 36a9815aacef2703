/**
 * Checks the offsets of arriving tokens, so that none is delivered twice and none is missed.
 *
 * @module
 */

/** What to do with a batch: deliver `items`, or ask again from `next` on. */
export type CursorResult =
  | { readonly type: "deliver"; readonly items: readonly string[] }
  | { readonly type: "duplicate" }
  | { readonly type: "gap"; readonly next: number };

/**
 * Follows one generation.
 *
 * @example
 * ```ts
 * const cursor = new TokenCursor(0);
 * cursor.accept(0, ["a", "b"]); // deliver both
 * cursor.accept(1, ["b", "c"]); // deliver only "c"
 * ```
 */
export class TokenCursor {
  #next: number;

  constructor(next: number) {
    this.#next = next;
  }

  /** Offset of the next token to deliver. */
  get next(): number {
    return this.#next;
  }

  accept(offset: number, items: readonly string[]): CursorResult {
    if (offset > this.#next) return { type: "gap", next: this.#next };
    const newItems = offset === this.#next ? items : items.slice(this.#next - offset);
    if (newItems.length === 0) return { type: "duplicate" };
    this.#next += newItems.length;
    return { type: "deliver", items: newItems };
  }
}
