/**
 * Copies of a run's memory between engines: an engine is ordered to make one, or told to give one up.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import type { EndpointRow } from "../state/fleet.ts";
import { controlCall } from "../upstream/control_call.ts";
import type { CopyResult } from "../upstream/dialect.ts";
import type { RelayContext } from "./context.ts";
import type { StreamRun } from "./stream_run.ts";

/** Longest wait for a copy, in milliseconds; a leaving engine is gone after about two seconds. */
const COPY_TIMEOUT_MS = 2_500;

/** What is copied where. */
export interface CopyOptions {
  readonly source: EndpointRow;
  readonly target: EndpointRow;
  /** Whether the source stops the run and copies the rest; the run goes on during the copy otherwise. */
  readonly stop: boolean;
}

/**
 * Copies a run's memory.
 *
 * @example
 * ```ts
 * const result = await copyRun(ctx, run, { source, target, stop: true });
 * if (result.type === "copied") goOn(run, target, result.handle);
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
  const options = { clock, timeoutMs: COPY_TIMEOUT_MS };
  const answer = await controlCall(upstreams.of(source), request, options);
  const result: CopyResult = answer.type === "response"
    ? dialect.readCopyResult(answer.status, answer.body)
    : { type: "unknown", message: answer.message };
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

/** Has an engine give up a copy that it holds. What becomes of the order does not matter: unused copies expire. */
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
