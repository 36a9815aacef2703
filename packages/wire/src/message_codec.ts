/**
 * Encoding and decoding of messages. On the wire, a message is the number of its kind and an array of its fields.
 *
 * @module
 */
import {
  accountId,
  dataCentreId,
  endpointId,
  fence,
  generationId,
  hostId,
  moveId,
  processId,
  type Refusal,
  REFUSAL_REASONS,
  regionId,
  requestId,
  revision,
  routeId,
  serviceId,
  versionId,
} from "@wisteriapick/core";
import {
  age,
  bytes,
  bytesView,
  count,
  counter,
  type Field,
  flag,
  id,
  list,
  malformed,
  nullable,
  oneOf,
  optional,
  real,
  record,
  text,
  textPair,
} from "./fields.ts";
import type {
  AccountAllowance,
  AccountDemand,
  AccountUsage,
  CacheChange,
  CrashSuspectReport,
  Demand,
  EndpointLoad,
  EvidenceCell,
  GatewayAddress,
  HarmlessReport,
  Hello,
  Message,
  Occupancy,
  QueuedDemand,
  RefusedDemand,
  RunLength,
  ServiceDemand,
  SpeedReportItem,
  StartedDemand,
  SuspectReport,
  UsageWindow,
  VersionCount,
  ViewRevision,
} from "./messages.ts";

/** Kind numbers of the link's own control frames. Message kinds start at {@link FIRST_MESSAGE_KIND}. */
export const FRAME = {
  hello: 0,
  auth: 1,
  refused: 2,
  ping: 3,
  pong: 4,
  credit: 5,
  streamEnd: 6,
  streamAbort: 7,
} as const;

/** Number of the first message kind. */
export const FIRST_MESSAGE_KIND = 16;

type Body<K extends Message["kind"]> = Omit<Extract<Message, { kind: K }>, "kind">;
type Bodies = { readonly [K in Message["kind"]]: Field<Body<K>> };

const endpoint = id(endpointId);
const service = id(serviceId);
const version = id(versionId);
const account = id(accountId);
const gen = id(generationId);
const req = id(requestId);
const rev = counter(revision);
const reason = oneOf(REFUSAL_REASONS);

/** `notRun` has three values on the wire: true, false, "unknown". */
const notRun: Field<Refusal["notRun"]> = {
  encode: (v) => v,
  decode: (v) => v === true || v === false || v === "unknown" ? v : malformed("a notRun value"),
};

const load = record<EndpointLoad>({
  endpoint,
  service,
  version,
  revision: rev,
  running: count,
  queued: count,
  allowance: real,
  kvUsedTokens: real,
  kvTotalTokens: real,
  expectedWaitMs: real,
  leaving: flag,
  seq: count,
});

const demand = record<Demand>({
  queued: optional(list(record<QueuedDemand>({
    service,
    precedence: count,
    startByInMs: real,
    tokens: real,
    tokenMs: real,
    aged: count,
    regions: optional(list(id(regionId))),
  }))),
  started: optional(list(record<StartedDemand>({ service, tokenMs: real }))),
  accounts: optional(list(record<AccountDemand>({ account: text, tokens: real }))),
  refused: optional(
    list(record<RefusedDemand>({
      digest: count,
      inMs: real,
      tokens: real,
      startByInMs: real,
      service: optional(service),
    })),
  ),
});

const refusal = record<Refusal>({
  type: reason,
  message: text,
  notRun,
  retryAfterMs: optional(real),
});

const suspectList = list(record<SuspectReport>({
  digest: text,
  crashIds: list(text),
  remainingMs: real,
  quarantined: flag,
}));

const suspects = optional(suspectList);

const cache = optional(list(record<CacheChange>({
  type: oneOf(["stored", "evicted"]),
  prefix: text,
})));

const evidenceCell = record<EvidenceCell>({
  move: id(moveId),
  version,
  route: text,
  loadLevel: oneOf(["low", "high"]),
  requests: count,
  failures: count,
  slowFirstTokens: real,
  gaps: count,
  slowGaps: real,
});

const usageWindows = list(record<UsageWindow>({
  window: count,
  counts: list(record<UsageWindow["counts"][number]>({ account, requests: count })),
}));

/** The body of a hello frame. */
export const helloBody: Field<Hello> = record<Hello>({
  minVersion: count,
  maxVersion: count,
  role: oneOf(["entry", "side", "operator"]),
  process: id(processId),
  host: id(hostId),
  dataCentre: id(dataCentreId),
  nonce: bytes,
});

// The order is part of the protocol, as a kind's number follows from its position. New kinds are added at the end.
const speedItem = record<SpeedReportItem>({
  endpoint,
  startedAtUnixMs: nullable(real),
  measure: count,
  level: real,
  weight: count,
});

