/**
 * Records the limits on requests that endpoints name in their responses.
 *
 * @module
 */
import type { Clock, EndpointId } from "@wisteriapick/core";
import type { EndpointRecord } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";

/** Options of {@link EndpointLimits}. */
export interface EndpointLimitsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** What a response says of its endpoint's limit. */
export interface LimitNotice {
  /** When the request was sent, so that a response that was overtaken does not end a limit. */
  readonly sentAtMs: number;
  /** Requests per second from all gateways together; `null` if the response names no limit. */
  readonly requestsPerSecond: number | null;
}

/** A limit in force. */
interface NamedLimit {
  readonly requestsPerSecond: number;
  /** When it was last named. */
  readonly namedAtMs: number;
}

/** The limits in force, as responses name them. */
export class EndpointLimits {
  readonly #options: EndpointLimitsOptions;
  readonly #limits = new Map<EndpointId, NamedLimit>();

  constructor(options: EndpointLimitsOptions) {
    this.#options = options;
  }

  /** Records what a response of an endpoint says. */
  recordResponse({ id }: EndpointRecord, { sentAtMs, requestsPerSecond }: LimitNotice): void {
    const known = this.#limits.get(id);
    const { clock, log } = this.#options;
    if (requestsPerSecond === null) {
      if (known === undefined || sentAtMs <= known.namedAtMs) return;
      this.#limits.delete(id);
      log.state("endpoint_limit", { endpoint: id, from: known.requestsPerSecond, to: null });
      return;
    }
    this.#limits.set(id, { requestsPerSecond, namedAtMs: clock.now() });
    if (known?.requestsPerSecond === requestsPerSecond) return;
    const from = known?.requestsPerSecond ?? null;
    log.state("endpoint_limit", { endpoint: id, from, to: requestsPerSecond });
  }
}
