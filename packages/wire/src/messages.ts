/**
 * Messages between the processes of the system. Times are in milliseconds; token offsets start at 0.
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
  RegionId,
  RequestId,
  Revision,
  RouteId,
  ServiceId,
  VersionId,
} from "@wisteriapick/core";

/**
 * Oldest and newest protocol version that this build supports. A link closes on a kind of message that it does not
 * know, so kinds that a version adds are sent only on links of that version.
 */
export const PROTOCOL_VERSIONS = { min: 1, max: 6 } as const;

/** Role of a process. */
export type Role = "entry" | "side" | "operator";

/** The first frame that each end of a new connection sends. */
export interface Hello {
  readonly minVersion: number;
  readonly maxVersion: number;
  readonly role: Role;
  readonly process: ProcessId;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly nonce: Uint8Array;
}

/** Load of one endpoint, included in the responses of its side. */
export interface EndpointLoad {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly version: VersionId;
  /** Revision of the configuration that the side applies. */
  readonly revision: Revision;
  readonly running: number;
  readonly queued: number;
  /** Learned limit of the concurrency that the endpoint sustains. */
  readonly allowance: number;
  readonly kvUsedTokens: number;
  readonly kvTotalTokens: number;
  /** Expected time to the first token of a new request. */
  readonly expectedWaitMs: number;
  readonly leaving: boolean;
  /** Increases with each report of one side process, so that receivers can discard reports that arrive late. */
  readonly seq: number;
}

/** A request suspected of crashing endpoints. Times are relative, as the clocks of two processes are never compared. */
export interface SuspectReport {
  readonly digest: string;
  /** Ids of the crashes, so that a crash that is reported over two paths counts once. */
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
  /** Hashes of increasingly long prefixes of the prompt, shortest first. */
  readonly prefixes: readonly string[];
  /** Digest that is the same for each attempt of the request; quarantine identifies the request by it. */
  readonly digest: string;
  readonly maxTokens: number;
  readonly stop?: readonly string[];
  readonly temperature?: number;
  /** Number of endpoint crashes known to the entry during which this request ran at the endpoint. */
  readonly suspectCrashes?: number;
}

/** The side has started the generation, or has queued it with a reserved place. */
export interface Admitted {
  readonly kind: "admitted";
  readonly load: EndpointLoad;
  /** Id of the generation or request that this responds to; the receiver drops a response to another one. */
  readonly about?: string;
}

/** The request did not run at this side. */
export interface NotRunReply {
  readonly kind: "not_run";
  readonly reason: RefusalReason;
  readonly retryAfterMs?: number;
  readonly load: EndpointLoad;
  readonly about?: string;
}

/** Consecutive tokens of a generation, starting at `offset`. */
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

/** Requests the tokens of a generation from `offset` on. */
export interface Resume {
  readonly kind: "resume";
  readonly gen: GenerationId;
  readonly account: AccountId;
  readonly offset: number;
}

/** Cancels a generation immediately. */
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
  /** Whether body bytes follow. The side calls the endpoint only after the first body message, which is always sent. */
  readonly hasBody?: boolean;
}

/** A chunk of a request or response body; an empty chunk with `last` ends the body. */
export interface BodyChunk {
  readonly kind: "body";
  readonly bytes: Uint8Array;
  readonly last: boolean;
  /** Position of the first byte in the complete body, which shows a missing or duplicated chunk. */
  readonly offset?: number;
  readonly about?: string;
}

/** Status and headers of a plain service's response. */
export interface ReplyHead {
  readonly kind: "reply_head";
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly load: EndpointLoad;
  readonly about?: string;
}

/** A prompt prefix that an engine added to or evicted from its prefix cache. */
export interface CacheChange {
  readonly type: "stored" | "evicted";
  readonly prefix: string;
}

/** A load report that the side sends unprompted. */
export interface LoadReport {
  readonly kind: "load";
  readonly load: EndpointLoad;
  /** After a crash of the endpoint, the requests that were running there. */
  readonly suspects?: readonly SuspectReport[];
  /** Prefix cache changes since the last report; they may be delayed and incomplete. */
  readonly cache?: readonly CacheChange[];
}

