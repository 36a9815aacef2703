/**
 * A bounded memory of ids that were used.
 *
 * @module
 */

/** Remembers the latest `max` ids. */
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
