/**
 * Which endpoints probably hold which prompt prefixes: what was sent there, corrected by cache events.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";

/** A bounded, least-recently-used directory. */
export class PrefixDirectory {
  readonly #holders = new Map<string, Set<EndpointId>>();
  readonly #maxPrefixes: number;

  constructor({ maxPrefixes = 4_096 }: { maxPrefixes?: number } = {}) {
    this.#maxPrefixes = maxPrefixes;
  }

  /** For each endpoint, how many of the leading `prefixes` it probably holds. */
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
