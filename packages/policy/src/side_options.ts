/**
 * Options of admission at a side.
 *
 * @module
 */
import type { AccountSharesOptions } from "./account_shares.ts";
import type { ColdStartOptions } from "./cold_start.ts";
import type { LengthEstimator } from "./length_estimator.ts";
import type { Quarantine } from "./quarantine.ts";

/** Options of `SideAdmission`. */
export interface SideAdmissionOptions {
  /** KV memory of the engine until its first load report. */
  readonly kvTotalTokens?: number;
  /** Share of KV memory that is filled at most. */
  readonly memoryShare?: number;
  /** Standard deviations kept free: 1.28 stands for a chance of 10%, 2.33 for 1%. */
  readonly memoryZ?: number;
  /** Longest expected wait in the queue; what would wait longer is refused at once. */
  readonly maxWaitMs?: number;
  readonly maxQueue?: number;
  /** Expected lengths up to this run ahead of longer ones. */
  readonly shortTokens?: number;
  /** Waiting this long moves work up by one rank. */
  readonly agingMs?: number;
  /** Prompt tokens started within one step; more would lengthen the gaps of what runs. */
  readonly stepPromptTokens?: number;
  /** Tokens after which a suspect is cleared. */
  readonly clearTokens?: number;
  /** Share of KV memory that accounts far above their fair share fill at most. */
  readonly heavyMemoryShare?: number;
  readonly shares?: AccountSharesOptions;
  readonly cold?: ColdStartOptions;
  readonly lengths?: LengthEstimator;
  readonly quarantine?: Quarantine;
  /** Name of this endpoint, for the names of its crashes. */
  readonly name?: string;
}
