/**
 * Classifies the head of an endpoint's response by what it proves.
 *
 * @module
 */
import type { ResponseHead } from "../upstream/dialect.ts";

/**
 * What a response head proves: `success` and `failure`, a signed result of the endpoint for this request; `not_run`,
 * that the endpoint did not run the request; `misdirected`, that another endpoint has the address. `foreign` and
 * `spoiled` prove nothing: the response belongs to another request, or is not one that the endpoint sends.
 */
export type HeadVerdict = "success" | "failure" | "not_run" | "misdirected" | "foreign" | "spoiled";

/**
 * Whether a response says if its endpoint limits requests. A rejection may come from the endpoint's queue before it is
 * read, so it names a limit, but does not end one.
 */
export function tellsLimit({ requestsPerSecond }: ResponseHead, verdict: HeadVerdict): boolean {
  if (verdict === "not_run") return requestsPerSecond !== null;
  return verdict === "success" || verdict === "failure";
}

/** Statuses of final responses (RFC 9110, section 15). An endpoint in trouble responded with 000. */
const FINAL_STATUSES = { first: 200, last: 599 };

/** Statuses that guarantee to callers that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a status guarantees to callers that the request has not run and never will. */
export function deniesRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** Classifies the head of a response to the request with id `requestId`. */
export function classifyResponseHead(head: ResponseHead, requestId: string): HeadVerdict {
  // What is not HTTP proves nothing, whatever its fields say.
  if (head.status < FINAL_STATUSES.first || head.status > FINAL_STATUSES.last) return "spoiled";
  // A response that names another request arrived late on a reused connection.
  if (head.requestId !== null && head.requestId !== requestId) return "foreign";
  // Without an id it may be an earlier one once more, also where it states that a request did not run.
  if (head.requestId === null) return "spoiled";
  if (head.isMisdirected) return "misdirected";
  if (head.isNotRun) return "not_run";
  if (!head.isSigned || head.isEncoded) return "spoiled";
  return head.status >= 200 && head.status < 300 ? "success" : "failure";
}
