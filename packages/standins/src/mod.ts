/**
 * Stand-ins for the external systems, each an in-memory model with an HTTP server.
 *
 * @module
 */
export * from "./crowd.ts";
export * from "./engine_model.ts";
export * from "./engine_server.ts";
export * from "./engine_text.ts";
export * from "./engine_types.ts";
export * from "./host_list.ts";
export * from "./http_server.ts";
export * from "./object_store.ts";
export * from "./platform_servers.ts";
export * from "./plain_service.ts";
export type { PrefixSpec } from "./prefix_cache.ts";
export * from "./process_watch.ts";
export * from "./promise_crowd.ts";
export * from "./rate_limit.ts";
export * from "./weight_store.ts";
