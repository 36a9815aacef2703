/**
 * A bounded log whose entries can be read with a lag.
 *
 * @module
 */

/** One entry with the time at which it was added. */
export interface LaggedEntry<T> {
  readonly seq: number;
  readonly atMs: number;
  readonly value: T;
}

/** Retains at least the last `limit` entries. */
export class LaggedLog<T> {
  readonly #limit: number;
  #entries: LaggedEntry<T>[] = [];
  #seq = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Adds an entry; a lost one takes a sequence number but is never returned. */
  add(atMs: number, value: T, lost = false): void {
    const seq = ++this.#seq;
    if (lost) return;
    this.#entries.push({ seq, atMs, value });
    // Trimming at twice the limit makes the amortised cost of an addition constant.
    if (this.#entries.length > 2 * this.#limit) this.#entries = this.#entries.slice(-this.#limit);
  }

  /** The newest entry added at or before `untilMs`. */
  newestUntil(untilMs: number): LaggedEntry<T> | null {
    for (let i = this.#entries.length - 1; i >= 0; i--) {
      if (this.#entries[i]!.atMs <= untilMs) return this.#entries[i]!;
    }
    return null;
  }

  /** Entries after `seq` that were added at or before `untilMs`. */
  since(seq: number, untilMs: number): LaggedEntry<T>[] {
    return this.#entries.filter((e) => e.seq > seq && e.atMs <= untilMs);
  }
}
