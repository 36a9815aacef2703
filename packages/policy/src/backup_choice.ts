/**
 * Chooses where the memory of a running generation is kept a second time. Load pattern: engines that crash without
 * notice while others have memory to spare; when memory is short a second copy would cost more than it saves.
 *
 * @module
 */
import { chooseEngine, type EngineCandidate } from "./engine_placement.ts";
import type { ForecastItem } from "./memory_forecast.ts";

/** An engine that may hold a backup. */
export interface BackupCandidate extends EngineCandidate {
  /** Whether it is in the data centre of the engine that runs the generation. */
  readonly sharesDataCentre: boolean;
}

/**
 * Memory in use, as a part of an engine's, up to which it takes a backup. What is left must hold the runs that move
 * here when another engine leaves.
 */
const MAX_PEAK = 0.68;

/** Memory in use from which on backups are given up: new generations need what they hold. */
const GIVE_UP_PEAK = 0.85;

/** Whether an engine needs the memory that a backup occupies, at a peak that counts the backup. */
export function shouldReleaseBackup(peakTokens: number, memoryTokens: number): boolean {
  return peakTokens > GIVE_UP_PEAK * memoryTokens;
}

/**
 * The engine for a backup, in another data centre where one has room; `null` where memory is short.
 *
 * @example
 * ```ts
 * const backup = chooseBackup(item, candidates);
 * ```
 */
export function chooseBackup<T extends BackupCandidate>(
  item: ForecastItem,
  candidates: readonly T[],
): T | null {
  const elsewhere = candidates.filter((c) => !c.sharesDataCentre);
  const options = { usableFraction: MAX_PEAK };
  const choice = chooseEngine(item, elsewhere, options) ?? chooseEngine(item, candidates, options);
  return choice?.candidate ?? null;
}
