/**
 * Fixtures for the tests of delivery.
 *
 * @module
 */
import { accountId, dataCentreId, generationId, serviceId } from "@wisteriapick/core";
import type { CompletionHead, ResumeRef } from "../src/mod.ts";

/** Makes a resume reference of account `shop`, with fields overridden by `parts`. */
export function makeRef(parts: Partial<ResumeRef> = {}): ResumeRef {
  return {
    dataCentre: dataCentreId("accra-osu"),
    side: "127.0.0.1:7400",
    gen: generationId("g-1"),
    account: accountId("shop"),
    service: serviceId("scribe"),
    format: "chat",
    created: 1_700_000_000,
    includeUsage: false,
    expiresMs: 1_000,
    ...parts,
  };
}

/** Makes the head of a response. */
export function makeHead(format: "chat" | "text" = "chat"): CompletionHead {
  return {
    format,
    gen: generationId("g-1"),
    model: serviceId("scribe"),
    created: 1_700_000_000,
  };
}

/** Makes a sink that records every write. */
export function makeSink() {
  const writes: string[] = [];
  const write = (text: string) => {
    writes.push(text);
    return true;
  };
  return { writes, write };
}
