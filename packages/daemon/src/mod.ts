/**
 * The processes: entry and side.
 *
 * @module
 */
export * from "./account_limiter.ts";
export * from "./claim_sweep.ts";
export * from "./endpoint_directory.ts";
export * from "./entry.ts";
export * from "./entry_auth.ts";
export * from "./entry_options.ts";
export * from "./entry_versions.ts";
export * from "./entry_sinks.ts";
export * from "./entry_process.ts";
export * from "./entry_relay.ts";
export * from "./fleet_view.ts";
export * from "./process_components.ts";
export * from "./side_process.ts";
export * from "./entry_follower.ts";
export * from "./idempotency.ts";
export * from "./fixed_admission.ts";
export * from "./http_server.ts";
export * from "./least_in_flight_placement.ts";
export * from "./link_router.ts";
export * from "./link_source.ts";
export * from "./prompt_summary.ts";
export * from "./side.ts";
export type { ReadHighestFence as LearnFence } from "./side_orders.ts";
export { GENERATION_TIMES, type GenerationTimes } from "./side_generation.ts";
export * from "./local.ts";
export * from "./local_deployment.ts";
export * from "./settings.ts";
export * from "./standins_process.ts";
export * from "./start.ts";
