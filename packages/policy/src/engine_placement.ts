/**
 * Chooses the engine of a generation by the memory that it is forecast to need and by its expected
 * time to the first event. Load pattern: long generations of unknown length on engines whose memory
 * runs out before their slots do, placed by several gateways at once.
 *
 * @module
 */
import { type ForecastItem, MemoryForecast } from "./memory_forecast.ts";

/** An engine that may take a generation. */
export interface EngineCandidate {
  /** Forecast of the memory that generations placed here will need. */
  readonly forecast: MemoryForecast;
  /** Memory kept free for generations that must migrate here, in tokens. */
  readonly reservedTokens: number;
  readonly memoryTokens: number;
  readonly running: number;
  readonly slots: number;
  /** Prompt tokens sent here whose prefill is not complete. */
  readonly pendingPrefillTokens: number;
  /** Prompt tokens of the generation that the engine probably has in its prefix cache. */
  readonly cachedPromptTokens: number;
  readonly isLocal: boolean;
  /** Speed relative to the other engines of the service; 1 by default. */
  readonly speed?: number;
}

/** Options of {@link chooseEngine}. */
export interface EnginePlacementOptions<T = EngineCandidate> {
  /** Standard deviations above the mean of the forecast that must still fit. */
  readonly z?: number;
  /** Fraction of the memory that may be used. */
  readonly usableFraction?: number;
  /** Target of the time to the first event, in milliseconds; 0 leaves that time out of the choice. */
  readonly firstEventTargetMs?: number;
  /** Cost of the gaps between events that a placement causes; see {@link gapCost}. 0 by default. */
  gapCostOf?(candidate: T): number;
}

/** The chosen engine, with the values that decided the choice. */
export interface EngineChoice<T> {
  readonly candidate: T;
  /** Peak memory forecast with the generation, as a fraction of the engine's memory. */
  readonly peak: number;
  /** Expected time to the first event, from the prompt tokens still to be prefilled, in milliseconds. */
  readonly firstEventMs: number;
  /** The same at an engine of usual speed. No generation waits or is refused because of an engine's speed alone. */
  readonly usualFirstEventMs: number;
}

/** An overflow of memory costs a preemption and a second prefill; one standard deviation keeps it rare. */
const DEFAULT_Z = 1;
/** Leaves a margin, as engines allocate memory in blocks of 16 tokens and reports are late. */
const USABLE_FRACTION = 0.97;
/**
 * Prefill speed of an engine that decodes other runs between the chunks of a prompt, in tokens per
 * millisecond: a chunk of 112 tokens takes a step of about 16 ms.
 */
export const SHARED_PREFILL_TOKENS_PER_MS = 6.5;
/** Time from the end of prefill to the first event, in milliseconds: a few steps. */
const FIRST_EVENT_MS = 60;
/** Cost of another data centre, as a fraction of an engine's memory: traffic between data centres is paid for. */
const REMOTE_COST = 0.03;
/** Gain of an engine that has the whole prompt cached, as a fraction of an engine's memory. */
const CACHE_GAIN = 0.2;
/** Remaining output tokens from which on memory has full weight; a shorter generation ends before memory runs out. */
const FULL_WEIGHT_TOKENS = 500;

/**
 * Chooses the engine with the lowest cost in memory and in time to the first event; `null` where
 * the generation fits on none. Memory alone would send every arrival to a new engine, all of whose
 * memory is free; the prompts that it still has to prefill count against it.
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
  options: EnginePlacementOptions<NoInfer<T>> = {},
): EngineChoice<T> | null {
  const { z = DEFAULT_Z, usableFraction = USABLE_FRACTION, firstEventTargetMs = 0 } = options;
  let best: EngineChoice<T> | null = null;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    if (candidate.running >= candidate.slots) continue;
    const memoryTokens = Math.max(1, candidate.memoryTokens);
    const tokens = candidate.forecast.peakWith(item, z);
    // Reserved memory limits what fits. It does not attract or repel a generation where it does fit.
    if ((tokens + candidate.reservedTokens) / memoryTokens > usableFraction) continue;
    const peak = tokens / memoryTokens;
    const firstEventMs = expectedFirstEventMs(candidate, item);
    const cost = memoryCost(candidate, item, peak) + delayCost(firstEventMs, firstEventTargetMs) +
      (options.gapCostOf?.(candidate) ?? 0);
    if (cost < bestCost) {
      const usualFirstEventMs = expectedFirstEventMs(candidate, item, 1);
      best = { candidate, peak, firstEventMs, usualFirstEventMs };
      bestCost = cost;
    }
  }
  return best;
}

/** Whether a generation fits on an engine that has no other; where it does not, no room that becomes free helps it. */
export function fitsEmptyEngine(
  item: ForecastItem,
  memoryTokens: number,
  { z = DEFAULT_Z, usableFraction = USABLE_FRACTION }: EnginePlacementOptions<never> = {},
): boolean {
  return new MemoryForecast().peakWith(item, z) <= usableFraction * memoryTokens;
}

function expectedFirstEventMs(
  candidate: EngineCandidate,
  item: ForecastItem,
  speed = candidate.speed ?? 1,
): number {
  const prefillTokens = candidate.pendingPrefillTokens + item.promptTokens -
    candidate.cachedPromptTokens;
  return prefillTokens / (SHARED_PREFILL_TOKENS_PER_MS * speed) + FIRST_EVENT_MS;
}

/** The square of the fraction of the target that is used up: far below the target, memory decides. */
function delayCost(firstEventMs: number, targetMs: number): number {
  return targetMs <= 0 ? 0 : (firstEventMs / targetMs) ** 2;
}

function memoryCost(candidate: EngineCandidate, item: ForecastItem, peak: number): number {
  const cachedFraction = candidate.cachedPromptTokens / Math.max(1, item.promptTokens);
  const memoryWeight = Math.min(1, (item.maxTokens - item.produced) / FULL_WEIGHT_TOKENS);
  return memoryWeight * peak - CACHE_GAIN * cachedFraction + (candidate.isLocal ? 0 : REMOTE_COST);
}
