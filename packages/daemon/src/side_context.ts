/**
 * The context that the components of a side share.
 *
 * @module
 */
import type {
  Clock,
  Logger,
  Metrics,
  RefusalReason,
  ServiceId,
  VersionId,
} from "@wisteriapick/core";
import type { ConfigSource } from "@wisteriapick/control";
import type { Admission } from "@wisteriapick/policy";
import type { EndpointLoad, LinkStream, StreamHandler } from "@wisteriapick/wire";

/** Shared dependencies and state queries of one side. */
export interface SideContext {
  readonly clock: Clock;
  readonly config: ConfigSource;
  readonly admission: Admission;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** The current load, with the next report number. */
  load(): EndpointLoad;
  /** The reason for which this request would be refused now, or `null`. */
  gate(req: { readonly service: ServiceId; readonly version: VersionId }): RefusalReason | null;
  /** Executes the actions that admission has due. Called after each change. */
  runAdmission(): void;
}

/** Ignores messages on a stream whose response has been sent. */
export const IGNORE_STREAM: StreamHandler = { onMessage() {}, onClose() {} };

/** Sends `not_run` with the reason and ends the stream. */
export function refuseRun(
  ctx: SideContext,
  stream: LinkStream,
  about: string,
  reason: RefusalReason,
  retryAfterMs?: number,
): StreamHandler {
  ctx.metrics.countRefusal(reason);
  stream.send({ kind: "not_run", reason, retryAfterMs, load: ctx.load(), about });
  stream.end();
  return IGNORE_STREAM;
}
