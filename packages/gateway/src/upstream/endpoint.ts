/**
 * The state that a gateway holds for each endpoint besides its registration: connections, work in progress and
 * statistics of recent responses.
 *
 * @module
 */
import { type Clock, type EndpointId, SystemClock, type Undo } from "@wisteriapick/core";
import type { OutlierSubject } from "@wisteriapick/policy";
import type { EndpointRecord } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { EndpointRow, Fleet } from "../state/fleet.ts";
import { ConnectFailureLog } from "./connect_failure_log.ts";
import { ConnectProbe } from "./connect_probe.ts";
import { CONNECT_TIMEOUT_MS, ConnectionPool } from "./connection_pool.ts";

/** Weight of the newest response in the moving averages. */
const SMOOTHING_FACTOR = 0.15;
/** First pause after a connection could not be opened. It doubles with each consecutive failure. */
const UNREACHABLE_MIN_PAUSE_MS = 150;
const UNREACHABLE_MAX_PAUSE_MS = 2_000;

/** Time for which an endpoint with an overdue call gets no new work. */
const OVERDUE_PAUSE_MS = 250;

/** First pause after a refusal. It doubles with each consecutive one. */
const REFUSED_MIN_PAUSE_MS = 100;
const REFUSED_MAX_PAUSE_MS = 2_000;

/** Options of {@link UpstreamEndpoint}. */
export interface UpstreamEndpointOptions {
  /** Logs the connections that cannot be opened; none are logged by default. */
  readonly failures?: ConnectFailureLog | null;
  readonly clock?: Clock;
}

/** One endpoint as this gateway uses it. */
export class UpstreamEndpoint implements OutlierSubject {
  readonly id: EndpointId;
  record: EndpointRecord;
  pool: ConnectionPool;
  /** Number of requests in progress. */
  inFlight = 0;
  /** Moving average of the time to a response, in milliseconds; 0 until known. */
  latencyMs = 0;
  failureRate = 0;
  attempts = 0;
  gapMs = 0;
  gapCount = 0;
  ejectedUntilMs = 0;
  ejections = 0;
  #unreachableUntilMs = -Infinity;
  #connectFailures = 0;
  #refusals = 0;
  readonly #failures: ConnectFailureLog | null;
  readonly #clock: Clock;
  #probe: ConnectProbe;

  constructor(
    record: EndpointRecord,
    { failures = null, clock = new SystemClock() }: UpstreamEndpointOptions = {},
  ) {
    this.id = record.id;
    this.record = record;
    this.#failures = failures;
    this.#clock = clock;
    this.#probe = this.#makeProbe();
    this.pool = this.#makePool(this.#probe);
  }

  /** Whether this gateway's own recent calls allow new work here. */
  isHealthy(nowMs: number): boolean {
    return nowMs >= this.ejectedUntilMs && nowMs >= this.#unreachableUntilMs &&
      !this.#probe.isFailing;
  }

  recordResponse(latencyMs: number): void {
    this.latencyMs = this.latencyMs === 0
      ? latencyMs
      : this.latencyMs + SMOOTHING_FACTOR * (latencyMs - this.latencyMs);
    this.#connectFailures = 0;
    this.#refusals = 0;
    this.#probe.recordReached();
    this.#recordOutcome(0);
  }

  /** Records that a request failed because of the endpoint. */
  recordFailure(): void {
    this.#recordOutcome(1);
  }

