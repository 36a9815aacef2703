/**
 * Counters and latency histograms of a gateway.
 *
 * @module
 */
import type { RefusalReason } from "@wisteriapick/core";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { StorePosition } from "../state/store_position.ts";
import { readResidentBytes } from "./memory_monitor.ts";

/** Outcome of a caller's request. */
export type RequestOutcome = "answered" | "endpoint_failure" | "rejected" | "cut" | "caller_left";

/**
 * Why a generation was refused while it was queued: `no_room` where the forecast showed no start in time;
 * `not_startable` where something else than room kept it from an engine until its latest start.
 */
export type EngineRefusalCause = "no_room" | "not_startable";

/** Where a gateway's view of one kind of object stands. */
export interface ViewPosition extends StorePosition {
  readonly kind: string;
}

/** The learned speed of one endpoint. */
export interface SpeedFigures {
  readonly endpoint: string;
  readonly speed: number;
  readonly weight: number;
}

/** Upper bounds of latency buckets: from the fastest plain call to the longest generation. */
const LATENCY_BUCKETS_S = [0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 40];
/** Upper bounds of buckets for gaps between events. */
const GAP_BUCKETS_S = [0.02, 0.04, 0.06, 0.08, 0.1, 0.14, 0.18, 0.25, 0.5, 1, 2];

/** Accounts with a label of their own; a deployment may have thousands. */
const MAX_ACCOUNT_LABELS = 256;
const OTHER_ACCOUNTS = "others";

/** The metrics of one gateway process. */
export class GatewayMetrics {
  readonly registry = new Registry();
  readonly #requests: Counter<"route" | "outcome">;
  readonly #rejections: Counter<"reason">;
  readonly #attempts: Counter<"outcome">;
  readonly #repeats: Counter<"service" | "reason">;
  readonly #deniedRepeats: Counter<"service" | "reason">;
  #countGateways: () => number = () => 0;
  #viewPositions: () => readonly ViewPosition[] = () => [];
  #speeds: () => readonly SpeedFigures[] = () => [];
  #bufferedBytes: () => Readonly<Record<string, number>> = () => ({});
  readonly #copies: Counter<"outcome">;
  readonly #storeCalls: Counter<"call" | "outcome">;
  readonly #storeBytes: Counter<"kind">;
  readonly #peerBytes: Counter<"direction" | "message">;
  readonly #peerQueue: Gauge<string>;
  readonly #latency: Histogram<"route">;
  readonly #firstEvent: Histogram<"route">;
  readonly #gaps: Histogram<string>;
  readonly #crashSuspects: Counter<"response">;
  readonly #refusedTraits: Gauge<string>;
  readonly #permits: Counter<"outcome">;
  readonly #containedErrors: Counter<"unit">;
  readonly #limitedEndpoints: Gauge<string>;
  readonly #callerLimits: Counter<"event">;
  readonly #configAge: Gauge<string>;
  readonly #queued: Gauge<string>;
  readonly #running: Gauge<string>;
  readonly #engineRefusals: Counter<"account" | "cause">;
  readonly #reservedTokens: Gauge<string>;
  readonly #startForecast: Gauge<string>;
  readonly #refusedAccounts = new Set<string>();
  readonly #usageReports: Counter<"outcome">;
  readonly #scaleOrders: Counter<"outcome">;
  readonly #dutyHeld: Gauge<"duty" | "object">;

