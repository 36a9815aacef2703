/**
 * Options of a side's admission.
 *
 * @module
 */
import type { AccountSharesOptions } from "./account_shares.ts";
import type { ColdStartOptions } from "./cold_start.ts";
import type { LengthEstimator } from "./length_estimator.ts";
import type { Quarantine } from "./quarantine.ts";

/** Options of `SideAdmission`. */
export interface SideAdmissionOptions {
  /** KV memory that the engine is assumed to have until its first load report. */
  readonly kvTotalTokens?: number;
  /** Largest fraction of KV memory that the forecast may fill. */
  readonly memoryShare?: number;
  /** Standard deviations of the forecast kept free: 1.28 gives a 10% chance of overflow, 2.33 a chance of 1%. */
  readonly memoryZ?: number;
  /** Longest expected time in the queue; a request that would be queued for longer is refused at once. */
  readonly maxWaitMs?: number;
  readonly maxQueue?: number;
  /** Generations of up to this expected length are queued ahead of longer ones. */
  readonly shortTokens?: number;
  /** A queued request moves up by one rank each time it has been queued for this long. */
  readonly agingMs?: number;
  /** Prompt tokens that may start within one engine step; more would lengthen the token gaps of running generations. */
  readonly stepPromptTokens?: number;
  /** Output tokens after which a suspect is cleared: it did not crash the engine. */
  readonly clearTokens?: number;
  /** The same as `memoryShare` for requests of heavy accounts, which use far more than their fair share. */
  readonly heavyMemoryShare?: number;
  readonly shares?: AccountSharesOptions;
  readonly cold?: ColdStartOptions;
  readonly lengths?: LengthEstimator;
  readonly quarantine?: Quarantine;
  /** Name of this endpoint, which prefixes the ids of its crashes. */
  readonly name?: string;
}
