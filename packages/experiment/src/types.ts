/**
 * Data types of an experiment: jobs, endpoints, disturbances and results.
 *
 * @module
 */
import type { AccountId, DataCentreId, EndpointId, ServiceId } from "@wisteriapick/core";
import type { EngineOptions, PrefixSpec } from "@wisteriapick/standins";

/** One request of the open-loop load. `outputTokens` and `poison` are hidden from the policies. */
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
  /** Whether tokens are streamed to the caller; otherwise the response is buffered until it is complete. */
  readonly streamed: boolean;
}

/** One class of work. */
export interface WorkKind {
  readonly kind: string;
  readonly service: ServiceId;
  /** Share of the requests of its service. */
  readonly share: number;
  readonly medianTokens: number;
  /** Standard deviation of the logarithm of the output length. */
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
  /** Time at which the endpoint joins the fleet; 0 by default. */
  readonly joinsAtMs?: number;
}

/** A fault or change at an endpoint. Only the product is notified, and only of a reclaim. */
export interface Disturbance {
  readonly atMs: number;
  readonly endpoint: EndpointId;
  readonly type: "turn_cold" | "kill" | "reclaim" | "link_stall" | "side_restart" | "reports_stop";
  /** Duration of a stall or of missing reports, or time between the notice and the end of a reclaimed engine. */
  readonly ms?: number;
  /** Entry whose link stalls. */
  readonly entry?: number;
}

/** One scenario with its jobs and disturbances as drawn from the seed. */
export interface Setup {
  readonly scenario: string;
  readonly seed: number;
  readonly load: number;
  readonly entries: number;
  /** Arrivals end at this time; requests in progress then run to their end. */
  readonly arrivalMs: number;
  readonly endpoints: readonly EndpointSpec[];
  readonly jobs: readonly Job[];
  readonly disturbances: readonly Disturbance[];
  /** Interval of load reports to entries, and their delay on the way. */
  readonly reportIntervalMs: number;
  readonly reportLagMs: number;
  /** Time after which a crashed engine restarts, cold. */
  readonly restartMs: number;
  /** Time after which the caller of a poison request sends it again, and the number of times that it does. */
  readonly resend: { readonly ms: number; readonly times: number };
}

/** Quantiles of one measure, in its unit. */
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

/** Outcome of one group of requests. Refusals are counted, as refusing work improves the other figures. */
export interface GroupOutcome {
  readonly offered: number;
  readonly completed: number;
  readonly refused: number;
  readonly failed: number;
  readonly refused_share: number;
  readonly stall_p99_ms: number;
}

/** Counts of violations of the rule that each request gets exactly one complete response, and of engine crashes. */
export interface Integrity {
  readonly lost: number;
  readonly duplicated: number;
  readonly spliced: number;
  readonly crashes: number;
  readonly poison_crashes: number;
}

/** Results of one policy in one run. */
export interface PolicyResult {
  readonly measures: Measures;
  readonly byKind: Record<string, GroupOutcome>;
  readonly byAccount: Record<string, GroupOutcome>;
  readonly integrity: Integrity;
  readonly refusals: Record<string, number>;
  /** Total stall of each completed request. */
  readonly stalls: readonly { readonly account: string; readonly stallMs: number }[];
}
