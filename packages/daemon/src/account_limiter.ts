/**
 * Enforces the limits of client accounts at one entry. The entries share the use of an account through reports to
 * the entry that coordinates it.
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

/** An entry that is a member of the system. */
export interface PeerEntry {
  readonly key: string;
  /** Link address as `ip:port`. */
  readonly address: string;
}

/** Options of an {@link AccountLimiter}. */
export interface AccountLimiterOptions {
  /** This entry's key among the members. */
  readonly self: string;
  readonly clock: Clock;
  readonly config: ConfigSource;
  /** Links to the other entries; without them the entry counts only its own requests. */
  readonly links?: LinkSource;
  readonly pollIntervalMs?: number;
}

/** A quarter of the report interval, so that a due report is sent without much delay. */
const POLL_INTERVAL_MS = 250;
const REPORT_TIMEOUT_MS = 2_000;

const MESSAGES = {
  account_rate_limit: "the client account exceeds its limit of requests per second",
  account_concurrency_limit: "the client account has reached its limit of concurrent requests",
  account_token_limit: "the client account exceeds its limit of tokens per second",
} as const;

/**
 * Admits or refuses requests by the limits of their client accounts.
 *
 * @example
 * ```ts
 * limiter.admit(account, expectedTokens);
 * try { await run(); } finally { limiter.release(account); }
 * ```
 */
export class AccountLimiter {
  readonly #o: AccountLimiterOptions;
  readonly #limits = new AccountLimits();
  readonly #coordinator = new AccountCoordinator();
  /** Link addresses of the live entries by member key. */
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

  /**
   * Admits a request, or refuses it with the limit that was reached. Each admitted request needs a call of
   * {@link AccountLimiter.release}. Accounts without limits are not tracked.
   */
  admit(account: Account, expectedTokens: number): void {
    const quota = quotaOf(account);
    if (quota === null) return;
    const now = this.#o.clock.now();
    const refusal = this.#limits.admit(account.id, quota, expectedTokens, now);
    if (refusal === null) return;
    const { reason: type, retryAfterMs } = refusal;
    refuse({ type, message: MESSAGES[type], notRun: true, retryAfterMs });
  }

  /** Records that an admitted request has ended. */
  release(account: Account): void {
    if (quotaOf(account) !== null) this.#limits.recordEnd(account.id);
  }

  start(): Undo {
    return this.#o.clock.setRepeating(
      this.#o.pollIntervalMs ?? POLL_INTERVAL_MS,
      () => this.sendReports(),
    );
  }

  /** Sends the reports that are due to the coordinators of their accounts. */
  sendReports(): void {
    const byCoordinator = new Map<string, AccountReport[]>();
    for (const report of this.#limits.takeDueReports(this.#o.clock.now())) {
      const coordinator = coordinatorOf(report.account, this.#keys)!;
      byCoordinator.set(coordinator, [...byCoordinator.get(coordinator) ?? [], report]);
    }
    for (const [coordinator, reports] of byCoordinator) void this.#exchange(coordinator, reports);
  }

  /** Returns the grants for another entry's reports, as the coordinator of their accounts. */
  handleReports({ entry, reports }: Omit<AccountReports, "kind">): AccountGrants {
    const now = this.#o.clock.now();
    const grants = reports.flatMap((report) => {
      const quota = this.#quotaById(report.account);
      return quota === null ? [] : [this.#coordinator.receive(entry, report, quota, now)];
    });
    return { kind: "account_grants", grants };
  }

  /** Handles a stream that another entry opened with its reports. */
  onReports(msg: AccountReports, stream: LinkStream): StreamHandler {
    stream.send(this.handleReports(msg));
    stream.end();
    return { onMessage() {}, onClose() {} };
  }

  /** Sends reports to a coordinator and applies the grants it returns. */
  async #exchange(coordinator: string, reports: readonly AccountReport[]): Promise<void> {
    const { self, clock } = this.#o;
    const msg: AccountReports = { kind: "account_reports", entry: self, reports };
    const response = coordinator === self
      ? this.handleReports(msg)
      : await this.#requestGrants(coordinator, msg);
    for (const grant of response?.grants ?? []) this.#limits.applyGrant(grant, clock.now());
  }

  /** Returns `null` where a report was lost, which is harmless: the last grant stays in force. */
  async #requestGrants(coordinator: string, msg: AccountReports): Promise<AccountGrants | null> {
    const address = this.#members.get(coordinator);
    const { links } = this.#o;
    if (links === undefined || address === undefined) return this.handleReports(msg);
    try {
      const link = await links.get(address);
      const response = await link.request(msg, { timeoutMs: REPORT_TIMEOUT_MS });
      return response.kind === "account_grants" ? response : null;
    } catch {
      return null;
    }
  }

  #quotaById(id: AccountId): AccountQuota | null {
    const account = this.#o.config.current().accounts.get(id);
    return account === undefined ? null : quotaOf(account);
  }
}

/** Converts an account's limits to a quota; `null` where it has none. */
function quotaOf({ limits }: Account): AccountQuota | null {
  const { requestsPerSecond: requestsPerS, tokensPerSecond: tokensPerS, concurrency } = limits;
  const isUnlimited = requestsPerS === undefined && tokensPerS === undefined &&
    concurrency === undefined;
  return isUnlimited ? null : { requestsPerS, tokensPerS, concurrency };
}
