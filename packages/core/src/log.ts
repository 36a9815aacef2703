/**
 * Structured logging as JSON lines with `bunyan`. Prompt text and keys are never logged.
 *
 * @module
 */
import bunyan from "bunyan";
import type { AccountId, EndpointId, GenerationId, RequestId } from "./ids.ts";

/** A logger. */
export type Logger = bunyan;

/** Ids that are included in log lines about a request. */
export interface LogIds {
  readonly req?: RequestId;
  readonly gen?: GenerationId;
  readonly account?: AccountId;
  readonly endpoint?: EndpointId;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  readonly level?: "trace" | "debug" | "info" | "warn" | "error" | "fatal" | "silent";
  /** Destination; standard error by default, as standard output is for the output of commands. */
  readonly stream?: NodeJS.WritableStream;
}

/**
 * Creates a logger.
 *
 * @example
 * ```ts
 * const log = createLogger("entry", { level: "info" });
 * log.info({ endpoint }, "endpoint ejected");
 * ```
 */
export function createLogger(
  name: string,
  { level = "info", stream = process.stderr }: LoggerOptions = {},
): Logger {
  // bunyan has no level that disables all output, so a level above `fatal` is used.
  const threshold = level === "silent" ? bunyan.FATAL + 1 : level;
  return bunyan.createLogger({ name, streams: [{ level: threshold, stream }] });
}