const BODIES: Bodies = {
  run: record<Body<"run">>({
    req,
    gen,
    service,
    version,
    account,
    weight: real,
    route: text,
    priority: real,
    remainingMs: real,
    attempt: count,
    revision: rev,
    prompt: text,
    promptTokens: count,
    prefixes: list(text),
    digest: text,
    maxTokens: count,
    stop: optional(list(text)),
    temperature: optional(real),
    suspectCrashes: optional(count),
  }),
  admitted: record<Body<"admitted">>({ load, about: optional(text) }),
  not_run: record<Body<"not_run">>({
    reason,
    retryAfterMs: optional(real),
    load,
    about: optional(text),
  }),
  tokens: record<Body<"tokens">>({ offset: count, items: list(text), about: optional(text) }),
  end: record<Body<"end">>({
    reason: oneOf(["stop", "length", "cancelled"]),
    promptTokens: count,
    cachedTokens: count,
    completionTokens: count,
    load,
    about: optional(text),
  }),
  fail: record<Body<"fail">>({ refusal, load: optional(load), about: optional(text), suspects }),
  resume: record<Body<"resume">>({ gen, account, offset: count }),
  cancel: record<Body<"cancel">>({ gen, account }),
  call: record<Body<"call">>({
    req,
    service,
    version,
    account,
    weight: real,
    method: text,
    path: text,
    headers: list(textPair),
    repeatable: flag,
    remainingMs: real,
    attempt: count,
    revision: rev,
    digest: text,
    hasBody: optional(flag),
  }),
  body: record<Body<"body">>({
    bytes: bytesView,
    last: flag,
    offset: optional(count),
    about: optional(text),
  }),
  reply_head: record<Body<"reply_head">>({
    status: count,
    headers: list(textPair),
    load,
    about: optional(text),
  }),
  load: record<Body<"load">>({ load, suspects, cache }),
  config_pull: record<Body<"config_pull">>({ from: rev }),
  config_push: record<Body<"config_push">>({
    revision: rev,
    entries: list(bytes),
    snapshot: optional(bytes),
    asOfMs: nullable(age),
    storeUp: flag,
    full: optional(flag),
    watcher: optional(flag),
    ready: optional(flag),
  }),
  evidence: record<Body<"evidence">>({
    process: id(processId),
    seq: count,
    cells: list(evidenceCell),
  }),
  order: record<Body<"order">>({
    endpoint,
    fence: counter(fence),
    version,
    model: text,
    adapters: list(text),
    role: text,
  }),
  order_done: record<Body<"order_done">>({
    endpoint,
    version,
    ready: flag,
    highestFence: counter(fence),
  }),
  account_reports: record<Body<"account_reports">>({
    entry: text,
    reports: list(
      record<AccountUsage>({ account, requests: count, tokens: real, inFlight: count }),
    ),
  }),
  account_grants: record<Body<"account_grants">>({
    grants: list(record<AccountAllowance>({
      account,
      share: real,
      maxInFlight: optional(real),
      nextReportMs: real,
    })),
  }),
  occupancy: record<Body<"occupancy">>({
    full: flag,
    changed: list(record<Occupancy>({
      key: count,
      endpoint,
      route: id(routeId),
      promptTokens: count,
      maxTokens: count,
      producedTokens: count,
      isCopy: flag,
    })),
    ended: list(count),
    demand: optional(demand),
    lengths: optional(list(record<RunLength>({
      route: id(routeId),
      tokens: count,
      isComplete: flag,
      streamingMs: real,
    }))),
  }),
  gateways: record<Body<"gateways">>({
    gateways: list(record<GatewayAddress>({
      name: text,
      host: text,
      port: count,
      dataCentre: id(dataCentreId),
      processorShare: nullable(real),
      linkMbps: nullable(real),
    })),
  }),
  copy_request: record<Body<"copy_request">>({
    key: count,
    service,
    source: endpoint,
    route: id(routeId),
    promptTokens: count,
    producedTokens: count,
    maxTokens: count,
    refused: list(endpoint),
    heldBy: nullable(endpoint),
    heldTokens: count,
    isAhead: flag,
  }),
  copy_grant: record<Body<"copy_grant">>({ key: count, target: endpoint }),
  copy_done: record<Body<"copy_done">>({ key: count }),
  view_pull: record<Body<"view_pull">>({
    revisions: list(record<ViewRevision>({ view: text, revision: count, era: optional(count) })),
  }),
  view_state: record<Body<"view_state">>({ view: text, revision: count, items: bytes }),
  endpoint_leaving: record<Body<"endpoint_leaving">>({ endpoint }),
  suspects: record<Body<"suspects">>({ suspects: suspectList }),
  version_counts: record<Body<"version_counts">>({
    seq: count,
    counts: list(record<VersionCount>({
      service,
      version,
      route: text,
      loadLevel: oneOf(["low", "high"]),
      requests: count,
      failures: count,
      slowFirstTokens: count,
      gaps: count,
      slowGaps: count,
    })),
  }),
  view_changes: record<Body<"view_changes">>({
    view: text,
    from: count,
    revision: count,
    events: bytes,
  }),
  gateway_stopping: record<Body<"gateway_stopping">>({}),
  copy_queued: record<Body<"copy_queued">>({ key: count }),
  gateway_overload: record<Body<"gateway_overload">>({ isOverloaded: flag }),
  view_update: record<Body<"view_update">>({
    view: text,
    origin: text,
    hops: count,
    from: count,
    revision: count,
    ageMs: nullable(age),
    isCompressed: flag,
    changes: bytes,
    era: optional(count),
    version: optional(real),
  }),
  view_request: record<Body<"view_request">>({
    revisions: list(record<ViewRevision>({ view: text, revision: count, era: optional(count) })),
  }),
  gateways_digest: record<Body<"gateways_digest">>({ digest: text }),
  gateways_request: record<Body<"gateways_request">>({}),
  crash_evidence: record<Body<"crash_evidence">>({
    origin: text,
    hops: count,
    suspects: list(record<CrashSuspectReport>({
      crash: text,
      request: text,
      ageMs: age,
      hasBegun: flag,
      isTrial: flag,
      traits: list(text),
    })),
    harmless: list(record<HarmlessReport>({ trait: text, ageMs: age })),
    trials: list(text),
  }),
  crash_evidence_digest: record<Body<"crash_evidence_digest">>({ digest: text }),
  crash_evidence_request: record<Body<"crash_evidence_request">>({}),
  endpoint_limit: record<Body<"endpoint_limit">>({
    origin: text,
    hops: count,
    endpoint,
    requestsPerSecond: nullable(real),
    ageMs: age,
  }),
  permit_request: record<Body<"permit_request">>({
    endpoint,
    requestsPerSecond: real,
    ageMs: age,
    count,
    rank: real,
    isUrgent: flag,
    waitMs: real,
  }),
  permit_grant: record<Body<"permit_grant">>({ endpoint, count, retryInMs: real }),
  config_confirmed: record<Body<"config_confirmed">>({
    origin: text,
    hops: count,
    revision: count,
    ageMs: age,
    clockMs: real,
    clockEpoch: count,
    era: optional(count),
    version: optional(real),
  }),
  clock_question: record<Body<"clock_question">>({ askedAtMs: real }),
  clock_answer: record<Body<"clock_answer">>({
    askedAtMs: real,
    clockMs: real,
    clockEpoch: count,
  }),
  move_ended: record<Body<"move_ended">>({
    service,
    target: version,
    state: oneOf(["completed", "rolled_back"]),
  }),
  speed_report: record<Body<"speed_report">>({ items: list(speedItem) }),
  endpoint_speeds: record<Body<"endpoint_speeds">>({
    origin: text,
    hops: count,
    ageMs: age,
    items: list(speedItem),
  }),
  usage_counts: record<Body<"usage_counts">>({
    incarnation: text,
    windows: usageWindows,
    finished: count,
    wallMs: real,
    asksTime: flag,
  }),
  true_time: record<Body<"true_time">>({ trueMs: real }),
  usage_reported: record<Body<"usage_reported">>({
    type: oneOf(["news", "question", "answer"]),
    fixed: usageWindows,
    accepted: list(count),
  }),
  service_demand: record<Body<"service_demand">>({
    demands: list(record<ServiceDemand>({
      service,
      dataCentre: nullable(id(dataCentreId)),
      requests: count,
    })),
  }),
  request_share_report: record<Body<"request_share_report">>({
    seq: count,
    requestsPerSecond: real,
  }),
  request_share_grant: record<Body<"request_share_grant">>({
    seq: count,
    share: nullable(real),
    isProvisional: flag,
    totalPerSecond: real,
  }),
  endpoint_suspect: record<Body<"endpoint_suspect">>({ endpoint }),
};

const KINDS = Object.keys(BODIES) as Message["kind"][];
const BODY_FIELDS = Object.values(BODIES) as Field<object>[];
const KIND_NUMBERS = new Map(KINDS.map((kind, i) => [kind, FIRST_MESSAGE_KIND + i]));

/** Returns the number of a message's kind. */
export function kindNumber(msg: Message): number {
  return KIND_NUMBERS.get(msg.kind)!;
}

/** Encodes the fields of a message as the body of a frame. */
export function encodeBody(msg: Message): unknown {
  return BODY_FIELDS[KIND_NUMBERS.get(msg.kind)! - FIRST_MESSAGE_KIND]!.encode(msg);
}

/**
 * Decodes and checks a received body.
 *
 * @throws WpFailure of type `link` (`frame_malformed`) if the kind is unknown or a field has the wrong type.
 */
export function decodeMessage(kind: number, body: unknown): Message {
  const index = kind - FIRST_MESSAGE_KIND;
  const field = BODY_FIELDS[index];
  if (field === undefined) return malformed("a known message kind");
  return { kind: KINDS[index]!, ...field.decode(body) } as Message;
}
