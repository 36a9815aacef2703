/**
 * A queue that is fair between client accounts by weight, with short work ahead of long work.
 *
 * @module
 */
import type { AccountId } from "@wisteriapick/core";

/** What the queue needs to know of an entry. */
export interface Queued {
  readonly account: AccountId;
  readonly weight: number;
  /** Lower runs first; equal ranks share by weight. */
  readonly rank: number;
  /** Expected cost in tokens. */
  readonly cost: number;
  readonly queuedAtMs: number;
}

/** Options of {@link FairQueue}. */
export interface FairQueueOptions {
  /** Waiting this long moves an entry up by one rank, so that long work is not starved. */
  readonly agingMs?: number;
}

/** Weighted fair order between accounts by virtual time. */
export class FairQueue<T extends Queued> {
  readonly #agingMs: number;
  readonly #items: T[] = [];
  readonly #served = new Map<AccountId, number>();
  #virtual = 0;

  constructor(options: FairQueueOptions = {}) {
    this.#agingMs = options.agingMs ?? 2_000;
  }

  get size(): number {
    return this.#items.length;
  }

  items(): readonly T[] {
    return this.#items;
  }

  push(item: T): void {
    this.#items.push(item);
  }

  remove(item: T): boolean {
    const at = this.#items.indexOf(item);
    if (at >= 0) this.#items.splice(at, 1);
    return at >= 0;
  }

  /** The entry to run next. */
  peek(nowMs: number): T | null {
    let best: T | null = null;
    for (const item of this.#items) {
      if (best === null || this.#before(item, best, nowMs)) best = item;
    }
    return best;
  }

  /** Charges an account for work that starts. */
  charge(account: AccountId, tokens: number, weight: number): void {
    const start = Math.max(this.#virtual, this.#served.get(account) ?? 0);
    this.#served.set(account, start + tokens / weight);
    this.#virtual = start;
    if (this.#served.size > 1_024) this.#forgetIdle();
  }

  /** Corrects an earlier charge by the difference to what the work really cost. */
  correct(account: AccountId, tokens: number, weight: number): void {
    const served = this.#served.get(account);
    if (served !== undefined) this.#served.set(account, served + tokens / weight);
  }

  /** How far an account is ahead of the one served least, in tokens per weight. */
  lead(account: AccountId): number {
    return Math.max(0, (this.#served.get(account) ?? 0) - this.#virtual);
  }

  #before(a: T, b: T, nowMs: number): boolean {
    const rankA = a.rank - Math.floor((nowMs - a.queuedAtMs) / this.#agingMs);
    const rankB = b.rank - Math.floor((nowMs - b.queuedAtMs) / this.#agingMs);
    if (rankA !== rankB) return rankA < rankB;
    const d = this.lead(a.account) - this.lead(b.account);
    return d !== 0 ? d < 0 : a.queuedAtMs < b.queuedAtMs;
  }

  #forgetIdle(): void {
    for (const [account, served] of this.#served) {
      if (served <= this.#virtual) this.#served.delete(account);
    }
  }
}
