/**
 * What a placement costs by the gaps between events: of the generation itself, and of the streams that its prompt delays.
 *
 * Load pattern: long streams with a target for their longest gap, on engines of which some are so slow that a slow
 * period, or a prompt that is prefilled meanwhile, makes a gap exceed the target. Short generations have hardly a gap
 * that could.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import type { EndpointSpeeds } from "./endpoint_speed.ts";
import type { ForecastItem } from "./memory_forecast.ts";

/** A stream at an engine, with a target for its gaps. */
export interface ExposedStream {
  readonly targetGapMs: number;
  /** Output tokens that the stream may still produce. */
  readonly remainingTokens: number;
}

/** An engine on which gaps are considered. */
export interface GapCandidate {
  readonly endpoint: EndpointId;
  readonly running: number;
  /** Streams there that the prompt of the generation would delay. */
  readonly streams: readonly ExposedStream[];
}

/** A generation whose gaps are considered. */
export interface GapItem extends Pick<ForecastItem, "promptTokens" | "produced" | "maxTokens"> {
  /** Target for the gaps between its events; `null` for none. */
  readonly targetGapMs: number | null;
  readonly tokensPerEvent: number;
  /** Whether the engine has to prefill the prompt. */
  readonly needsPrefill: boolean;
}

/**
 * Cost of a stream that exceeds its gap target, as a fraction of an engine's memory. As much as a first event at almost
 * three times its target: a slow engine takes a long stream where the others have no room, or would begin it far too
 * late. In replays of 24 days of 25 s, 161 of 6,587 long streams were late by a gap with 8 and 220 of 6,648 with 4; of
 * 11,000 short ones, 307 began late instead of 164, which costs their callers less.
 */
const LATE_COST = 8;

/**
 * Cost of the gaps that a placement causes; 0 where no endpoint of the service differs measurably.
 *
 * @example
 * ```ts
 * const cost = gapCost(item, { endpoint, running: 8, streams: [] }, speeds, nowMs);
 * ```
 */
export function gapCost(
  item: GapItem,
  candidate: GapCandidate,
  speeds: EndpointSpeeds,
  nowMs: number,
): number {
  if (!speeds.hasDifferences(nowMs)) return 0;
  return LATE_COST *
    (ownRisk(item, candidate, speeds, nowMs) + addedRisk(item, candidate, speeds, nowMs));
}

/** Probability that a gap of the generation exceeds its target. */
function ownRisk(
  { targetGapMs, produced, maxTokens, tokensPerEvent }: GapItem,
  { endpoint, running: others }: GapCandidate,
  speeds: EndpointSpeeds,
  nowMs: number,
): number {
  if (targetGapMs === null) return 0;
  const running = others + 1;
  const gaps = Math.max(0, (maxTokens - produced) / tokensPerEvent - (produced === 0 ? 1 : 0));
  return speeds.lateProbability(endpoint, { running, targetGapMs, gaps }, nowMs);
}

/** Number of streams at the engine that are expected to exceed their target because the prompt is prefilled there. */
function addedRisk(
  { promptTokens, needsPrefill }: GapItem,
  { endpoint, running: others, streams }: GapCandidate,
  speeds: EndpointSpeeds,
  nowMs: number,
): number {
  if (!needsPrefill || streams.length === 0) return 0;
  const running = others + 1;
  const durationMs = promptTokens / speeds.prefillTokensPerMs(endpoint, nowMs);
  let added = 0;
  // The streams of a service mostly have one target.
  let knownTargetMs = NaN;
  let risk = 0;
  for (const { targetGapMs } of streams) {
    if (targetGapMs !== knownTargetMs) {
      knownTargetMs = targetGapMs;
      risk = speeds.prefillRisk(endpoint, { running, targetGapMs, durationMs }, nowMs);
    }
    added += risk;
  }
  return added;
}
