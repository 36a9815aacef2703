/**
 * Interface of the platform's host list.
 *
 * @module
 */
import type { DataCentreId, EndpointId, HostId, RegionId, ServiceId } from "@wisteriapick/core";

/** State of a host. A leaving host is about to be removed. */
export type HostState = "live" | "leaving";

/** A host, the processes that run on it and their addresses (`ip:port`). */
export interface HostRecord {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
  readonly state: HostState;
  /** Link address of the entry on this host. */
  readonly entry?: string;
  /** Link address of the side process on this host. */
  readonly side?: string;
  /** The endpoint on this host. */
  readonly endpoint?: {
    readonly id: EndpointId;
    readonly service: ServiceId;
    readonly address: string;
  };
}

/** The host list at some past time; it lags behind the actual state. */
export interface HostSnapshot {
  readonly index: number;
  readonly hosts: readonly HostRecord[];
}

/** Reads the host list. Fails with `unreachable` or `timeout`. */
export abstract class HostList {
  /** Reads the current list. */
  abstract read(): Promise<HostSnapshot>;
}
