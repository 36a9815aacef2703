/**
 * The interface through which a platform's adapter encodes requests to endpoints and decodes their responses. Only the
 * adapter knows the names on the wire.
 *
 * @module
 */
import type { Address } from "@wisteriapick/wire";
import type { EndpointRecord } from "../config/types.ts";
import type { HeaderList, InboundRequest } from "../relay/inbound.ts";
import type { UpstreamRequest } from "./connection.ts";

/** A copy of a stopped run's memory, from which the same request can resume. */
export interface RunMemory {
  /** Address of the engine that the copy was made from. */
  readonly source: Address;
  /** Identifies the copy at its source. */
  readonly handle: string;
  /** Id of the last event that the caller has received. */
  readonly lastEventId: number;
}

/** Values that the gateway adds to a request to one endpoint. */
export interface SendOptions {
  readonly endpoint: EndpointRecord;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Priority at the engine, 0 is the highest; `null` for a plain service. */
  readonly enginePriority: number | null;
  readonly resumeFrom: RunMemory | null;
  /**
   * Id of the last event that the caller has, where the endpoint runs a stream from its beginning and omits events up to
   * that one. By default the id that the caller sent, if any.
   */
  readonly afterEvent?: number | null;
}

/** The decoded head of a response. */
export interface ResponseHead {
  readonly status: number;
  /** Header fields to forward to the caller. */
  readonly headers: HeaderList;
  /** Id of the request to which the endpoint responds, as the endpoint states it. */
  readonly requestId: string | null;
  /** Whether the endpoint signed the response. */
  readonly isSigned: boolean;
  /** Whether the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the address now belongs to another endpoint, which did not run the request. */
  readonly isMisdirected: boolean;
  /** Whether the body has a content encoding, which no endpoint applies. */
  readonly isEncoded: boolean;
  /** Length of the body in bytes; `null` if not stated. */
  readonly contentLength: number | null;
  /** Requests per second that the endpoint takes from all gateways together; `null` if it names no limit. */
  readonly requestsPerSecond: number | null;
  /** Whether the endpoint announces that it leaves. */
  readonly isLeaving: boolean;
  /** Time for which the endpoint accepts nothing from this gateway, in milliseconds; `null` if it states none. */
  readonly pauseMs: number | null;
  /** Whether the endpoint closes the connection after the response. */
  readonly isLastOnConnection?: boolean;
  /** Whether a length or chunks mark the end of the body, rather than the end of the connection. */
  readonly isFramed: boolean;
}

/** A run that an engine reports. */
export interface ReportedRun {
  readonly requestId: string;
  readonly memoryTokens: number;
  readonly events: number;
  readonly priority: number;
}

/** An engine's report of its own state, which is some hundred milliseconds old. */
export interface EngineReport {
  readonly waiting: number;
  readonly running: number;
  readonly usedTokens: number;
  readonly totalTokens: number;
  /** Time until the engine is shut down, in milliseconds; `null` if unknown. */
  readonly leavesInMs: number | null;
  readonly isDraining: boolean;
  readonly startedAtUnixMs: number | null;
  readonly runs: readonly ReportedRun[];
}

/** Result of an order to copy a run's memory. */
export type CopyResult =
  /** The copy is complete and contains the first `events` events of the run. */
  | { readonly type: "copied"; readonly handle: string; readonly events: number }
  /** The run has ended or never began. */
  | { readonly type: "no_run" }
  /** Another copy of this run is in progress. */
  | { readonly type: "busy" }
  /** The target has no room or is unreachable. If the run was stopped, `handle` identifies its memory. */
  | { readonly type: "refused"; readonly handle: string | null }
  /** The response could not be decoded. */
  | { readonly type: "unknown"; readonly message?: string };

/** Encodes requests to endpoints and decodes their responses. */
export abstract class EndpointDialect {
  /** Encodes a caller's request for one endpoint. */
  abstract encode(req: InboundRequest, options: SendOptions): UpstreamRequest;
  abstract readHead(status: number, rawHeaders: readonly string[]): ResponseHead;

  /** Encodes a query for an engine's report. */
  abstract reportRequest(): UpstreamRequest;
  abstract readReport(status: number, body: Buffer): EngineReport | null;

  /** Encodes an order to copy a run's memory to another engine. `stop` ends the run at the source first. */
  abstract copyRequest(
    options: { readonly requestId: string; readonly target: Address; readonly stop: boolean },
  ): UpstreamRequest;
  abstract readCopyResult(status: number, body: Buffer): CopyResult;

  /** Encodes an order to free a copy. */
  abstract dropCopyRequest(handle: string): UpstreamRequest;
}
