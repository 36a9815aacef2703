/**
 * Messages between the processes of the system. Times are milliseconds, offsets count tokens from 0.
 *
 * @module
 */
import type {
  AccountId,
  DataCentreId,
  EndpointId,
  Fence,
  GenerationId,
  HostId,
  MoveId,
  ProcessId,
  Refusal,
  RefusalReason,
  RequestId,
  Revision,
  RouteId,
  ServiceId,
  VersionId,
} from "@wisteriapick/core";

/** Oldest and newest protocol version this build speaks. */
export const PROTOCOL_VERSIONS = { min: 1, max: 1 } as const;

/** What a process is. */
export type Role = "entry" | "side" | "operator";

/** First frame in each direction. */
export interface Hello {
  readonly minVersion: number;
  readonly maxVersion: number;
  readonly role: Role;
  readonly process: ProcessId;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly nonce: Uint8Array;
}

/** Load of one endpoint, carried by every answer of its side. */
export interface EndpointLoad {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly version: VersionId;
  /** Revision of the configuration in force at the side. */
  readonly revision: Revision;
  readonly running: number;
  readonly queued: number;
  /** Concurrency the endpoint bears at present, as learned. */
  readonly allowance: number;
  readonly kvUsedTokens: number;
  readonly kvTotalTokens: number;
  /** Expected wait for the first token of a new request. */
  readonly expectedWaitMs: number;
  readonly leaving: boolean;
  /** Rises with each report of one side process, so that late reports are recognised. */
  readonly seq: number;
}

/** A request that is suspected of crashing endpoints. Times are relative, so that clocks are never compared. */
export interface SuspectReport {
  readonly digest: string;
  /** Names of crashes, so that news of one crash over two ways counts once. */
  readonly crashIds: readonly string[];
  readonly remainingMs: number;
  readonly quarantined: boolean;
}

/** A generation request. */
export interface Run {
  readonly kind: "run";
  readonly req: RequestId;
  readonly gen: GenerationId;
  readonly service: ServiceId;
  readonly version: VersionId;
  readonly account: AccountId;
  /** Weight of the client account for fair sharing. */
  readonly weight: number;
  readonly route: string;
  readonly priority: number;
  /** Time left until the caller's deadline. */
  readonly remainingMs: number;
  readonly attempt: number;
  readonly revision: Revision;
  readonly prompt: string;
  readonly promptTokens: number;
  /** Hashes of growing prefixes of the prompt, shortest first. */
  readonly prefixes: readonly string[];
  /** Stable digest of the request, for quarantine. */
  readonly digest: string;
  readonly maxTokens: number;
  readonly stop?: readonly string[];
  readonly temperature?: number;
  /** Crashes of endpoints at which this request ran, as far as the entry knows. */
  readonly suspectCrashes?: number;
}

/** The side started the generation, or holds it in its queue with a place reserved. */
export interface Admitted {
  readonly kind: "admitted";
  readonly load: EndpointLoad;
  /** The generation or request answered; an answer about another one is dropped by the receiver. */
  readonly about?: string;
}

/** The request did not run here. */
export interface NotRunReply {
  readonly kind: "not_run";
  readonly reason: RefusalReason;
  readonly retryAfterMs?: number;
  readonly load: EndpointLoad;
  readonly about?: string;
}

/** Tokens from `offset` on. */
export interface Tokens {
  readonly kind: "tokens";
  readonly offset: number;
  readonly items: readonly string[];
  readonly about?: string;
}

/** A generation ended normally. */
export interface End {
  readonly kind: "end";
  readonly reason: "stop" | "length" | "cancelled";
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
  readonly load: EndpointLoad;
  readonly about?: string;
}

/** A generation or call failed. */
export interface Fail {
  readonly kind: "fail";
  readonly refusal: Refusal;
  readonly load?: EndpointLoad;
  readonly about?: string;
  readonly suspects?: readonly SuspectReport[];
}

/** Asks for the rest of a generation from `offset` on. */
export interface Resume {
  readonly kind: "resume";
  readonly gen: GenerationId;
  readonly account: AccountId;
  readonly offset: number;
}

/** Cancels a generation at once. */
export interface Cancel {
  readonly kind: "cancel";
  readonly gen: GenerationId;
  readonly account: AccountId;
}

