/**
 * Interfaces of the platform's services and the model engines, with their HTTP clients.
 *
 * @module
 */
export * from "./host_list.ts";
export * from "./http_caller.ts";
export * from "./http_host_list.ts";
export * from "./http_model_engine.ts";
export * from "./http_object_store.ts";
export * from "./http_weight_store.ts";
export * from "./model_engine.ts";
export * from "./object_store.ts";
export * from "./weight_store.ts";
