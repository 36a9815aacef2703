/**
 * Limits the request rate of an endpoint that has just started, over all gateways together. Load
 * pattern: a data centre returns and every gateway turns to its idle endpoints in the same second.
 *
 * Each gateway keeps to its share, which needs no contact to the others. Where that is less than one request, the gateways
 * draw lots: one that draws a blank leaves the endpoint alone for a second.
 *
 * @module
 */
import type { Rng } from "@wisteriapick/core";

/** Options of {@link ColdLimiter}. */
export interface ColdLimiterOptions {
  /** Factor by which the rate that an endpoint sustains may be exceeded. */
  readonly rateFactor: number;
  /** Further requests that are allowed in any second. */
  readonly slack: number;
}

/** Length of the window in which requests to a cold endpoint are counted, in milliseconds. */
const WINDOW_MS = 1_000;
/** Added to the window: the limit applies to requests as they arrive, which is up to this long after they are sent. */
const TRANSIT_MS = 100;
/** Fraction of the bound that is used, as unreachable gateways may still divide it by an older number of gateways. */
const USED_FRACTION = 0.8;

/**
 * Fraction of the bound that the gateways that may send one request in a slot make up on average. A second can overlap two
 * slots of each, and twice this fraction and four standard deviations are within bounds of 30 requests and more.
 */
const DRAWN_FRACTION = 0.25;

/** What a gateway has drawn for one endpoint. */
interface Lot {
  readonly drawnAtMs: number;
  readonly maySend: boolean;
}

/** Counts the requests that one gateway sends to cold endpoints and limits them to its share. */
export class ColdLimiter {
  #options: ColdLimiterOptions;
  readonly #rng: Rng;
  readonly #sentAtMsByEndpoint = new Map<string, number[]>();
  readonly #lots = new Map<string, Lot>();

  constructor(options: ColdLimiterOptions, rng: Rng) {
    this.#options = options;
    this.#rng = rng;
  }

  /** Replaces the limits; requests already counted stay counted. */
  configure(options: ColdLimiterOptions): void {
    this.#options = options;
  }

  /**
   * Whether one more request may go to a cold endpoint that sustains `perSecond` requests from all
   * gateways together. `divisor` is the number of gateways, or the inverse of this gateway's share where shares differ.
   */
  allows(endpoint: string, perSecond: number, divisor: number, nowMs: number): boolean {
    const { rateFactor, slack } = this.#options;
    const bound = perSecond * rateFactor + slack;
    const share = Math.floor(USED_FRACTION * bound / Math.max(1, divisor));
    const sent = this.#recent(endpoint, nowMs).length;
    if (share >= 1) return sent < share;
    return sent === 0 && this.#drawsLot(endpoint, DRAWN_FRACTION * bound / divisor, nowMs);
  }

  /** Records a request sent to a cold endpoint. */
  recordSent(endpoint: string, nowMs: number): void {
    this.#recent(endpoint, nowMs).push(nowMs);
  }

  /** Forgets the requests counted for an endpoint. */
  forget(endpoint: string): void {
    this.#sentAtMsByEndpoint.delete(endpoint);
    this.#lots.delete(endpoint);
  }

  /** Whether this gateway may send one request in the present slot; drawn once for each slot. */
  #drawsLot(endpoint: string, chance: number, nowMs: number): boolean {
    let lot = this.#lots.get(endpoint);
    if (lot === undefined || nowMs >= lot.drawnAtMs + WINDOW_MS + TRANSIT_MS) {
      lot = { drawnAtMs: nowMs, maySend: this.#rng.next() < chance };
      this.#lots.set(endpoint, lot);
    }
    return lot.maySend;
  }

  #recent(endpoint: string, nowMs: number): number[] {
    let sentAtMs = this.#sentAtMsByEndpoint.get(endpoint);
    if (sentAtMs === undefined) this.#sentAtMsByEndpoint.set(endpoint, sentAtMs = []);
    while (sentAtMs.length > 0 && sentAtMs[0]! <= nowMs - WINDOW_MS - TRANSIT_MS) sentAtMs.shift();
    return sentAtMs;
  }
}
