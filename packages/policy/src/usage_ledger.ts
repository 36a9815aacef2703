/**
 * Merges the counts that gateways keep of the requests of each client account in each window of time. Load pattern: many
 * gateways that each serve a part of every account, and end, restart or lose their links at any moment.
 *
 * @module
 */

/** Requests by client account. */
export type UsageCounts = ReadonlyMap<string, number>;

/** The gateway process that has counted. */
export interface UsageSource {
  readonly gateway: string;
  /** Differs between the processes that run under one name, as each of them counts from zero. */
  readonly incarnation: string;
}

/** How many of the gateways that are expected to have counted in a window are known to have finished. */
export interface UsageCompleteness {
  readonly missing: number;
  /** Whether fewer than half of the gateways of the last minute are heard, so that others may know more. */
  readonly isMinority: boolean;
}

/** Windows for which a gateway is remembered that is not heard any more. */
const CENSUS_WINDOWS = 12;
/** Largest count that one process can have reached; a greater one would spoil the sum. */
const MAX_COUNT = 2 ** 32;
/** Largest number of windows that are kept, if nothing is forgotten meanwhile. */
const MAX_WINDOWS = 64;

/**
 * Cumulative counts by window and gateway process. Counts only grow, so that the greatest one is the newest: messages
 * may be lost, duplicated or reordered.
 *
 * @example
 * ```ts
 * ledger.merge({ gateway: "entry-2", incarnation: "k3" }, 353445120, new Map([["huka270", 412]]));
 * const counts = ledger.totals(353445120);
 * ```
 */
export class UsageLedger {
  readonly #windows = new Map<number, Map<string, Map<string, number>>>();
  /** The newest window that each gateway has finished, by its name. */
  readonly #finished = new Map<string, number>();
  /** The newest window in which each gateway has counted, by its name. */
  readonly #counted = new Map<string, number>();

  /** Takes over the greater of the known and the given counts. */
  merge(source: UsageSource, window: number, counts: UsageCounts): void {
    let sources = this.#windows.get(window);
    if (sources === undefined) {
      if (this.#windows.size >= MAX_WINDOWS) return;
      this.#windows.set(window, sources = new Map());
    }
    const key = keyOf(source);
    this.#counted.set(source.gateway, Math.max(window, this.#counted.get(source.gateway) ?? 0));
    let known = sources.get(key);
    if (known === undefined) sources.set(key, known = new Map());
    for (const [account, count] of counts) {
      if (count <= MAX_COUNT && count > (known.get(account) ?? 0)) known.set(account, count);
    }
  }

  /** Records that a gateway counts nothing more in a window and those before it. */
  recordFinished(gateway: string, window: number): void {
    this.#finished.set(gateway, Math.max(window, this.#finished.get(gateway) ?? 0));
  }

  /** The counts of all gateways together. */
  totals(window: number): Map<string, number> {
    const totals = new Map<string, number>();
    for (const counts of this.#windows.get(window)?.values() ?? []) {
      for (const [account, count] of counts) {
        totals.set(account, (totals.get(account) ?? 0) + count);
      }
    }
    return totals;
  }

  /**
   * How complete the counts of a window are. Gateways that counted neither in it nor in the one before are expected to have
   * served nothing.
   */
  completeness(window: number): UsageCompleteness {
    let missing = 0;
    let heard = 0;
    for (const [gateway, finished] of this.#finished) {
      if (finished >= window) heard++;
      else if ((this.#counted.get(gateway) ?? -1) >= window - 1) missing++;
    }
    return { missing, isMinority: 2 * heard < this.#finished.size };
  }

  /** Gateways that were heard in the last minute or so, with a window of five seconds. */
  gateways(): string[] {
    return [...this.#finished.keys()];
  }

  /** Forgets all windows after the given one, which were counted by a clock that was ahead. */
  forgetAfter(window: number): void {
    for (const w of this.#windows.keys()) {
      if (w > window) this.#windows.delete(w);
    }
    for (const known of [this.#finished, this.#counted]) {
      for (const [gateway, w] of known) if (w > window) known.set(gateway, window);
    }
  }

  /** Forgets all windows before the given one. */
  forgetBefore(window: number): void {
    for (const w of this.#windows.keys()) {
      if (w < window) this.#windows.delete(w);
    }
    for (const [gateway, w] of this.#finished) {
      if (w >= window - CENSUS_WINDOWS) continue;
      this.#counted.delete(gateway);
      this.#finished.delete(gateway);
    }
  }
}

function keyOf({ gateway, incarnation }: UsageSource): string {
  return `${incarnation}/${gateway}`;
}
