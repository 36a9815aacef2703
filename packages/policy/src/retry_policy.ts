/**
 * Decides what an entry does after an attempt that ended without a response: retry at another
 * endpoint, hold the request, or give up. At-most-once holds for requests that may not be repeated,
 * and nothing runs again after a part of its response was delivered.
 *
 * @module
 */
import type { NotRun, RefusalReason, Rng } from "@wisteriapick/core";

/** Options of {@link RetryPolicy}. */
export interface RetryPolicyOptions {
  /** Consecutive attempts at different endpoints before the entry holds the request. */
  readonly maxHops?: number;
  /** Runs that may end without a response, for requests that may be repeated. */
  readonly maxRuns?: number;
  /** Longest time from its arrival for which a request may be held until an endpoint has capacity. */
  readonly maxHoldMs?: number;
  /** The same for a request that lost its endpoint while it ran, from the end of the run; it had been admitted. */
  readonly maxRerunHoldMs?: number;
  readonly firstHoldMs?: number;
  readonly longestHoldMs?: number;
}

/** How an attempt ended, and the history of its request. */
export interface AttemptReport {
  readonly reason: RefusalReason;
  readonly notRun: NotRun;
  /** Whether any part of a response has been delivered to the caller. */
  readonly hasDelivered: boolean;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Attempts since the entry last held the request. */
  readonly hops: number;
  /** Times that the entry has held the request. */
  readonly holds: number;
  /** Attempts that ran, or may have run. */
  readonly runs: number;
  /** Time of arrival, or of the end of the last run where there was one. */
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
}

/** What to do next: attempt at another endpoint, hold the request first, or give up. */
export type RetryDecision =
  | { readonly type: "next" }
  | { readonly type: "hold"; readonly ms: number }
  | { readonly type: "give_up"; readonly reason: RefusalReason };

// Refusals that each endpoint of the service would give.
const FINAL_REASONS: ReadonlySet<RefusalReason> = new Set([
  "quarantined",
  "deadline_exceeded",
  "invalid_request",
  "request_too_large",
  "unknown_service",
  "unknown_route",
  "account_rate_limit",
  "account_concurrency_limit",
  "account_token_limit",
  "cancelled",
]);

/**
 * Bounded retries: another endpoint is tried where the request provably did not run, or where it
 * may be repeated and nothing of its response was delivered.
 */
export class RetryPolicy {
  readonly #cfg: Required<RetryPolicyOptions>;
  readonly #rng: Rng;

  constructor(rng: Rng, options: RetryPolicyOptions = {}) {
    this.#rng = rng;
    this.#cfg = {
      maxHops: options.maxHops ?? 3,
      maxRuns: options.maxRuns ?? 3,
      maxHoldMs: options.maxHoldMs ?? 1_000,
      maxRerunHoldMs: options.maxRerunHoldMs ?? 20_000,
      firstHoldMs: options.firstHoldMs ?? 20,
      longestHoldMs: options.longestHoldMs ?? 100,
    };
  }

  decide(report: AttemptReport, nowMs: number): RetryDecision {
    const giveUp: RetryDecision = { type: "give_up", reason: report.reason };
    if (FINAL_REASONS.has(report.reason) || report.hasDelivered) return giveUp;
    if (report.notRun !== true && !report.repeatable) return giveUp;
    if (report.notRun !== true && report.runs >= this.#cfg.maxRuns) return giveUp;
    if (nowMs >= report.deadlineMs) return { type: "give_up", reason: "deadline_exceeded" };
    if (report.hops < this.#cfg.maxHops && report.reason !== "no_endpoint") return { type: "next" };
    const holdMs = this.#nextHoldMs(report.holds);
    const maxHoldMs = report.runs > 0 ? this.#cfg.maxRerunHoldMs : this.#cfg.maxHoldMs;
    const untilMs = Math.min(report.deadlineMs, report.arrivedAtMs + maxHoldMs);
    return nowMs + holdMs > untilMs ? giveUp : { type: "hold", ms: holdMs };
  }

  // Jitter over half of the interval keeps held requests from being retried all at once.
  #nextHoldMs(holds: number): number {
    const intervalMs = Math.min(
      this.#cfg.longestHoldMs,
      this.#cfg.firstHoldMs * 2 ** Math.min(16, holds),
    );
    return intervalMs * (0.5 + 0.5 * this.#rng.next());
  }
}
