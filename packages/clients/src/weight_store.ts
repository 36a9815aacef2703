/**
 * Interface of the platform's rate-limited store of model weights.
 *
 * @module
 */

/** Name and size of one set of weights. */
export interface WeightInfo {
  readonly name: string;
  readonly bytes: number;
}

/** Looks up weights and grants permissions to fetch them. */
export abstract class WeightStore {
  /** Returns the size of the named weights, or `null` if they are unknown. */
  abstract stat(name: string): Promise<WeightInfo | null>;

  /** Requests a grant for one fetch. Fails with `rate_limited`, which has the time to wait, if none is available. */
  abstract reserve(name: string): Promise<{ readonly grant: string }>;
}
