/**
 * Places generations on model engines by the memory that they will need. Load pattern: long generations of unknown
 * length on engines whose memory, not their slots, runs out first, placed by several gateways at once.
 *
 * @module
 */
import type { ForecastItem, MemoryForecast } from "./memory_forecast.ts";

/** An engine that may take a generation. */
export interface EngineCandidate {
  /** Memory that is spoken for, over the time to come. */
  readonly forecast: MemoryForecast;
  /** Memory kept free for generations that must move here, in tokens. */
  readonly reservedTokens: number;
  readonly memoryTokens: number;
  readonly running: number;
  readonly slots: number;
  /** Prompt tokens sent here that are not read yet. */
  readonly unreadTokens: number;
  /** Prompt tokens of the generation that the engine probably keeps. */
  readonly keptTokens: number;
  readonly isLocal: boolean;
}

/** Options of {@link chooseEngine}. */
export interface EnginePlacementOptions {
  /** Deviations above the mean memory that must still fit. */
  readonly z?: number;
  /** Part of the memory that is used. */
  readonly usedPart?: number;
}

/** An engine chosen, with what decided it. */
export interface EngineChoice<T> {
  readonly candidate: T;
  /** Memory expected at the peak, as a part of the engine's. */
  readonly peak: number;
}

/** Memory overflow costs a preemption and a second read of a prompt; one deviation keeps it rare. */
const DEVIATIONS = 1;
/** Memory is given out in blocks of 16 tokens, and reports lag. */
const USED_PART = 0.97;
/** Unread prompt tokens that weigh as much as all of an engine's memory: a second and a half of reading. */
const UNREAD_SCALE_TOKENS = 21_000;
/** Disadvantage of another data centre, as a part of an engine's memory: bytes between them are paid for. */
const REMOTE_COST = 0.03;
/** Advantage of an engine that keeps the whole prompt, as a part of an engine's memory. */
const KEPT_GAIN = 0.2;

/**
 * The engine with the most room at its peak, or `null` where the generation fits nowhere.
 *
 * @example
 * ```ts
 * const choice = chooseEngine({ curve, promptTokens: 3_000, produced: 0, maxTokens: 2_000 }, candidates);
 * ```
 */
export function chooseEngine<T extends EngineCandidate>(
  item: ForecastItem,
  candidates: readonly T[],
  { z = DEVIATIONS, usedPart = USED_PART }: EnginePlacementOptions = {},
): EngineChoice<T> | null {
  let best: EngineChoice<T> | null = null;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    if (candidate.running >= candidate.slots) continue;
    const tokens = candidate.forecast.peakWith(item, z) + candidate.reservedTokens;
    const peak = tokens / Math.max(1, candidate.memoryTokens);
    if (peak > usedPart) continue;
    const cost = costOf(candidate, item, peak);
    if (cost < bestCost) {
      best = { candidate, peak };
      bestCost = cost;
    }
  }
  return best;
}

function costOf(candidate: EngineCandidate, item: ForecastItem, peak: number): number {
  const kept = candidate.keptTokens / Math.max(1, item.promptTokens);
  return peak + candidate.unreadTokens / UNREAD_SCALE_TOKENS - KEPT_GAIN * kept +
    (candidate.isLocal ? 0 : REMOTE_COST);
}
