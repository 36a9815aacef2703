/**
 * The decisions of the serving system under load and faults: placement, admission, cold start,
 * fairness, retries, quarantine, ejection, copies and version moves. They do no input or output of
 * their own; state and time are passed in.
 *
 * @module
 */
export * from "./account_limits.ts";
export * from "./account_shares.ts";
export * from "./arrival.ts";
export * from "./backup_choice.ts";
export * from "./call_placement.ts";
export * from "./cold_limiter.ts";
export * from "./caller_accounts.ts";
export * from "./cold_start.ts";
export * from "./connection_eviction.ts";
export * from "./copy_planner.ts";
export * from "./crash_attribution.ts";
export * from "./departure_order.ts";
export * from "./departure_reserve.ts";
export * from "./decaying_histogram.ts";
export * from "./endpoint_speed.ts";
export * from "./duty_claim.ts";
export * from "./engine_placement.ts";
export * from "./engine_queue.ts";
export * from "./fair_queue.ts";
export * from "./gateway_census.ts";
export * from "./gap_cost.ts";
export * from "./gap_meter.ts";
export * from "./gap_model.ts";
export * from "./group_difference.ts";
export * from "./host_overload.ts";
export * from "./host_pressure.ts";
export * from "./host_speed.ts";
export * from "./interfaces.ts";
export * from "./kept_connections.ts";
export * from "./knowledge_lease.ts";
export * from "./length_estimator.ts";
export * from "./log_allowance.ts";
export * from "./memory_budget.ts";
export * from "./memory_forecast.ts";
export * from "./move_evidence.ts";
export * from "./move_pace.ts";
export * from "./outlier_ejection.ts";
export * from "./permit_issuer.ts";
export * from "./planned_stop.ts";
export * from "./prefill_backlog.ts";
export * from "./prefix_directory.ts";
export * from "./quarantine.ts";
export * from "./request_shares.ts";
export * from "./retry_budget.ts";
export * from "./retry_policy.ts";
export * from "./returning_callers.ts";
export * from "./room_forecast.ts";
export * from "./run_attempts.ts";
export * from "./scale_target.ts";
export * from "./sequential_probability_ratio.ts";
export * from "./service_shares.ts";
export * from "./side_admission.ts";
export * from "./side_options.ts";
export * from "./start_decision.ts";
export * from "./start_delay.ts";
export * from "./started_work.ts";
export * from "./speed_pool.ts";
export * from "./stalled_bodies.ts";
export * from "./stalled_readers.ts";
export * from "./stop_deadline.ts";
export * from "./subset_placement.ts";
export * from "./true_time.ts";
export * from "./usage_ledger.ts";
export * from "./usage_windows.ts";
