/**
 * What an entry does after an attempt that brought no answer.
 *
 * @module
 */
import type { NotRun, RefusalReason, Rng } from "@wisteriapick/core";

/** Options of {@link RetryPolicy}. */
export interface RetryPolicyOptions {
  /** Endpoints asked one after the other before the entry waits. */
  readonly maxHops?: number;
  /** Runs that may end without an answer, for work that may be repeated. */
  readonly maxRuns?: number;
  /** Longest time a request is held at the entry for a free endpoint. */
  readonly maxHoldMs?: number;
  /** The same for a request that had run and lost its endpoint: it was accepted once. */
  readonly maxRerunHoldMs?: number;
  readonly firstHoldMs?: number;
  readonly longestHoldMs?: number;
}

/** How an attempt ended, and what the request has behind it. */
export interface AttemptReport {
  readonly reason: RefusalReason;
  readonly notRun: NotRun;
  /** Whether any part of an answer has reached the caller. */
  readonly hasDelivered: boolean;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Endpoints asked since the entry last waited. */
  readonly hops: number;
  /** Waits at the entry so far. */
  readonly holds: number;
  /** Attempts so far that ran, or may have run. */
  readonly runs: number;
  /** Time of arrival, or of the end of the last run where there was one. */
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
}

/** What to do next: ask another endpoint, wait at the entry first, or give up. */
export type RetryDecision =
  | { readonly type: "next" }
  | { readonly type: "hold"; readonly ms: number }
  | { readonly type: "give_up"; readonly reason: RefusalReason };

// Refusals that every endpoint of the service would repeat.
const FINAL: ReadonlySet<RefusalReason> = new Set([
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
 * Bounded retries: another endpoint where it is proved that nothing ran, or where the work may be repeated and
 * nothing was delivered.
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
    if (FINAL.has(report.reason) || report.hasDelivered) return giveUp;
    if (report.notRun !== true && !report.repeatable) return giveUp;
    if (report.notRun !== true && report.runs >= this.#cfg.maxRuns) return giveUp;
    if (nowMs >= report.deadlineMs) return { type: "give_up", reason: "deadline_exceeded" };
    if (report.hops < this.#cfg.maxHops && report.reason !== "no_endpoint") return { type: "next" };
    const ms = this.#holdMs(report.holds);
    const longest = report.runs > 0 ? this.#cfg.maxRerunHoldMs : this.#cfg.maxHoldMs;
    const until = Math.min(report.deadlineMs, report.arrivedAtMs + longest);
    return nowMs + ms > until ? giveUp : { type: "hold", ms };
  }

  // Jitter over half of the interval keeps held requests from returning together.
  #holdMs(holds: number): number {
    const base = Math.min(
      this.#cfg.longestHoldMs,
      this.#cfg.firstHoldMs * 2 ** Math.min(16, holds),
    );
    return base * (0.5 + 0.5 * this.#rng.next());
  }
}
