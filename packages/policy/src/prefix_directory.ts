/**
 * Directory of the prompt prefixes that endpoints probably have in their caches. A prefix sent to
 * an endpoint counts as cached there; cache events of the engine add and remove entries.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";

/** Directory with a bound on its prefixes; the least recently stored one is dropped first. */
export class PrefixDirectory {
  readonly #holders = new Map<string, Set<EndpointId>>();
  readonly #maxPrefixes: number;

  constructor({ maxPrefixes = 4_096 }: { maxPrefixes?: number } = {}) {
    this.#maxPrefixes = maxPrefixes;
  }

  /** For each endpoint, the number of leading `prefixes` that it probably has cached. */
  lookup(prefixes: readonly string[]): Map<EndpointId, number> {
    const found = new Map<EndpointId, number>();
    for (let i = 0; i < prefixes.length; i++) {
      const holders = this.#holders.get(prefixes[i]!);
      if (holders === undefined) break;
      for (const endpoint of holders) found.set(endpoint, i + 1);
    }
    return found;
  }

  recordSent(endpoint: EndpointId, prefixes: readonly string[]): void {
    for (const prefix of prefixes) this.recordStored(endpoint, prefix);
  }

  recordStored(endpoint: EndpointId, prefix: string): void {
    const holders = this.#holders.get(prefix) ?? new Set();
    holders.add(endpoint);
    this.#holders.delete(prefix);
    this.#holders.set(prefix, holders);
    if (this.#holders.size > this.#maxPrefixes) {
      this.#holders.delete(this.#holders.keys().next().value!);
    }
  }

  recordEvicted(endpoint: EndpointId, prefix: string): void {
    const holders = this.#holders.get(prefix);
    if (holders === undefined) return;
    holders.delete(endpoint);
    if (holders.size === 0) this.#holders.delete(prefix);
  }

  forgetEndpoint(endpoint: EndpointId): void {
    for (const [prefix, holders] of this.#holders) {
      holders.delete(endpoint);
      if (holders.size === 0) this.#holders.delete(prefix);
    }
  }
}
