/**
 * What the threads of the relay benchmark share.
 *
 * @module
 */
import {
  accountId,
  dataCentreId,
  endpointId,
  generationId,
  hostId,
  processId,
  requestId,
  revision,
  serviceId,
  versionId,
} from "@wisteriapick/core";
import type { Address, EndpointLoad, Identity, Role, Run } from "@wisteriapick/wire";

export const CLUSTER_KEY = "bench-cluster-key";
export const CLIENT_KEY = "bench-client-key";
/** Time between two tokens of one generation: 24,000 tokens/s over 1,200 streams. */
export const TOKEN_INTERVAL_MS = 50;

/** What the side stand-ins are started with. */
export interface SidesData {
  readonly sides: number;
  /** 0 sends each generation as fast as credit allows. */
  readonly intervalMs: number;
}

/** What the callers are started with. */
export interface CallersData {
  readonly url: string;
}

/** What the main thread asks a load thread. */
export type Ask =
  | { readonly kind: "cpu" }
  | { readonly kind: "exit" }
  | { readonly kind: "call"; readonly maxTokens: number };

/** What a load thread has used and received so far. */
export interface ThreadCount {
  readonly us: number;
  readonly tokens: number;
  readonly bytes: number;
}

/** What a load thread tells. */
export type Tell =
  | ({ readonly kind: "cpu" } & ThreadCount)
  | { readonly kind: "listening"; readonly addresses: readonly Address[] }
  | { readonly kind: "ended"; readonly tokens: number; readonly complete: boolean };

/** An identity for one process of the benchmark. */
export function benchIdentity(role: Role, n: number): Identity {
  return {
    role,
    process: processId(`${role}-${n}`),
    host: hostId(`${role}-host-${n}`),
    dataCentre: dataCentreId("dc-1"),
  };
}

/** The load report of a side stand-in. */
export function benchLoad(side: number, running: number, seq: number): EndpointLoad {
  return {
    endpoint: endpointId(`scribe-${side}`),
    service: serviceId("scribe"),
    version: versionId("v1"),
    revision: revision(1),
    running,
    queued: 0,
    allowance: 256,
    kvUsedTokens: running * 400,
    kvTotalTokens: 1_000_000,
    expectedWaitMs: 5,
    leaving: false,
    seq,
  };
}

/** A prompt of about 100 words. */
export const PROMPT = "Describe the print for the spring catalogue. ".repeat(14);

/** A generation request of `maxTokens` tokens. */
export function benchRun(n: number, maxTokens: number): Run {
  return {
    kind: "run",
    req: requestId(`r-${n}`),
    gen: generationId(`g-${n}-0123456789abcdef`),
    service: serviceId("scribe"),
    version: versionId("v1"),
    account: accountId("shop"),
    weight: 1,
    route: "chat",
    priority: 0,
    remainingMs: 60_000,
    attempt: 1,
    revision: revision(1),
    prompt: PROMPT,
    promptTokens: 120,
    prefixes: ["0123456789abcdef", "123456789abcdef0"],
    digest: "23456789abcdef01",
    maxTokens,
  };
}
