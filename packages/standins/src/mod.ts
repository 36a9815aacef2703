/**
 * Stand-ins for the systems around us.
 *
 * @module
 */
export * from "./engine_model.ts";
export * from "./engine_types.ts";
export type { PrefixSpec } from "./prefix_cache.ts";
