/**
 * Records what the head of a response states about its endpoint: a limit, a pause, or that it leaves.
 *
 * @module
 */
import type { ResponseHead } from "../upstream/dialect.ts";
import type { UpstreamEndpoint } from "../upstream/endpoint.ts";
import type { RelayContext } from "./context.ts";
import { type HeadVerdict, tellsLimit } from "./response_check.ts";

/** A response head with what it proves. */
export interface JudgedHead {
  readonly head: ResponseHead;
  readonly verdict: HeadVerdict;
  /** When the request was sent, by the monotonic clock. */
  readonly sentAtMs: number;
}

/** Verdicts of responses that the endpoint has given to the request itself. */
const OWN_VERDICTS: ReadonlySet<HeadVerdict> = new Set(["success", "failure", "not_run"]);

/** Records what a response states about its endpoint. Responses to other requests or of other endpoints are ignored. */
export function recordNotices(
  { limits, fleet, announceLeaving, inquire }: RelayContext,
  { id, record }: UpstreamEndpoint,
  { head, verdict, sentAtMs }: JudgedHead,
): void {
  if (tellsLimit(head, verdict)) {
    limits.recordResponse(record, { sentAtMs, requestsPerSecond: head.requestsPerSecond });
  }
  if (!OWN_VERDICTS.has(verdict)) return;
  if (verdict === "not_run" && head.pauseMs !== null) fleet.pause(id, head.pauseMs);
  if (head.isLeaving && fleet.markLeaving(id, { reason: "its own response", isOwnNotice: true })) {
    announceLeaving(id);
  }
  // Servers that stop refuse requests and end their connections, for some time before their registration says so.
  const isHint = verdict === "not_run" || (head.isLastOnConnection === true && head.isFramed);
  if (isHint && !head.isLeaving) inquire(id);
}