/** Subscribes to configuration changes after revision `from`. */
export interface ConfigPull {
  readonly kind: "config_pull";
  readonly from: Revision;
}

/** Configuration log entries in order, or a complete snapshot; both are encoded by the control package. */
export interface ConfigPush {
  readonly kind: "config_push";
  readonly revision: Revision;
  /** Encoded log entries with consecutive revisions. */
  readonly entries: readonly Uint8Array[];
  /** Encoded snapshot at `revision`, sent if the log no longer goes back to the receiver's revision. */
  readonly snapshot?: Uint8Array;
  /** Age of the sender's last proof that it is up to date; `null` if it has none. */
  readonly asOfMs: number | null;
  /** Whether the process that issued that proof could reach the store. */
  readonly storeUp: boolean;
  /** The sender accepts no more subscribers, and sends nothing after this message. */
  readonly full?: boolean;
  /** The sender holds a watcher lease. */
  readonly watcher?: boolean;
  /** The sender is ready to serve. The start-up rule does not count responses of processes that are still starting. */
  readonly ready?: boolean;
}

/** Counts that compare the versions of a move, for one version, route and load level. */
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

/** Evidence that a process has gathered since its last report. */
export interface Evidence {
  readonly kind: "evidence";
  readonly process: ProcessId;
  readonly seq: number;
  readonly cells: readonly EvidenceCell[];
}

