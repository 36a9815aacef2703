/**
 * Logs and counts what becomes of a run: its sends, their losses and its end.
 *
 * @module
 */
import type { RefusalReason } from "@wisteriapick/core";
import type { EndpointRecord } from "../config/types.ts";
import type { RequestOutcome } from "../observe/metrics.ts";
import type { EndpointRow } from "../state/fleet.ts";
import type { CallerStream } from "./caller_stream.ts";
import type { RelayContext } from "./context.ts";
import type { InboundRequest, Rejection } from "./inbound.ts";
import type { RunLoss, RunSegment } from "./run_segment.ts";

/** Options of {@link RunLog}. */
export interface RunLogOptions {
  readonly ctx: Pick<RelayContext, "clock" | "log" | "metrics">;
  readonly req: InboundRequest;
  readonly caller: CallerStream;
}

/** How a run has ended. */
export interface RunEnd {
  readonly outcome: RequestOutcome;
  readonly detail?: RefusalReason | string;
  readonly rejection?: Rejection;
  /** Engines that may have run the request. */
  readonly engines: readonly EndpointRecord[];
  readonly sends: number;
}

/** Logs and counts for one run. */
export class RunLog {
  readonly #options: RunLogOptions;

  constructor(options: RunLogOptions) {
    this.#options = options;
  }

  recordSent(
    { record, era, revision }: EndpointRow,
    { reason, remainingMs, sharedSegments }: {
      readonly reason: string;
      readonly remainingMs: number;
      readonly sharedSegments: readonly string[];
    },
  ): void {
    const { ctx: { log, metrics }, req, caller } = this.#options;
    metrics.countAttempt("sent");
    log.request("run_sent", {
      req: req.requestId,
      endpoint: record.id,
      why: reason,
      promptTokens: req.generation?.promptTokens ?? 0,
      afterEvent: caller.lastEventId,
      remainingMs: Math.round(remainingMs),
      era,
      revision,
      sharedSegments,
    });
  }

  recordLoss(
    segment: RunSegment,
    { type, message }: RunLoss,
    sharedSegments: readonly string[],
  ): void {
    const { ctx: { clock, log }, req, caller } = this.#options;
    log.request("run_lost", {
      req: req.requestId,
      endpoint: segment.endpoint.id,
      loss: type,
      message,
      afterEvent: caller.lastEventId,
      sharedSegments,
      hasHead: segment.hasHead,
      isFramed: segment.hasFraming,
      endsInsideEvent: caller.hasPartialEvent,
      writingMs: segment.writingMs(clock.now()),
    });
  }

  recordEnd({ outcome, detail, rejection, engines, sends }: RunEnd): void {
    const { ctx: { clock, log, metrics }, req, caller } = this.#options;
    const { firstEventMs, longestGapMs } = caller;
    const ms = clock.now() - req.arrivedAtMs;
    metrics.countRequest(req.route.id, outcome, ms);
    if (firstEventMs !== null) metrics.observeLongestGap(longestGapMs);
    log.request("request_over", {
      req: req.requestId,
      route: req.route.id,
      account: req.account?.id,
      outcome,
      detail,
      engines: engines.map(({ id }) => id),
      sends,
      events: caller.lastEventId,
      firstEventMs: firstEventMs === null ? undefined : Math.round(firstEventMs),
      longestGapMs: Math.round(longestGapMs),
      ms: Math.round(ms),
      notRun: rejection?.notRun,
      retryAfterMs: rejection?.retryAfterMs,
      configAgeMs: rejection?.configAgeMs,
      trait: rejection?.trait,
    });
  }
}
