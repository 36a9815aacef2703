/**
 * Decisions under load and faults. Pure: tables in, decisions out.
 *
 * @module
 */
export * from "./interfaces.ts";
