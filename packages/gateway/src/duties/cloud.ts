/**
 * The interface through which duties call the platform.
 *
 * @module
 */
import type { DataCentreId, ServiceId } from "@wisteriapick/core";

/**
 * How the platform took a call: `refused` if it will never accept it, `limited` if too many calls were made, and
 * `failed` if it may or may not have accepted it.
 */
export type CloudOutcome = "accepted" | "refused" | "limited" | "failed";

/** The right to make a call. */
export interface CallRight {
  readonly token: number;
  /** Time for which the call may be under way, in milliseconds. */
  endsInMs(): number;
}

/** The number of requests of each account in one window of time. */
export interface UsageReport {
  readonly window: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** The number of endpoints that a service should have in a data centre. */
export interface ScaleOrder {
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly desired: number;
}

/** A call's outcome and what it was concluded from, for logs. */
export interface CloudResult {
  readonly outcome: CloudOutcome;
  readonly detail: string;
}

/** Calls to the platform, which cannot be read back. */
export abstract class CloudCalls {
  abstract reportUsage(report: UsageReport, right: CallRight): Promise<CloudResult>;

  abstract scale(order: ScaleOrder, right: CallRight): Promise<CloudResult>;

  /** Ends all calls. */
  abstract close(): void;
}
