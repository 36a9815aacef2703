/**
 * Checks at the side whether new work is refused, as a second check where an entry has not yet received a change.
 *
 * @module
 */
import type { DataCentreId, RefusalReason, ServiceId, VersionId } from "@wisteriapick/core";
import type { ConfigView } from "@wisteriapick/control";

/** State of a side that decides whether it accepts new work. */
export interface SideState {
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  /** The version that the endpoint runs, or `null` while it is unknown. */
  readonly version: VersionId | null;
  /** The endpoint responds to probes and its running generations have been counted. */
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly draining: boolean;
}

/**
 * Returns the reason for which new work is refused, or `null` where it is accepted.
 *
 * @example
 * ```ts
 * const reason = gateReason(state, view, { service: run.service, version: run.version });
 * ```
 */
export function gateReason(
  state: SideState,
  view: ConfigView,
  req: { readonly service: ServiceId; readonly version: VersionId },
): RefusalReason | null {
  if (state.draining) return "draining";
  if (state.leaving) return "endpoint_leaving";
  if (view.dataCentres.get(state.dataCentre)?.state === "out") return "data_centre_out";
  if (!state.ready || state.version === null) return "side_not_ready";
  if (req.service !== state.service) return "unknown_service";
  if (req.version !== state.version) return "version_mismatch";
  const versions = view.services.get(state.service)?.versions ?? [];
  if (versions.find((v) => v.id === req.version)?.withdrawn === true) return "version_withdrawn";
  return null;
}
