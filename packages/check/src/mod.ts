/**
 * History checking: a recorder, one checker per promise, and fault-injecting runs.
 *
 * @module
 */
export * from "./answer_checkers.ts";
export * from "./check_history.ts";
export * from "./checker.ts";
export * from "./context.ts";
export * from "./faults.ts";
export * from "./fleet_checkers.ts";
export * from "./history.ts";
export * from "./run_check.ts";
export * from "./system_run.ts";
