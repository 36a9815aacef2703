/**
 * How endpoints are spoken to, apart from HTTP itself. The adapter of a platform knows the names on the wire.
 *
 * @module
 */
import type { Address } from "@wisteriapick/wire";
import type { EndpointRecord } from "../config/types.ts";
import type { HeaderList, InboundRequest } from "../relay/inbound.ts";
import type { UpstreamRequest } from "./connection.ts";

/** The memory of a run that stopped, from which the same request goes on. */
export interface RunMemory {
  /** Where the copy was made from. */
  readonly source: Address;
  /** Names the copy at its source. */
  readonly handle: string;
  /** Last event that the caller has. */
  readonly lastEventId: number;
}

/** What the gateway adds to a request for one endpoint. */
export interface SendOptions {
  readonly endpoint: EndpointRecord;
  /** Time left, in milliseconds. */
  readonly remainingMs: number;
  /** Rank at the engine, 0 first; `null` for a plain service. */
  readonly enginePriority: number | null;
  readonly resumeFrom: RunMemory | null;
}

/** What the header section of an answer says. */
export interface ResponseHead {
  readonly status: number;
  /** Fields to pass on to the caller. */
  readonly headers: HeaderList;
  /** The request that the endpoint says it answers. */
  readonly requestId: string | null;
  /** Whether the endpoint signed the answer. */
  readonly isSigned: boolean;
  /** Whether the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether another endpoint has the address now; it did not run the request. */
  readonly isMisdirected: boolean;
  /** Whether the body is encoded, which no endpoint does. */
  readonly isEncoded: boolean;
  /** Length of the body; `null` where it is not stated. */
  readonly contentLength: number | null;
  /** Whether the end of the body is marked by a length or by chunks, not by the end of the connection. */
  readonly isFramed: boolean;
}

/** A run that an engine reports. */
export interface ReportedRun {
  readonly requestId: string;
  readonly memoryTokens: number;
  readonly events: number;
  readonly priority: number;
}

/** What an engine says of itself; some hundred milliseconds old. */
export interface EngineReport {
  readonly waiting: number;
  readonly running: number;
  readonly usedTokens: number;
  readonly totalTokens: number;
  /** Time until the engine is taken away; `null` where it is not known. */
  readonly leavesInMs: number | null;
  readonly isDraining: boolean;
  readonly startedAtUnixMs: number | null;
  readonly runs: readonly ReportedRun[];
}

/** What became of an order to copy a run's memory. */
export type CopyResult =
  /** The copy is complete; `events` of the run are in it. */
  | { readonly type: "copied"; readonly handle: string; readonly events: number }
  /** No such run: it has ended, or never began. */
  | { readonly type: "no_run" }
  /** A copy of this run is being made. */
  | { readonly type: "busy" }
  /** The other engine has no room or cannot be reached. Where the run was stopped, `handle` names its memory. */
  | { readonly type: "refused"; readonly handle: string | null }
  /** The answer could not be understood. */
  | { readonly type: "unknown"; readonly message?: string };

/** The names that endpoints use. */
export abstract class EndpointDialect {
  /** The request as it is written to an endpoint. */
  abstract encode(req: InboundRequest, options: SendOptions): UpstreamRequest;
  abstract readHead(status: number, rawHeaders: readonly string[]): ResponseHead;

  /** Asks an engine for its report. */
  abstract reportRequest(): UpstreamRequest;
  abstract readReport(status: number, body: Buffer): EngineReport | null;

  /** Orders a copy of a run's memory to another engine; `stop` ends the run at the source first. */
  abstract copyRequest(
    options: { readonly requestId: string; readonly target: Address; readonly stop: boolean },
  ): UpstreamRequest;
  abstract readCopyResult(status: number, body: Buffer): CopyResult;

  /** Frees a copy. */
  abstract dropCopyRequest(handle: string): UpstreamRequest;
}
