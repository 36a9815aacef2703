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
  readonly pendingPrefillTokens: number;
  /** Prompt tokens of the generation that the engine probably keeps. */
  readonly cachedPromptTokens: number;
  readonly isLocal: boolean;
}

/** Options of {@link chooseEngine}. */
export interface EnginePlacementOptions {
  /** Deviations above the mean memory that must still fit. */
  readonly z?: number;
  /** Part of the memory that is used. */
  readonly usableFraction?: number;
  /** Time to the first event that callers count as good, in milliseconds; 0 where nothing is to be read. */
  readonly firstEventTargetMs?: number;
}

/** An engine chosen, with what decided it. */
export interface EngineChoice<T> {
  readonly candidate: T;
  /** Memory expected at the peak, as a part of the engine's. */
  readonly peak: number;
  /** Time to the first event, as expected from prompts that are not read yet, in milliseconds. */
  readonly firstEventMs: number;
}

/** Memory overflow costs a preemption and a second read of a prompt; one deviation keeps it rare. */
const DEVIATIONS = 1;
/** Memory is given out in blocks of 16 tokens, and reports lag. */
const USABLE_FRACTION = 0.97;
/**
 * Reading speed of an engine that decodes other runs between the chunks of a prompt, in tokens per millisecond: a
 * chunk of 112 tokens takes a step of about 16 ms.
 */
export const SHARED_PREFILL_TOKENS_PER_MS = 6.5;
/** Time from the end of reading to the first event, in milliseconds: a few steps. */
const FIRST_EVENT_MS = 60;
/** Disadvantage of another data centre, as a part of an engine's memory: bytes between them are paid for. */
const REMOTE_COST = 0.03;
/** Advantage of an engine that keeps the whole prompt, as a part of an engine's memory. */
const KEPT_GAIN = 0.2;
/** Output tokens from which on a generation's memory weighs fully; a shorter one is gone before memory runs out. */
const LONG_TOKENS = 500;

/**
 * The engine with the least cost in memory and in time to the first event, or `null` where the generation fits
 * nowhere. A new engine has all its memory free and would draw every arrival; what it still has to read speaks against
 * it.
 *
 * @example
 * ```ts
 * const item = { curve, promptTokens: 3_000, produced: 0, maxTokens: 2_000 };
 * const choice = chooseEngine(item, candidates, { firstEventTargetMs: 1_800 });
 * ```
 */
export function chooseEngine<T extends EngineCandidate>(
  item: ForecastItem,
  candidates: readonly T[],
  { z = DEVIATIONS, usableFraction = USABLE_FRACTION, firstEventTargetMs = 0 }:
    EnginePlacementOptions = {},
): EngineChoice<T> | null {
  let best: EngineChoice<T> | null = null;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    if (candidate.running >= candidate.slots) continue;
    const tokens = candidate.forecast.peakWith(item, z) + candidate.reservedTokens;
    const peak = tokens / Math.max(1, candidate.memoryTokens);
    if (peak > usableFraction) continue;
    const firstEventMs = expectedFirstEventMs(candidate, item);
    const cost = costOf(candidate, item, peak) + delayCost(firstEventMs, firstEventTargetMs);
    if (cost < bestCost) {
      best = { candidate, peak, firstEventMs };
      bestCost = cost;
    }
  }
  return best;
}

function expectedFirstEventMs(candidate: EngineCandidate, item: ForecastItem): number {
  const ahead = candidate.pendingPrefillTokens + item.promptTokens - candidate.cachedPromptTokens;
  return ahead / SHARED_PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS;
}

/** Rises with the square of the part of the target that is used: far from it, memory decides. */
function delayCost(firstEventMs: number, targetMs: number): number {
  return targetMs <= 0 ? 0 : (firstEventMs / targetMs) ** 2;
}

function costOf(candidate: EngineCandidate, item: ForecastItem, peak: number): number {
  const kept = candidate.cachedPromptTokens / Math.max(1, item.promptTokens);
  const weight = Math.min(1, (item.maxTokens - item.produced) / LONG_TOKENS);
  return weight * peak - KEPT_GAIN * kept + (candidate.isLocal ? 0 : REMOTE_COST);
}
