/**
 * The platform's host list.
 *
 * @module
 */
import type { DataCentreId, EndpointId, HostId, RegionId, ServiceId } from "@wisteriapick/core";

/** The state of a host. A leaving host will be gone soon. */
export type HostState = "live" | "leaving";

/** What runs on a host and where it can be reached. Addresses are `ip:port`. */
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

/** The host list as of some moment; it lags. */
export interface HostSnapshot {
  readonly index: number;
  readonly hosts: readonly HostRecord[];
}

/** Reads the host list. Fails with `unreachable` or `timeout`. */
export abstract class HostList {
  /** The present list. */
  abstract read(): Promise<HostSnapshot>;
}
