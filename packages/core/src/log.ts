/**
 * Structured logs: JSON lines by `bunyan`. Prompt text and keys are never logged.
 *
 * @module
 */
import bunyan from "bunyan";
import type { AccountId, EndpointId, GenerationId, RequestId } from "./ids.ts";

/** A logger. */
export type Logger = bunyan;

/** Ids that log lines about a request carry. */
export interface LogIds {
  readonly req?: RequestId;
  readonly gen?: GenerationId;
  readonly account?: AccountId;
  readonly endpoint?: EndpointId;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  readonly level?: "trace" | "debug" | "info" | "warn" | "error" | "fatal" | "silent";
  /** Where the lines go; standard error by default, because standard output belongs to commands. */
  readonly stream?: NodeJS.WritableStream;
}

/**
 * Makes a logger.
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
  // bunyan has no level that turns everything off; one above `fatal` does.
  const threshold = level === "silent" ? bunyan.FATAL + 1 : level;
  return bunyan.createLogger({ name, streams: [{ level: threshold, stream }] });
}
