/**
 * Estimates how fast each endpoint of a service is in comparison with its siblings, from what a gateway observes anyway.
 *
 * Load pattern: some engines are half as fast as the others for all of their short lives, and every engine is slow for
 * half a second now and then. Each of many gateways sees few runs of each engine. Quantiles of the recent time resist
 * the short slow periods, and pooled evidence shows a slow engine within a second.
 *
 * Every measurement is compared with what the load of its endpoint explains; see {@link GapModel}.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import { DecayingHistogram } from "./decaying_histogram.ts";
import { type GapLoad, GapModel, LEVEL_QUANTILE } from "./gap_model.ts";
import { GroupDifference } from "./group_difference.ts";
import { RECENT_MS, RecentLevels, RecentSamples, weightedMedian } from "./recent_levels.ts";
import type { SpeedEvidence } from "./speed_pool.ts";
import { SHARED_PREFILL_TOKENS_PER_MS } from "./engine_placement.ts";

/**
 * What was measured: gaps between events, the time to the first event, or the response time of a plain call; and gaps and
 * response times of the last {@link RECENT_MS} alone. Messages name them by their places in this list.
 */
export const SPEED_MEASURES = ["gap", "first_event", "call", "recent_gap", "recent_call"] as const;
export type SpeedMeasure = typeof SPEED_MEASURES[number];
/** Measures of which the speed is computed. */
const LEVEL_MEASURES = ["gap", "first_event", "call"] as const;
/** For each of the others, the measure whose usual level it is compared with. */
const RECENT_MEASURES = { gap: "recent_gap", call: "recent_call" } as const;
type RecentSubject = keyof typeof RECENT_MEASURES;
const RECENT_SUBJECTS = ["gap", "call"] as const satisfies readonly RecentSubject[];

/** Gaps between events of one run. */
export interface GapSample {
  /** Gap between two events; the mean where it spans several. */
  readonly gapMs: number;
  /** Runs at the endpoint. */
  readonly running: number;
  /** Whether a prompt was being prefilled there. */
  readonly isPrefilling: boolean;
  /** Whether the endpoint is in its cold start, in which it may be slower; false by default. */
  readonly isCold?: boolean;
  /** Time over which the gap was measured, in milliseconds; `gapMs` by default. */
  readonly spanMs?: number;
}

/** The time to the first event of one run. */
export interface FirstEventSample {
  readonly ms: number;
  readonly promptTokens: number;
  /** Prompt tokens before it at the endpoint when it was sent. */
  readonly pendingPrefillTokens: number;
}

/** The response time of one call. */
export interface CallSample {
  readonly ms: number;
  /** Calls of this gateway that were in progress at the endpoint, this one included. */
  readonly inFlight: number;
  /** Calls that the endpoint processes concurrently. */
  readonly slots: number;
}

/** How fast an endpoint is. */
export interface SpeedEstimate {
  /** Speed relative to the siblings' median; 1 without evidence. */
  readonly speed: number;
  /** Weight of the evidence, in measurements over {@link FULL_SPAN_MS}. */
  readonly weight: number;
  /** Whether the endpoint differs measurably from its siblings. */
  readonly differs: boolean;
}

/** Options of {@link EndpointSpeeds}. */
export interface EndpointSpeedOptions {
  /** Time after which evidence counts half. */
  readonly halfLifeMs?: number;
  /** Factor on the speed from which on an endpoint counts as different. */
  readonly differenceFactor?: number;
  /** Called when an endpoint is found slow for the first time, and when it recovers. */
  readonly onSlow?: (endpoint: EndpointId, isSlow: boolean, estimate: SpeedEstimate) => void;
}

