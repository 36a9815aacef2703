/**
 * Configuration log and its propagation, leases, plans, and moves of services between versions.
 *
 * @module
 */
export * from "./changes.ts";
export * from "./config_document.ts";
export * from "./config_log.ts";
export * from "./config_state.ts";
export * from "./log_entry.ts";
export * from "./snapshot_store.ts";
export * from "./store_calls.ts";
export * from "./store_watcher.ts";
export * from "./propagation_node.ts";
export * from "./propagation_push.ts";
export * from "./startup_rule.ts";
export * from "./tree.ts";
export * from "./control_process.ts";
export * from "./fence_gate.ts";
export * from "./lease.ts";
export * from "./membership.ts";
export * from "./order_pacer.ts";
export * from "./propagation_links.ts";
export * from "./watcher_duty.ts";
export * from "./move_driver.ts";
export * from "./move_duty.ts";
export * from "./move_policy.ts";
export * from "./move_router.ts";
export * from "./move_deadline_rule.ts";
export * from "./fleet_report.ts";
export * from "./operator_client.ts";
export * from "./operator_http.ts";
export * from "./operator_status.ts";
export * from "./plan_manager.ts";
export * from "./plan_changes.ts";
export * from "./plan_preview.ts";
export * from "./plan_types.ts";
export * from "./revision_survey.ts";
export * from "./data_centre_gate.ts";
