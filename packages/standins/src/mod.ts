/**
 * Stand-ins for the outside systems: each a model in memory and an HTTP server.
 *
 * @module
 */
export * from "./host_list.ts";
export * from "./http_server.ts";
export * from "./object_store.ts";
export * from "./platform_servers.ts";
export * from "./rate_limit.ts";
export * from "./weight_store.ts";
