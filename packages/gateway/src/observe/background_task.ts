/**
 * Tasks that nothing waits for, such as asking an engine for a report.
 *
 * @module
 */
import { toWpError } from "@wisteriapick/core";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** Where the failures of tasks are recorded. */
export interface TaskObserver {
  readonly log: DecisionLog;
  readonly metrics?: Pick<GatewayMetrics, "countContainedError">;
}

/**
 * Starts a task. If it fails, only the task ends: the failure is logged and counted, where an unhandled one would end
 * the process and all requests in progress.
 *
 * @example
 * ```ts
 * runInBackground({ log, metrics }, "engine_report", () => requestReport(endpoint));
 * ```
 */
export function runInBackground(
  { log, metrics }: TaskObserver,
  task: string,
  work: () => Promise<void>,
): void {
  work().catch((e) => {
    metrics?.countContainedError("task");
    log.state("task_failed", { task, err: toWpError(e) });
  });
}
