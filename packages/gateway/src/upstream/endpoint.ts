/**
 * What one gateway keeps for each endpoint besides its registration: connections, work under way and how recent
 * answers went.
 *
 * @module
 */
import type { EndpointId, Undo } from "@wisteriapick/core";
import type { OutlierSubject } from "@wisteriapick/policy";
import type { EndpointRecord } from "../config/types.ts";
import type { EndpointRow, Fleet } from "../state/fleet.ts";
import { ConnectionPool } from "./connection_pool.ts";

/** Weight of the newest answer in the moving averages. */
const SMOOTHING = 0.15;
/** First pause after a connection could not be opened, in milliseconds; doubles with each failure in a row. */
const UNREACHABLE_FIRST_MS = 150;
const UNREACHABLE_MAX_MS = 2_000;

/** Time for which an endpoint with an overdue call is passed over, in milliseconds. */
const OVERDUE_PAUSE_MS = 250;

/** One endpoint as this gateway uses it. */
export class UpstreamEndpoint implements OutlierSubject {
  readonly id: EndpointId;
  record: EndpointRecord;
  pool: ConnectionPool;
  /** Requests under way. */
  inFlight = 0;
  /** Recent time to an answer, in milliseconds; 0 until known. */
  latencyMs = 0;
  failureRate = 0;
  attempts = 0;
  gapMs = 0;
  gapCount = 0;
  ejectedUntilMs = 0;
  ejections = 0;
  #unreachableUntilMs = -Infinity;
  #connectFailures = 0;

  constructor(record: EndpointRecord) {
    this.id = record.id;
    this.record = record;
    this.pool = new ConnectionPool({ address: record.address });
  }

  /** Whether new work may be sent here, as far as this gateway's own experience goes. */
  isHealthy(nowMs: number): boolean {
    return nowMs >= this.ejectedUntilMs && nowMs >= this.#unreachableUntilMs;
  }

  recordResponse(latencyMs: number): void {
    this.latencyMs = this.latencyMs === 0
      ? latencyMs
      : this.latencyMs + SMOOTHING * (latencyMs - this.latencyMs);
    this.#connectFailures = 0;
    this.#count(0);
  }

  /** Records that a request failed by a fault of the endpoint. */
  recordFailure(): void {
    this.#count(1);
  }

  /** Records that no connection could be opened, or that one broke off inside an answer. */
  recordUnreachable(nowMs: number): void {
    const pause = UNREACHABLE_FIRST_MS * 2 ** Math.min(10, this.#connectFailures);
    this.#connectFailures++;
    this.#unreachableUntilMs = nowMs + Math.min(UNREACHABLE_MAX_MS, pause);
  }

  /** Records that a call has had no answer for much longer than usual; others are tried first for a moment. */
  recordOverdue(nowMs: number): void {
    this.#unreachableUntilMs = Math.max(this.#unreachableUntilMs, nowMs + OVERDUE_PAUSE_MS);
  }

  resetStatistics(): void {
    this.failureRate = 0;
    this.attempts = 0;
    this.gapCount = 0;
  }

  /** Starts anew for another process under the same id. */
  restart(record: EndpointRecord): void {
    this.record = record;
    this.pool.destroy();
    this.pool = new ConnectionPool({ address: record.address });
    this.latencyMs = 0;
    this.ejectedUntilMs = 0;
    this.ejections = 0;
    this.#unreachableUntilMs = -Infinity;
    this.#connectFailures = 0;
    this.resetStatistics();
  }

  #count(failed: 0 | 1): void {
    this.attempts++;
    this.failureRate += SMOOTHING * (failed - this.failureRate);
  }
}

/** The endpoints that a gateway uses. */
export class Upstreams {
  readonly #fleet: Fleet;
  readonly #endpoints = new Map<EndpointId, UpstreamEndpoint>();
  readonly #undo: Undo;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#undo = fleet.registerEndpointListener(({ id, after, restarted }) =>
      this.#onChange(id, after, restarted)
    );
  }

  /** The endpoint of a row of the fleet. */
  of(row: EndpointRow): UpstreamEndpoint {
    let endpoint = this.#endpoints.get(row.record.id);
    if (endpoint === undefined) {
      endpoint = new UpstreamEndpoint(row.record);
      this.#endpoints.set(row.record.id, endpoint);
    }
    return endpoint;
  }

  /** The endpoint with an id, if the fleet knows it. */
  get(id: EndpointId): UpstreamEndpoint | null {
    const row = this.#fleet.endpoints.get(id);
    return row === undefined ? null : this.of(row);
  }

  /** Connections opened so far, for metrics. */
  all(): Iterable<UpstreamEndpoint> {
    return this.#endpoints.values();
  }

  close(): void {
    this.#undo();
    for (const endpoint of this.#endpoints.values()) endpoint.pool.destroy();
  }

  #onChange(id: EndpointId, after: EndpointRow | null, restarted: boolean): void {
    const endpoint = this.#endpoints.get(id);
    if (endpoint === undefined) return;
    if (after === null) {
      endpoint.pool.destroy();
      this.#endpoints.delete(id);
      return;
    }
    if (restarted) endpoint.restart(after.record);
    else endpoint.record = after.record;
    if (after.phase === "leaving") endpoint.pool.retire();
  }
}
