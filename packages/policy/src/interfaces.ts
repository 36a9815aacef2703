/**
 * What the decisions take in and give out. Everything is plain data; time is passed in as monotonic milliseconds.
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

/** The load of an endpoint as its side reports it. Field meanings as in the wire package. */
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

/** An endpoint that placement may choose. */
export interface EndpointInfo {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** The version it should run by the configuration; absent where that is not known. */
  readonly version?: VersionId;
}

/** One request as placement sees it. */
export interface PlacementRequest {
  readonly service: ServiceId;
  readonly account: AccountId;
  /** Versions that may serve it; an endpoint of unknown version may be tried. */
  readonly versions: readonly VersionId[];
  readonly promptTokens: number;
  /** Hashes of growing prompt prefixes, shortest first. */
  readonly prefixes: readonly string[];
  readonly expectedTokens: number;
  /** Endpoints already tried or not allowed. */
  readonly excluded: ReadonlySet<EndpointId>;
}

/** How an attempt at an endpoint ended, as far as placement cares. */
export type AttemptOutcome =
  | { readonly type: "not_run"; readonly reason: RefusalReason; readonly load: LoadView }
  | { readonly type: "admitted"; readonly load: LoadView }
  | { readonly type: "first_token"; readonly waitMs: number }
  | { readonly type: "gap"; readonly gapMs: number }
  | { readonly type: "ended"; readonly load?: LoadView }
  | { readonly type: "failed"; readonly reason: RefusalReason }
  | { readonly type: "abandoned" };

/** Chooses an endpoint for each request of one entry. */
export abstract class Placement {
  abstract setEndpoint(info: EndpointInfo): void;
  abstract removeEndpoint(endpoint: EndpointId): void;
  /** Endpoints in data centres that are out are never chosen. */
  abstract setDataCentres(usable: ReadonlySet<DataCentreId>): void;
  /** The endpoint to try next, or `null` when none is usable. */
  abstract choose(req: PlacementRequest, nowMs: number): EndpointId | null;
  /** Records that a request was sent, so that the choice right after takes it into account. */
  abstract recordSent(endpoint: EndpointId, req: PlacementRequest, nowMs: number): void;
  /** Records how an attempt went on or ended. `ended`, `failed`, `not_run` and `abandoned` end it. */
  abstract recordOutcome(endpoint: EndpointId, outcome: AttemptOutcome, nowMs: number): void;
  /** Records a change of an endpoint's prefix cache; published late and with gaps. */
  recordCacheEvent(_endpoint: EndpointId, _type: "stored" | "evicted", _prefix: string): void {}
  /** Records an unasked load report. Reports older than the newest known are ignored. */
  abstract recordLoad(load: LoadView, nowMs: number): void;
}

/** One generation or call as admission at a side sees it. */
export interface AdmissionRequest {
  readonly gen: GenerationId;
  readonly service: ServiceId;
  readonly account: AccountId;
  readonly weight: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly priority: number;
  /** Monotonic time after which the request must not start. */
  readonly deadlineMs: number;
  /** Stable digest of the request's content, for quarantine. */
  readonly digest: string;
  readonly attempt: number;
  /** Crashes of endpoints at which this digest ran, as far as the entry knows. */
  readonly suspectCrashes?: number;
}

/** The answer of admission. A queued request has a place and starts later, or expires. */
export type AdmissionDecision =
  | { readonly type: "start" }
  | { readonly type: "queued" }
  | { readonly type: "not_run"; readonly reason: RefusalReason; readonly retryAfterMs?: number };

/** What a side should do now, from one tick of its admission. */
export type AdmissionAction =
  | { readonly type: "start"; readonly gen: GenerationId }
  | {
    readonly type: "not_run";
    readonly gen: GenerationId;
    readonly reason: RefusalReason;
    readonly retryAfterMs?: number;
  };

/** Decides at one side what starts, waits or is refused. */
export abstract class Admission {
  abstract offer(req: AdmissionRequest, nowMs: number): AdmissionDecision;
  /** Takes over a generation that the engine already runs, after a restart of the side. */
  adopt(_req: AdmissionRequest, _produced: number, _nowMs: number): void {}
  /** Priority at the engine of a generation that starts, lower first. */
  enginePriority(_gen: GenerationId): number {
    return 0;
  }
  /** Records `count` more tokens of a running generation; `gapMs` is the time since the one before. */
  abstract recordTokens(gen: GenerationId, count: number, gapMs: number, nowMs: number): void;
  abstract recordFirstToken(gen: GenerationId, waitMs: number, nowMs: number): void;
  /** Records the end of a running or queued generation. */
  abstract recordEnd(gen: GenerationId, how: "done" | "failed" | "cancelled", nowMs: number): void;
  /** Records the engine's own (lagged) load report. */
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
  /** Records that the engine died; the running set becomes suspect. */
  abstract recordEngineCrash(nowMs: number): void;
  /** Starts and expiries that are due. Called after each change and on each tick. */
  abstract tick(nowMs: number): AdmissionAction[];
  /** Present load without identity fields, which the side adds. */
  abstract load(nowMs: number): Pick<
    LoadView,
    "running" | "queued" | "allowance" | "kvUsedTokens" | "kvTotalTokens" | "expectedWaitMs"
  >;
}
