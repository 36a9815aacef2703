/**
 * Tasks that nothing waits for, such as asking an engine for a report.
 *
 * @module
 */
import { toWpError } from "@wisteriapick/core";
import type { DecisionLog } from "./decision_log.ts";

/**
 * Starts a task. If it fails, only the task ends: the failure is logged, where an unhandled one would end the process
 * and all requests in progress.
 *
 * @example
 * ```ts
 * runInBackground(log, "engine_report", () => requestReport(endpoint));
 * ```
 */
export function runInBackground(log: DecisionLog, task: string, work: () => Promise<void>): void {
  work().catch((e) => log.state("task_failed", { task, err: toWpError(e) }));
}