interface EndpointState {
  readonly histograms: Map<SpeedMeasure, DecayingHistogram>;
  /** What all gateways together have found. */
  pooled: readonly SpeedEvidence[];
  pooledAtMs: number;
  /** Whether the endpoint by itself seems to differ, which counts where the group differs. */
  seemsDifferent: boolean;
  /** What was measured lately: by this gateway, and by all. */
  readonly recent: Map<RecentSubject, { readonly own: RecentSamples; readonly all: RecentLevels }>;
  /** For how long it has differed when speeds were computed last, in milliseconds. */
  differentForMs: number;
  isSlow: boolean;
}

/** Several periods of half a second fit in, and an engine that is known to be slow stays known for a while. */
const DEFAULT_HALF_LIFE_MS = 5_000;
/** Above the noise of a median over some measurements; a slow engine has about 2. */
const DEFAULT_DIFFERENCE_FACTOR = 1.35;
/** An endpoint that differed counts as equal again below this power of the factor. */
const HYSTERESIS = 0.6;
/** Span over which a measurement has the weight 1, in milliseconds. */
export const FULL_SPAN_MS = 200;
/**
 * Power of the difference factor by which endpoints have to differ for their group to differ: 1.65 times with the default
 * factor. Where prompts take longer to prefill than assumed, in slow periods and bursts, equal engines looked up to 1.6
 * times slower for seconds; slow ones are 2.18 times slower.
 */
const GROUP_MARGIN = 5 / 3;
/** Weight of evidence from which on an endpoint may count as different. */
const MIN_WEIGHT = 2;
/** What the logarithm of a speed must differ by in addition, divided by the weight: a few measurements are noisy. */
const UNCERTAINTY = 0.4;
/**
 * Largest weight of times to the first event. Gaps tell more: an endpoint may send its first events at once, and the
 * prompts before them are an estimate.
 */
const MAX_FIRST_EVENT_WEIGHT = MIN_WEIGHT;
/** Largest speed that counts: an endpoint that responds at once, with whatever it is, gets few more requests for it. */
const MAX_SPEED = 1.5;
/** Smallest number of endpoints with evidence that are compared. */
const MIN_SIBLINGS = 2;
/** Time for which pooled evidence counts, in milliseconds: several times the interval at which it comes. */
const POOLED_TTL_MS = 3_000;
/** Interval at which speeds are computed, in milliseconds: half of the span of a measurement. */
const REFRESH_INTERVAL_MS = 100;
/** Time to the first event besides prefill, in milliseconds. */
const FIRST_EVENT_MS = 60;
/** Speeds that differ by less than a fiftieth share what is computed from them; more runs than this are not expected. */
const SPEED_CLASSES = 50;
const MAX_RUNNING = 4_096;
/** Time for which a slow period lasts, in milliseconds: gaps in one are not independent. */
const SLOW_PERIOD_MS = 600;
const EQUAL: SpeedEstimate = { speed: 1, weight: 0, differs: false };

/**
 * The speeds of one service's endpoints.
 *
 * @example
 * ```ts
 * const speeds = new EndpointSpeeds();
 * speeds.recordGap(endpoint, { gapMs: 60, running: 10, isPrefilling: false }, nowMs);
 * speeds.speed(endpoint, nowMs).speed; // about 0.5, where the siblings take 30 ms
 * ```
 */
export class EndpointSpeeds {
  readonly #options: Required<EndpointSpeedOptions>;
  readonly #endpoints = new Map<EndpointId, EndpointState>();
  readonly #gaps = new GapModel();
  #estimates = new Map<EndpointId, SpeedEstimate>();
  #bases = new Map<SpeedMeasure, number>();
  #computedAtMs = -Infinity;
  #mergedAtMs = -Infinity;
  readonly #group = new GroupDifference();
  #hasDifferences = false;
  /** Fractions of gaps that exceed a target, by target and by speed and load, until speeds are computed anew. */
  readonly #exceedances = new Map<number, Map<number, number>>();

