/**
 * The tokens of one generation, kept at its side so that any entry can ask for the rest.
 *
 * @module
 */

/** How a generation ended; `T` is chosen by the embedder. */
export type LogEnd<T> = { readonly at: number; readonly value: T };

/**
 * An append-only list of tokens with offsets from 0.
 *
 * @example
 * ```ts
 * const log = new GenerationLog<string>();
 * log.append(0, "Hello");
 * log.read(0); // ["Hello"]
 * ```
 */
export class GenerationLog<T> {
  readonly #tokens: string[] = [];
  #bytes = 0;
  #end: LogEnd<T> | null = null;

  /** The number of tokens, which is the offset of the next one. */
  get length(): number {
    return this.#tokens.length;
  }

  /** Approximate memory of the tokens: two bytes for each character and one slot for each token. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Set once the generation has ended. */
  get end(): LogEnd<T> | null {
    return this.#end;
  }

  /** Adds a token. Returns false for an offset that is already there; a gap is returned as `"gap"`. */
  append(offset: number, text: string): boolean | "gap" {
    if (offset < this.#tokens.length || this.#end !== null) return false;
    if (offset > this.#tokens.length) return "gap";
    this.#tokens.push(text);
    this.#bytes += 2 * text.length + ARRAY_SLOT_BYTES;
    return true;
  }

  /** The tokens from `offset` on, at most `limit`. */
  read(offset: number, limit = Infinity): readonly string[] {
    return this.#tokens.slice(offset, offset + limit);
  }

  /** Marks the end. Only the first call counts. */
  finish(value: T, nowMs: number): boolean {
    if (this.#end !== null) return false;
    this.#end = { at: nowMs, value };
    return true;
  }
}

const ARRAY_SLOT_BYTES = 16;

/** Options of {@link GenerationLogStore}. */
export interface GenerationLogStoreOptions {
  /** How long an ended generation stays readable. */
  readonly graceMs?: number;
  /** Memory of all logs above which ended generations are dropped early, oldest first. */
  readonly maxBytes?: number;
  /** Number of ended generation ids that are remembered after their tokens are gone. */
  readonly maxEndedIds?: number;
}

/**
 * All generations of one side. An id is used at most once: ids of ended generations are remembered after
 * their tokens have been dropped.
 */
export class GenerationLogStore<Id extends string, T> {
  readonly #logs = new Map<Id, GenerationLog<T>>();
  // Both in insertion order, which is the order of ending. An id leaves the first when its tokens are dropped.
  readonly #ended = new Map<Id, GenerationLog<T>>();
  readonly #endedIds = new Set<Id>();
  readonly #graceMs: number;
  readonly #maxBytes: number;
  readonly #maxEndedIds: number;

  constructor(
    { graceMs = 60_000, maxBytes = 64 << 20, maxEndedIds = 100_000 }: GenerationLogStoreOptions =
      {},
  ) {
    this.#graceMs = graceMs;
    this.#maxBytes = maxBytes;
    this.#maxEndedIds = maxEndedIds;
  }

  /** Whether the id was ever used, as far as it is remembered. */
  wasUsed(id: Id): boolean {
    return this.#logs.has(id) || this.#endedIds.has(id);
  }

  /** The log of a generation whose tokens are still held. */
  get(id: Id): GenerationLog<T> | null {
    return this.#logs.get(id) ?? this.#ended.get(id) ?? null;
  }

  /** Starts a log. Returns `null` where the id was used before. */
  create(id: Id): GenerationLog<T> | null {
    if (this.wasUsed(id)) return null;
    const log = new GenerationLog<T>();
    this.#logs.set(id, log);
    return log;
  }

  /** Ends a generation; its tokens stay readable for the grace time. */
  finish(id: Id, value: T, nowMs: number): void {
    const log = this.#logs.get(id);
    if (log === undefined) return;
    log.finish(value, nowMs);
    this.#logs.delete(id);
    this.#ended.set(id, log);
    this.#endedIds.add(id);
    if (this.#endedIds.size > this.#maxEndedIds) this.#forgetOldest();
  }

  /** Forgets an id that never ran, so that it leaves no trace. */
  discard(id: Id): void {
    this.#logs.delete(id);
  }

  /** Drops what is past its grace time or above the memory bound. Returns the bytes still held. */
  sweep(nowMs: number): number {
    let bytes = 0;
    for (const log of this.#logs.values()) bytes += log.bytes;
    for (const log of this.#ended.values()) bytes += log.bytes;
    for (const [id, log] of this.#ended) {
      const expired = nowMs - log.end!.at >= this.#graceMs;
      if (!expired && bytes <= this.#maxBytes) break;
      bytes -= log.bytes;
      this.#ended.delete(id);
    }
    return bytes;
  }

  #forgetOldest(): void {
    const oldest: Id = this.#endedIds.values().next().value!;
    this.#endedIds.delete(oldest);
    this.#ended.delete(oldest);
  }
}
