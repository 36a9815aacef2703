/**
 * What an endpoint's answer proves.
 *
 * @module
 */
import type { ResponseHead } from "../upstream/dialect.ts";

/**
 * What the head of an answer proves: a signed success or failure of the endpoint for this request; that it did not
 * run the request; that another endpoint has the address; or nothing, as the answer belongs to another request or is
 * not what the endpoint sends.
 */
export type HeadVerdict = "success" | "failure" | "not_run" | "misdirected" | "foreign" | "spoiled";

/** Judges the head of an answer to the request with id `requestId`. */
export function classifyResponseHead(head: ResponseHead, requestId: string): HeadVerdict {
  // An answer that names another request arrived late on a reused connection.
  if (head.requestId !== null && head.requestId !== requestId) return "foreign";
  if (head.isMisdirected) return "misdirected";
  if (head.isNotRun) return "not_run";
  if (!head.isSigned || head.isEncoded || head.requestId === null) return "spoiled";
  return head.status >= 200 && head.status < 300 ? "success" : "failure";
}
