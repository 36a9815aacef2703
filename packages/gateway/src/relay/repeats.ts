/**
 * Sends of requests that have reached an endpoint before, within the retry budget of their service.
 *
 * @module
 */
import type { Clock, ServiceId } from "@wisteriapick/core";
import type { RetryBudgets } from "@wisteriapick/policy";
import type { RouteConfig } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";

/** Options of {@link Repeats}. */
export interface RepeatsOptions {
  readonly budgets: RetryBudgets;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /**
   * Number by which the budgets are divided: that of the gateways that share them, this one included, or the inverse of
   * this gateway's share; `null` while it is unknown.
   */
  readonly gatewayCount: () => number | null;
  /** Called for each request of a caller. */
  readonly onRequest?: () => void;
}

/** A request that is about to be sent once more. */
export interface Repeat {
  readonly requestId: string;
  /** The service to which it goes. */
  readonly service: ServiceId;
  readonly reason: string;
}

/** Takes repeats from the retry budgets, and records each one or its denial. */
export class Repeats {
  readonly #options: RepeatsOptions;

  constructor(options: RepeatsOptions) {
    this.#options = options;
    options.metrics.setGatewayCounter(() => options.gatewayCount() ?? 0);
  }

  /** Records a request of a caller, however often it is sent, for the services to which its route may send it. */
  recordRequest({ targets }: RouteConfig): void {
    this.#options.onRequest?.();
    const nowMs = this.#options.clock.now();
    const total = targets.reduce((sum, { weight }) => sum + weight, 0);
    for (const { service, weight } of targets) {
      const fraction = targets.length === 1 ? 1 : weight / total;
      if (fraction > 0) this.#options.budgets.of(service, nowMs).recordRequest(nowMs, fraction);
    }
  }

  /** Whether the budget of a service allows a repeat now. */
  isAllowed(service: ServiceId): boolean {
    return this.#remaining(service, this.#options.gatewayCount()) >= 1;
  }

  /** Like {@link isAllowed}, and records the denial if nothing is left. */
  check(repeat: Repeat): boolean {
    const gateways = this.#options.gatewayCount();
    const remaining = this.#remaining(repeat.service, gateways);
    if (remaining < 1) this.#record(repeat, { isAllowed: false, remaining, gateways });
    return remaining >= 1;
  }

  /** Takes a repeat from the budget. Returns false, and records the denial, if nothing is left. */
  take(repeat: Repeat): boolean {
    const { budgets, clock, gatewayCount } = this.#options;
    const nowMs = clock.now();
    const gateways = gatewayCount();
    const remaining = this.#remaining(repeat.service, gateways);
    const isAllowed = budgets.of(repeat.service, nowMs).take(nowMs, gateways);
    this.#record(repeat, { isAllowed, remaining, gateways });
    return isAllowed;
  }

  /** Records a repeat that is sent whatever is left, as a run that has begun would be lost without it. */
  recordUnasked(repeat: Repeat): void {
    const { budgets, clock, gatewayCount } = this.#options;
    const nowMs = clock.now();
    const gateways = gatewayCount();
    const remaining = this.#remaining(repeat.service, gateways);
    budgets.of(repeat.service, nowMs).recordRetry(nowMs);
    this.#record(repeat, { isAllowed: true, remaining, gateways });
  }

  #remaining(service: ServiceId, gateways: number | null): number {
    const { budgets, clock } = this.#options;
    const nowMs = clock.now();
    return budgets.of(service, nowMs).remaining(nowMs, gateways);
  }

  #record(
    { requestId, service, reason }: Repeat,
    { isAllowed, remaining, gateways }: {
      readonly isAllowed: boolean;
      readonly remaining: number;
      readonly gateways: number | null;
    },
  ): void {
    const { log, metrics } = this.#options;
    if (isAllowed) metrics.countRepeat(service, reason);
    else metrics.countDeniedRepeat(service, reason);
    log.request(isAllowed ? "repeat_sent" : "repeat_denied", {
      req: requestId,
      service,
      reason,
      remaining: Number(remaining.toFixed(2)),
      gateways: gateways === null ? null : Number(gateways.toFixed(2)),
    });
  }
}