  constructor() {
    const registers = [this.registry];
    const counter = <L extends string>(name: string, help: string, labelNames: L[]) =>
      new Counter<L>({ name: `wisteriapick_${name}`, help, labelNames, registers });
    this.#requests = counter("requests_total", "Requests by route and outcome", [
      "route",
      "outcome",
    ]);
    this.#rejections = counter("rejections_total", "Requests answered by the gateway itself", [
      "reason",
    ]);
    this.#attempts = counter("attempts_total", "Requests sent to endpoints", ["outcome"]);
    this.#repeats = counter("repeats_total", "Requests sent once more", ["service", "reason"]);
    this.#deniedRepeats = counter(
      "repeats_denied_total",
      "Requests not sent once more, as the retry budget was exhausted",
      ["service", "reason"],
    );
    this.#copies = counter("run_copies_total", "Copies of running requests", ["outcome"]);
    this.#storeCalls = counter("store_calls_total", "Calls to the store", ["call", "outcome"]);
    this.#storeBytes = counter("store_read_bytes_total", "Bytes of the store's responses", [
      "kind",
    ]);
    this.#peerBytes = counter("peer_bytes_total", "Bytes of messages between gateways", [
      "direction",
      "message",
    ]);
    this.#crashSuspects = counter(
      "crash_suspects_total",
      "Requests at crashes of endpoints, by whether the response had begun",
      ["response"],
    );
    this.#permits = counter("permits_total", "Permits for requests to limited endpoints", [
      "outcome",
    ]);
    this.#containedErrors = counter(
      "contained_errors_total",
      "Unexpected errors that ended one unit of work",
      ["unit"],
    );
    this.#latency = new Histogram({
      name: "wisteriapick_request_seconds",
      help: "Time from arrival to the end of the response",
      labelNames: ["route"],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.#firstEvent = new Histogram({
      name: "wisteriapick_first_event_seconds",
      help: "Time from arrival to the first event of a stream",
      labelNames: ["route"],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.#gaps = new Histogram({
      name: "wisteriapick_event_gap_seconds",
      help: "Longest gap between events of a stream",
      buckets: GAP_BUCKETS_S,
      registers,
    });
    const gauge = (name: string, help: string) =>
      new Gauge({ name: `wisteriapick_${name}`, help, registers });
    this.#peerQueue = gauge("peer_queued_bytes", "Bytes that wait to be sent to other gateways");
    this.#refusedTraits = gauge(
      "refused_traits",
      "What requests have in common that crashes endpoints",
    );
    this.#limitedEndpoints = gauge("limited_endpoints", "Endpoints that name a limit on requests");
    this.#configAge = gauge(
      "config_age_seconds",
      "Time since the configuration in force was last known to be the newest one",
    );
    const viewGauge = (name: string, help: string, valueOf: (view: ViewPosition) => number) => {
      const viewPositions = () => this.#viewPositions();
      new Gauge({
        name: `wisteriapick_${name}`,
        help,
        labelNames: ["kind"],
        registers,
        collect() {
          for (const view of viewPositions()) this.set({ kind: view.kind }, valueOf(view));
        },
      });
    };
    viewGauge("store_view_era", "The store's era of the view of a kind", ({ era }) => era);
    viewGauge("store_view_revision", "Store revision of the view of a kind", (v) => v.revision);
    const countGateways = () => this.#countGateways();
    new Gauge({
      name: "wisteriapick_retry_budget_gateways",
      help: "Gateways among which the fixed part of the retry budgets is divided; 0 if unknown",
      registers,
      collect() {
        this.set(countGateways());
      },
    });
    new Gauge({
      name: "wisteriapick_resident_bytes",
      help: "Resident memory of the process",
      registers,
      collect() {
        this.set(readResidentBytes() ?? NaN);
      },
    });
    const bufferedBytes = () => this.#bufferedBytes();
    new Gauge({
      name: "wisteriapick_buffered_bytes",
      help: "Bytes that are held for requests, by what they belong to",
      labelNames: ["kind"],
      registers,
      collect() {
        for (const [kind, bytes] of Object.entries(bufferedBytes())) this.set({ kind }, bytes);
      },
    });
    const speedGauge = (name: string, help: string, valueOf: (speed: SpeedFigures) => number) => {
      const speeds = () => this.#speeds();
      new Gauge({
        name: `wisteriapick_${name}`,
        help,
        labelNames: ["endpoint"],
        registers,
        collect() {
          // Endpoints that have ended are left out.
          this.reset();
          for (const speed of speeds()) this.set({ endpoint: speed.endpoint }, valueOf(speed));
        },
      });
    };
    speedGauge("endpoint_speed", "Speed relative to the other endpoints", ({ speed }) => speed);
    speedGauge("endpoint_speed_weight", "Weight of the evidence of a speed", (s) => s.weight);
    this.#queued = gauge("waiting_requests", "Requests that wait for an engine");
    this.#running = gauge("running_streams", "Streams under way");
    this.#engineRefusals = counter(
      "engine_refusals_total",
      "Generations refused while they were queued for an engine",
      ["account", "cause"],
    );
    this.#startForecast = gauge(
      "engine_start_forecast_seconds",
      "Forecast time until a place for the queued generation judged last; 0 if none waits, NaN if none is in sight",
    );
    this.#reservedTokens = gauge(
      "engine_reserved_tokens",
      "Memory of engines kept free for runs that leave others, in tokens",
    );
    this.#usageReports = counter(
      "usage_reports_total",
      "Usage reports sent, by how the platform took them; late ones were accepted after they were due",
      ["outcome"],
    );
    this.#scaleOrders = counter(
      "scale_orders_total",
      "Orders of endpoints sent, by how the platform took them",
      ["outcome"],
    );
    this.#dutyHeld = new Gauge({
      name: "wisteriapick_duty_held_since_seconds",
      help: "Unix time since which this gateway holds a duty",
      labelNames: ["duty", "object"],
      registers,
    });
    this.#callerLimits = counter(
      "caller_limits_total",
      "Connections and bodies of callers that were paused, closed or refused for what they hold",
      ["event"],
    );
  }

  countRequest(route: string, outcome: RequestOutcome, ms: number): void {
    this.#requests.inc({ route, outcome });
    this.#latency.observe({ route }, ms / 1_000);
  }

  countRejection(reason: RefusalReason): void {
    this.#rejections.inc({ reason });
  }

  countAttempt(outcome: string): void {
    this.#attempts.inc({ outcome });
  }

  /** Counts a request that is sent once more to an endpoint of a service. */
  countRepeat(service: string, reason: string): void {
    this.#repeats.inc({ service, reason });
  }

  /** Counts a request that is not sent once more, as the retry budget is exhausted. */
  countDeniedRepeat(service: string, reason: string): void {
    this.#deniedRepeats.inc({ service, reason });
  }

  /** Sets how the gateways that share the retry budgets are counted when the metrics are read. */
  setGatewayCounter(count: () => number): void {
    this.#countGateways = count;
  }

  /** Sets how the positions of the store views are found when the metrics are read. */
  setViewPositions(viewPositions: () => readonly ViewPosition[]): void {
    this.#viewPositions = viewPositions;
  }

  /** Sets how the learned speeds are found when the metrics are read. */
  setSpeedSource(speeds: () => readonly SpeedFigures[]): void {
    this.#speeds = speeds;
  }

  /** Sets how buffered bytes are counted, by kind, when the metrics are read. */
  setBufferCounter(count: () => Readonly<Record<string, number>>): void {
    this.#bufferedBytes = count;
  }

  countCrashSuspect(hasBegun: boolean): void {
    this.#crashSuspects.inc({ response: hasBegun ? "begun" : "none" });
  }

  setRefusedTraits(count: number): void {
    this.#refusedTraits.set(count);
  }

  countPermit(outcome: "granted" | "refused" | "used" | "missing", count = 1): void {
    this.#permits.inc({ outcome }, count);
  }

  /** Counts an unexpected error that ended a unit of work. */
  countContainedError(unit: string): void {
    this.#containedErrors.inc({ unit });
  }

  setLimitedEndpoints(count: number): void {
    this.#limitedEndpoints.set(count);
  }

  setConfigAge(ms: number): void {
    this.#configAge.set(ms / 1_000);
  }

  countCopy(outcome: string): void {
    this.#copies.inc({ outcome });
  }

  countStoreCall(call: string, outcome: string): void {
    this.#storeCalls.inc({ call, outcome });
  }

  countStoreBytes(kind: string, bytes: number): void {
    this.#storeBytes.inc({ kind }, bytes);
  }

  countPeerBytes(direction: "sent" | "received", message: string, bytes: number): void {
    this.#peerBytes.inc({ direction, message }, bytes);
  }

  setPeerQueue(bytes: number): void {
    this.#peerQueue.set(bytes);
  }

  observeFirstEvent(route: string, ms: number): void {
    this.#firstEvent.observe({ route }, ms / 1_000);
  }

  observeLongestGap(ms: number): void {
    this.#gaps.observe(ms / 1_000);
  }

  setEngineLoad(queued: number, running: number): void {
    this.#queued.set(queued);
    this.#running.set(running);
  }

  /** Counts a generation that was refused while it was queued for an engine. */
  countEngineRefusal(account: string, cause: EngineRefusalCause): void {
    if (this.#refusedAccounts.size < MAX_ACCOUNT_LABELS) this.#refusedAccounts.add(account);
    const label = this.#refusedAccounts.has(account) ? account : OTHER_ACCOUNTS;
    this.#engineRefusals.inc({ account: label, cause });
  }

  /** Sets the time until a place for a queued generation; `null` if none is in sight. */
  setStartForecast(ms: number | null): void {
    this.#startForecast.set(ms === null ? NaN : ms / 1_000);
  }

  setReservedTokens(tokens: number): void {
    this.#reservedTokens.set(tokens);
  }

  /** Counts a usage report by how the platform took it. */
  countUsageReport(outcome: string): void {
    this.#usageReports.inc({ outcome });
  }

  /** Counts an order of endpoints by how the platform took it. */
  countScaleOrder(outcome: string): void {
    this.#scaleOrders.inc({ outcome });
  }

  /** Sets since when this gateway holds a duty, in Unix milliseconds; `null` if it does not. */
  setDutyHeld(duty: string, object: string, sinceUnixMs: number | null): void {
    if (sinceUnixMs === null) this.#dutyHeld.remove({ duty, object });
    else this.#dutyHeld.set({ duty, object }, sinceUnixMs / 1_000);
  }

  /** Counts a connection or a body of a caller that observes no limits, by what was done. */
  countCallerLimit(event: string): void {
    this.#callerLimits.inc({ event });
  }

  /** The metrics in the text format of Prometheus. */
  text(): Promise<string> {
    return this.registry.metrics();
  }
}
