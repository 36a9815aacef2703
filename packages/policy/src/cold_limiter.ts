/**
 * Limits what is sent to an endpoint that has just started. Load pattern: a data centre comes back and every gateway
 * turns to its idle endpoints in the same second.
 *
 * @module
 */

/** Options of {@link ColdLimiter}. */
export interface ColdLimiterOptions {
  /** How far the rate that an endpoint bears may be exceeded, as a factor. */
  readonly rateFactor: number;
  /** Requests allowed besides in any second. */
  readonly slack: number;
}

/** Length of the window in which requests to a cold endpoint are counted, in milliseconds. */
const WINDOW_MS = 1_000;
/** Requests are counted where they arrive; the window is kept this much longer for their time on the way. */
const TRANSIT_MS = 100;
/** Part of the bound that is used, as gateways that cannot be reached may still hold an older number of sharers. */
const USED_PART = 0.8;

/** Counts what one gateway sends to cold endpoints. */
export class ColdLimiter {
  #options: ColdLimiterOptions;
  readonly #sent = new Map<string, number[]>();

  constructor(options: ColdLimiterOptions) {
    this.#options = options;
  }

  /** Replaces the limits. */
  configure(options: ColdLimiterOptions): void {
    this.#options = options;
  }

  /** Whether one more request may be sent to a cold endpoint that bears `perSecond` requests from all gateways. */
  allows(endpoint: string, perSecond: number, gateways: number, nowMs: number): boolean {
    const { rateFactor, slack } = this.#options;
    const total = USED_PART * (perSecond * rateFactor + slack);
    const share = Math.floor(total / Math.max(1, gateways));
    return this.#recent(endpoint, nowMs).length < share;
  }

  /** Records a request sent to a cold endpoint. */
  recordSent(endpoint: string, nowMs: number): void {
    this.#recent(endpoint, nowMs).push(nowMs);
  }

  /** Forgets an endpoint. */
  forget(endpoint: string): void {
    this.#sent.delete(endpoint);
  }

  #recent(endpoint: string, nowMs: number): number[] {
    let times = this.#sent.get(endpoint);
    if (times === undefined) this.#sent.set(endpoint, times = []);
    while (times.length > 0 && times[0]! <= nowMs - WINDOW_MS - TRANSIT_MS) times.shift();
    return times;
  }
}
