/**
 * What callers' header sections say. The adapter of a platform knows the names.
 *
 * @module
 */
import type { InboundHead } from "../relay/inbound.ts";

/** A header section as it was received. */
export interface RawHead {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Names and values in turn. */
  readonly rawHeaders: readonly string[];
}

/** The names that callers use. */
export abstract class CallerDialect {
  /** Reads a header section; `null` where it is not a request that can be passed on. */
  abstract readHead(head: RawHead): InboundHead | null;
  /** Path at which the platform asks whether the gateway takes callers. */
  abstract readonly readyPath: string;
}
