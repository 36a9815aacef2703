/**
 * Limits of client accounts across entries, without a central counter.
 *
 * Each account has one keeper: the entry with the highest hash together with the account. Entries report to it
 * what the account offers; it answers with the share of requests to admit. Entries thin out the account's
 * requests by that share on their own, so that no request waits for a message, and a lost keeper is replaced by
 * the next in the order of the hash.
 *
 * @module
 */
import type { AccountId } from "@wisteriapick/core";
import { createHash } from "node:crypto";

/** Limits of one account over all entries together. Absent ones do not apply. */
export interface AccountQuota {
  readonly requestsPerS?: number;
  readonly tokensPerS?: number;
  readonly concurrency?: number;
}

/** What one entry saw of one account since its last report. Counts, so that rare reports add up exactly. */
export interface AccountReport {
  readonly account: AccountId;
  readonly requests: number;
  readonly tokens: number;
  readonly inFlight: number;
}

/** A keeper's answer. */
export interface AccountGrant {
  readonly account: AccountId;
  /** Share of offered requests to admit. */
  readonly share: number;
  /** Largest number in flight at this entry; absent without such a limit. */
  readonly maxInFlight?: number;
  /** Time after which the next report is due; longer where many entries report. */
  readonly nextReportMs: number;
}

/** Why a request of an account is refused now. */
export interface LimitRefusal {
  readonly reason: "account_rate_limit" | "account_concurrency_limit" | "account_token_limit";
  readonly retryAfterMs: number;
}

/** The keeper of an account among live entries. */
export function coordinatorOf(account: AccountId, entries: readonly string[]): string | null {
  let best: string | null = null;
  let bestHash = -1;
  for (const entry of entries) {
    const hash = createHash("sha256").update(`${entry}/${account}`).digest().readUInt32BE(0);
    if (hash > bestHash) {
      best = entry;
      bestHash = hash;
    }
  }
  return best;
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
  /** Admissions the share has earned and not used. */
  credit: number;
}

const REPORT_INTERVAL_MS = 1_000;
// An entry may see an account only once in minutes, so that its last grant has to outlive that.
const GRANT_MS = 600_000;
const MAX_CREDIT = 2;
const RETRY_AFTER_MS = 1_000;

/** Applies grants at one entry. */
export class AccountLimits {
  readonly #usage = new Map<AccountId, Usage>();

  get size(): number {
    return this.#usage.size;
  }

  /** Admits a request or says why not. An admitted one must be ended with {@link recordEnd}. */
  admit(
    account: AccountId,
    quota: AccountQuota,
    expectedTokens: number,
    nowMs: number,
  ): LimitRefusal | null {
    const usage = this.#use(account, nowMs);
    usage.offered++;
    usage.tokens += expectedTokens;
    usage.usedAtMs = nowMs;
    const limited = nowMs < usage.grantUntilMs;
    if (limited && usage.inFlight >= usage.maxInFlight) {
      return { reason: "account_concurrency_limit", retryAfterMs: RETRY_AFTER_MS };
    }
    if (limited && usage.share < 1) {
      usage.credit = Math.min(MAX_CREDIT, usage.credit + usage.share);
      if (usage.credit < 1) return this.#refusal(usage, quota);
      usage.credit--;
    }
    usage.inFlight++;
    return null;
  }

  recordEnd(account: AccountId): void {
    const usage = this.#usage.get(account);
    if (usage !== undefined) usage.inFlight = Math.max(0, usage.inFlight - 1);
  }

  /** Reports that are due, to be sent to the accounts' keepers. Idle accounts are forgotten. */
  takeDueReports(nowMs: number): AccountReport[] {
    const out: AccountReport[] = [];
    for (const [account, usage] of this.#usage) {
      if (nowMs < usage.nextReportMs) continue;
      if (usage.offered === 0 && usage.inFlight === usage.reportedInFlight) {
        if (nowMs - usage.usedAtMs > GRANT_MS) this.#usage.delete(account);
        continue;
      }
      const { offered: requests, tokens, inFlight } = usage;
      out.push({ account, requests, tokens, inFlight });
      usage.offered = 0;
      usage.tokens = 0;
      usage.reportedInFlight = inFlight;
      usage.nextReportMs = nowMs + REPORT_INTERVAL_MS;
    }
    return out;
  }

  applyGrant(grant: AccountGrant, nowMs: number): void {
    const usage = this.#usage.get(grant.account);
    if (usage === undefined) return;
    usage.share = grant.share;
    usage.maxInFlight = grant.maxInFlight ?? Infinity;
    usage.grantUntilMs = nowMs + GRANT_MS;
    usage.nextReportMs = nowMs + grant.nextReportMs;
  }

