/**
 * The platform's rate-limited weight store.
 *
 * @module
 */

/** Describes one set of weights. */
export interface WeightInfo {
  readonly name: string;
  readonly bytes: number;
}

/** Looks weights up and reserves fetches. */
export abstract class WeightStore {
  /** Size of the named weights, or `null` when unknown. */
  abstract stat(name: string): Promise<WeightInfo | null>;

  /** Asks for permission for one fetch. Fails with `rate_limited` and a time to wait. */
  abstract reserve(name: string): Promise<{ readonly grant: string }>;
}
