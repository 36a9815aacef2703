/**
 * Pools what the gateways have found of the speeds of endpoints.
 *
 * Load pattern: many gateways that each see few runs of an engine, of which some run on hosts that delay what they read.
 * What one gateway reports counts at most as much as the median of the reports, so that no gateway decides alone.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import type { SpeedMeasure } from "./endpoint_speed.ts";
import { weightedMedian } from "./recent_levels.ts";

/** Evidence of an endpoint's speed by one measure. */
export interface SpeedEvidence {
  readonly endpoint: EndpointId;
  readonly measure: SpeedMeasure;
  /** Logarithm of the measured time in relation to an assumed one, which is the same at all gateways. */
  readonly level: number;
  readonly weight: number;
}

interface Report<E> {
  readonly evidence: readonly E[];
  readonly atMs: number;
}

/** What one gateway reports of one endpoint. */
interface Reported<E> {
  readonly gateway: string;
  readonly evidence: E;
}

/** Time for which a report counts, in milliseconds: several times the interval between reports. */
const REPORT_TTL_MS = 2_000;
/**
 * Largest weight of each measure that a single gateway reports where others could have reported as well. Two measures of
 * one gateway together stay below the weight from which on an endpoint counts as different.
 */
const MAX_SINGLE_WEIGHT = 0.9;
/** Number of endpoints that a gateway must see together with others before it is known to measure longer times. */
const MIN_SHARED_ENDPOINTS = 3;
/** Difference of logarithms up to which it is noise. */
const MIN_BIAS = 0.2;

/** The newest report of each gateway. Evidence of different processes of one endpoint is not pooled. */
export class SpeedPool<E extends SpeedEvidence & { readonly startedAtUnixMs?: number | null }> {
  readonly #reports = new Map<string, Report<E>>();

  /** Replaces the report of a gateway. */
  record(gateway: string, evidence: readonly E[], atMs: number): void {
    this.#reports.set(gateway, { evidence, atMs });
  }

  /** Removes the report of a gateway that has ended. */
  remove(gateway: string): void {
    this.#reports.delete(gateway);
  }

  /** Removes all reports, as another gateway pools them. */
  clear(): void {
    this.#reports.clear();
  }

  /** Pools the reports, less what a gateway measures longer or shorter at all endpoints than others do. */
  pooled(nowMs: number): E[] {
    const groups = new Map<string, Reported<E>[]>();
    for (const [gateway, { evidence, atMs }] of this.#reports) {
      if (nowMs - atMs > REPORT_TTL_MS) {
        this.#reports.delete(gateway);
        continue;
      }
      for (const e of evidence) {
        const key = `${e.measure} ${e.startedAtUnixMs ?? ""} ${e.endpoint}`;
        const group = groups.get(key);
        if (group === undefined) groups.set(key, [{ gateway, evidence: e }]);
        else group.push({ gateway, evidence: e });
      }
    }
    const isAlone = this.#reports.size <= 1;
    const biases = biasesOf([...groups.values()]);
    return [...groups.values()].map((group) => {
      const corrected = group.map(({ gateway, evidence: e }) => {
        const bias = biases.get(`${e.measure} ${gateway}`) ?? 0;
        return bias === 0 ? e : { ...e, level: e.level - bias };
      });
      return pool(corrected, isAlone);
    });
  }
}

/** By how much gateways differ from the others at the endpoints that they have in common, by measure and gateway. */
function biasesOf<E extends SpeedEvidence>(
  groups: readonly (readonly Reported<E>[])[],
): ReadonlyMap<string, number> {
  const differences = new Map<string, number[]>();
  for (const group of groups) {
    if (group.length < 2) continue;
    const { level } = pool(group.map(({ evidence }) => evidence), false);
    for (const { gateway, evidence } of group) {
      const key = `${evidence.measure} ${gateway}`;
      const list = differences.get(key);
      if (list === undefined) differences.set(key, [evidence.level - level]);
      else list.push(evidence.level - level);
    }
  }
  const biases = new Map<string, number>();
  for (const [key, list] of differences) {
    if (list.length < MIN_SHARED_ENDPOINTS) continue;
    const bias = weightedMedian(list.map((value) => ({ value, weight: 1 })));
    if (Math.abs(bias) >= MIN_BIAS) biases.set(key, bias);
  }
  return biases;
}

function pool<E extends SpeedEvidence>(group: readonly E[], isAlone: boolean): E {
  const [first] = group;
  if (group.length === 1) {
    const weight = isAlone ? first!.weight : Math.min(first!.weight, MAX_SINGLE_WEIGHT);
    return { ...first!, weight };
  }
  const weights = group.map(({ weight }) => weight).sort((a, b) => a - b);
  const cap = weights[(weights.length - 1) >> 1]!;
  const capped = group.map(({ level, weight }) => ({
    value: level,
    weight: Math.min(weight, cap),
  }));
  return {
    ...first!,
    level: weightedMedian(capped),
    weight: capped.reduce((sum, { weight }) => sum + weight, 0),
  };
}