/** A request to a plain service. */
export interface Call {
  readonly kind: "call";
  readonly req: RequestId;
  readonly service: ServiceId;
  readonly version: VersionId;
  readonly account: AccountId;
  readonly weight: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly repeatable: boolean;
  readonly remainingMs: number;
  readonly attempt: number;
  readonly revision: Revision;
  readonly digest: string;
  /** Whether body bytes follow. The endpoint is asked only after the first body message, which is always sent. */
  readonly hasBody?: boolean;
}

/** Bytes of a body; an empty chunk with `last` ends it. */
export interface BodyChunk {
  readonly kind: "body";
  readonly bytes: Uint8Array;
  readonly last: boolean;
  /** Position of the first byte in the whole body, so that a missing or repeated chunk is seen. */
  readonly offset?: number;
  readonly about?: string;
}

/** Status line and headers of a plain service's answer. */
export interface ReplyHead {
  readonly kind: "reply_head";
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly load: EndpointLoad;
  readonly about?: string;
}

/** A change of an engine's prefix cache. */
export interface CacheNote {
  readonly type: "stored" | "evicted";
  readonly prefix: string;
}

/** An unasked load report. */
export interface LoadReport {
  readonly kind: "load";
  readonly load: EndpointLoad;
  /** After a crash of the endpoint: the requests that ran there. */
  readonly suspects?: readonly SuspectReport[];
  /** Changes of the prefix cache since the last report; late and with gaps. */
  readonly cache?: readonly CacheNote[];
}

/** Subscribes to configuration after `from`. */
export interface ConfigPull {
  readonly kind: "config_pull";
  readonly from: Revision;
}

/** Configuration entries in order, or a whole snapshot, encoded by the control package. */
export interface ConfigPush {
  readonly kind: "config_push";
  readonly revision: Revision;
  /** Encoded log entries with consecutive revisions. */
  readonly entries: readonly Uint8Array[];
  /** Encoded snapshot at `revision`, where the log no longer reaches back far enough. */
  readonly snapshot?: Uint8Array;
  /** Age of the sender's last proof that it is up to date; `null` where it has none. */
  readonly asOfMs: number | null;
  /** Whether the store could be reached at that proof's origin. */
  readonly storeUp: boolean;
  /** The sender takes no more children: this is its only answer. */
  readonly full?: boolean;
  /** The sender holds a watcher lease. */
  readonly watcher?: boolean;
  /** The sender may serve. Answers of starting processes do not count in the start-up rule. */
  readonly ready?: boolean;
}

/** Counts of one cell of a move's evidence. Times are sums in milliseconds. */
export interface EvidenceCell {
  readonly move: MoveId;
  readonly version: VersionId;
  readonly route: string;
  readonly loadLevel: "low" | "high";
  readonly requests: number;
  readonly failures: number;
  readonly slowFirstTokens: number;
  readonly gaps: number;
  readonly slowGaps: number;
}

/** Evidence since the last report of this process. */
export interface Evidence {
  readonly kind: "evidence";
  readonly process: ProcessId;
  readonly seq: number;
  readonly cells: readonly EvidenceCell[];
}

