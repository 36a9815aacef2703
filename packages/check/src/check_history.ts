/**
 * Runs all checkers on a history.
 *
 * @module
 */
import type { Checker, CheckResult } from "./checker.ts";
import {
  BadVersionChecker,
  ColdStartChecker,
  ConfigurationChecker,
  DataCentreOutChecker,
  LeavingChecker,
} from "./fleet_checkers.ts";
import type { HistoryEvent } from "./history.ts";
import {
  AtMostOnceChecker,
  CompleteResponseChecker,
  NotRunChecker,
  PlannedStopChecker,
  TokenOrderChecker,
} from "./response_checkers.ts";

/** Creates the checkers in the order of their property numbers. */
export function createCheckers(): Checker[] {
  return [
    // 1, token order: each token reaches the caller once, in order, from one generation.
    new TokenOrderChecker(),
    // 2, cold-start limit: an endpoint in a cold start never runs more than the concurrency it sustains.
    new ColdStartChecker(),
    // 3, data centre out: no new work goes to a data centre soon after it is set to `out`.
    new DataCentreOutChecker(),
    // 4, bad version: a bad version gets a small share, and nothing soon after the verdict.
    new BadVersionChecker(),
    // 5, complete response: every caller gets the complete response to its own request.
    new CompleteResponseChecker(),
    // 6, truthful "not run": a request that is reported as not run has not run and never will.
    new NotRunChecker(),
    // 7, at-most-once: a non-repeatable request runs at most once.
    new AtMostOnceChecker(),
    // 8, leaving endpoint: no new work goes to an endpoint soon after it is leaving.
    new LeavingChecker(),
    // 9, planned stop: a planned stop of a process cuts no request.
    new PlannedStopChecker(),
    // 10, configuration: an accepted change is in force everywhere within seconds and never reverts.
    new ConfigurationChecker(),
  ];
}

/**
 * Checks a history against all ten properties.
 *
 * @example
 * ```ts
 * const results = checkHistory(recorder.events);
 * const violated = results.filter((r) => r.violations.length > 0);
 * ```
 */
export function checkHistory(history: readonly HistoryEvent[]): CheckResult[] {
  return createCheckers().map((checker) => checker.check(history));
}
