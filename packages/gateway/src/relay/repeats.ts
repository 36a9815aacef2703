/**
 * Sends of requests that have reached an endpoint before, within the retry budget.
 *
 * @module
 */
import type { Clock, ServiceId } from "@wisteriapick/core";
import type { RetryBudget } from "@wisteriapick/policy";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";

/** Options of {@link Repeats}. */
export interface RepeatsOptions {
  readonly budget: RetryBudget;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Number of gateways that share the budget, this one included. */
  readonly gatewayCount: () => number;
}

/** A request that is about to be sent once more. */
export interface Repeat {
  readonly requestId: string;
  /** The service to which it goes. */
  readonly service: ServiceId;
  readonly reason: string;
}

/** Takes repeats from the retry budget, and records each one or its denial. */
export class Repeats {
  readonly #options: RepeatsOptions;

  constructor(options: RepeatsOptions) {
    this.#options = options;
  }

  /** Records a request of a caller, however often it is sent. */
  recordRequest(nowMs: number): void {
    this.#options.budget.recordRequest(nowMs);
  }

  /** Whether the budget allows a repeat now. */
  isAllowed(): boolean {
    return this.#remaining() >= 1;
  }

  /** Takes a repeat from the budget. Returns false, and records the denial, if nothing is left. */
  take({ requestId, service, reason }: Repeat): boolean {
    const { budget, clock, log, metrics, gatewayCount } = this.#options;
    const gateways = gatewayCount();
    const remaining = this.#remaining();
    const isAllowed = budget.take(clock.now(), gateways);
    if (isAllowed) metrics.countRepeat(service, reason);
    else metrics.countDeniedRepeat(service, reason);
    metrics.setRetryBudgetGateways(gateways);
    log.request(isAllowed ? "repeat_sent" : "repeat_denied", {
      req: requestId,
      service,
      why: reason,
      remaining: Number(remaining.toFixed(2)),
      gateways,
    });
    return isAllowed;
  }

  #remaining(): number {
    const { budget, clock, gatewayCount } = this.#options;
    return budget.remaining(clock.now(), gatewayCount());
  }
}
