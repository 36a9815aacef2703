/**
 * Runs every checker over a history.
 *
 * @module
 */
import {
  AtMostOnceChecker,
  NotRunChecker,
  PlannedStopChecker,
  TokenOrderChecker,
  WholeAnswerChecker,
} from "./answer_checkers.ts";
import type { Checker, CheckResult } from "./checker.ts";
import {
  BadVersionChecker,
  ColdStartChecker,
  ConfigurationChecker,
  DataCentreOutChecker,
  LeavingChecker,
} from "./fleet_checkers.ts";
import type { HistoryEvent } from "./history.ts";

/** New checkers, one per promise in order. */
export function createCheckers(): Checker[] {
  return [
    new TokenOrderChecker(),
    new ColdStartChecker(),
    new DataCentreOutChecker(),
    new BadVersionChecker(),
    new WholeAnswerChecker(),
    new NotRunChecker(),
    new AtMostOnceChecker(),
    new LeavingChecker(),
    new PlannedStopChecker(),
    new ConfigurationChecker(),
  ];
}

/**
 * Checks a history against the ten promises.
 *
 * @example
 * ```ts
 * const results = checkHistory(recorder.events);
 * const broken = results.filter((r) => r.violations.length > 0);
 * ```
 */
export function checkHistory(history: readonly HistoryEvent[]): CheckResult[] {
  return createCheckers().map((checker) => checker.check(history));
}
