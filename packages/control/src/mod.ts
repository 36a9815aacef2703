/**
 * Configuration, leases, plans and moves.
 *
 * @module
 */
export * from "./config_document.ts";
