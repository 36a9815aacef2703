/**
 * Decides which queued request starts next: the one of the lowest rank, aging included, and within
 * a rank the one of the account that has been served least in proportion to its weight (weighted
 * fair queueing by virtual time).
 *
 * @module
 */
import type { AccountId } from "@wisteriapick/core";

/** A request in the queue. */
export interface QueueItem {
  readonly account: AccountId;
  readonly weight: number;
  /** Lower ranks start first; accounts of equal rank share by weight. */
  readonly rank: number;
  /** Expected cost in tokens. */
  readonly cost: number;
  readonly queuedAtMs: number;
}

/** Options of {@link FairQueue}. */
export interface FairQueueOptions {
  /** A request moves up by one rank each time it has been queued for this long, so that long ones do not starve. */
  readonly agingMs?: number;
}

/** A queue with weighted fair order between client accounts. */
export class FairQueue<T extends QueueItem> {
  readonly #agingMs: number;
  readonly #items: T[] = [];
  readonly #servedByAccount = new Map<AccountId, number>();
  #virtualTime = 0;

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
    const index = this.#items.indexOf(item);
    if (index >= 0) this.#items.splice(index, 1);
    return index >= 0;
  }

  /** The request to start next; `null` where the queue is empty. */
  peek(nowMs: number): T | null {
    let best: T | null = null;
    for (const item of this.#items) {
      if (best === null || this.#isBefore(item, best, nowMs)) best = item;
    }
    return best;
  }

  /** Charges an account for a request that starts, by its expected cost in tokens. */
  charge(account: AccountId, tokens: number, weight: number): void {
    const start = Math.max(this.#virtualTime, this.#servedByAccount.get(account) ?? 0);
    this.#servedByAccount.set(account, start + tokens / weight);
    this.#virtualTime = start;
    if (this.#servedByAccount.size > 1_024) this.#forgetIdle();
  }

  /** Adjusts an earlier charge by the difference between the actual and the expected cost; `tokens` may be negative. */
  adjustCharge(account: AccountId, tokens: number, weight: number): void {
    const served = this.#servedByAccount.get(account);
    if (served !== undefined) this.#servedByAccount.set(account, served + tokens / weight);
  }

  /** How far an account's service is ahead of virtual time, in tokens per weight. */
  lead(account: AccountId): number {
    return Math.max(0, (this.#servedByAccount.get(account) ?? 0) - this.#virtualTime);
  }

  #isBefore(a: T, b: T, nowMs: number): boolean {
    const rankA = a.rank - Math.floor((nowMs - a.queuedAtMs) / this.#agingMs);
    const rankB = b.rank - Math.floor((nowMs - b.queuedAtMs) / this.#agingMs);
    if (rankA !== rankB) return rankA < rankB;
    const leadDifference = this.lead(a.account) - this.lead(b.account);
    return leadDifference !== 0 ? leadDifference < 0 : a.queuedAtMs < b.queuedAtMs;
  }

  #forgetIdle(): void {
    for (const [account, served] of this.#servedByAccount) {
      if (served <= this.#virtualTime) this.#servedByAccount.delete(account);
    }
  }
}
