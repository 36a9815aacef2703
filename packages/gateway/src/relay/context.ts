/**
 * The state and services that the classes of the relay share.
 *
 * @module
 */
import type { AccountId, Clock, DataCentreId, EndpointId, Rng, Undo } from "@wisteriapick/core";
import type { ColdLimiter, MemoryBudget } from "@wisteriapick/policy";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { ErrorBoundary } from "../observe/error_boundary.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { VersionMoves } from "../moves/version_moves.ts";
import type { Fleet } from "../state/fleet.ts";
import type { KeyLease } from "../state/key_lease.ts";
import type { EndpointDialect } from "../upstream/dialect.ts";
import type { Upstreams } from "../upstream/endpoint.ts";
import type { AccessControl } from "./access_control.ts";
import type { CrashTracker } from "./crash_tracker.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { EndpointSpeedTable } from "./endpoint_speed_table.ts";
import type { Repeats } from "./repeats.ts";

/** State and services shared by the classes of the relay. */
export interface RelayContext {
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: DecisionLog;
  /** Contains errors in the callbacks of requests. */
  readonly errors: ErrorBoundary;
  readonly metrics: GatewayMetrics;
  readonly dataCentre: DataCentreId;
  readonly fleet: Fleet;
  readonly upstreams: Upstreams;
  readonly dialect: EndpointDialect;
  readonly access: AccessControl;
  readonly keys: KeyLease;
  readonly repeats: Repeats;
  readonly coldLimiter: ColdLimiter;
  readonly crashes: CrashTracker;
  readonly limits: EndpointLimits;
  readonly moves: VersionMoves;
  readonly speeds: EndpointSpeedTable;
  readonly budget: MemoryBudget;
  /** Calls `fn` once after `ms` milliseconds, with what had arrived by then read, also after a stall. */
  setPolledTimer(ms: number, fn: () => void): Undo;
  /** Longest time for which what this process has read in the last `ms` milliseconds may have waited here. */
  longestDelayMs(ms: number): number;
  /** Records bytes of responses for which buffers were allocated. */
  recordArrived(bytes: number): void;
  /** Tells the other gateways that an endpoint leaves. */
  announceLeaving(endpoint: EndpointId): void;
  /** Asks an engine soon whether it leaves, as something suggests that it does. */
  inquire(endpoint: EndpointId): void;
  /** Sends an engine no generations for a while, as it broke off a connection, and tells the other gateways. */
  suspect(endpoint: EndpointId): void;
  /**
   * Number of gateways that this one reaches, itself included, or the requests of all gateways for each one of this
   * gateway, where that is known. Estimates what all gateways do from what this one does.
   */
  gatewayCount(): number;
  /**
   * Number by which limits of all gateways together are divided: that of the gateways that may be sending to the same
   * endpoints, those behind a partition included, or the inverse of this gateway's share of the requests.
   */
  sharingCount(): number;
  /** Counts a request that began to run, once for each id. */
  recordBegan(account: AccountId | null, requestId: string): void;
}
