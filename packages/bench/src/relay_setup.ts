/**
 * Constants, messages and identities that the threads of the relay benchmark share.
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
/** Time between two tokens of one generation, which gives 24,000 tokens/s over 1,200 streams. */
export const TOKEN_INTERVAL_MS = 50;

/** Worker data of the side stand-ins. */
export interface SidesData {
  readonly sides: number;
  /** Time between two tokens; 0 sends tokens as fast as flow-control credit allows. */
  readonly intervalMs: number;
}

/** Worker data of the callers. */
export interface CallersData {
  readonly url: string;
}

/** Messages from the main thread to a load thread. */
export type LoadThreadCommand =
  | { readonly kind: "cpu" }
  | { readonly kind: "exit" }
  | { readonly kind: "call"; readonly maxTokens: number };

/** CPU time that a load thread has used, and tokens and bytes that it has received so far. */
export interface ThreadCounts {
  readonly us: number;
  readonly tokens: number;
  readonly bytes: number;
}

/** Messages from a load thread to the main thread. */
export type LoadThreadMessage =
  | ({ readonly kind: "cpu" } & ThreadCounts)
  | { readonly kind: "listening"; readonly addresses: readonly Address[] }
  | { readonly kind: "ended"; readonly tokens: number; readonly complete: boolean };

/** Creates the identity of one process of the benchmark. */
export function benchIdentity(role: Role, n: number): Identity {
  return {
    role,
    process: processId(`${role}-${n}`),
    host: hostId(`${role}-host-${n}`),
    dataCentre: dataCentreId("dc-1"),
  };
}

/** Creates the load report of a side stand-in. */
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

/** Creates a request for a generation of `maxTokens` tokens. */
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