  #use(account: AccountId, nowMs: number): Usage {
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
        // The first report goes out soon: until its answer the account is not limited here.
        nextReportMs: nowMs + REPORT_INTERVAL_MS / 4,
        credit: 0,
      };
      this.#usage.set(account, usage);
    }
    return usage;
  }

  #refusal(usage: Usage, quota: AccountQuota): LimitRefusal {
    const reason = quota.requestsPerS === undefined ? "account_token_limit" : "account_rate_limit";
    // The time after which, at the present rate, the credit is enough for one more request.
    const missing = (1 - usage.credit) / Math.max(0.01, usage.share);
    return {
      reason,
      retryAfterMs: Math.round(RETRY_AFTER_MS * Math.min(10, Math.max(1, missing))),
    };
  }
}

/** Decaying totals of one account. */
interface Kept {
  atMs: number;
  requestsPerS: number;
  tokensPerS: number;
  reportsPerS: number;
  intervalMs: number;
  /** Entries with requests in flight. */
  readonly inFlight: Map<string, { count: number; untilMs: number }>;
}

/** Options of {@link AccountCoordinator}. */
export interface AccountCoordinatorOptions {
  /** Reports a second that one account may cause at its keeper. */
  readonly reportsPerS?: number;
  /** Time over which rates are averaged. */
  readonly windowMs?: number;
}

const INTERVAL_STEP = 1.1;
const MAX_INTERVAL_MS = 20_000;

/** Keeps the totals of the accounts whose keeper this entry is. */
export class AccountCoordinator {
  readonly #accounts = new Map<AccountId, Kept>();
  readonly #reportsPerS: number;
  readonly #windowMs: number;

  constructor(options: AccountCoordinatorOptions = {}) {
    this.#reportsPerS = options.reportsPerS ?? 60;
    this.#windowMs = options.windowMs ?? 5_000;
  }

  /** Takes in one entry's report and answers it. */
  receive(entry: string, report: AccountReport, quota: AccountQuota, nowMs: number): AccountGrant {
    const kept = this.#kept(report.account, nowMs);
    this.#add(kept, report, nowMs);
    const share = Math.min(
      1,
      (quota.requestsPerS ?? Infinity) / kept.requestsPerS,
      (quota.tokensPerS ?? Infinity) / Math.max(1e-9, kept.tokensPerS),
    );
    const grant = { account: report.account, share, nextReportMs: kept.intervalMs };
    if (quota.concurrency === undefined) return grant;
    const total = this.#countInFlight(kept, entry, report.inFlight, nowMs);
    const free = quota.concurrency - total;
    const maxInFlight = free >= 0
      ? report.inFlight + free / Math.max(1, kept.inFlight.size)
      : report.inFlight * quota.concurrency / total;
    return { ...grant, maxInFlight };
  }

  #kept(account: AccountId, nowMs: number): Kept {
    let kept = this.#accounts.get(account);
    if (kept === undefined) {
      kept = {
        atMs: nowMs,
        requestsPerS: 0,
        tokensPerS: 0,
        reportsPerS: 0,
        intervalMs: REPORT_INTERVAL_MS,
        inFlight: new Map(),
      };
      this.#accounts.set(account, kept);
    }
    return kept;
  }

  #add(kept: Kept, report: AccountReport, nowMs: number): void {
    const decay = Math.exp(-(nowMs - kept.atMs) / this.#windowMs);
    const perS = 1_000 / this.#windowMs;
    kept.atMs = nowMs;
    kept.requestsPerS = kept.requestsPerS * decay + report.requests * perS;
    kept.tokensPerS = kept.tokensPerS * decay + report.tokens * perS;
    kept.reportsPerS = kept.reportsPerS * decay + perS;
    if (kept.reportsPerS > this.#reportsPerS) {
      kept.intervalMs = Math.min(MAX_INTERVAL_MS, kept.intervalMs * INTERVAL_STEP);
    } else if (kept.reportsPerS < this.#reportsPerS / 2) {
      kept.intervalMs = Math.max(REPORT_INTERVAL_MS, kept.intervalMs / INTERVAL_STEP);
    }
  }

  #countInFlight(kept: Kept, entry: string, count: number, nowMs: number): number {
    kept.inFlight.delete(entry);
    // An entry that died leaves its count behind until it expires.
    if (count > 0) kept.inFlight.set(entry, { count, untilMs: nowMs + 3 * MAX_INTERVAL_MS });
    let total = 0;
    for (const [name, held] of kept.inFlight) {
      if (held.untilMs < nowMs) kept.inFlight.delete(name);
      else total += held.count;
    }
    return total;
  }
}
