/**
 * The duties that one gateway at a time performs for all.
 *
 * @module
 */
import type { AccountId, Clock, Rng, SuspendAwareClock, Undo } from "@wisteriapick/core";
import { UsageLedger, UsageWindows } from "@wisteriapick/policy";
import { runInBackground } from "../observe/background_task.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { PeerGroup } from "../peers/peer_group.ts";
import type { GatewaySettings } from "../settings.ts";
import type { StateStore } from "../state/state_store.ts";
import { AutoscaleDuty, type ScaleSource } from "./autoscale.ts";
import type { CloudCalls } from "./cloud.ts";
import { DutyObject } from "./duty_object.ts";
import { UsageExchange } from "./usage_exchange.ts";
import { UsageReportDuty } from "./usage_report.ts";

/** Options of {@link Duties}. */
export interface DutiesOptions {
  readonly settings: NonNullable<GatewaySettings["duties"]>;
  readonly cloud: CloudCalls;
  readonly scaleSource: ScaleSource;
  readonly store: StateStore;
  readonly network: PeerGroup;
  /** Number of gateways that may be serving, this one included; `null` if no other is known yet, though there are some. */
  readonly gatewayCount: () => number | null;
  readonly clock: Clock;
  readonly elapsed: SuspendAwareClock;
  readonly rng: Rng;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

const SECOND_MS = 1_000;
/** Interval at which counts are sent, and which bounds what the end of a gateway loses. */
const PUBLISH_INTERVAL_MS = 500;
/** Interval at which duties look for what is due. */
const TICK_MS = 200;
/** Share of the time until a report is due for which each candidate waits for the one before it. */
const PATIENCE_SHARE = 0.12;
/** Interval at which candidates learn how many requests there are. */
const DEMAND_INTERVAL_MS = 500;
/** Time for which each candidate for orders of endpoints waits for the one before it, in milliseconds. */
const SCALE_PATIENCE_MS = 1_500;
/** Divides the platform's rate of calls among the candidates, with a part for reports of usage. */
const CALLERS_AT_ONCE = 4;

/** This gateway's part in the duties. */
export class Duties {
  readonly #options: DutiesOptions;
  readonly #usage: { readonly exchange: UsageExchange; readonly duty: UsageReportDuty } | null;
  readonly #autoscale: AutoscaleDuty | null;
  /** Distinguishes the processes that run under one name. */
  readonly #instance: string;
  #undos: Undo[] = [];

  constructor(options: DutiesOptions) {
    this.#options = options;
    const { names } = options.settings;
    const random = Math.floor(options.rng.next() * 2 ** 48).toString(36);
    // Processes that start at the same moment may draw the same random numbers; their names differ.
    this.#instance = `${options.network.name}/${random}`;
    this.#usage = names.includes("usage_report") ? this.#makeUsage() : null;
    this.#autoscale = names.includes("autoscale") ? this.#makeAutoscale() : null;
  }

  /** Whether fewer than half of the gateways that may be serving can be reached, so that others know more. */
  #isCutOff(): boolean {
    const { network, gatewayCount } = this.#options;
    const count = gatewayCount();
    return count === null || 2 * (network.linked().length + 1) < count;
  }

  #makeObject(duty: string, name: string): DutyObject {
    const { settings, network } = this.#options;
    return new DutyObject({
      ...this.#options,
      duty,
      name,
      gateway: network.name,
      instance: this.#instance,
      leaseMs: settings.lease_ms,
    });
  }

  #makeAutoscale(): AutoscaleDuty {
    const { settings, scaleSource } = this.#options;
    return new AutoscaleDuty({
      ...this.#options,
      source: scaleSource,
      isCutOff: () => this.#isCutOff(),
      makeObject: (name) => this.#makeObject("autoscale", name),
      patienceMs: SCALE_PATIENCE_MS,
      callGapMs: CALLERS_AT_ONCE * SECOND_MS / settings.calls_per_second,
    });
  }

  #makeUsage() {
    const { settings, network, clock } = this.#options;
    const lateMs = settings.usage_late_s * SECOND_MS;
    const windows = new UsageWindows({ windowMs: settings.report_window_s * SECOND_MS, lateMs });
    const ledger = new UsageLedger();
    const exchange = new UsageExchange({
      network,
      clock,
      ledger,
      windows,
      incarnation: this.#instance,
    });
    const object = this.#makeObject("usage_report", "usage_report");
    const duty = new UsageReportDuty({
      ...this.#options,
      object,
      exchange,
      ledger,
      windows,
      isCutOff: () => this.#isCutOff(),
      patienceMs: PATIENCE_SHARE * lateMs,
    });
    return { exchange, duty };
  }

  /** Starts to perform duties. */
  start(): void {
    const { clock, log, metrics } = this.#options;
    const inBackground = (duty: string, tick: () => Promise<void>) =>
      clock.setRepeating(TICK_MS, () => runInBackground({ log, metrics }, duty, tick));
    if (this.#usage !== null) {
      const { exchange, duty } = this.#usage;
      this.#undos.push(
        clock.setRepeating(PUBLISH_INTERVAL_MS, () => exchange.publish()),
        inBackground("usage_report", () => duty.tick()),
      );
    }
    const autoscale = this.#autoscale;
    if (autoscale !== null) {
      this.#undos.push(
        clock.setRepeating(DEMAND_INTERVAL_MS, () => autoscale.publish()),
        inBackground("autoscale", () => autoscale.tick()),
      );
    }
  }

  /** Counts a request that began to run. */
  recordBegan(account: AccountId | null, requestId: string): void {
    this.#usage?.exchange.recordBegan(account, requestId);
  }

  /** Sends what was counted last, and ends all duties. The holder of one keeps it until its lease ends. */
  stop(): void {
    for (const undo of this.#undos.splice(0)) undo();
    this.#usage?.exchange.publish();
    this.#usage?.duty.close();
    this.#usage?.exchange.close();
    this.#autoscale?.close();
    this.#options.cloud.close();
  }
}
