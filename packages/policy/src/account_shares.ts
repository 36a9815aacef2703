/**
 * Recent usage of one endpoint by client account, to tell heavy accounts: those that use far more
 * than their fair share. Admission gives them less memory and a lower priority at the engine.
 *
 * @module
 */
import type { AccountId } from "@wisteriapick/core";

/** Options of {@link AccountShares}. */
export interface AccountSharesOptions {
  /** Half-life of usage. */
  readonly halfLifeMs?: number;
  /** Usage per weight, relative to the mean of all accounts, above which an account is heavy. */
  readonly heavyFactor?: number;
  /** Total usage in tokens below which no account is heavy. */
  readonly minTokens?: number;
}

/** Recent usage of one account, decayed. */
export interface AccountUsage {
  tokens: number;
  weight: number;
}

const DECAY_INTERVAL_MS = 1_000;
const MIN_KEPT_TOKENS = 1;

/** Exponentially decaying usage per account. */
export class AccountShares {
  readonly #cfg: Required<AccountSharesOptions>;
  readonly #usages = new Map<AccountId, AccountUsage>();
  #decayedAtMs = -Infinity;
  #totalTokens = 0;
  #totalWeight = 0;

  constructor(options: AccountSharesOptions = {}) {
    this.#cfg = {
      halfLifeMs: options.halfLifeMs ?? 60_000,
      heavyFactor: options.heavyFactor ?? 2.8,
      minTokens: options.minTokens ?? 2_000,
    };
  }

  /** The usage record of an account; callers add tokens to it directly. */
  usage(account: AccountId, weight: number): AccountUsage {
    let usage = this.#usages.get(account);
    if (usage === undefined) {
      usage = { tokens: 0, weight };
      this.#usages.set(account, usage);
    }
    usage.weight = weight;
    return usage;
  }

  /** Whether the account uses far more than the share of its weight. An account that is alone never does. */
  isHeavy(account: AccountId, nowMs: number): boolean {
    this.#decay(nowMs);
    const usage = this.#usages.get(account);
    if (usage === undefined || this.#totalTokens < this.#cfg.minTokens) return false;
    return usage.tokens / usage.weight >
      this.#cfg.heavyFactor * this.#totalTokens / this.#totalWeight;
  }

  #decay(nowMs: number): void {
    const elapsed = nowMs - this.#decayedAtMs;
    if (elapsed < DECAY_INTERVAL_MS) return;
    this.#decayedAtMs = nowMs;
    const factor = Number.isFinite(elapsed) ? 0.5 ** (elapsed / this.#cfg.halfLifeMs) : 1;
    this.#totalTokens = 0;
    this.#totalWeight = 0;
    for (const [account, usage] of this.#usages) {
      usage.tokens *= factor;
      if (usage.tokens < MIN_KEPT_TOKENS) this.#usages.delete(account);
      this.#totalTokens += usage.tokens;
      this.#totalWeight += usage.weight;
    }
  }
}