  /** Records that no connection could be opened, or that one broke inside a response. */
  recordUnreachable(nowMs: number): void {
    const pause = UNREACHABLE_MIN_PAUSE_MS * 2 ** Math.min(10, this.#connectFailures);
    this.#connectFailures++;
    this.#unreachableUntilMs = nowMs + Math.min(UNREACHABLE_MAX_PAUSE_MS, pause);
  }

  /**
   * Records that the endpoint has refused a request, and prefers others for a short time. An endpoint that refuses at
   * once has no work in progress, and would otherwise get most requests.
   */
  recordRefusal(nowMs: number): void {
    const pause = Math.min(REFUSED_MAX_PAUSE_MS, REFUSED_MIN_PAUSE_MS * 2 ** this.#refusals);
    this.#refusals = Math.min(this.#refusals + 1, 10);
    this.#unreachableUntilMs = Math.max(this.#unreachableUntilMs, nowMs + pause);
  }

  /** Records that a call has waited much longer than usual for a response. Others are preferred for a short time. */
  recordOverdue(nowMs: number): void {
    this.#unreachableUntilMs = Math.max(this.#unreachableUntilMs, nowMs + OVERDUE_PAUSE_MS);
  }

  /** Sends no new work here until a time by the monotonic clock. */
  pauseUntil(atMs: number): void {
    this.#unreachableUntilMs = Math.max(this.#unreachableUntilMs, atMs);
  }

  resetStatistics(): void {
    this.failureRate = 0;
    this.attempts = 0;
    this.gapCount = 0;
  }

  /** Resets all state for another process with the same id. */
  restart(record: EndpointRecord): void {
    this.record = record;
    this.close();
    this.#failures?.forget(this.id);
    this.#probe = this.#makeProbe();
    this.pool = this.#makePool(this.#probe);
    this.latencyMs = 0;
    this.ejectedUntilMs = 0;
    this.ejections = 0;
    this.#unreachableUntilMs = -Infinity;
    this.#connectFailures = 0;
    this.#refusals = 0;
    this.resetStatistics();
  }

  /** Closes idle connections now and the others when their call ends, as the endpoint gets no new work. */
  retire(): void {
    this.#probe.close();
    this.pool.retire();
  }

  /** Closes every connection. */
  close(): void {
    this.#probe.close();
    this.pool.destroy();
  }

  #makePool(probe: ConnectProbe): ConnectionPool {
    const { record } = this;
    return new ConnectionPool({
      address: record.address,
      onConnectFailed: (message) => {
        this.#failures?.record(record, message);
        probe.recordFailure();
      },
    });
  }

  #makeProbe(): ConnectProbe {
    const { address } = this.record;
    return new ConnectProbe({ address, clock: this.#clock, timeoutMs: CONNECT_TIMEOUT_MS });
  }

  #recordOutcome(failed: 0 | 1): void {
    this.attempts++;
    this.failureRate += SMOOTHING_FACTOR * (failed - this.failureRate);
  }
}

/** The endpoints that a gateway uses. */
export class Upstreams {
  readonly #fleet: Fleet;
  readonly #endpoints = new Map<EndpointId, UpstreamEndpoint>();
  readonly #clock: Clock;
  readonly #failures: ConnectFailureLog;
  readonly #undo: Undo;

  constructor(
    fleet: Fleet,
    { clock, log }: { readonly clock: Clock; readonly log: DecisionLog },
  ) {
    this.#fleet = fleet;
    this.#clock = clock;
    this.#failures = new ConnectFailureLog({ clock, log });
    this.#undo = fleet.registerEndpointListener(({ id, after, restarted }) =>
      this.#onChange(id, after, restarted)
    );
  }

  /** The state of a row's endpoint, created if missing. */
  of(row: EndpointRow): UpstreamEndpoint {
    let endpoint = this.#endpoints.get(row.record.id);
    if (endpoint === undefined) {
      endpoint = new UpstreamEndpoint(row.record, { failures: this.#failures, clock: this.#clock });
      this.#endpoints.set(row.record.id, endpoint);
    }
    return endpoint;
  }

  /** The state of the endpoint with an id; `null` if the fleet does not contain it. */
  get(id: EndpointId): UpstreamEndpoint | null {
    const row = this.#fleet.endpoints.get(id);
    return row === undefined ? null : this.of(row);
  }

  /** All endpoints that have state here, for metrics. */
  all(): Iterable<UpstreamEndpoint> {
    return this.#endpoints.values();
  }

  /** Number of connections to all endpoints, where so many requests may each have one in use. */
  connectionCount(requests: number): number {
    let open = 0;
    let idle = 0;
    for (const { pool } of this.#endpoints.values()) {
      open += pool.size;
      idle += pool.idleCount;
    }
    return idle + Math.max(requests, open - idle);
  }

  close(): void {
    this.#undo();
    for (const endpoint of this.#endpoints.values()) endpoint.close();
  }

  #onChange(id: EndpointId, after: EndpointRow | null, restarted: boolean): void {
    const endpoint = this.#endpoints.get(id);
    if (endpoint === undefined) return;
    if (after === null) {
      endpoint.close();
      this.#failures.forget(id);
      this.#endpoints.delete(id);
      return;
    }
    if (restarted) endpoint.restart(after.record);
    else endpoint.record = after.record;
    if (after.phase === "leaving") endpoint.retire();
  }
}
