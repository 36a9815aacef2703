/**
 * Limits the request rate of an endpoint that has just started, over all gateways together. Load
 * pattern: a data centre returns and every gateway turns to its idle endpoints in the same second.
 *
 * @module
 */

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

/** Counts the requests that one gateway sends to cold endpoints and limits them to its share. */
export class ColdLimiter {
  #options: ColdLimiterOptions;
  readonly #sentAtMsByEndpoint = new Map<string, number[]>();

  constructor(options: ColdLimiterOptions) {
    this.#options = options;
  }

  /** Replaces the limits; requests already counted stay counted. */
  configure(options: ColdLimiterOptions): void {
    this.#options = options;
  }

  /**
   * Whether one more request may go to a cold endpoint that sustains `perSecond` requests from all
   * gateways together.
   */
  allows(endpoint: string, perSecond: number, gatewayCount: number, nowMs: number): boolean {
    const { rateFactor, slack } = this.#options;
    const budget = USED_FRACTION * (perSecond * rateFactor + slack);
    const share = Math.floor(budget / Math.max(1, gatewayCount));
    return this.#recent(endpoint, nowMs).length < share;
  }

  /** Records a request sent to a cold endpoint. */
  recordSent(endpoint: string, nowMs: number): void {
    this.#recent(endpoint, nowMs).push(nowMs);
  }

  /** Forgets the requests counted for an endpoint. */
  forget(endpoint: string): void {
    this.#sentAtMsByEndpoint.delete(endpoint);
  }

  #recent(endpoint: string, nowMs: number): number[] {
    let sentAtMs = this.#sentAtMsByEndpoint.get(endpoint);
    if (sentAtMs === undefined) this.#sentAtMsByEndpoint.set(endpoint, sentAtMs = []);
    while (sentAtMs.length > 0 && sentAtMs[0]! <= nowMs - WINDOW_MS - TRANSIT_MS) sentAtMs.shift();
    return sentAtMs;
  }
}
