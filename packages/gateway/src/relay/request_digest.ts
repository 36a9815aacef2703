/**
 * Recognises requests and their accounts without trusting what callers say of themselves.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { RouteId } from "@wisteriapick/core";
import type { InboundRequest } from "./inbound.ts";

/** Bytes at each end of a body that its digest covers, so that a large body does not delay the event loop. */
const DIGEST_BYTES = 32_768;
/** Hex digits of a digest that are used: 48 bits. */
const DIGEST_DIGITS = 12;
/** Key of requests without an account. */
const NO_ACCOUNT = "";

/** Account under which a request is counted. */
export function accountOf(req: InboundRequest): string {
  return req.account?.id ?? NO_ACCOUNT;
}

/** Digest of the account and the content of a request, which is the same when its caller sends it again. */
export function digestOf(req: InboundRequest): number {
  const hash = createHash("sha256");
  const body = req.body ?? Buffer.alloc(0);
  const { promptTokens, maxOutputTokens } = req.generation ??
    { promptTokens: 0, maxOutputTokens: 0 };
  const head = [
    accountOf(req),
    req.route.id as RouteId as string,
    req.target,
    promptTokens,
    maxOutputTokens,
    body.length,
    ...(req.generation?.promptSegments ?? []).map(({ id }) => id),
  ];
  hash.update(JSON.stringify(head));
  hash.update(body.subarray(0, DIGEST_BYTES));
  if (body.length > DIGEST_BYTES) hash.update(body.subarray(-DIGEST_BYTES));
  return parseInt(hash.digest("hex").slice(0, DIGEST_DIGITS), 16);
}
