/**
 * The gateway between callers and endpoints, independent of the names that a platform uses on the wire.
 *
 * @module
 */
export * from "./config/record_checks.ts";
export * from "./config/route_table.ts";
export * from "./config/types.ts";
export * from "./duties/cloud.ts";
export * from "./gateway.ts";
export * from "./observe/decision_log.ts";
export * from "./observe/descriptor_sink.ts";
export * from "./observe/memory_monitor.ts";
export * from "./observe/metrics.ts";
export * from "./observe/unreadable_objects.ts";
export * from "./relay/inbound.ts";
export * from "./relay/relay.ts";
export * from "./state/fleet.ts";
export * from "./state/response_deadline.ts";
export * from "./state/state_store.ts";
export * from "./state/store_follower.ts";
export * from "./state/store_outage.ts";
export * from "./state/store_position.ts";
export * from "./state/store_view.ts";
export * from "./surface/caller_dialect.ts";
export * from "./upstream/connection.ts";
export * from "./upstream/dialect.ts";
export * from "./settings.ts";
