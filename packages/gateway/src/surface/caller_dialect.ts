/**
 * The interface through which a platform's adapter decodes the heads of callers' requests. Only the adapter knows the
 * names on the wire.
 *
 * @module
 */
import type { InboundHead } from "../relay/inbound.ts";

/** A request head as it was received. */
export interface RawHead {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
}

/** Decodes the heads of callers' requests. */
export abstract class CallerDialect {
  /** Decodes a request head. Returns `null` if the request cannot be forwarded. */
  abstract readHead(head: RawHead): InboundHead | null;
  /** Path of the platform's readiness check. */
  abstract readonly readyPath: string;
}
