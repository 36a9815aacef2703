/**
 * The current state of the fleet as an entry knows it, for plans and `status`.
 *
 * @module
 */
import type { DataCentreId, EndpointId, Revision, ServiceId, VersionId } from "@wisteriapick/core";

/** One endpoint as last reported by its side. Fields are `null` until the side reports them. */
export interface EndpointStatus {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly version: VersionId | null;
  readonly running: number | null;
  readonly queued: number | null;
  readonly allowance: number | null;
  readonly leaving: boolean;
  /** Whether a side owns the endpoint. */
  readonly owned: boolean;
}

/** Configuration in force at one process. */
export interface ProcessStatus {
  readonly process: string;
  readonly dataCentre: DataCentreId;
  /** `null` when the process did not respond. */
  readonly revision: Revision | null;
  readonly asOfMs: number | null;
}

/** Provides the current state of the fleet. The daemon implements it with its directory and links. */
export abstract class FleetSource {
  abstract endpoints(): readonly EndpointStatus[];
  abstract processes(): Promise<readonly ProcessStatus[]>;
}
