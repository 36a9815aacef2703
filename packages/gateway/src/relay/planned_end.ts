/**
 * Tells endpoints that were taken away from those that crashed.
 *
 * @module
 */
import type { EndpointRecord } from "../config/types.ts";
import type { RelayContext } from "./context.ts";

/** Whether an endpoint's end is planned, so that a response that it broke off is no evidence of a crash. */
export function isEndPlanned({ fleet, moves }: RelayContext, endpoint: EndpointRecord): boolean {
  return fleet.isEndPlanned(endpoint.id) || moves.isRetired(endpoint);
}