/** An order to an endpoint. `fence` is the fencing number of the sender's lease. */
export interface Order {
  readonly kind: "order";
  readonly endpoint: EndpointId;
  readonly fence: Fence;
  readonly version: VersionId;
  readonly model: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** The endpoint's state as observed after an order. */
export interface OrderDone {
  readonly kind: "order_done";
  readonly endpoint: EndpointId;
  readonly version: VersionId;
  readonly ready: boolean;
  readonly highestFence: Fence;
}

/** Usage of one client account at one entry since the entry's last report. */
export interface AccountUsage {
  readonly account: AccountId;
  readonly requests: number;
  readonly tokens: number;
  readonly inFlight: number;
}

/** Usage of client accounts, sent to the entry that coordinates their limits. */
export interface AccountReports {
  readonly kind: "account_reports";
  readonly entry: string;
  readonly reports: readonly AccountUsage[];
}

/** The share of a client account's limits that an entry may use. */
export interface AccountAllowance {
  readonly account: AccountId;
  readonly share: number;
  readonly maxInFlight?: number;
  readonly nextReportMs: number;
}

/** The account coordinator's response to a report. */
export interface AccountGrants {
  readonly kind: "account_grants";
  readonly grants: readonly AccountAllowance[];
}

/** KV cache memory that a run, or a copy of one, occupies at an engine. */
export interface Occupancy {
  /** Unique for one gateway process. */
  readonly key: number;
  readonly endpoint: EndpointId;
  readonly route: RouteId;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Output tokens at the time of the announcement. */
  readonly producedTokens: number;
  /** Whether it is a copy; a copy may be discarded to make room for a run. */
  readonly isCopy: boolean;
}

/** Memory that generations in the queue of a gateway need, for one service and one precedence. */
export interface QueuedDemand {
  readonly service: ServiceId;
  /** Place in the order of all gateways; lower ones are served first. */
  readonly precedence: number;
  /** Mean time until their latest start on time, in milliseconds; negative once it has passed. */
  readonly startByInMs: number;
  readonly tokens: number;
  /** Tokens times the time for which they will be occupied, in milliseconds. */
  readonly tokenMs: number;
  /** Number of large ones that have waited so long that smaller ones must not overtake them. */
  readonly aged: number;
  /** Regions whose engines they may use; absent for all, and from builds that do not announce them. */
  readonly regions?: readonly RegionId[];
}

/** Generations that a gateway has started for one service since its process started. */
export interface StartedDemand {
  readonly service: ServiceId;
  /** Tokens times the expected time for which they are occupied, in milliseconds, of those that started on time. */
  readonly tokenMs: number;
}

/** Tokens of the generations that a gateway has started for one client account since its process started. */
export interface AccountDemand {
  readonly account: string;
  readonly tokens: number;
}

/** A generation that a gateway has refused for want of room, whose caller is expected back. */
export interface RefusedDemand {
  /** Digest of the account and the content of the request. */
  readonly digest: number;
  /** Time until the caller comes back, in milliseconds. */
  readonly inMs: number;
  readonly tokens: number;
  /** Time until its latest start on time, measured from its first arrival; negative once it has passed. */
  readonly startByInMs: number;
  /** Service whose engines it needs; absent from builds that do not announce it. */
  readonly service?: ServiceId;
}

/** What the callers of a gateway need of engines. Fields of earlier updates that are absent here stay in force. */
export interface Demand {
  /** Replaces the queue of earlier updates. */
  readonly queued?: readonly QueuedDemand[];
  readonly started?: readonly StartedDemand[];
  readonly accounts?: readonly AccountDemand[];
  readonly refused?: readonly RefusedDemand[];
}

/** Output of a run that has ended. */
export interface RunLength {
  readonly route: RouteId;
  readonly tokens: number;
  /** Whether the run was complete; the output of one that was cut off is only a lower bound. */
  readonly isComplete: boolean;
  /** Time that the output took, in milliseconds; 0 where it is not known. */
  readonly streamingMs: number;
}

/** Memory that the runs of a gateway occupy. */
export interface OccupancyUpdate {
  readonly kind: "occupancy";
  /** Whether this update replaces all earlier ones. */
  readonly full: boolean;
  readonly changed: readonly Occupancy[];
  readonly ended: readonly number[];
  /** Absent if nothing has changed, and from builds that do not announce it. */
  readonly demand?: Demand;
  /**
   * Runs that have ended since the last update; absent if there are none, in full updates, and from builds that do not
   * announce them.
   */
  readonly lengths?: readonly RunLength[];
}

/** Address at which a gateway listens for its peers. */
export interface GatewayAddress {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: DataCentreId;
  /** Processor cores that the gateway may use; `null` if the sender does not know. */
  readonly processorShare: number | null;
  /** Bandwidth of the gateway's link; `null` if the sender does not know. */
  readonly linkMbps: number | null;
}

/** Gateways known to the sender; since protocol version 2 not always all of them. */
export interface KnownGateways {
  readonly kind: "gateways";
  readonly gateways: readonly GatewayAddress[];
}

/** Requests a grant from the service's copy coordinator, which decides when and to which engine a run may be copied. */
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
  /** The engine that already holds a copy, if any; `heldTokens` is the number of tokens in that copy. */
  readonly heldBy: EndpointId | null;
  readonly heldTokens: number;
  /** Whether the copy is proactive: its engine is not leaving, so other copies take precedence. */
  readonly isAhead: boolean;
}

/** The coordinator has queued a request. */
export interface CopyQueued {
  readonly kind: "copy_queued";
  readonly key: number;
}

/** The coordinator's grant to copy a run to `target` now. */
export interface CopyGrant {
  readonly kind: "copy_grant";
  readonly key: number;
  readonly target: EndpointId;
}

/** The copy has been made or abandoned, which releases its grant. */
export interface CopyDone {
  readonly kind: "copy_done";
  readonly key: number;
}

/** Drain notice of an endpoint. */
export interface EndpointLeaving {
  readonly kind: "endpoint_leaving";
  readonly endpoint: EndpointId;
}

/** An endpoint broke off a connection of the sender, which sends it nothing for a while. */
export interface EndpointSuspect {
  readonly kind: "endpoint_suspect";
  readonly endpoint: EndpointId;
}

/** What a gateway has counted for one version of a service since its last report. */
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

/** Counts for the versions of the open moves. */
export interface VersionCountsReport {
  readonly kind: "version_counts";
  readonly seq: number;
  readonly counts: readonly VersionCount[];
}

/** The sender is stopping, and accepts only a little more work. */
export interface GatewayStopping {
  readonly kind: "gateway_stopping";
}

