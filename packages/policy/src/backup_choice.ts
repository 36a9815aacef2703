/**
 * Decides which engine holds a backup of a running generation's memory (a proactive copy), and when
 * a backup is released. Load pattern: engines that crash without notice while others have spare
 * memory. When memory is scarce, a backup would cost more than it saves.
 *
 * @module
 */
import {
  chooseEngine,
  type EngineCandidate,
  type EnginePlacementOptions,
} from "./engine_placement.ts";
import type { ForecastItem } from "./memory_forecast.ts";

/** An engine that may hold a backup. */
export interface BackupCandidate extends EngineCandidate {
  /** Whether it is in the same data centre as the engine that runs the generation. */
  readonly sharesDataCentre: boolean;
}

/**
 * Peak memory, as a fraction of an engine's, up to which the engine takes a backup. The rest must
 * hold the runs that migrate here when another engine leaves.
 */
const MAX_BACKUP_PEAK = 0.68;

/** Peak memory, as a fraction of an engine's, above which backups are released: new generations need their memory. */
const RELEASE_PEAK = 0.85;

/** Whether an engine needs the memory that a backup occupies. `peakTokens` includes the backup. */
export function shouldReleaseBackup(peakTokens: number, memoryTokens: number): boolean {
  return peakTokens > RELEASE_PEAK * memoryTokens;
}

/**
 * Chooses the engine for a backup, in another data centre where one there has the memory; `null`
 * where memory is scarce.
 *
 * @example
 * ```ts
 * const backup = chooseBackup(item, candidates);
 * ```
 */
export function chooseBackup<T extends BackupCandidate>(
  item: ForecastItem,
  candidates: readonly T[],
  { gapCostOf }: Pick<EnginePlacementOptions<NoInfer<T>>, "gapCostOf"> = {},
): T | null {
  const elsewhere = candidates.filter((c) => !c.sharesDataCentre);
  const options: EnginePlacementOptions<T> = {
    usableFraction: MAX_BACKUP_PEAK,
    ...(gapCostOf === undefined ? {} : { gapCostOf }),
  };
  const choice = chooseEngine(item, elsewhere, options) ?? chooseEngine(item, candidates, options);
  return choice?.candidate ?? null;
}
