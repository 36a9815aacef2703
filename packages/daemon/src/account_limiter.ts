/**
 * Limits of client accounts at one entry, shared with the other entries by reports to each account's keeper.
 *
 * @module
 */
import { type AccountId, type Clock, refuse, type Undo } from "@wisteriapick/core";
import type { Account, ConfigSource } from "@wisteriapick/control";
import {
  AccountCoordinator,
  AccountLimits,
  type AccountQuota,
  type AccountReport,
  coordinatorOf,
} from "@wisteriapick/policy";
import type { AccountGrants, AccountReports, LinkStream, StreamHandler } from "@wisteriapick/wire";
import type { LinkSource } from "./link_source.ts";

/** An entry as the gate sees it. */
export interface PeerEntry {
  readonly key: string;
  /** Link address as `ip:port`. */
  readonly address: string;
}

/** Parts of an {@link AccountLimiter}. */
export interface AccountLimiterOptions {
  /** This entry's key among the members. */
  readonly self: string;
  readonly clock: Clock;
  readonly config: ConfigSource;
  /** Links to the other entries; without them the entry limits by what it sees itself. */
  readonly links?: LinkSource;
  readonly tickMs?: number;
}

/** A quarter of the interval of reports, so that one that is due does not wait long. */
const TICK_MS = 250;
const REPORT_TIMEOUT_MS = 2_000;

const MESSAGES = {
  account_rate_limit: "the client account sends more requests a second than it may",
  account_concurrency_limit: "the client account has as many requests open as it may",
  account_token_limit: "the client account uses more tokens a second than it may",
} as const;

/**
 * Admits requests of client accounts.
 *
 * @example
 * ```ts
 * gate.admit(account, expectedTokens);
 * try { await run(); } finally { gate.end(account); }
 * ```
 */
export class AccountLimiter {
  readonly #o: AccountLimiterOptions;
  readonly #limits = new AccountLimits();
  readonly #keeper = new AccountCoordinator();
  readonly #members = new Map<string, string>();
  #keys: readonly string[];

  constructor(options: AccountLimiterOptions) {
    this.#o = options;
    this.#keys = [options.self];
  }

  /** Sets the live entries; this one always counts. */
  setMembers(members: readonly PeerEntry[]): void {
    this.#members.clear();
    for (const { key, address } of members) this.#members.set(key, address);
    this.#keys = [...new Set([...this.#members.keys(), this.#o.self])];
  }

  /** Admits a request or refuses it. An admitted one must be ended. Accounts without limits cost nothing. */
  admit(account: Account, expectedTokens: number): void {
    const quota = quotaOf(account);
    if (quota === null) return;
    const now = this.#o.clock.now();
    const refusal = this.#limits.admit(account.id, quota, expectedTokens, now);
    if (refusal === null) return;
    const { reason: type, retryAfterMs } = refusal;
    refuse({ type, message: MESSAGES[type], notRun: true, retryAfterMs });
  }

  /** Ends an admitted request. */
  release(account: Account): void {
    if (quotaOf(account) !== null) this.#limits.recordEnd(account.id);
  }

  start(): Undo {
    return this.#o.clock.setRepeating(this.#o.tickMs ?? TICK_MS, () => this.sendReports());
  }

  /** Sends the reports that are due to the keepers of their accounts. */
  sendReports(): void {
    const byKeeper = new Map<string, AccountReport[]>();
    for (const report of this.#limits.takeDueReports(this.#o.clock.now())) {
      const keeper = coordinatorOf(report.account, this.#keys)!;
      byKeeper.set(keeper, [...byKeeper.get(keeper) ?? [], report]);
    }
    for (const [keeper, reports] of byKeeper) void this.#report(keeper, reports);
  }

  /** Answers another entry's reports as their keeper. */
  handleReports({ entry, reports }: Omit<AccountReports, "kind">): AccountGrants {
    const now = this.#o.clock.now();
    const grants = reports.flatMap((report) => {
      const quota = this.#quotaById(report.account);
      return quota === null ? [] : [this.#keeper.receive(entry, report, quota, now)];
    });
    return { kind: "account_grants", grants };
  }

  /** Answers a stream that another entry opened with its reports. */
  onReports(msg: AccountReports, stream: LinkStream): StreamHandler {
    stream.send(this.handleReports(msg));
    stream.end();
    return { onMessage() {}, onClose() {} };
  }

  async #report(keeper: string, reports: readonly AccountReport[]): Promise<void> {
    const { self, clock } = this.#o;
    const msg: AccountReports = { kind: "account_reports", entry: self, reports };
    const answer = keeper === self ? this.handleReports(msg) : await this.#ask(keeper, msg);
    for (const grant of answer?.grants ?? []) this.#limits.applyGrant(grant, clock.now());
  }

  /** A lost report is harmless: the last grant stays in force. */
  async #ask(keeper: string, msg: AccountReports): Promise<AccountGrants | null> {
    const address = this.#members.get(keeper);
    const { links } = this.#o;
    if (links === undefined || address === undefined) return this.handleReports(msg);
    try {
      const link = await links.get(address);
      const answer = await link.request(msg, { timeoutMs: REPORT_TIMEOUT_MS });
      return answer.kind === "account_grants" ? answer : null;
    } catch {
      return null;
    }
  }

  #quotaById(id: AccountId): AccountQuota | null {
    const account = this.#o.config.current().accounts.get(id);
    return account === undefined ? null : quotaOf(account);
  }
}

/** The limits of an account in the terms of the policy, or `null` where it has none. */
function quotaOf({ limits }: Account): AccountQuota | null {
  const { requestsPerSecond: requestsPerS, tokensPerSecond: tokensPerS, concurrency } = limits;
  const none = requestsPerS === undefined && tokensPerS === undefined && concurrency === undefined;
  return none ? null : { requestsPerS, tokensPerS, concurrency };
}