/** Whether the sender is too overloaded to take new streams. */
export interface GatewayOverload {
  readonly kind: "gateway_overload";
  readonly isOverloaded: boolean;
}

/** Requests suspected of crashing endpoints. Sent in protocol versions 1 and 2 only. */
export interface Suspects {
  readonly kind: "suspects";
  readonly suspects: readonly SuspectReport[];
}

/** Protocol version 1 only; gateways of version 2 ignore it. */
export interface ViewPull {
  readonly kind: "view_pull";
  readonly revisions: readonly ViewRevision[];
}

/** The store revision that a view of one kind of object reflects. */
export interface ViewRevision {
  readonly view: string;
  readonly revision: number;
  /** The store's era of the revision; absent if the store names none. Since protocol version 5. */
  readonly era?: number;
}

/** Protocol version 1 only; gateways of version 2 ignore it. */
export interface ViewChangesReport {
  readonly kind: "view_changes";
  readonly view: string;
  readonly from: number;
  readonly revision: number;
  /** Changed objects and the names of removed ones, encoded by the gateway package. */
  readonly events: Uint8Array;
}

/** Protocol version 1 only; gateways of version 2 ignore it. */
export interface ViewState {
  readonly kind: "view_state";
  readonly view: string;
  readonly revision: number;
  readonly items: Uint8Array;
}

/**
 * What has changed in the sender's view of one kind of object, or that nothing has. Since protocol version 2.
 */
export interface ViewUpdate {
  readonly kind: "view_update";
  readonly view: string;
  /** Name of the gateway that read this from the store. */
  readonly origin: string;
  /** Number of gateways that have passed this on. */
  readonly hops: number;
  /** Store revision of the view to which the changes apply; 0 if they apply to any. */
  readonly from: number;
  /** Store revision of the sender's view; 0 if it has none. */
  readonly revision: number;
  /** Time since the origin read it, in milliseconds; `null` if the sender does not know. */
  readonly ageMs: number | null;
  readonly isCompressed: boolean;
  /** The changes, encoded by the gateway package; empty if there are none. */
  readonly changes: Uint8Array;
  /** The store's era of the revisions; absent if the store names none. Since protocol version 5. */
  readonly era?: number;
  /** The greatest version of a configuration that the sender has, in updates of that kind. Since protocol version 5. */
  readonly version?: number;
}

/** Requests a {@link ViewUpdate} for each given view. Since protocol version 2. */
export interface ViewRequest {
  readonly kind: "view_request";
  /** Revisions of the sender's views; 0 for a view whose whole content is requested. */
  readonly revisions: readonly ViewRevision[];
}

/** Digest of the gateways known to the sender. Since protocol version 2. */
export interface GatewaysDigest {
  readonly kind: "gateways_digest";
  readonly digest: string;
}

/** Requests {@link KnownGateways}. Since protocol version 2. */
export interface GatewaysRequest {
  readonly kind: "gateways_request";
}

/** A request that may have caused a crash, by what it shares with other requests. */
export interface CrashSuspectReport {
  /** Identifies the crash, the same for all requests at it. */
  readonly crash: string;
  readonly request: string;
  readonly ageMs: number;
  /** Whether the endpoint had begun its response. */
  readonly hasBegun: boolean;
  /** Whether the request ran as a trial of a suspected trait. */
  readonly isTrial: boolean;
  readonly traits: readonly string[];
}

/** The last time at which a request with a trait began to run well, in milliseconds before now. */
export interface HarmlessReport {
  readonly trait: string;
  readonly ageMs: number;
}

/** Crashes and what clears requests of them. Since protocol version 3. */
export interface CrashEvidence {
  readonly kind: "crash_evidence";
  /** Name of the gateway from which the evidence comes; empty in a response to a request, which is not passed on. */
  readonly origin: string;
  /** Number of gateways that have passed this on. */
  readonly hops: number;
  readonly suspects: readonly CrashSuspectReport[];
  readonly harmless: readonly HarmlessReport[];
  /** Suspected traits of which a trial has begun. */
  readonly trials: readonly string[];
}

