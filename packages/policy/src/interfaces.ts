/**
 * Inputs and outputs of the decisions, and the interfaces of placement and admission. All of it is
 * plain data; times are passed in as monotonic milliseconds.
 *
 * @module
 */
import type {
  AccountId,
  DataCentreId,
  EndpointId,
  GenerationId,
  HostId,
  RefusalReason,
  ServiceId,
  VersionId,
} from "@wisteriapick/core";

/** Load of an endpoint as its side reports it. The fields mean the same as in the wire package's load report. */
export interface LoadView {
  readonly endpoint: EndpointId;
  readonly version: VersionId;
  readonly running: number;
  readonly queued: number;
  readonly allowance: number;
  readonly kvUsedTokens: number;
  readonly kvTotalTokens: number;
  readonly expectedWaitMs: number;
  readonly leaving: boolean;
  readonly seq: number;
}

/** An endpoint that placement may choose, as the configuration describes it. */
export interface EndpointInfo {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Version that the configuration assigns to the endpoint; absent where it is unknown. */
  readonly version?: VersionId;
}

/** One request as placement sees it. */
export interface PlacementRequest {
  readonly service: ServiceId;
  readonly account: AccountId;
  /** Versions that may serve the request; empty allows all. Endpoints whose version is unknown are allowed as well. */
  readonly versions: readonly VersionId[];
  readonly promptTokens: number;
  /** Hashes of the prompt's prefixes, shortest first; each prefix extends the one before. */
  readonly prefixes: readonly string[];
  readonly expectedTokens: number;
  /** Endpoints that must not be chosen, for example because an attempt there has failed. */
  readonly excluded: ReadonlySet<EndpointId>;
}

/** An event of an attempt at an endpoint that placement learns load, speed or health from. */
export type AttemptOutcome =
  | { readonly type: "not_run"; readonly reason: RefusalReason; readonly load: LoadView }
  | { readonly type: "admitted"; readonly load: LoadView }
  | { readonly type: "first_token"; readonly waitMs: number }
  | { readonly type: "gap"; readonly gapMs: number }
  | { readonly type: "ended"; readonly load?: LoadView }
  | { readonly type: "failed"; readonly reason: RefusalReason }
  | { readonly type: "abandoned" };

/** Chooses an endpoint for each request that one entry receives. */
export abstract class Placement {
  abstract setEndpoint(info: EndpointInfo): void;
  abstract removeEndpoint(endpoint: EndpointId): void;
  /** Sets the data centres in use; endpoints in any other are never chosen. */
  abstract setDataCentres(usable: ReadonlySet<DataCentreId>): void;
  /** Chooses the endpoint for the next attempt; `null` where none is usable. */
  abstract choose(req: PlacementRequest, nowMs: number): EndpointId | null;
  /** Records that a request was sent, so that the next choice counts it before any load report does. */
  abstract recordSent(endpoint: EndpointId, req: PlacementRequest, nowMs: number): void;
  /** Records an event of an attempt. `ended`, `failed`, `not_run` and `abandoned` are final. */
  abstract recordOutcome(endpoint: EndpointId, outcome: AttemptOutcome, nowMs: number): void;
  /** Records a change of an endpoint's prefix cache. Engines publish these events late, and some are lost. */
  recordCacheEvent(_endpoint: EndpointId, _type: "stored" | "evicted", _prefix: string): void {}
  /** Records a load report that came without a request. Reports older than the newest known one are ignored. */
  abstract recordLoad(load: LoadView, nowMs: number): void;
}

/** One generation or call, as a side's admission sees it. */
export interface AdmissionRequest {
  readonly gen: GenerationId;
  readonly service: ServiceId;
  readonly account: AccountId;
  readonly weight: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly priority: number;
  /** Monotonic time from which on the request must not start. */
  readonly deadlineMs: number;
  /** Digest of the request's content: equal for each attempt, so that quarantine recognises a poison request. */
  readonly digest: string;
  readonly attempt: number;
  /** Endpoint crashes that the entry knows of during which a request of this digest ran. */
  readonly suspectCrashes?: number;
}

/** Admission's decision on an offered request. A queued request starts or is refused by a later action. */
export type AdmissionDecision =
  | { readonly type: "start" }
  | { readonly type: "queued" }
  | { readonly type: "not_run"; readonly reason: RefusalReason; readonly retryAfterMs?: number };

/** An action that one tick of admission requires of its side. */
export type AdmissionAction =
  | { readonly type: "start"; readonly gen: GenerationId }
  | {
    readonly type: "not_run";
    readonly gen: GenerationId;
    readonly reason: RefusalReason;
    readonly retryAfterMs?: number;
  };

/** Decides at one side which requests start, are queued or are refused. */
export abstract class Admission {
  /** Decides on a new request; a `queued` one is settled by an action of a later {@link tick}. */
  abstract offer(req: AdmissionRequest, nowMs: number): AdmissionDecision;
  /** Takes over a generation that the engine already runs, after the side has restarted. */
  adopt(_req: AdmissionRequest, _produced: number, _nowMs: number): void {}
  /** Priority at the engine of a generation that starts; lower values run first. */
  enginePriority(_gen: GenerationId): number {
    return 0;
  }
  /** Records `count` more tokens of a running generation; `gapMs` is the time since the token before them. */
  abstract recordTokens(gen: GenerationId, count: number, gapMs: number, nowMs: number): void;
  abstract recordFirstToken(gen: GenerationId, waitMs: number, nowMs: number): void;
  /** Records the end of a running or queued generation. */
  abstract recordEnd(
    gen: GenerationId,
    outcome: "done" | "failed" | "cancelled",
    nowMs: number,
  ): void;
  /** Records the load that the engine itself reports; the report is `ageMs` old. */
  abstract recordEngineLoad(
    load: {
      running: number;
      waiting: number;
      kvUsedTokens: number;
      kvTotalTokens: number;
      preemptions: number;
    },
    ageMs: number,
    nowMs: number,
  ): void;
  /** Records that the engine crashed: each running request becomes a suspect. */
  abstract recordEngineCrash(nowMs: number): void;
  /** Returns the starts and refusals that are due. Called after each change and at regular intervals. */
  abstract tick(nowMs: number): AdmissionAction[];
  /** Current load; the side adds the fields that identify it. */
  abstract load(nowMs: number): Pick<
    LoadView,
    "running" | "queued" | "allowance" | "kvUsedTokens" | "kvTotalTokens" | "expectedWaitMs"
  >;
}
