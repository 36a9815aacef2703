import {
  accountId,
  dataCentreId,
  type EndpointId,
  endpointId,
  generationId,
  hostId,
  Rng,
  serviceId,
  versionId,
} from "@wisteriapick/core";
import {
  type AdmissionRequest,
  type EndpointInfo,
  type LoadView,
  type PlacementRequest,
  SubsetPlacement,
  type SubsetPlacementOptions,
} from "../src/mod.ts";

export const SERVICE = serviceId("scribe");
export const ACCOUNT = accountId("museum");
export const LOCAL = dataCentreId("accra-osu");
export const REMOTE = dataCentreId("accra-tema");

export function makeRequest(
  n: number,
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    gen: generationId(`g${n}`),
    service: SERVICE,
    account: ACCOUNT,
    weight: 1,
    promptTokens: 100,
    maxTokens: 4_096,
    priority: 0,
    deadlineMs: 60_000,
    digest: `d${n}`,
    attempt: 1,
    ...overrides,
  };
}

export function makePlacementRequest(overrides: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    service: SERVICE,
    account: ACCOUNT,
    versions: [],
    promptTokens: 100,
    prefixes: [],
    expectedTokens: 100,
    excluded: new Set(),
    ...overrides,
  };
}

export function makeInfo(name: string, dataCentre = LOCAL): EndpointInfo {
  return { endpoint: endpointId(name), service: SERVICE, host: hostId(name), dataCentre };
}

export function makeLoad(endpoint: EndpointId, overrides: Partial<LoadView> = {}): LoadView {
  return {
    endpoint,
    version: versionId("v1"),
    running: 0,
    queued: 0,
    allowance: 20,
    kvUsedTokens: 0,
    kvTotalTokens: 60_000,
    expectedWaitMs: 0,
    leaving: false,
    seq: 1,
    ...overrides,
  };
}

export function makePlacement(
  infos: readonly EndpointInfo[],
  options: Partial<SubsetPlacementOptions> = {},
): SubsetPlacement {
  const placement = new SubsetPlacement({
    entry: "entry-1",
    dataCentre: LOCAL,
    rng: new Rng(1),
    ...options,
  });
  for (const info of infos) placement.setEndpoint(info);
  return placement;
}
