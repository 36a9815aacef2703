/**
 * Orders engines to copy a run's memory to another engine, or to free such a copy.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import type { EndpointRow } from "../state/fleet.ts";
import { controlCall } from "../upstream/control_call.ts";
import type { CopyResult } from "../upstream/dialect.ts";
import type { RelayContext } from "./context.ts";
import type { StreamRun } from "./stream_run.ts";

/** Timeout of a copy, in milliseconds; a leaving engine is gone after about two seconds. */
const COPY_TIMEOUT_MS = 2_500;

/** Options of {@link copyRun}. */
export interface CopyOptions {
  readonly source: EndpointRow;
  readonly target: EndpointRow;
  /** Whether the source stops the run and copies the rest; otherwise the run continues during the copy. */
  readonly stop: boolean;
}

/**
 * Has the source engine copy a run's memory to the target, and logs and counts the result.
 *
 * @example
 * ```ts
 * const result = await copyRun(ctx, run, { source, target, stop: true });
 * if (result.type === "copied") resume(run, target, result.handle);
 * ```
 */
export async function copyRun(
  { clock, dialect, log, metrics, upstreams }: RelayContext,
  run: StreamRun,
  { source, target, stop }: CopyOptions,
): Promise<CopyResult> {
  const startedAtMs = clock.now();
  const request = dialect.copyRequest({
    requestId: run.id,
    target: target.record.address,
    stop,
  });
  const options = { clock, timeoutMs: COPY_TIMEOUT_MS, usesOwnConnection: true };
  const response = await controlCall(upstreams.of(source), request, options);
  const result: CopyResult = response.type === "response"
    ? dialect.readCopyResult(response.status, response.body)
    : { type: "unknown", message: response.message };
  metrics.countCopy(`${stop ? "last" : "first"}_${result.type}`);
  log.request("run_copy", {
    req: run.id,
    source: source.record.id,
    target: target.record.id,
    stop,
    result: result.type,
    message: result.type === "unknown" ? result.message : undefined,
    memoryTokens: run.memoryTokens,
    ms: Math.round(clock.now() - startedAtMs),
    leavingForMs: source.phase === "leaving"
      ? Math.round(clock.now() - source.phaseSinceMs)
      : undefined,
  });
  return result;
}

/** Orders an engine to free a copy that it holds. The result is ignored, as unused copies expire. */
export function dropCopy(
  { clock, dialect, upstreams }: RelayContext,
  holder: EndpointId,
  handle: string,
): void {
  const endpoint = upstreams.get(holder);
  if (endpoint === null) return;
  void controlCall(endpoint, dialect.dropCopyRequest(handle), {
    clock,
    timeoutMs: COPY_TIMEOUT_MS,
  });
}