  constructor(options: EndpointSpeedOptions = {}) {
    this.#options = {
      halfLifeMs: options.halfLifeMs ?? DEFAULT_HALF_LIFE_MS,
      differenceFactor: options.differenceFactor ?? DEFAULT_DIFFERENCE_FACTOR,
      onSlow: options.onSlow ?? (() => {}),
    };
  }

  /** Records the gap between two events of one run. */
  recordGap(endpoint: EndpointId, sample: GapSample, nowMs: number): void {
    const { gapMs, running, isPrefilling, isCold = false, spanMs = gapMs } = sample;
    if (!(gapMs > 0)) return;
    const weight = Math.min(1, spanMs / FULL_SPAN_MS);
    const load = { running, isPrefilling };
    const log = this.#gaps.relativeLog(gapMs, load);
    const histogram = this.#histogram(endpoint, "gap");
    // What the loads explain is taken from endpoints whose own level is known.
    if (histogram.weight >= MIN_WEIGHT) {
      const level = histogram.quantile(LEVEL_QUANTILE);
      this.#gaps.record(gapMs, load, { level, weight, nowMs });
    }
    histogram.record(log, weight, nowMs);
    if (!isCold) this.#recent(endpoint, "gap").own.record(log, weight, nowMs);
  }

  /** Records the time from sending a run to its first event. */
  recordFirstEvent(endpoint: EndpointId, sample: FirstEventSample, nowMs: number): void {
    const { ms, promptTokens, pendingPrefillTokens } = sample;
    if (!(ms > 0)) return;
    const tokens = promptTokens + pendingPrefillTokens;
    const assumedMs = tokens / SHARED_PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS;
    this.#histogram(endpoint, "first_event").record(Math.log(ms / assumedMs), 1, nowMs);
  }

  /** Records the response time of a plain call. */
  recordCall(endpoint: EndpointId, { ms, inFlight, slots }: CallSample, nowMs: number): void {
    if (!(ms > 0)) return;
    const turns = Math.max(1, inFlight / Math.max(1, slots));
    const level = Math.log(ms / turns);
    this.#histogram(endpoint, "call").record(level, 1, nowMs);
    this.#recent(endpoint, "call").own.record(level, 1, nowMs);
  }

  /** Speed of an endpoint relative to its siblings, with the weight of the evidence. */
  speed(endpoint: EndpointId, nowMs: number): SpeedEstimate {
    this.#refresh(nowMs);
    return this.#estimates.get(endpoint) ?? EQUAL;
  }

  /** Speed by which to place: 1 unless the endpoint differs measurably. */
  effectiveSpeed(endpoint: EndpointId, nowMs: number): number {
    const { speed, differs } = this.speed(endpoint, nowMs);
    return differs ? speed : 1;
  }

  /** Whether some endpoint differs measurably from its siblings. */
  hasDifferences(nowMs: number): boolean {
    this.#refresh(nowMs);
    return this.#hasDifferences;
  }

  /** Usual gap between events at an endpoint under a load, in milliseconds; 0 while no gap is known. */
  expectedGapMs(endpoint: EndpointId, load: GapLoad, nowMs: number): number {
    this.#refresh(nowMs);
    return this.#usualGapMs(load.running, load.isPrefilling) / this.effectiveSpeed(endpoint, nowMs);
  }

  /** Gap that a fraction of the gaps at an endpoint under a load do not exceed, in milliseconds. */
  gapQuantileMs(endpoint: EndpointId, load: GapLoad, fraction: number, nowMs: number): number {
    const factor = this.#gaps.spreadQuantile(fraction);
    return factor * this.expectedGapMs(endpoint, load, nowMs);
  }

  /** Fraction of the gaps at a speed and under a load that exceed a target. */
  #gapExceedance(
    speed: number,
    running: number,
    isPrefilling: boolean,
    targetGapMs: number,
  ): number {
    let known = this.#exceedances.get(targetGapMs);
    if (known === undefined) this.#exceedances.set(targetGapMs, known = new Map());
    const speedClass = Math.round(SPEED_CLASSES * Math.log(speed));
    const key = (speedClass * MAX_RUNNING + running) * 2 + Number(isPrefilling);
    let exceedance = known.get(key);
    if (exceedance === undefined) {
      const gapMs = this.#usualGapMs(running, isPrefilling) / speed;
      exceedance = gapMs <= 0 ? 0 : this.#gaps.fractionAbove(targetGapMs / gapMs);
      known.set(key, exceedance);
    }
    return exceedance;
  }

  /** Gap between events at the usual speed under a load, in milliseconds; 0 while no gap is known. */
  #usualGapMs(running: number, isPrefilling: boolean): number {
    const base = this.#bases.get("gap");
    if (base === undefined) return 0;
    return this.#gaps.gapMs(base, { running, isPrefilling });
  }

  /**
   * Probability that some gap of a stream exceeds its target, while prompts are prefilled for the usual fraction of the
   * time. Gaps of one slow period count once.
   */
  lateProbability(
    endpoint: EndpointId,
    { running, targetGapMs, gaps }: {
      readonly running: number;
      readonly targetGapMs: number;
      /** Gaps that the stream still has. */
      readonly gaps: number;
    },
    nowMs: number,
  ): number {
    const speed = this.effectiveSpeed(endpoint, nowMs);
    const prefilling = this.#gaps.prefillFraction;
    const exceedance = prefilling * this.#gapExceedance(speed, running, true, targetGapMs) +
      (1 - prefilling) * this.#gapExceedance(speed, running, false, targetGapMs);
    if (exceedance === 0) return 0;
    return probabilityOfAny(exceedance, gaps * this.#usualGapMs(running, false) / speed);
  }

  /** By how much that probability rises for a stream at an endpoint while a prompt is prefilled there. */
  prefillRisk(
    endpoint: EndpointId,
    { running, targetGapMs, durationMs }: {
      readonly running: number;
      readonly targetGapMs: number;
      readonly durationMs: number;
    },
    nowMs: number,
  ): number {
    const speed = this.effectiveSpeed(endpoint, nowMs);
    const withPrefill = this.#gapExceedance(speed, running, true, targetGapMs);
    const without = this.#gapExceedance(speed, running, false, targetGapMs);
    if (withPrefill <= without) return 0;
    return probabilityOfAny(withPrefill, durationMs) - probabilityOfAny(without, durationMs);
  }

  /**
   * Usual response time of a call at an endpoint, in milliseconds; `null` where no endpoint differs, so that each
   * gateway's own measurements are as good.
   */
  expectedCallMs(endpoint: EndpointId, nowMs: number): number | null {
    if (!this.hasDifferences(nowMs)) return null;
    const base = this.#bases.get("call");
    return base === undefined ? null : Math.exp(base) / this.effectiveSpeed(endpoint, nowMs);
  }

  /** Prompt tokens that an endpoint prefills per millisecond. */
  prefillTokensPerMs(endpoint: EndpointId, nowMs: number): number {
    return SHARED_PREFILL_TOKENS_PER_MS * this.effectiveSpeed(endpoint, nowMs);
  }

  /** This gateway's evidence of each endpoint, for the other gateways. */
  summary(nowMs: number): SpeedEvidence[] {
    return [...this.#endpoints].flatMap(([endpoint, state]) => ownEvidence(endpoint, state, nowMs));
  }

  /** Replaces what all gateways together have found. Evidence of endpoints without state here is kept as well. */
  merge(pooled: readonly SpeedEvidence[], nowMs: number): void {
    const byEndpoint = new Map<EndpointId, SpeedEvidence[]>();
    for (const evidence of pooled) {
      const list = byEndpoint.get(evidence.endpoint);
      if (list === undefined) byEndpoint.set(evidence.endpoint, [evidence]);
      else list.push(evidence);
    }
    const spanMs = Math.min(RECENT_MS, nowMs - this.#mergedAtMs);
    this.#mergedAtMs = nowMs;
    for (const [endpoint, list] of byEndpoint) {
      const state = this.#state(endpoint);
      state.pooled = list;
      state.pooledAtMs = nowMs;
      for (const subject of RECENT_SUBJECTS) {
        const latest = list.find(({ measure }) => measure === RECENT_MEASURES[subject]);
        if (latest !== undefined) {
          this.#recent(endpoint, subject).all.record(latest.level, spanMs, nowMs);
        }
      }
    }
    this.#computedAtMs = -Infinity;
    this.#refresh(nowMs);
  }

  /** Forgets an endpoint whose process has ended. */
  forget(endpoint: EndpointId): void {
    this.#endpoints.delete(endpoint);
    this.#estimates.delete(endpoint);
    this.#computedAtMs = -Infinity;
  }

  /** Whether nothing is known of any endpoint. */
  get isEmpty(): boolean {
    return this.#endpoints.size === 0;
  }

  /** Endpoints with evidence, for metrics. */
  endpoints(): Iterable<EndpointId> {
    return this.#endpoints.keys();
  }

  #state(endpoint: EndpointId): EndpointState {
    let state = this.#endpoints.get(endpoint);
    if (state === undefined) {
      state = {
        histograms: new Map(),
        pooled: [],
        pooledAtMs: -Infinity,
        seemsDifferent: false,
        differentForMs: 0,
        recent: new Map(),
        isSlow: false,
      };
      this.#endpoints.set(endpoint, state);
    }
    return state;
  }

  #recent(endpoint: EndpointId, subject: RecentSubject) {
    const { recent } = this.#state(endpoint);
    let levels = recent.get(subject);
    if (levels === undefined) {
      recent.set(subject, levels = { own: new RecentSamples(), all: new RecentLevels() });
    }
    return levels;
  }

  #histogram(endpoint: EndpointId, measure: SpeedMeasure): DecayingHistogram {
    const { histograms } = this.#state(endpoint);
    let histogram = histograms.get(measure);
    if (histogram === undefined) {
      histogram = new DecayingHistogram(this.#options.halfLifeMs);
      histograms.set(measure, histogram);
    }
    return histogram;
  }

  /** Computes the speeds of all endpoints. */
  #refresh(nowMs: number): void {
    if (nowMs - this.#computedAtMs < REFRESH_INTERVAL_MS) return;
    this.#computedAtMs = nowMs;
    this.#exceedances.clear();
    const evidence = new Map<EndpointId, readonly SpeedEvidence[]>();
    for (const [endpoint, state] of this.#endpoints) {
      evidence.set(
        endpoint,
        isPooled(state, nowMs) ? state.pooled : ownEvidence(endpoint, state, nowMs),
      );
    }
    this.#computeBases(evidence);
    const estimates = new Map<EndpointState, SpeedEstimate>();
    const lastingMs: number[] = [];
    for (const [endpoint, list] of evidence) {
      const state = this.#endpoints.get(endpoint)!;
      const estimate = this.#estimate(state, list);
      estimates.set(state, estimate);
      const differentForMs = this.#differentForMs(state, nowMs);
      if (differentForMs < state.differentForMs) {
        this.#group.recordEnded(state.differentForMs, nowMs);
      }
      state.differentForMs = differentForMs;
      if (estimate.differs) lastingMs.push(differentForMs);
    }
    const groupDiffers = this.#group.update(lastingMs, { endpoints: evidence.size, nowMs });
    this.#publish(estimates, groupDiffers);
  }

  /** For how long an endpoint has differed without interruption, by a margin that biases of load do not reach. */
  #differentForMs(state: EndpointState, nowMs: number): number {
    const margin = GROUP_MARGIN * Math.log(this.#options.differenceFactor);
    let longestMs = 0;
    for (const [subject, { own, all }] of state.recent) {
      const base = this.#bases.get(subject);
      if (base === undefined) continue;
      const levels = isPooled(state, nowMs) ? all : own;
      longestMs = Math.max(longestMs, levels.differentForMs(base, margin, nowMs));
    }
    return longestMs;
  }

  /** Sets the estimates that others see: no endpoint differs unless the group does. */
  #publish(estimates: ReadonlyMap<EndpointState, SpeedEstimate>, groupDiffers: boolean): void {
    this.#estimates = new Map();
    this.#hasDifferences = false;
    for (const [endpoint, state] of this.#endpoints) {
      const own = estimates.get(state)!;
      const estimate = { ...own, differs: own.differs && groupDiffers };
      this.#estimates.set(endpoint, estimate);
      this.#hasDifferences ||= estimate.differs;
      const isSlow = estimate.differs && estimate.speed < 1;
      if (isSlow !== state.isSlow) {
        state.isSlow = isSlow;
        this.#options.onSlow(endpoint, isSlow, estimate);
      }
    }
  }

  /** The usual level of each measure: the median of the endpoints, of which those with little evidence count less. */
  #computeBases(evidence: ReadonlyMap<EndpointId, readonly SpeedEvidence[]>): void {
    this.#bases = new Map();
    const all = [...evidence.values()].flat();
    for (const measure of LEVEL_MEASURES) {
      const levels = all.filter((e) => e.measure === measure && e.weight > 0);
      if (levels.length === 0) continue;
      this.#bases.set(
        measure,
        weightedMedian(
          levels.map(({ level, weight }) => ({
            value: level,
            weight: Math.min(weight, MIN_WEIGHT),
          })),
        ),
      );
    }
  }

  #estimate(state: EndpointState, evidence: readonly SpeedEvidence[]): SpeedEstimate {
    let weight = 0;
    let sum = 0;
    for (const { measure, level, weight: known } of evidence) {
      const base = this.#bases.get(measure);
      if (base === undefined) continue;
      const w = measure === "first_event" ? Math.min(known, MAX_FIRST_EVENT_WEIGHT) : known;
      weight += w;
      sum += w * Math.max(level - base, -Math.log(MAX_SPEED));
    }
    const slowness = weight > 0 ? sum / weight : 0;
    const threshold =
      Math.log(this.#options.differenceFactor) * (state.seemsDifferent ? HYSTERESIS : 1) +
      UNCERTAINTY / Math.max(weight, MIN_WEIGHT);
    const isKnown = weight >= MIN_WEIGHT && this.#endpoints.size >= MIN_SIBLINGS;
    state.seemsDifferent = isKnown
      ? Math.abs(slowness) > threshold
      : state.seemsDifferent && weight > 0.1;
    return { speed: Math.exp(-slowness), weight, differs: state.seemsDifferent };
  }
}

function isPooled({ pooled, pooledAtMs }: EndpointState, nowMs: number): boolean {
  return nowMs - pooledAtMs < POOLED_TTL_MS && pooled.length > 0;
}

function ownEvidence(
  endpoint: EndpointId,
  { histograms, recent }: EndpointState,
  nowMs: number,
): SpeedEvidence[] {
  const evidence: SpeedEvidence[] = [];
  for (const [measure, histogram] of histograms) {
    histogram.decay(nowMs);
    const { weight } = histogram;
    if (weight > 0) {
      evidence.push({ endpoint, measure, level: histogram.quantile(LEVEL_QUANTILE), weight });
    }
  }
  for (const [subject, { own }] of recent) {
    const latest = own.latest(nowMs);
    if (latest !== null) {
      evidence.push({ endpoint, measure: RECENT_MEASURES[subject], ...latest });
    }
  }
  return evidence;
}

/** Probability that a gap exceeds a target within a time, if a fraction of the time has such gaps. */
function probabilityOfAny(fraction: number, durationMs: number): number {
  return 1 - Math.exp(-fraction * durationMs / SLOW_PERIOD_MS);
}
