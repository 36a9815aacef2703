/**
 * Core of wisteriapick: ids, errors, time, random numbers, tables, settings, logs and metrics.
 *
 * @module
 */
export * from "./byte_buffer.ts";
export * from "./clock.ts";
export * from "./errors.ts";
export * from "./fraction.ts";
export * from "./ids.ts";
export * from "./log.ts";
export * from "./metrics.ts";
export * from "./rng.ts";
export * from "./settings.ts";
export * from "./suspend_clock.ts";
export * from "./table.ts";
export * from "./world.ts";
