import {
  accountId,
  dataCentreId,
  endpointId,
  generationId,
  requestId,
  serviceId,
  versionId,
} from "@wisteriapick/core";
import type { HistoryEvent } from "../src/mod.ts";

export const REQ = requestId("r1");
export const OTHER_REQ = requestId("r2");
export const TEMA = dataCentreId("accra-tema");
export const ENDPOINT = endpointId("scribe-1");
export const SCRIBE = serviceId("scribe");
export const V1 = versionId("v1");
export const V2 = versionId("v2");

export function makeSent(
  options: Partial<HistoryEvent & { type: "request_sent" }> = {},
): HistoryEvent {
  return {
    atMs: 0,
    type: "request_sent",
    req: REQ,
    account: accountId("museum"),
    service: SCRIBE,
    prompt: "p",
    repeatable: true,
    streamed: true,
    ...options,
  };
}

export function makeStart(
  options: Partial<HistoryEvent & { type: "work_started" }> = {},
): HistoryEvent {
  return {
    atMs: 1,
    type: "work_started",
    endpoint: ENDPOINT,
    dataCentre: TEMA,
    service: SCRIBE,
    version: V1,
    req: REQ,
    gen: generationId("g1"),
    ...options,
  };
}

/** Events of a completed generation that produced `texts`; its caller has received none of them yet. */
export function makeGeneration(gen: string, texts: string[], req = REQ): HistoryEvent[] {
  const id = generationId(gen);
  return [
    makeStart({ gen: id, req }),
    ...texts.map((text, offset): HistoryEvent => ({
      atMs: 2,
      type: "token_produced",
      gen: id,
      offset,
      text,
    })),
    { atMs: 3, type: "work_ended", endpoint: ENDPOINT, gen: id, tokens: texts.length, how: "done" },
  ];
}

export function makeReceived(texts: string[], { from = 0, req = REQ } = {}): HistoryEvent[] {
  return texts.map((text, i) => ({ atMs: 4, type: "token_received", req, offset: from + i, text }));
}

export function makeEnded(req = REQ): HistoryEvent {
  return { atMs: 5, type: "answer_ended", req, finish: "stop" };
}
