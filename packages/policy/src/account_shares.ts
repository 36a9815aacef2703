/**
 * How much of an endpoint each client account has used lately, to tell those far above their fair share.
 *
 * @module
 */
import type { AccountId } from "@wisteriapick/core";

/** Options of {@link AccountShares}. */
export interface AccountSharesOptions {
  /** Time after which use counts half. */
  readonly halfLifeMs?: number;
  /** Use per weight, relative to the mean, from which an account is heavy. */
  readonly heavyFactor?: number;
  /** Use below which nobody is heavy, in tokens. */
  readonly minTokens?: number;
}

/** Recent use of one account. */
export interface AccountUse {
  tokens: number;
  weight: number;
}

const DECAY_INTERVAL_MS = 1_000;
const FORGET_TOKENS = 1;

/** Decaying use per account. */
export class AccountShares {
  readonly #cfg: Required<AccountSharesOptions>;
  readonly #uses = new Map<AccountId, AccountUse>();
  #decayedAtMs = -Infinity;
  #total = 0;
  #weights = 0;

  constructor(options: AccountSharesOptions = {}) {
    this.#cfg = {
      halfLifeMs: options.halfLifeMs ?? 60_000,
      heavyFactor: options.heavyFactor ?? 2.8,
      minTokens: options.minTokens ?? 2_000,
    };
  }

  /** The record of an account, to which its use is added directly. */
  use(account: AccountId, weight: number): AccountUse {
    let use = this.#uses.get(account);
    if (use === undefined) {
      use = { tokens: 0, weight };
      this.#uses.set(account, use);
    }
    use.weight = weight;
    return use;
  }

  /** Whether the account uses far more than its weight's share. A single account never does. */
  isHeavy(account: AccountId, nowMs: number): boolean {
    this.#decay(nowMs);
    const use = this.#uses.get(account);
    if (use === undefined || this.#total < this.#cfg.minTokens) return false;
    return use.tokens / use.weight > this.#cfg.heavyFactor * this.#total / this.#weights;
  }

  #decay(nowMs: number): void {
    const elapsed = nowMs - this.#decayedAtMs;
    if (elapsed < DECAY_INTERVAL_MS) return;
    this.#decayedAtMs = nowMs;
    const factor = Number.isFinite(elapsed) ? 0.5 ** (elapsed / this.#cfg.halfLifeMs) : 1;
    this.#total = 0;
    this.#weights = 0;
    for (const [account, use] of this.#uses) {
      use.tokens *= factor;
      if (use.tokens < FORGET_TOKENS) this.#uses.delete(account);
      this.#total += use.tokens;
      this.#weights += use.weight;
    }
  }
}
