/**
 * The grammar of requests that can be forwarded unchanged (RFC 9110, section 5; RFC 9112, section 3).
 *
 * The parser of `node:http` accepts more, such as a tab in a target or a field without a name, which no client of an
 * endpoint may send.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Origin form, without white space and control characters. Bytes beyond ASCII are forwarded as they came. */
const TARGET = /^\/[\x21-\x7e\x80-\xff]*$/;
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/** The parts of a request's head, as bytes in Latin-1. */
export interface RequestHead {
  readonly method: string;
  readonly target: string;
  /** Alternating names and values of header fields. */
  readonly rawHeaders: readonly string[];
}

/**
 * Whether a request has a form in which it can be forwarded.
 *
 * @example
 * ```ts
 * isForwardable({ method: "GET", target: "/a\tb", rawHeaders: [] }); // false
 * ```
 */
export function isForwardable({ method, target, rawHeaders }: RequestHead): boolean {
  if (!TOKEN.test(method) || !TARGET.test(target)) return false;
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (!TOKEN.test(rawHeaders[i]!) || !FIELD_VALUE.test(rawHeaders[i + 1]!)) return false;
  }
  return true;
}

/** Size of the header section as sent, without optional white space around values. */
export function headerBytes(
  req: Pick<IncomingMessage, "method" | "url" | "rawHeaders">,
): number {
  let bytes = (req.method?.length ?? 0) + (req.url?.length ?? 0) + 12;
  for (let i = 0; i < req.rawHeaders.length; i++) bytes += req.rawHeaders[i]!.length + 2;
  return bytes;
}

/**
 * Whether every recipient interprets the request in the same way. The parser refuses duplicate and conflicting
 * lengths, folded fields and bare line feeds; this function refuses the ambiguous requests that the parser accepts.
 */
export function isUnambiguous(
  req: Pick<IncomingMessage, "httpVersion" | "rawHeaders">,
): boolean {
  let hosts = 0;
  for (let i = 0; i < req.rawHeaders.length; i += 2) {
    const name = req.rawHeaders[i]!.toLowerCase();
    if (name === "host") hosts++;
    if (name !== "transfer-encoding") continue;
    if (req.httpVersion !== "1.1" || req.rawHeaders[i + 1]!.toLowerCase() !== "chunked") {
      return false;
    }
  }
  return hosts === 1;
}
