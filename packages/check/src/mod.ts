/**
 * Runs the system in one process under generated faults, records a history of each run and checks that the history
 * satisfies the system's ten properties.
 *
 * @module
 */
export * from "./check_history.ts";
export * from "./checker.ts";
export * from "./context.ts";
export * from "./faults.ts";
export * from "./fleet_checkers.ts";
export * from "./history.ts";
export * from "./response_checkers.ts";
export * from "./run_check.ts";
export * from "./system_run.ts";
