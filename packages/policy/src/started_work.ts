/**
 * Recent work that engines have started, by client account and by level of the queue, over all
 * gateways. It decides which accounts are over their fair share, and which levels get less than their
 * minimum share.
 *
 * Load pattern: a few large accounts send most of a burst, and take all places that become free
 * unless the other accounts are offered them first; urgent requests fill all places for longer than
 * less urgent ones can wait.
 *
 * @module
 */

/** Options of {@link AccountWork} and {@link LevelShares}. */
export interface StartedWorkOptions {
  /** Half-life of recorded work, in milliseconds. */
  readonly halfLifeMs?: number;
}

/** About the duration of a burst, so that an account pays for its part of one while it lasts. */
const DEFAULT_HALF_LIFE_MS = 5_000;
/** Work below which an account is forgotten, in tokens. */
const MIN_KEPT_TOKENS = 16;
/** Accounts that are kept; those with the least work are dropped first. */
const MAX_ACCOUNTS = 1_024;
/** An account counts as over its share from this multiple of it, as shares fluctuate by a generation or two. */
const EXCESS_FACTOR = 1.5;
/** Work in tokens below which no account is over its share: a few generations. */
const MIN_TOTAL_TOKENS = 40_000;

/** A sum whose parts lose half of their weight in each half-life. */
export class DecayingSum {
  #value = 0;
  #atMs = 0;

  add(amount: number, nowMs: number, halfLifeMs: number): void {
    this.#value = this.at(nowMs, halfLifeMs) + amount;
    this.#atMs = nowMs;
  }

  at(nowMs: number, halfLifeMs: number): number {
    if (this.#value === 0) return 0;
    return this.#value * 0.5 ** (Math.max(0, nowMs - this.#atMs) / halfLifeMs);
  }
}

/** Work of client accounts. */
export class AccountWork {
  readonly #halfLifeMs: number;
  readonly #sums = new Map<string, DecayingSum>();
  #share = 0;
  #sharedAtMs = -Infinity;

  constructor({ halfLifeMs }: StartedWorkOptions = {}) {
    this.#halfLifeMs = halfLifeMs ?? DEFAULT_HALF_LIFE_MS;
  }

  /** Records a generation that has started, at this gateway or another one. */
  record(account: string, tokens: number, nowMs: number): void {
    let sum = this.#sums.get(account);
    if (sum === undefined) this.#sums.set(account, sum = new DecayingSum());
    sum.add(tokens, nowMs, this.#halfLifeMs);
    if (this.#sums.size > MAX_ACCOUNTS) this.#forgetLeast(nowMs);
  }

  /** Recent work of an account, in tokens. */
  of(account: string, nowMs: number): number {
    return this.#sums.get(account)?.at(nowMs, this.#halfLifeMs) ?? 0;
  }

  /**
   * By how many doublings an account is over its fair share; 0 for one that is not. Steps leave the
   * order within them to the time by which generations must start.
   */
  excess(account: string, nowMs: number): number {
    const share = this.#fairShare(nowMs);
    if (share <= 0) return 0;
    const ratio = this.of(account, nowMs) / share;
    return ratio < EXCESS_FACTOR ? 0 : 1 + Math.floor(Math.log2(ratio / EXCESS_FACTOR));
  }

  /** Work of each account if all work was shared evenly among those that have any; 0 for very little work. */
  #fairShare(nowMs: number): number {
    if (nowMs === this.#sharedAtMs) return this.#share;
    this.#sharedAtMs = nowMs;
    let total = 0;
    for (const [account, sum] of this.#sums) {
      const tokens = sum.at(nowMs, this.#halfLifeMs);
      if (tokens < MIN_KEPT_TOKENS) this.#sums.delete(account);
      else total += tokens;
    }
    this.#share = total < MIN_TOTAL_TOKENS ? 0 : total / this.#sums.size;
    return this.#share;
  }

  #forgetLeast(nowMs: number): void {
    let least: string | null = null;
    let leastTokens = Infinity;
    for (const [account, sum] of this.#sums) {
      const tokens = sum.at(nowMs, this.#halfLifeMs);
      if (tokens >= leastTokens) continue;
      least = account;
      leastTokens = tokens;
    }
    if (least !== null) this.#sums.delete(least);
  }
}

/** Fraction of the started work that a less urgent level gets while it has generations queued. */
const MIN_LEVEL_SHARE = 0.1;
/**
 * Work of one gateway in tokens below which no level is starved: about three generations. With 30 gateways one starts
 * 3,800 tokens a second, which add up to no more than 27,000.
 */
const MIN_LEVEL_TOKENS = 10_000;

/** Work by level of the queue, which keeps a minimum share for each level that has generations queued. */
export class LevelShares {
  readonly #halfLifeMs: number;
  readonly #sums = new Map<number, DecayingSum>();

  constructor({ halfLifeMs }: StartedWorkOptions = {}) {
    this.#halfLifeMs = halfLifeMs ?? DEFAULT_HALF_LIFE_MS;
  }

  /** Records a generation that started from the queue after a wait. */
  record(level: number, tokens: number, nowMs: number): void {
    let sum = this.#sums.get(level);
    if (sum === undefined) this.#sums.set(level, sum = new DecayingSum());
    sum.add(tokens, nowMs, this.#halfLifeMs);
  }

  /** Whether a level has had less than its minimum share while more urgent ones started. */
  isStarved(level: number, nowMs: number): boolean {
    let total = 0;
    let hasMoreUrgent = false;
    for (const [other, sum] of this.#sums) {
      const tokens = sum.at(nowMs, this.#halfLifeMs);
      if (tokens < MIN_KEPT_TOKENS) continue;
      total += tokens;
      if (other < level) hasMoreUrgent = true;
    }
    if (!hasMoreUrgent || total < MIN_LEVEL_TOKENS) return false;
    const own = this.#sums.get(level)?.at(nowMs, this.#halfLifeMs) ?? 0;
    return own < MIN_LEVEL_SHARE * total;
  }
}
