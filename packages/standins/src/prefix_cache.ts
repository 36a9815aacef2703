/**
 * The prefix cache of the engine model: blocks of KV memory that are retained after the generation that filled them.
 *
 * @module
 */

/** A prompt prefix and its total length in tokens. Prefixes of one prompt are listed shortest first. */
export interface PrefixSpec {
  readonly hash: string;
  readonly tokens: number;
}

interface Entry {
  /** Tokens beyond the next shorter prefix. */
  readonly tokens: number;
  refs: number;
}

/** A least-recently-used cache of prefixes. Prefixes in use by a generation are never evicted. */
export class PrefixCache {
  // A Map iterates in insertion order, so re-inserting an entry on use keeps it in order of last use.
  readonly #entries = new Map<string, Entry>();
  readonly #onChange: (type: "stored" | "evicted", prefix: string) => void;
  #pinned = 0;
  #idle = 0;

  constructor(onChange: (type: "stored" | "evicted", prefix: string) => void = () => {}) {
    this.#onChange = onChange;
  }

  /** Number of tokens in prefixes that generations use. */
  get pinnedTokens(): number {
    return this.#pinned;
  }

  /** Number of tokens that may be evicted. */
  get idleTokens(): number {
    return this.#idle;
  }

  /** Length in tokens of the longest cached prefix among `prefixes`. */
  cachedTokens(prefixes: readonly PrefixSpec[]): number {
    let found = 0;
    for (const prefix of prefixes) {
      if (!this.#entries.has(prefix.hash)) break;
      found = prefix.tokens;
    }
    return found;
  }

  /** Pins `prefixes` up to `tokens`, adding missing ones. Returns the tokens of the prompt that the cache now holds. */
  pin(prefixes: readonly PrefixSpec[], tokens: number): number {
    let shorter = 0;
    for (const prefix of prefixes) {
      if (prefix.tokens > tokens) break;
      this.#pinPrefix(prefix.hash, prefix.tokens - shorter);
      shorter = prefix.tokens;
    }
    return shorter;
  }

  /** Undoes a `pin` with the same arguments; the tokens stay cached until evicted. */
  unpin(prefixes: readonly PrefixSpec[], tokens: number): void {
    for (const prefix of prefixes.toReversed()) {
      if (prefix.tokens > tokens) continue;
      const entry = this.#entries.get(prefix.hash);
      if (entry === undefined) continue;
      entry.refs--;
      if (entry.refs === 0) {
        this.#pinned -= entry.tokens;
        this.#idle += entry.tokens;
      }
    }
  }

  /** Evicts idle prefixes, least recently used first, until `tokens` are free or none is left. */
  evict(tokens: number): void {
    let freed = 0;
    for (const [hash, entry] of this.#entries) {
      if (freed >= tokens) return;
      if (entry.refs > 0) continue;
      this.#entries.delete(hash);
      this.#idle -= entry.tokens;
      freed += entry.tokens;
      this.#onChange("evicted", hash);
    }
  }

  clear(): void {
    this.#entries.clear();
    this.#pinned = 0;
    this.#idle = 0;
  }

  #pinPrefix(hash: string, tokens: number): void {
    let entry = this.#entries.get(hash);
    if (entry === undefined) {
      entry = { tokens, refs: 0 };
      this.#pinned += tokens;
      this.#onChange("stored", hash);
    } else {
      if (entry.refs === 0) {
        this.#idle -= entry.tokens;
        this.#pinned += entry.tokens;
      }
      this.#entries.delete(hash);
    }
    entry.refs++;
    this.#entries.set(hash, entry);
  }
}
