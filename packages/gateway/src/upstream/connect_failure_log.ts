/**
 * Logs which endpoints no connection could be opened to, and why.
 *
 * @module
 */
import type { Clock, EndpointId } from "@wisteriapick/core";
import { formatAddress } from "@wisteriapick/wire";
import type { EndpointRecord } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";

/** Time for which further failures at an endpoint are only counted, in milliseconds. */
export const CONNECT_FAILURE_INTERVAL_MS = 10_000;

interface Failures {
  loggedAtMs: number;
  /** Failures since the last line. */
  unlogged: number;
}

/**
 * Logs failures to open a connection, at most one line per endpoint in {@link CONNECT_FAILURE_INTERVAL_MS}.
 *
 * @example
 * ```ts
 * const failures = new ConnectFailureLog({ clock, log });
 * failures.record(endpoint.record, "connect ECONNREFUSED 10.0.0.1:8000");
 * ```
 */
export class ConnectFailureLog {
  readonly #clock: Clock;
  readonly #log: DecisionLog;
  readonly #byEndpoint = new Map<EndpointId, Failures>();

  constructor({ clock, log }: { readonly clock: Clock; readonly log: DecisionLog }) {
    this.#clock = clock;
    this.#log = log;
  }

  record({ id, service, address }: EndpointRecord, message: string): void {
    const now = this.#clock.now();
    const failures = this.#byEndpoint.get(id);
    if (failures !== undefined && now - failures.loggedAtMs < CONNECT_FAILURE_INTERVAL_MS) {
      failures.unlogged++;
      return;
    }
    this.#byEndpoint.set(id, { loggedAtMs: now, unlogged: 0 });
    this.#log.state("endpoint_connect_failed", {
      endpoint: id,
      service,
      address: formatAddress(address),
      message,
      failures: (failures?.unlogged ?? 0) + 1,
    });
  }

  /** Forgets an endpoint that is gone or has another address. */
  forget(id: EndpointId): void {
    this.#byEndpoint.delete(id);
  }
}
