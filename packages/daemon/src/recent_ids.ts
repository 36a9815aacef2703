/**
 * A bounded set of recently used ids.
 *
 * @module
 */

/** Remembers the latest `max` ids and evicts the oldest. */
export class RecentIds {
  readonly #ids = new Set<string>();
  readonly #max: number;

  constructor(max: number) {
    this.#max = max;
  }

  /** Adds an id. Returns false where it is already remembered. */
  add(id: string): boolean {
    if (this.#ids.has(id)) return false;
    this.#ids.add(id);
    if (this.#ids.size > this.#max) this.#ids.delete(this.#ids.values().next().value!);
    return true;
  }
}
