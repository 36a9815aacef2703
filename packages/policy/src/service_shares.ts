/**
 * Bounds the part of a service's places that one client account may have at an entry while others use the service too
 * and it asks for more than all of them.
 *
 * Load pattern: an account sends thousands of generations, or calls whose bodies stop before their end. It takes every
 * place, also those that become free, and all others are refused until its work ends. An account that asks for no more
 * than the service has is not bounded.
 *
 * @module
 */
import type { AccountId, ServiceId } from "@wisteriapick/core";

/** Time after its last request for which an account counts as using a service, in milliseconds. */
const ACTIVE_MS = 60_000;
/** Largest part of a service's places for an account that asks for more than all of them while others use it. */
const MAX_SHARE = 0.75;
/** Time for which an account stays bounded after it asked for more than all places, in milliseconds. */
const EXCESS_MS = 10_000;
/**
 * Time for which a request beyond the share is held, in milliseconds. Its account may ask for more than all places
 * meanwhile.
 */
export const SHARE_HOLD_MS = 100;

/** What a decision needs to know of a service. */
export interface ServicePlaces {
  /** Requests that its endpoints sustain together, as they last said; 0 if nothing is known of them. */
  readonly places: number;
  readonly nowMs: number;
}

/** Whether a request begins, is to be settled after {@link SHARE_HOLD_MS}, or is refused. */
export type ShareDecision = "begin" | "hold" | "refuse";

interface AccountUse {
  inProgress: number;
  held: number;
  usedAtMs: number;
  /** When it last asked for more than all places. */
  exceededAtMs: number;
}

/**
 * The use of services by client accounts, at one entry.
 *
 * @example
 * ```ts
 * let decision = shares.ask(service, account, { places, nowMs });
 * if (decision === "hold") {
 *   await clock.sleep(SHARE_HOLD_MS);
 *   decision = shares.settle(service, account, { places, nowMs: clock.now() });
 * }
 * if (decision === "refuse") refuse();
 * try { await run(); } finally { shares.end(service, account, clock.now()); }
 * ```
 */
export class ServiceShares {
  readonly #uses = new Map<ServiceId, Map<AccountId, AccountUse>>();

  /**
   * Decides about a new request. One that begins is in progress until {@link ServiceShares.end}; one that is held needs a
   * call of {@link ServiceShares.settle}.
   */
  ask(service: ServiceId, account: AccountId, { places, nowMs }: ServicePlaces): ShareDecision {
    const accounts = this.#accountsOf(service);
    const use = accounts.get(account) ??
      { inProgress: 0, held: 0, usedAtMs: nowMs, exceededAtMs: -Infinity };
    accounts.set(account, use);
    use.usedAtMs = nowMs;
    if (places > 0 && use.inProgress + use.held >= places) use.exceededAtMs = nowMs;
    if (!hasShare(use, places) || !isUsedByOthers(accounts, account, nowMs)) {
      use.inProgress++;
      return "begin";
    }
    if (hasExceeded(use, nowMs)) return "refuse";
    use.held++;
    return "hold";
  }

  /** Decides about a request that was held. */
  settle(
    service: ServiceId,
    account: AccountId,
    { places, nowMs }: ServicePlaces,
  ): Exclude<ShareDecision, "hold"> {
    const accounts = this.#accountsOf(service);
    const use = accounts.get(account)!;
    use.held--;
    const isBounded = hasShare(use, places) && hasExceeded(use, nowMs) &&
      isUsedByOthers(accounts, account, nowMs);
    if (isBounded) return "refuse";
    use.inProgress++;
    return "begin";
  }

  /** Counts the end of a request that began. */
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

function hasShare({ inProgress }: AccountUse, places: number): boolean {
  return places > 0 && inProgress >= Math.max(1, Math.floor(MAX_SHARE * places));
}

function hasExceeded({ exceededAtMs }: AccountUse, nowMs: number): boolean {
  return nowMs - exceededAtMs < EXCESS_MS;
}

function isUsedByOthers(
  accounts: Map<AccountId, AccountUse>,
  account: AccountId,
  nowMs: number,
): boolean {
  for (const [other, { inProgress, held, usedAtMs }] of accounts) {
    if (other === account) continue;
    if (inProgress > 0 || held > 0 || nowMs - usedAtMs < ACTIVE_MS) return true;
    accounts.delete(other);
  }
  return false;
}
