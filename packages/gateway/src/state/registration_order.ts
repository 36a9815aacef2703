/**
 * Orders the registrations that one endpoint has written.
 *
 * Load pattern: a store that executes a write seconds after it was sent, when the endpoint has already written that it
 * drains, or has started again under the same id.
 *
 * @module
 */
import type { EndpointRecord } from "../config/types.ts";

/** What orders the registrations of an endpoint. */
export type RegistrationStamp = Pick<EndpointRecord, "startedAtUnixMs" | "sequence">;

/** Whether one process of an endpoint wrote both registrations; false if one does not name its start. */
export function isSameProcess(a: RegistrationStamp, b: RegistrationStamp): boolean {
  return a.startedAtUnixMs !== null && a.startedAtUnixMs === b.startedAtUnixMs;
}

/** Whether a registration is the same write as one that is known already, as a restored store shows it again. */
export function isSameWrite(registration: RegistrationStamp, known: RegistrationStamp): boolean {
  const { sequence } = registration;
  return isSameProcess(registration, known) && sequence !== null && sequence === known.sequence;
}

/**
 * Whether a registration was written before one that is known already: by an earlier process, or earlier by the same.
 *
 * @example
 * ```ts
 * const known = { startedAtUnixMs: 1_700_000_000_000, sequence: 9 };
 * isOutdated({ startedAtUnixMs: 1_700_000_000_000, sequence: 5 }, known); // true
 * ```
 */
export function isOutdated(registration: RegistrationStamp, known: RegistrationStamp): boolean {
  const { startedAtUnixMs, sequence } = registration;
  if (startedAtUnixMs === null || known.startedAtUnixMs === null) return false;
  if (startedAtUnixMs !== known.startedAtUnixMs) return startedAtUnixMs < known.startedAtUnixMs;
  return sequence !== null && known.sequence !== null && sequence < known.sequence;
}
