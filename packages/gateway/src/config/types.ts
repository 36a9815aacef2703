/**
 * Records of a deployment: the configuration in force, the endpoints and operators' orders. All are plain data, so
 * that they can be compared, logged and sent to another gateway unchanged.
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
import type { ScaleLimits } from "@wisteriapick/policy";
import type { Address } from "@wisteriapick/wire";

/** Decides what may be retried: a stream or a non-idempotent call runs at most once per request. */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** A service that serves a route, with its share of the traffic. */
export interface RouteTarget {
  readonly service: ServiceId;
  readonly weight: number;
}

/** A route: which requests it matches, and how they are served. */
export interface RouteConfig {
  readonly id: RouteId;
  readonly hostname: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time for which a caller may wait; a shorter deadline of the caller takes precedence. */
  readonly timeoutMs: number;
  /** Target for the time to the response, or to the first event of a stream. */
  readonly targetLatencyMs: number;
  /** Target for the longest gap between events of a stream; `null` if none is configured. */
  readonly targetGapMs: number | null;
  /** Priority of the route's requests; 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Largest number of endpoints to which one request may be sent. */
  readonly maxEndpoints: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether a new run may continue a stream. */
  readonly isResumable: boolean;
  /** Regions whose endpoints may be used; empty for all. */
  readonly regions: readonly RegionId[];
}

/** The model engines behind a service. */
export interface EngineConfig {
  /** Number of requests that one engine runs concurrently. */
  readonly slots: number;
  /** Key-value cache of one engine, in tokens. */
  readonly memoryTokens: number;
  /** Size of one token in the key-value cache, in bytes. */
  readonly tokenBytes: number;
  /** Bandwidth of an engine's link for copies of its key-value cache. */
  readonly linkMbps: number;
  /** Number of tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Whether a running request's memory can be copied to another engine. */
  readonly canCopyRuns: boolean;
  /** Whether an engine replicates a run's memory to a second engine as it grows. */
  readonly canBackUpRuns: boolean;
  /** Time after which an engine drops an unused copy. */
  readonly copyTtlMs: number;
}

/** A service. */
export interface ServiceConfig {
  readonly id: ServiceId;
  readonly healthPath: string;
  /** Number of connections that one endpoint accepts from all gateways together. */
  readonly maxConnections: number;
  /** Time after its start for which an endpoint is cold. */
  readonly coldStartMs: number;
  /** Requests a second that a cold endpoint sustains; 0 if there is no limit. */
  readonly coldPerSecond: number;
  /** `null` for a plain service. */
  readonly engine: EngineConfig | null;
  /** Limits between which the platform adds and removes endpoints on order; absent if it does not. */
  readonly scaling?: ScaleLimits | null;
}

/** A client account and the API keys of its callers. */
export interface AccountConfig {
  readonly id: AccountId;
  readonly keys: readonly string[];
  /** Priority of the account's requests; overrides the route's if set. */
  readonly priority: number | null;
  readonly regions: readonly RegionId[];
}

/** Limits on the size and the duration of callers' requests. */
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
  /** Empty if callers need no API keys. */
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
  /** Remaining time of the endpoint's cold start, as of its last report. */
  readonly coldMs: number;
  /** Unix time of the endpoint's start, which distinguishes processes with the same id; `null` if not reported. */
  readonly startedAtUnixMs: number | null;
  /** Number of the registration's write since the process started; `null` if it does not say. */
  readonly sequence: number | null;
}

/** An operator's order to evacuate a data centre. */
export interface EvacuationRecord {
  readonly dataCentre: DataCentreId;
}

/** An operator's order to move a service's traffic to a version within a given time. */
export interface MoveRecord {
  readonly service: ServiceId;
  readonly target: VersionId;
  readonly durationMs: number;
  /** Progress written by the gateway that performs the move; `null` before the first write. */
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