/** Digest of the crashes known to the sender. Since protocol version 3. */
export interface CrashEvidenceDigest {
  readonly kind: "crash_evidence_digest";
  readonly digest: string;
}

/** Requests {@link CrashEvidence}. Since protocol version 3. */
export interface CrashEvidenceRequest {
  readonly kind: "crash_evidence_request";
}

/** The limit that an endpoint names for the requests of all gateways together, or its end. Since protocol version 3. */
export interface EndpointLimit {
  readonly kind: "endpoint_limit";
  /** Name of the gateway that read it from a response. */
  readonly origin: string;
  /** Number of gateways that have passed this on. */
  readonly hops: number;
  readonly endpoint: EndpointId;
  /** `null` if the endpoint no longer names a limit. */
  readonly requestsPerSecond: number | null;
  /** Time since the origin read it, in milliseconds. */
  readonly ageMs: number;
}

/** Asks the gateway that issues them for permits to send requests to a limited endpoint. Since protocol version 3. */
export interface PermitRequest {
  readonly kind: "permit_request";
  readonly endpoint: EndpointId;
  /** The limit as the sender knows it, and the time since it was read from a response, in milliseconds. */
  readonly requestsPerSecond: number;
  readonly ageMs: number;
  readonly count: number;
  /** Rank of the sender's most urgent request. */
  readonly rank: number;
  /** Whether a run that has begun needs the permit to go on. */
  readonly isUrgent: boolean;
  /** Time for which the sender waits, in milliseconds. */
  readonly waitMs: number;
}

/** Answers a {@link PermitRequest}. Since protocol version 3. */
export interface PermitGrant {
  readonly kind: "permit_grant";
  readonly endpoint: EndpointId;
  /** Number of permits; 0 if there are none. */
  readonly count: number;
  /** Time after which it is worth to ask again, in milliseconds. */
  readonly retryInMs: number;
}

/**
 * Confirms a view of the configuration: at the store, nothing newer than `revision` was there `ageMs` ago. Since protocol
 * version 4.
 */
export interface ConfigConfirmed {
  readonly kind: "config_confirmed";
  /** Name of the gateway that read this from the store. */
  readonly origin: string;
  /** Number of gateways that have passed this on. */
  readonly hops: number;
  readonly revision: number;
  /** Time since the store was asked, in milliseconds. */
  readonly ageMs: number;
  /** The sender's clock as it sends this, from which the receiver bounds how long this was on its way. */
  readonly clockMs: number;
  readonly clockEpoch: number;
  /** The store's era of the revision; absent if the store names none. Since protocol version 5. */
  readonly era?: number;
  /** The version of the configuration that is confirmed. Since protocol version 5. */
  readonly version?: number;
}

/** Asks for a {@link ClockAnswer}. Since protocol version 4. */
export interface ClockQuestion {
  readonly kind: "clock_question";
  /** The sender's clock, which the answer contains. */
  readonly askedAtMs: number;
}

/** The sender's clock. Since protocol version 4. */
export interface ClockAnswer {
  readonly kind: "clock_answer";
  readonly askedAtMs: number;
  readonly clockMs: number;
  /** Changes when the clock was put forward. */
  readonly clockEpoch: number;
}

/** The end of a version move, which the store showed before it was restored. Since protocol version 5. */
export interface MoveEnded {
  readonly kind: "move_ended";
  readonly service: ServiceId;
  readonly target: VersionId;
  readonly state: "completed" | "rolled_back";
}

/** What a gateway has measured of the speed of one process of an endpoint. */
export interface SpeedReportItem {
  readonly endpoint: EndpointId;
  /** Unix time of the endpoint's start; `null` if not known. */
  readonly startedAtUnixMs: number | null;
  /** Number of the measure. */
  readonly measure: number;
  /** Logarithm of the measured time in relation to the assumed one, in hundredths. */
  readonly level: number;
  /** Weight of the evidence, in tenths. */
  readonly weight: number;
}