/** An order to an endpoint, under a lease. */
export interface Order {
  readonly kind: "order";
  readonly endpoint: EndpointId;
  readonly fence: Fence;
  readonly version: VersionId;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** The state observed after an order. */
export interface OrderDone {
  readonly kind: "order_done";
  readonly endpoint: EndpointId;
  readonly version: VersionId;
  readonly ready: boolean;
  readonly highestFence: Fence;
}

/** What one entry saw of one client account since its last report. */
export interface AccountUsage {
  readonly account: AccountId;
  readonly requests: number;
  readonly tokens: number;
  readonly inFlight: number;
}

/** Usage of accounts, sent to the entry that keeps their totals. */
export interface AccountReports {
  readonly kind: "account_reports";
  readonly entry: string;
  readonly reports: readonly AccountUsage[];
}

/** How much of one account's requests an entry may admit. */
export interface AccountAllowance {
  readonly account: AccountId;
  readonly share: number;
  readonly maxInFlight?: number;
  readonly nextReportMs: number;
}

/** The keeper's answer to a report. */
export interface AccountGrants {
  readonly kind: "account_grants";
  readonly grants: readonly AccountAllowance[];
}

/** Memory that a run, or a copy of one, occupies at an engine. */
export interface Occupancy {
  /** Unique for one gateway process. */
  readonly key: number;
  readonly endpoint: EndpointId;
  readonly route: RouteId;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Output tokens when it was announced. */
  readonly producedTokens: number;
  /** Whether it is a copy, which may be given up for a run. */
  readonly isCopy: boolean;
}

/** What a gateway's runs occupy. */
export interface OccupancyUpdate {
  readonly kind: "occupancy";
  /** Whether this replaces everything announced before. */
  readonly full: boolean;
  readonly changed: readonly Occupancy[];
  readonly ended: readonly number[];
}

/** Where a gateway listens for its peers. */
export interface GatewayAddress {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: DataCentreId;
  /** Cores that the gateway may use; `null` where the sender does not know. */
  readonly processorShare: number | null;
}

/** Gateways that the sender knows. */
export interface KnownGateways {
  readonly kind: "gateways";
  readonly gateways: readonly GatewayAddress[];
}

/** Asks the keeper of a service's copies when and where a run may be copied. */
export interface CopyRequest {
  readonly kind: "copy_request";
  /** Unique for one gateway process. */
  readonly key: number;
  readonly service: ServiceId;
  readonly source: EndpointId;
  readonly route: RouteId;
  readonly promptTokens: number;
  readonly producedTokens: number;
  readonly maxTokens: number;
  /** Engines that have refused the run. */
  readonly refused: readonly EndpointId[];
  /** The engine that holds a copy already, and how many tokens are in it. */
  readonly heldBy: EndpointId | null;
  readonly heldTokens: number;
  /** Whether the copy is made ahead, while the engine stays; others go first. */
  readonly isAhead: boolean;
}

/** The keeper has taken a request in. */
export interface CopyQueued {
  readonly kind: "copy_queued";
  readonly key: number;
}

/** The keeper's leave to copy a run now. */
export interface CopyGrant {
  readonly kind: "copy_grant";
  readonly key: number;
  readonly target: EndpointId;
}

/** The copy is made, or will not be. */
export interface CopyDone {
  readonly kind: "copy_done";
  readonly key: number;
}

/** An endpoint has said that it leaves. */
export interface EndpointLeaving {
  readonly kind: "endpoint_leaving";
  readonly endpoint: EndpointId;
}

/** What a gateway has seen of the versions of a service since it last told. */
export interface VersionCount {
  readonly service: ServiceId;
  readonly version: VersionId;
  readonly route: string;
  readonly loadLevel: "low" | "high";
  readonly requests: number;
  readonly failures: number;
  readonly slowFirstTokens: number;
  readonly gaps: number;
  readonly slowGaps: number;
}

/** Counts for the moves that are open. */
export interface VersionCountsReport {
  readonly kind: "version_counts";
  readonly seq: number;
  readonly counts: readonly VersionCount[];
}

/** The sender stops and takes little more. */
export interface GatewayStopping {
  readonly kind: "gateway_stopping";
}

/** Whether the sender is too slow for new streams. */
export interface GatewayOverload {
  readonly kind: "gateway_overload";
  readonly isOverloaded: boolean;
}

/** Requests that are suspected of crashing endpoints. */
export interface Suspects {
  readonly kind: "suspects";
  readonly suspects: readonly SuspectReport[];
}

/** Asks for what the receiver has read of the store beyond these revisions. */
export interface ViewPull {
  readonly kind: "view_pull";
  readonly revisions: readonly ViewRevision[];
}

/** Revision at which a view of one kind of object holds. */
export interface ViewRevision {
  readonly view: string;
  readonly revision: number;
}

/** What the sender has read of one kind since revision `from`; also sent where nothing has changed. */
export interface ViewChangesReport {
  readonly kind: "view_changes";
  readonly view: string;
  readonly from: number;
  readonly revision: number;
  /** Changed objects and names of removed ones, encoded by the gateway package. */
  readonly events: Uint8Array;
}

/** All objects of one kind, encoded by the gateway package. */
export interface ViewState {
  readonly kind: "view_state";
  readonly view: string;
  readonly revision: number;
  readonly items: Uint8Array;
}

/** Every message that may open a stream. */
export type Opening = Run | Resume | Call | ConfigPull | AccountReports;

/** Every message. */
export type Message =
  | Run
  | Admitted
  | NotRunReply
  | Tokens
  | End
  | Fail
  | Resume
  | Cancel
  | Call
  | BodyChunk
  | ReplyHead
  | LoadReport
  | ConfigPull
  | ConfigPush
  | Evidence
  | Order
  | OrderDone
  | AccountReports
  | AccountGrants
  | OccupancyUpdate
  | KnownGateways
  | CopyRequest
  | CopyQueued
  | CopyGrant
  | CopyDone
  | ViewPull
  | ViewState
  | EndpointLeaving
  | Suspects
  | VersionCountsReport
  | ViewChangesReport
  | GatewayStopping
  | GatewayOverload;
