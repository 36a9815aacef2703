/**
 * Tells by a log line's event and fields how much the line matters.
 *
 * @module
 */
import type { LineImportance, RefusalLine } from "@wisteriapick/policy";

type Fields = Readonly<Record<string, unknown>>;

/** Events about requests that the gateway refused, or that their callers gave up, before any work. */
const REFUSAL_EVENTS: ReadonlySet<string> = new Set([
  "request_rejected",
  "request_refused",
  "connection_refused",
  "connection_failed",
  "connection_limited",
  "caller_left_unread",
]);

/** What a line about a request is about. */
export function importanceOf(event: string, fields: Fields): LineImportance {
  if (REFUSAL_EVENTS.has(event)) return "refused";
  if (event === "request_unanswered") {
    return fields.cause === "caller_left" ? "refused" : "unanswered";
  }
  // A request that was never sent to an endpoint ends like one that was refused at once.
  return event === "request_over" && fields.sends === 0 ? "refused" : "passed_on";
}

/** What a line about a refusal is summed up by. */
export function refusalOf(event: string, fields: Fields): RefusalLine {
  const why = fields.reason ?? fields.detail ?? fields.stage ?? fields.status ?? fields.code ??
    fields.outcome;
  return {
    reason: why === undefined ? event : `${event}/${String(why)}`,
    requestId: typeof fields.req === "string" ? fields.req : null,
  };
}
