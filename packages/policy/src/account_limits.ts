/**
 * Decides which requests of a client account are admitted under its limits, across all entries and
 * without a central counter.
 *
 * Each account has one coordinator: the entry whose hash with the account is highest. Entries
 * report the account's requests to it, and it responds with the share of requests to admit. Each
 * entry applies that share on its own, so that no request waits for a message. A lost coordinator
 * is replaced by the entry with the next highest hash.
 *
 * @module
 */
import type { AccountId } from "@wisteriapick/core";
import { createHash } from "node:crypto";

/** Limits of one account over all entries together. Absent limits do not apply. */
export interface AccountQuota {
  readonly requestsPerS?: number;
  readonly tokensPerS?: number;
  readonly concurrency?: number;
}

/** Requests of one account at one entry since its last report: counts, so that rare reports add up exactly. */
export interface AccountReport {
  readonly account: AccountId;
  readonly requests: number;
  readonly tokens: number;
  readonly inFlight: number;
}

/** A coordinator's response to a report. */
export interface AccountGrant {
  readonly account: AccountId;
  /** Share of offered requests to admit. */
  readonly share: number;
  /** Largest number of requests in flight at this entry; absent without such a limit. */
  readonly maxInFlight?: number;
  /** Time after which the entry's next report is due; longer where many entries report. */
  readonly nextReportMs: number;
}

/** The reason why a request of an account is refused, and when to retry. */
export interface LimitRefusal {
  readonly reason: "account_rate_limit" | "account_concurrency_limit" | "account_token_limit";
  readonly retryAfterMs: number;
}

/** The coordinator of an account among the live entries, by rendezvous hashing; `null` without entries. */
export function coordinatorOf(account: AccountId, entries: readonly string[]): string | null {
  let coordinator: string | null = null;
  let highestHash = -1;
  for (const entry of entries) {
    const hash = createHash("sha256").update(`${entry}/${account}`).digest().readUInt32BE(0);
    if (hash > highestHash) {
      coordinator = entry;
      highestHash = hash;
    }
  }
  return coordinator;
}

interface Usage {
  offered: number;
  tokens: number;
  inFlight: number;
  reportedInFlight: number;
  usedAtMs: number;
  share: number;
  maxInFlight: number;
  grantUntilMs: number;
  nextReportMs: number;
  /** Admissions that the share has granted and that are not used yet; each request adds `share`. */
  unusedAdmissions: number;
}

const REPORT_INTERVAL_MS = 1_000;
// An entry may receive requests of an account only once in several minutes; a grant must outlive such a pause.
const GRANT_TTL_MS = 600_000;
const MAX_UNUSED_ADMISSIONS = 2;
const RETRY_AFTER_MS = 1_000;

/** Admits requests at one entry by the grants of the accounts' coordinators. */
export class AccountLimits {
  readonly #usage = new Map<AccountId, Usage>();

  get size(): number {
    return this.#usage.size;
  }

  /**
   * Admits a request, or returns the reason for its refusal. Each admitted request must be ended by
   * {@link recordEnd}.
   */
  admit(
    account: AccountId,
    quota: AccountQuota,
    expectedTokens: number,
    nowMs: number,
  ): LimitRefusal | null {
    const usage = this.#usageOf(account, nowMs);
    usage.offered++;
    usage.tokens += expectedTokens;
    usage.usedAtMs = nowMs;
    const isLimited = nowMs < usage.grantUntilMs;
    if (isLimited && usage.inFlight >= usage.maxInFlight) {
      return { reason: "account_concurrency_limit", retryAfterMs: RETRY_AFTER_MS };
    }
    if (isLimited && usage.share < 1) {
      usage.unusedAdmissions = Math.min(
        MAX_UNUSED_ADMISSIONS,
        usage.unusedAdmissions + usage.share,
      );
      if (usage.unusedAdmissions < 1) return this.#refusal(usage, quota);
      usage.unusedAdmissions--;
    }
    usage.inFlight++;
    return null;
  }

  recordEnd(account: AccountId): void {
    const usage = this.#usage.get(account);
    if (usage !== undefined) usage.inFlight = Math.max(0, usage.inFlight - 1);
  }

  /** Takes the reports that are due, to send them to the accounts' coordinators. Drops idle accounts. */
  takeDueReports(nowMs: number): AccountReport[] {
    const reports: AccountReport[] = [];
    for (const [account, usage] of this.#usage) {
      if (nowMs < usage.nextReportMs) continue;
      if (usage.offered === 0 && usage.inFlight === usage.reportedInFlight) {
        if (nowMs - usage.usedAtMs > GRANT_TTL_MS) this.#usage.delete(account);
        continue;
      }
      const { offered: requests, tokens, inFlight } = usage;
      reports.push({ account, requests, tokens, inFlight });
      usage.offered = 0;
      usage.tokens = 0;
      usage.reportedInFlight = inFlight;
      usage.nextReportMs = nowMs + REPORT_INTERVAL_MS;
    }
    return reports;
  }

  applyGrant(grant: AccountGrant, nowMs: number): void {
    const usage = this.#usage.get(grant.account);
    if (usage === undefined) return;
    usage.share = grant.share;
    usage.maxInFlight = grant.maxInFlight ?? Infinity;
    usage.grantUntilMs = nowMs + GRANT_TTL_MS;
    usage.nextReportMs = nowMs + grant.nextReportMs;
  }

