/**
 * What an entry knows about the fleet at present, for plans and `status`.
 *
 * @module
 */
import type { DataCentreId, EndpointId, Revision, ServiceId, VersionId } from "@wisteriapick/core";

/** One endpoint as last reported by its side. Fields are `null` where nothing was heard. */
export interface EndpointStatus {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly version: VersionId | null;
  readonly running: number | null;
  readonly queued: number | null;
  readonly allowance: number | null;
  readonly leaving: boolean;
  /** Whether a side owns it. */
  readonly owned: boolean;
}

/** Configuration in force at one process. */
export interface ProcessStatus {
  readonly process: string;
  readonly dataCentre: DataCentreId;
  /** `null`: it did not answer. */
  readonly revision: Revision | null;
  readonly asOfMs: number | null;
}

/** Gives the present state of the fleet. The daemon implements it over its directory and links. */
export abstract class FleetSource {
  abstract endpoints(): readonly EndpointStatus[];
  abstract processes(): Promise<readonly ProcessStatus[]>;
}
