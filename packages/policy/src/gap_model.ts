/**
 * What is common to the gaps between events at all engines of a service: how they grow with the load, how they spread
 * around the usual one, and for which part of the time prompts are prefilled.
 *
 * Load pattern: engines that bear different loads are compared with each other. What a load explains is learned from the
 * differences between loads at the same engine, so that it does not matter which engines bear which load.
 *
 * @module
 */
import { DecayingHistogram } from "./decaying_histogram.ts";

/** The load of an endpoint that a gap depends on. */
export interface GapLoad {
  readonly running: number;
  readonly isPrefilling: boolean;
}

/** Time of a step without runs, for each run, and for a chunk of a prompt: only their ratios matter. */
const STEP_MS = 7;
const STEP_MS_PER_RUN = 0.12;
const STEP_MS_OF_CHUNK = 8;
/** Runs in one class of loads. */
const RUNS_PER_LOAD_CLASS = 4;
const MAX_LOAD_CLASS = 8;
/** Weight at which the measured difference between loads counts as much as the assumed one. */
const LOAD_PRIOR_WEIGHT = 20;
/** Half-life of what is learned about the load and the spread of gaps, in milliseconds: it belongs to no endpoint. */
const SHARED_HALF_LIFE_MS = 30_000;
/** Assumed spread until it is known: a gap is 2.5 times its usual one at this rate, with this weight. */
const PRIOR_SPREAD = { factor: 2.5, fraction: 0.1, weight: 20 };
/** Fraction of the time at which prompts are prefilled until it is known. */
const PRIOR_PREFILL = { fraction: 0.5, weight: 20 };

/** Number of gaps over which that fraction is averaged. */
const PREFILL_MEMORY = 1_000;
/** Quantile that stands for the usual gap: below the median, as disturbances make gaps longer only. */
export const LEVEL_QUANTILE = 0.4;

/** The gaps of all engines of a service. Times are relative to what is assumed of a step, which only ratios matter of. */
export class GapModel {
  /** By how much gaps at a class of loads differ from the assumed ones at the same engine. */
  readonly #loads = new Map<number, DecayingHistogram>();
  /** Gaps in relation to the usual ones of their engine and load. */
  readonly #spread = new DecayingHistogram(SHARED_HALF_LIFE_MS);
  #prefillWeight = PRIOR_PREFILL.weight * PRIOR_PREFILL.fraction;
  #totalWeight = PRIOR_PREFILL.weight;

  /** Logarithm of a gap in relation to what its load explains. */
  relativeLog(gapMs: number, load: GapLoad): number {
    return Math.log(gapMs / stepMs(load)) - this.#offset(load);
  }

  /** Gap that a load explains at an engine of a level, in milliseconds. */
  gapMs(level: number, load: GapLoad): number {
    return stepMs(load) * Math.exp(level + this.#offset(load));
  }

  /** Records a gap at an engine whose usual level is known. */
  record(gapMs: number, load: GapLoad, { level, weight, nowMs }: {
    readonly level: number;
    readonly weight: number;
    readonly nowMs: number;
  }): void {
    this.#spread.record(this.relativeLog(gapMs, load) - level, weight, nowMs);
    const key = loadClass(load);
    let histogram = this.#loads.get(key);
    if (histogram === undefined) {
      histogram = new DecayingHistogram(SHARED_HALF_LIFE_MS);
      this.#loads.set(key, histogram);
    }
    histogram.record(Math.log(gapMs / stepMs(load)) - level, weight, nowMs);
    const kept = 1 - 1 / PREFILL_MEMORY;
    this.#prefillWeight = kept * this.#prefillWeight + (load.isPrefilling ? weight : 0);
    this.#totalWeight = kept * this.#totalWeight + weight;
  }

  /** Fraction of the time for which prompts are prefilled at an engine. */
  get prefillFraction(): number {
    return this.#prefillWeight / this.#totalWeight;
  }

  /** Fraction of the gaps that are longer than the usual one by a factor. */
  fractionAbove(factor: number): number {
    const { weight } = this.#spread;
    const prior = factor < PRIOR_SPREAD.factor ? PRIOR_SPREAD.fraction : 0;
    const priorAbove = factor < 1 ? 1 : prior;
    const known = weight * this.#spread.fractionAbove(Math.log(factor));
    return (known + PRIOR_SPREAD.weight * priorAbove) / (weight + PRIOR_SPREAD.weight);
  }

  /** Factor on the usual gap that a fraction of the gaps do not exceed. */
  spreadQuantile(fraction: number): number {
    const usual = Math.max(1, Math.exp(this.#spread.quantile(fraction)));
    const known = this.#spread.weight / (this.#spread.weight + PRIOR_SPREAD.weight);
    return known * usual + (1 - known) * PRIOR_SPREAD.factor;
  }

  #offset(load: GapLoad): number {
    const histogram = this.#loads.get(loadClass(load));
    if (histogram === undefined) return 0;
    const { weight } = histogram;
    return histogram.quantile(LEVEL_QUANTILE) * weight / (weight + LOAD_PRIOR_WEIGHT);
  }
}

/** Assumed time of a step under a load, of which only ratios matter. */
function stepMs({ running, isPrefilling }: GapLoad): number {
  return STEP_MS + STEP_MS_PER_RUN * running + (isPrefilling ? STEP_MS_OF_CHUNK : 0);
}

function loadClass({ running, isPrefilling }: GapLoad): number {
  const runs = Math.min(MAX_LOAD_CLASS, Math.floor(running / RUNS_PER_LOAD_CLASS));
  return 2 * runs + Number(isPrefilling);
}
