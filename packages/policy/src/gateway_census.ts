/**
 * Estimates how many gateways there may be. Load pattern: limits for all gateways together are divided by their number,
 * while some start and know none of the others yet, and some are cut off from the others, which go on serving.
 *
 * @module
 */

/** Time for which a gateway that announced its stop is counted: it is often back soon, under the same name. */
const STOPPED_TTL_MS = 20_000;
/**
 * Time for which a gateway without a link and without an announced stop is counted, in milliseconds. It may be serving
 * behind a partition. Registrations of gateways end after the same time.
 */
const UNREACHED_TTL_MS = 600_000;

interface Sighting {
  atMs: number;
  hasStopped: boolean;
}

/**
 * The other gateways that were known lately, from links, the lists of peers, or the store.
 *
 * @example
 * ```ts
 * census.recordSeen("entry-2", nowMs);
 * const share = limit / (census.count(nowMs) + 1);
 * ```
 */
export class GatewayCensus {
  readonly #sightings = new Map<string, Sighting>();

  /** Records that a gateway is linked. */
  recordSeen(name: string, nowMs: number): void {
    this.#sightings.set(name, { atMs: nowMs, hasStopped: false });
  }

  /**
   * Records that a peer or the store named a gateway. Such lists also name gateways that have ended, so they tell nothing
   * of one that was seen before.
   */
  recordNamed(name: string, nowMs: number): void {
    if (!this.#sightings.has(name)) this.recordSeen(name, nowMs);
  }

  /** Whether any other gateway was ever linked or named. */
  get hasSeenAny(): boolean {
    return this.#sightings.size > 0;
  }

  /** Records that a gateway announced its stop. */
  recordStop(name: string, nowMs: number): void {
    this.#sightings.set(name, { atMs: nowMs, hasStopped: true });
  }

  /** Number of other gateways that may be serving. */
  count(nowMs: number): number {
    let count = 0;
    for (const { atMs, hasStopped } of this.#sightings.values()) {
      if (nowMs - atMs < (hasStopped ? STOPPED_TTL_MS : UNREACHED_TTL_MS)) count++;
    }
    return count;
  }
}
