/**
 * Links between the processes of the system.
 *
 * @module
 */
export * from "./messages.ts";
export * from "./link.ts";
