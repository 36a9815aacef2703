/**
 * The platform and the engines as the system sees them.
 *
 * @module
 */
export * from "./host_list.ts";
export * from "./model_engine.ts";
export * from "./object_store.ts";
export * from "./weight_store.ts";
