/**
 * Bounds the part of a service's places that one client account may have at an entry while others use the service too.
 *
 * Load pattern: an account sends thousands of generations, or calls whose bodies stop before their end. It takes every
 * place, also those that become free, and all others are refused until its work ends.
 *
 * @module
 */
import type { AccountId, ServiceId } from "@wisteriapick/core";

/** Time after its last request for which an account counts as using a service, in milliseconds. */
const ACTIVE_MS = 60_000;
/** Largest part of a service's places for one account while others use it. */
const MAX_SHARE = 0.75;

/** What a decision needs to know of a service. */
export interface ServicePlaces {
  /** Requests that its endpoints sustain together, as they last said; 0 if nothing is known of them. */
  readonly places: number;
  readonly nowMs: number;
}

interface AccountUse {
  inProgress: number;
  usedAtMs: number;
}

/**
 * The use of services by client accounts, at one entry.
 *
 * @example
 * ```ts
 * if (!shares.begin(service, account, { places, nowMs })) refuse();
 * try { await run(); } finally { shares.end(service, account, nowMs); }
 * ```
 */
export class ServiceShares {
  readonly #uses = new Map<ServiceId, Map<AccountId, AccountUse>>();

  /** Counts a request in progress. Returns false, and counts none, if its account has its share. */
  begin(service: ServiceId, account: AccountId, { places, nowMs }: ServicePlaces): boolean {
    const accounts = this.#accountsOf(service);
    const use = accounts.get(account) ?? { inProgress: 0, usedAtMs: nowMs };
    accounts.set(account, use);
    use.usedAtMs = nowMs;
    const most = Math.max(1, Math.floor(MAX_SHARE * places));
    const hasShare = places > 0 && use.inProgress >= most;
    if (hasShare && isUsedByOthers(accounts, account, nowMs)) return false;
    use.inProgress++;
    return true;
  }

  /** Counts the end of a request for which {@link ServiceShares.begin} returned true. */
  end(service: ServiceId, account: AccountId, nowMs: number): void {
    const use = this.#accountsOf(service).get(account);
    if (use === undefined) return;
    use.inProgress--;
    use.usedAtMs = nowMs;
  }

  #accountsOf(service: ServiceId): Map<AccountId, AccountUse> {
    let accounts = this.#uses.get(service);
    if (accounts === undefined) this.#uses.set(service, accounts = new Map());
    return accounts;
  }
}

function isUsedByOthers(
  accounts: Map<AccountId, AccountUse>,
  account: AccountId,
  nowMs: number,
): boolean {
  for (const [other, { inProgress, usedAtMs }] of accounts) {
    if (other === account) continue;
    if (inProgress > 0 || nowMs - usedAtMs < ACTIVE_MS) return true;
    accounts.delete(other);
  }
  return false;
}
