/**
 * What the parts of a side share.
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

/** Shared parts and questions of one side. */
export interface SideContext {
  readonly clock: Clock;
  readonly config: ConfigSource;
  readonly admission: Admission;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Present load, with the next report number. */
  load(): EndpointLoad;
  /** Why new work is refused at present, or `null`. */
  gate(req: { readonly service: ServiceId; readonly version: VersionId }): RefusalReason | null;
  /** Runs what admission says is due. Called after each change. */
  runAdmission(): void;
}

/** Ignores what arrives on a stream that has been answered. */
export const IGNORE_STREAM: StreamHandler = { onMessage() {}, onClose() {} };

/** Answers `not_run` and ends the stream. */
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
