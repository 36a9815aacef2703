/**
 * Scenarios that exercise the control package. Each has its own driver and report format.
 *
 * @module
 */
import { runVersions, VERSION_KINDS, type VersionsReport } from "./versions.ts";
import { runZone, type ZoneFault, type ZoneReport } from "./zone.ts";

const ZONE_FAULTS: readonly ZoneFault[] = ["none", "store_down", "silent_entry", "silent_centre"];

/** Options that the experiment command passes to a scenario. */
export interface ControlScenarioOptions {
  readonly seed: number;
  readonly load?: number;
}

/** Summary of each scenario, for `--list`. */
export const CONTROL_SUMMARIES: Readonly<Record<string, string>> = {
  zone: "a data centre goes out under load and comes back",
  versions: "moves to good versions and to bad ones of each kind",
};

/** Scenarios by name. Each function runs all variants of its scenario. */
export const CONTROL_SCENARIOS: Readonly<
  Record<
    string,
    (options: ControlScenarioOptions) => Promise<readonly (ZoneReport | VersionsReport)[]>
  >
> = {
  zone: async ({ seed, load }) => {
    const reports: ZoneReport[] = [];
    for (const fault of ZONE_FAULTS) {
      for (const revisionOnRequests of [true, false]) {
        reports.push(runZone({ seed, load, fault, revisionOnRequests }));
      }
    }
    return reports;
  },
  versions: async ({ seed }) => {
    const reports: VersionsReport[] = [];
    for (const kind of VERSION_KINDS) reports.push(await runVersions({ seed, kind }));
    return reports;
  },
};