  #usageOf(account: AccountId, nowMs: number): Usage {
    let usage = this.#usage.get(account);
    if (usage === undefined) {
      usage = {
        offered: 0,
        tokens: 0,
        inFlight: 0,
        reportedInFlight: 0,
        usedAtMs: nowMs,
        share: 1,
        maxInFlight: Infinity,
        grantUntilMs: 0,
        // The first report is sent soon, as the account is not limited here until the response to it.
        nextReportMs: nowMs + REPORT_INTERVAL_MS / 4,
        unusedAdmissions: 0,
      };
      this.#usage.set(account, usage);
    }
    return usage;
  }

  #refusal(usage: Usage, quota: AccountQuota): LimitRefusal {
    const reason = quota.requestsPerS === undefined ? "account_token_limit" : "account_rate_limit";
    // Estimates when, at the current rate, the share allows one more request.
    const requestsUntilAdmission = (1 - usage.unusedAdmissions) / Math.max(0.01, usage.share);
    return {
      reason,
      retryAfterMs: Math.round(RETRY_AFTER_MS * Math.min(10, Math.max(1, requestsUntilAdmission))),
    };
  }
}

/** Exponentially decaying rates of one account over all entries. */
interface AccountTotals {
  atMs: number;
  requestsPerS: number;
  tokensPerS: number;
  reportsPerS: number;
  intervalMs: number;
  /** Requests in flight by entry, as last reported. */
  readonly inFlight: Map<string, { count: number; untilMs: number }>;
}

/** Options of {@link AccountCoordinator}. */
export interface AccountCoordinatorOptions {
  /** Reports per second that one account may cause at its coordinator. */
  readonly reportsPerS?: number;
  /** Time over which rates are averaged. */
  readonly windowMs?: number;
}

const INTERVAL_FACTOR = 1.1;
const MAX_INTERVAL_MS = 20_000;

/** Coordinates the accounts that are assigned to this entry: adds up the entries' reports and responds with shares. */
export class AccountCoordinator {
  readonly #totals = new Map<AccountId, AccountTotals>();
  readonly #reportsPerS: number;
  readonly #windowMs: number;

  constructor(options: AccountCoordinatorOptions = {}) {
    this.#reportsPerS = options.reportsPerS ?? 60;
    this.#windowMs = options.windowMs ?? 5_000;
  }

  /** Adds one entry's report to the account's totals and returns the grant for that entry. */
  receive(entry: string, report: AccountReport, quota: AccountQuota, nowMs: number): AccountGrant {
    const totals = this.#totalsOf(report.account, nowMs);
    this.#add(totals, report, nowMs);
    const share = Math.min(
      1,
      (quota.requestsPerS ?? Infinity) / totals.requestsPerS,
      (quota.tokensPerS ?? Infinity) / Math.max(1e-9, totals.tokensPerS),
    );
    const grant = { account: report.account, share, nextReportMs: totals.intervalMs };
    if (quota.concurrency === undefined) return grant;
    const totalInFlight = this.#countInFlight(totals, entry, report.inFlight, nowMs);
    const unused = quota.concurrency - totalInFlight;
    const maxInFlight = unused >= 0
      ? report.inFlight + unused / Math.max(1, totals.inFlight.size)
      : report.inFlight * quota.concurrency / totalInFlight;
    return { ...grant, maxInFlight };
  }

  #totalsOf(account: AccountId, nowMs: number): AccountTotals {
    let totals = this.#totals.get(account);
    if (totals === undefined) {
      totals = {
        atMs: nowMs,
        requestsPerS: 0,
        tokensPerS: 0,
        reportsPerS: 0,
        intervalMs: REPORT_INTERVAL_MS,
        inFlight: new Map(),
      };
      this.#totals.set(account, totals);
    }
    return totals;
  }

  #add(totals: AccountTotals, report: AccountReport, nowMs: number): void {
    const decay = Math.exp(-(nowMs - totals.atMs) / this.#windowMs);
    const perS = 1_000 / this.#windowMs;
    totals.atMs = nowMs;
    totals.requestsPerS = totals.requestsPerS * decay + report.requests * perS;
    totals.tokensPerS = totals.tokensPerS * decay + report.tokens * perS;
    totals.reportsPerS = totals.reportsPerS * decay + perS;
    if (totals.reportsPerS > this.#reportsPerS) {
      totals.intervalMs = Math.min(MAX_INTERVAL_MS, totals.intervalMs * INTERVAL_FACTOR);
    } else if (totals.reportsPerS < this.#reportsPerS / 2) {
      totals.intervalMs = Math.max(REPORT_INTERVAL_MS, totals.intervalMs / INTERVAL_FACTOR);
    }
  }

  #countInFlight(totals: AccountTotals, entry: string, count: number, nowMs: number): number {
    totals.inFlight.delete(entry);
    // The count of an entry that has crashed stays until it expires.
    if (count > 0) totals.inFlight.set(entry, { count, untilMs: nowMs + 3 * MAX_INTERVAL_MS });
    let totalInFlight = 0;
    for (const [name, reported] of totals.inFlight) {
      if (reported.untilMs < nowMs) totals.inFlight.delete(name);
      else totalInFlight += reported.count;
    }
    return totalInFlight;
  }
}
