/**
 * Metrics with `prom-client`, including a counter series per refusal reason and retry reason.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { type LinkReason, REFUSAL_REASONS, type RefusalReason } from "./errors.ts";

/** The metrics common to all processes. */
export interface Metrics {
  readonly registry: Registry;
  readonly refusals: Counter<"reason">;
  readonly retries: Counter<"reason">;
  readonly linksClosed: Counter<"reason">;
  readonly callerLimits: Counter<"reason">;
  countRefusal(reason: RefusalReason): void;
  countRetry(reason: RefusalReason): void;
  countLinkClosed(reason: LinkReason): void;
  /** Counts a connection that was paused or closed, or a body that was refused, as its caller observes no limits. */
  countCallerLimit(reason: string): void;
}

/**
 * Creates a registry with the common counters. Every refusal reason is present from the start with value 0, so that
 * rate queries include the first refusal.
 *
 * @example
 * ```ts
 * const metrics = createMetrics();
 * metrics.countRefusal("overloaded");
 * ```
 */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const counter = (name: string, help: string) =>
    new Counter({ name, help, labelNames: ["reason"] as const, registers: [registry] });
  const refusals = counter("wisteriapick_refusals_total", "Refused or failed requests by reason");
  const retries = counter("wisteriapick_retries_total", "Retried attempts by reason");
  const linksClosed = counter("wisteriapick_links_closed_total", "Closed links by reason");
  const callerLimits = counter(
    "wisteriapick_caller_limits_total",
    "Connections and bodies of callers that observe no limits, by what was done",
  );
  for (const reason of REFUSAL_REASONS) {
    refusals.inc({ reason }, 0);
    retries.inc({ reason }, 0);
  }
  return {
    registry,
    refusals,
    retries,
    linksClosed,
    callerLimits,
    countRefusal: (reason) => refusals.inc({ reason }),
    countRetry: (reason) => retries.inc({ reason }),
    countLinkClosed: (reason) => linksClosed.inc({ reason }),
    countCallerLimit: (reason) => callerLimits.inc({ reason }),
  };
}

export { Counter, Gauge, Histogram, Registry };
