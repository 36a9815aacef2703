/**
 * The side's own refusals: the second line of defence where an entry has not heard of a change yet.
 *
 * @module
 */
import type { DataCentreId, RefusalReason, ServiceId, VersionId } from "@wisteriapick/core";
import type { ConfigView } from "@wisteriapick/control";

/** What the side knows about itself. */
export interface SideState {
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  /** The version that the endpoint runs, or `null` while it is not known. */
  readonly version: VersionId | null;
  /** The running set has been learned and the endpoint answers probes. */
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly draining: boolean;
}

/**
 * Why new work is refused, or `null` where it is not.
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