/** What the sender has measured, for the gateway that pools it. Since protocol version 6. */
export interface SpeedReport {
  readonly kind: "speed_report";
  readonly items: readonly SpeedReportItem[];
}

/** What all gateways together have measured. Since protocol version 6. */
export interface PooledSpeeds {
  readonly kind: "endpoint_speeds";
  /** Name of the gateway that pooled it. */
  readonly origin: string;
  /** Number of gateways that have passed this on. */
  readonly hops: number;
  /** Time since it was pooled, in milliseconds. */
  readonly ageMs: number;
  readonly items: readonly SpeedReportItem[];
}

/** Requests of one client account that began to run. */
export interface UsageCount {
  readonly account: AccountId;
  readonly requests: number;
}

/** Requests that began to run in one window of time. */
export interface UsageWindow {
  /** Windows are numbered from the start of 1970. */
  readonly window: number;
  readonly counts: readonly UsageCount[];
}

/** What the sender has counted, cumulative for each window. Since protocol version 6. */
export interface UsageCountsReport {
  readonly kind: "usage_counts";
  /** Differs between the processes that run under one name. */
  readonly incarnation: string;
  readonly windows: readonly UsageWindow[];
  /** The newest window in which the sender counts nothing more. */
  readonly finished: number;
  /** The sender's time of day, in Unix milliseconds. */
  readonly wallMs: number;
  /** Whether a {@link TrueTimeReading} is requested. */
  readonly asksTime: boolean;
}

/** The time of day by the median of the clocks that the sender knows, in Unix milliseconds. Since protocol version 6. */
export interface TrueTimeReading {
  readonly kind: "true_time";
  readonly trueMs: number;
}

/** What the holder of the duty of usage reports has written and sent. Since protocol version 6. */
export interface UsageReported {
  readonly kind: "usage_reported";
  /**
   * `news` after a write or a call; `question` where the store may have lost what others have written, which each of them
   * tells in an `answer`.
   */
  readonly type: "news" | "question" | "answer";
  /** Windows whose counts were written to the store. */
  readonly fixed: readonly UsageWindow[];
  /** Windows whose reports the platform has accepted, or refused for good. */
  readonly accepted: readonly number[];
}

/** Requests of one service at the sender. */
export interface ServiceDemand {
  readonly service: ServiceId;
  /** Data centre of the endpoints that run them; `null` for requests that wait for an endpoint. */
  readonly dataCentre: DataCentreId | null;
  readonly requests: number;
}

/** The sender's requests for services that the platform scales. Since protocol version 6. */
export interface ServiceDemandReport {
  readonly kind: "service_demand";
  readonly demands: readonly ServiceDemand[];
}

/** The requests that the sender gets. Since protocol version 6. */
export interface RequestShareReport {
  readonly kind: "request_share_report";
  readonly seq: number;
  readonly requestsPerSecond: number;
}

/** Answers a {@link RequestShareReport}. Since protocol version 6. */
export interface RequestShareGrant {
  readonly kind: "request_share_grant";
  readonly seq: number;
  /** Share of what all gateways have together; `null` if the sender grants none now. */
  readonly share: number | null;
  readonly isProvisional: boolean;
  /** Requests per second of all gateways that have reported lately, the receiver included. */
  readonly totalPerSecond: number;
}

/** Messages that may open a stream. */
export type Opening = Run | Resume | Call | ConfigPull | AccountReports;

/** All messages. */
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
  | EndpointSuspect
  | Suspects
  | VersionCountsReport
  | ViewChangesReport
  | GatewayStopping
  | GatewayOverload
  | ViewUpdate
  | ViewRequest
  | GatewaysDigest
  | GatewaysRequest
  | CrashEvidence
  | CrashEvidenceDigest
  | CrashEvidenceRequest
  | EndpointLimit
  | PermitRequest
  | PermitGrant
  | ConfigConfirmed
  | ClockQuestion
  | ClockAnswer
  | MoveEnded
  | SpeedReport
  | PooledSpeeds
  | UsageCountsReport
  | TrueTimeReading
  | UsageReported
  | ServiceDemandReport
  | RequestShareReport
  | RequestShareGrant;
