/**
 * Fixtures for tests of delivery.
 *
 * @module
 */
import { accountId, dataCentreId, generationId, serviceId } from "@wisteriapick/core";
import type { CompletionHead, ResumeRef } from "../src/mod.ts";

/** A ref of account `shop`, with parts replaced. */
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

/** The head of an answer. */
export function makeHead(format: "chat" | "text" = "chat"): CompletionHead {
  return {
    format,
    gen: generationId("g-1"),
    model: serviceId("scribe"),
    created: 1_700_000_000,
  };
}

/** A sink that keeps every write. */
export function makeSink() {
  const writes: string[] = [];
  const write = (text: string) => {
    writes.push(text);
    return true;
  };
  return { writes, write };
}
