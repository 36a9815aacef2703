/**
 * Plain data of an experiment: jobs, fleets, disturbances and results.
 *
 * @module
 */
import type { AccountId, DataCentreId, EndpointId, ServiceId } from "@wisteriapick/core";
import type { EngineOptions, PrefixSpec } from "@wisteriapick/standins";

/** One request of the open-loop load. Policies never see `outputTokens` or `poison`. */
export interface Job {
  readonly index: number;
  readonly atMs: number;
  readonly entry: number;
  readonly service: ServiceId;
  readonly account: AccountId;
  /** Class of work in the report, for example `tag` or `draft`. */
  readonly kind: string;
  readonly promptTokens: number;
  readonly prefixes: readonly PrefixSpec[];
  readonly outputTokens: number;
  readonly digest: string;
  readonly poison: boolean;
  /** Whether tokens go to the caller at once; otherwise the answer is held back until it is whole. */
  readonly streamed: boolean;
}

/** One class of work. */
export interface WorkKind {
  readonly kind: string;
  readonly service: ServiceId;
  /** Share of the requests of its service. */
  readonly share: number;
  readonly medianTokens: number;
  /** Spread of the logarithm of the length. */
  readonly sigma: number;
  readonly maxTokens: number;
  readonly promptTokens: number;
  readonly accounts: readonly AccountWeight[];
  /** Shared prompt prefixes to draw from, and their length in tokens. */
  readonly sharedPrefixes?: { readonly count: number; readonly tokens: number };
}

/** An account with its share of the requests of a kind. */
export interface AccountWeight {
  readonly account: AccountId;
  readonly share: number;
}

/** One endpoint of the fleet. */
export interface EndpointSpec {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly engine: EngineOptions;
  /** Joins the fleet at this time; 0 by default. */
  readonly joinsAtMs?: number;
}

/** Something that happens to an endpoint, without notice to any policy unless stated. */
export interface Disturbance {
  readonly atMs: number;
  readonly endpoint: EndpointId;
  readonly type: "turn_cold" | "kill" | "reclaim" | "link_stall" | "side_restart" | "reports_stop";
  /** Length of a stall, of missing reports, or the notice before a reclaim. */
  readonly ms?: number;
  /** Entry whose link stalls. */
  readonly entry?: number;
}

/** One scenario with everything drawn from its seed. */
export interface Setup {
  readonly scenario: string;
  readonly seed: number;
  readonly load: number;
  readonly entries: number;
  /** Arrivals end at this time; what runs is then finished. */
  readonly arrivalMs: number;
  readonly endpoints: readonly EndpointSpec[];
  readonly jobs: readonly Job[];
  readonly disturbances: readonly Disturbance[];
  /** Interval and further age of load reports to entries. */
  readonly reportIntervalMs: number;
  readonly reportLagMs: number;
  /** A dead engine starts again, cold, after this time. */
  readonly restartMs: number;
  /** Time after which the caller of a poisonous request sends it again, and how often. */
  readonly resend: { readonly ms: number; readonly times: number };
}

/** Quantiles of one measure. */
export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** The measures of one policy. */
export interface Measures {
  readonly first_token_ms: Quantiles;
  readonly stall_ms: Quantiles;
  readonly token_gap_ms: Quantiles;
  readonly preemptions_per_1000: number;
  readonly cold_overloads: number;
  readonly completed: number;
  readonly refused: number;
  readonly failed: number;
  readonly goodput_tokens_per_s: number;
}

/** Outcome of one group of requests, so that refusals cannot flatter the figures. */
export interface GroupOutcome {
  readonly offered: number;
  readonly completed: number;
  readonly refused: number;
  readonly failed: number;
  readonly refused_share: number;
  readonly stall_p99_ms: number;
}

/** Whether every request came to exactly one whole answer. */
export interface Integrity {
  readonly lost: number;
  readonly duplicated: number;
  readonly spliced: number;
  readonly crashes: number;
  readonly poison_crashes: number;
}

/** Everything about one policy in one run. */
export interface PolicyResult {
  readonly measures: Measures;
  readonly byKind: Record<string, GroupOutcome>;
  readonly byAccount: Record<string, GroupOutcome>;
  readonly integrity: Integrity;
  readonly refusals: Record<string, number>;
  /** Stall of each completed request. */
  readonly stalls: readonly { readonly account: string; readonly stallMs: number }[];
}
