/**
 * What a gateway knows of its deployment: the configuration in force, the endpoints and operators' orders. All of it
 * is plain data, so that it can be compared, logged and passed to another gateway as it is.
 *
 * @module
 */
import type {
  AccountId,
  DataCentreId,
  EndpointId,
  RegionId,
  RouteId,
  ServiceId,
  VersionId,
} from "@wisteriapick/core";
import type { Address } from "@wisteriapick/wire";

/** What may be repeated: a stream and a non-idempotent call run at most once for each request. */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** A service that may answer a route, with its share of the traffic. */
export interface RouteTarget {
  readonly service: ServiceId;
  readonly weight: number;
}

/** A route: which requests it takes and what is promised to them. */
export interface RouteConfig {
  readonly id: RouteId;
  readonly hostname: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, that callers count as good. */
  readonly targetLatencyMs: number;
  /** Longest pause between events of a stream that callers count as good; `null` where none is stated. */
  readonly targetGapMs: number | null;
  /** Rank of the route's requests; 0 goes first. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Endpoints to which one request may be sent. */
  readonly maxEndpoints: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may be continued by a new run. */
  readonly isResumable: boolean;
  /** Regions whose endpoints may be used; empty for all. */
  readonly regions: readonly RegionId[];
}

/** The model engines behind a service. */
export interface EngineConfig {
  /** Requests that one engine runs at once. */
  readonly slots: number;
  /** Key-value memory of one engine. */
  readonly memoryTokens: number;
  /** Size of one token in key-value memory. */
  readonly tokenBytes: number;
  /** Bandwidth of an engine's link for key-value memory. */
  readonly linkMbps: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Whether a running request's memory can be copied to another engine. */
  readonly canCopyRuns: boolean;
  /** Whether an engine sends a run's memory to a second one as it grows. */
  readonly canBackUpRuns: boolean;
  /** Time for which a copy that is not used is kept. */
  readonly copyTtlMs: number;
}

/** A service. */
export interface ServiceConfig {
  readonly id: ServiceId;
  readonly healthPath: string;
  /** Connections one endpoint accepts from all gateways together. */
  readonly maxConnections: number;
  /** Time after its start for which an endpoint is cold. */
  readonly coldStartMs: number;
  /** Requests a second that a cold endpoint bears; 0 where there is no limit. */
  readonly coldPerSecond: number;
  /** `null` for a plain service. */
  readonly engine: EngineConfig | null;
}

/** A client account and the keys that its callers present. */
export interface AccountConfig {
  readonly id: AccountId;
  readonly keys: readonly string[];
  /** Rank of the account's requests; goes before the route's where set. */
  readonly priority: number | null;
  readonly regions: readonly RegionId[];
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The configuration in force. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly RouteConfig[];
  readonly services: readonly ServiceConfig[];
  /** Empty where callers need no keys. */
  readonly accounts: readonly AccountConfig[];
  readonly requiresKeys: boolean;
  readonly limits: CallerLimits;
}

/** An endpoint as it registered itself. */
export interface EndpointRecord {
  readonly id: EndpointId;
  readonly service: ServiceId;
  readonly address: Address;
  readonly dataCentre: DataCentreId;
  readonly version: VersionId;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time for which the endpoint stays cold, as of its last report. */
  readonly coldMs: number;
  /** Unix time of the endpoint's start; tells two lives under one id apart. `null` where it is not stated. */
  readonly startedAtUnixMs: number | null;
}

/** An order to empty a data centre. */
export interface EvacuationRecord {
  readonly dataCentre: DataCentreId;
}

/** An order to move a service's traffic to a version within a time. */
export interface MoveRecord {
  readonly service: ServiceId;
  readonly target: VersionId;
  readonly durationMs: number;
  /** What a duty holder has written so far; `null` before that. */
  readonly state: MoveState | null;
}

/** Progress of a move. */
export type MoveState = "running" | "completed" | "rolled_back";

/** A gateway as it registered itself. */
export interface GatewayRecord {
  readonly name: string;
  readonly address: Address;
  readonly dataCentre: DataCentreId;
}
