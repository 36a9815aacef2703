/**
 * Learns the distribution of output lengths online, per service and client account. A histogram
 * with logarithmic buckets counts the generations that reached each bucket and those that ended in
 * it. The survival curve follows from these counts (the Kaplan-Meier estimate), so that running and
 * cancelled generations, whose final length is unknown, count as well.
 *
 * @module
 */
import type { AccountId, ServiceId } from "@wisteriapick/core";

const BUCKETS_PER_OCTAVE = 3;
const OCTAVES = 17;
const BUCKET_COUNT = BUCKETS_PER_OCTAVE * OCTAVES;

/** Options of {@link LengthEstimator}. */
export interface LengthEstimatorOptions {
  /** Half-life of the counts, in generations that ended. */
  readonly halfLifeCount?: number;
  /** Weight of the service's distribution in an account's own, in generations. */
  readonly fallbackCount?: number;
  /** Mean of the prior in tokens: lengths are assumed to be log-uniform around it until there is data. */
  readonly priorMeanTokens?: number;
  /** Largest number of services and of accounts; the one that was used or updated longest ago is dropped first. */
  readonly maxKeys?: number;
}

function bucketOf(tokens: number): number {
  return Math.min(BUCKET_COUNT - 1, Math.floor(Math.log2(tokens + 1) * BUCKETS_PER_OCTAVE));
}

function bucketStart(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_OCTAVE) - 1;
}

const BUCKET_STARTS = Array.from({ length: BUCKET_COUNT + 1 }, (_, i) => bucketStart(i));

/** Counts of one service or account, and the survival curve derived from them. */
class Distribution {
  readonly reached = new Float64Array(BUCKET_COUNT);
  readonly ended = new Float64Array(BUCKET_COUNT);
  readonly survival = new Float64Array(BUCKET_COUNT + 1);
  readonly #parent: Distribution | null;
  #endedCount = 0;
  /** Ended generations that {@link survival} takes into account. */
  #usedCount = 0;
  #changes = 0;
  #updatedAt = -1;

  constructor(parent: Distribution | null) {
    this.#parent = parent;
  }

  add(fromBucket: number, toBucket: number, hasEnded: boolean, halfLifeCount: number): void {
    for (let b = fromBucket; b <= toBucket; b++) this.reached[b]! += 1;
    if (hasEnded) this.ended[toBucket]! += 1;
    this.#changes++;
    if (!hasEnded) return;
    this.#endedCount += 1;
    if (this.#endedCount >= 2 * halfLifeCount) this.#halve();
  }

  /** Ended generations that the survival curve takes into account. */
  usedCount(fallbackCount: number): number {
    this.updateSurvival(fallbackCount);
    return this.#usedCount;
  }

  /** Returns the survival curve, recomputed at most once per 8 changes. */
  updateSurvival(fallbackCount: number): Float64Array {
    const parent = this.#parent?.updateSurvival(fallbackCount) ?? null;
    if (this.#updatedAt >= 0 && this.#changes - this.#updatedAt < 8) return this.survival;
    this.#updatedAt = this.#changes;
    this.#usedCount = this.#endedCount;
    this.survival[0] = 1;
    for (let b = 0; b < BUCKET_COUNT; b++) {
      const parentNow = parent?.[b] ?? 1;
      const parentNext = parent?.[b + 1] ?? 1;
      const parentHazard = parentNow > 0 ? 1 - parentNext / parentNow : 1;
      // The parent counts as `fallbackCount` generations, scaled down to those that would reach this bucket.
      const weight = parent === null ? 0 : Math.max(1, fallbackCount * parentNow);
      const atRisk = this.reached[b]! + weight;
      const hazard = atRisk > 0 ? (this.ended[b]! + weight * parentHazard) / atRisk : 0;
      this.survival[b + 1] = this.survival[b]! * (1 - hazard);
    }
    return this.survival;
  }

  /** Sets a fixed curve on which the probability of reaching a length falls linearly in its logarithm. */
  setPrior(meanTokens: number): void {
    const last = Math.min(BUCKET_COUNT, bucketOf(meanTokens * 12) + 1);
    for (let b = 0; b <= BUCKET_COUNT; b++) this.survival[b] = Math.max(0, 1 - b / last);
    this.#updatedAt = Infinity;
  }

  #halve(): void {
    for (let b = 0; b < BUCKET_COUNT; b++) {
      this.reached[b]! /= 2;
      this.ended[b]! /= 2;
    }
    this.#endedCount /= 2;
  }
}

/** Interpolates a survival curve linearly within a bucket. */
function interpolate(curve: Float64Array, tokens: number): number {
  const b = bucketOf(tokens);
  const from = BUCKET_STARTS[b]!;
  const to = BUCKET_STARTS[b + 1]!;
  const fraction = Math.min(1, (tokens - from) / (to - from));
  return curve[b]! + (curve[b + 1]! - curve[b]!) * fraction;
}

/**
 * Estimates how many more tokens a generation will produce, given what it has produced.
 *
 * @example
 * ```ts
 * const lengths = new LengthEstimator();
 * lengths.recordEnd(service, account, 180);
 * lengths.survival(service, account, 100, 500); // probability of exceeding 600 tokens, having reached 100
 * ```
 */
export class LengthEstimator {
  readonly #halfLifeCount: number;
  readonly #fallbackCount: number;
  readonly #maxKeys: number;
  readonly #prior = new Distribution(null);
  readonly #services = new Map<string, Distribution>();
  readonly #accounts = new Map<string, Distribution>();

  constructor(options: LengthEstimatorOptions = {}) {
    this.#halfLifeCount = options.halfLifeCount ?? 512;
    this.#fallbackCount = options.fallbackCount ?? 12;
    this.#maxKeys = options.maxKeys ?? 512;
    this.#prior.setPrior(options.priorMeanTokens ?? 400);
  }

  /** Records that a running generation has reached `tokens`; `before` is the length recorded last, 0 for none. */
  recordProgress(service: ServiceId, account: AccountId, before: number, tokens: number): void {
    const from = before === 0 ? 0 : bucketOf(before) + 1;
    const to = bucketOf(tokens);
    if (to < from) return;
    this.#distributionOfService(service).add(from, to, false, this.#halfLifeCount);
    this.#distributionOfAccount(service, account).add(from, to, false, this.#halfLifeCount);
  }

  /** Records that a generation ended at `tokens`; `before` as in {@link recordProgress}. */
  recordEnd(service: ServiceId, account: AccountId, tokens: number, before = 0): void {
    const from = before === 0 ? 0 : bucketOf(before) + 1;
    const to = bucketOf(tokens);
    this.#distributionOfService(service).add(from, to, true, this.#halfLifeCount);
    this.#distributionOfAccount(service, account).add(from, to, true, this.#halfLifeCount);
  }

  /** The probability that a generation that has reached `produced` tokens reaches `extra` more. */
  survival(service: ServiceId, account: AccountId, produced: number, extra: number): number {
    return conditionalSurvival(this.survivalCurve(service, account), produced, extra);
  }

  /** The expected number of further tokens after `produced`, at most `limit`. */
  expectedRemaining(
    service: ServiceId,
    account: AccountId,
    produced = 0,
    limit = Infinity,
  ): number {
    const curve = this.survivalCurve(service, account);
    const survivalNow = interpolate(curve, produced);
    if (survivalNow <= 0) return Math.min(limit, Math.max(1, produced * 0.5));
    let sum = 0;
    for (let b = bucketOf(produced); b < BUCKET_COUNT; b++) {
      const from = Math.max(produced, BUCKET_STARTS[b]!);
      const to = Math.min(produced + limit, BUCKET_STARTS[b + 1]!);
      if (to <= from) break;
      sum += (to - from) * (interpolate(curve, from) + interpolate(curve, to - 1e-9)) / 2;
    }
    return Math.max(1, sum / survivalNow);
  }

  /** The survival curve of an account, for {@link conditionalSurvival}. Valid until the next call that records. */
  survivalCurve(service: ServiceId, account: AccountId): Float64Array {
    const found = this.#accounts.get(`${service}/${account}`);
    return (found ?? this.#distributionOfService(service)).updateSurvival(this.#fallbackCount);
  }

  /**
   * How many generations have ended from which the estimates for a service follow, as a multiple of those that the prior
   * counts as.
   */
  evidence(service: ServiceId): number {
    const dist = this.#services.get(service);
    return dist === undefined ? 0 : dist.usedCount(this.#fallbackCount) / this.#fallbackCount;
  }

  /** Approximate memory in use, in bytes. */
  stateBytes(): number {
    const perKey = (3 * BUCKET_COUNT + 1) * 8 + 100;
    return (this.#services.size + this.#accounts.size + 1) * perKey;
  }

  #distributionOfService(service: ServiceId): Distribution {
    let dist = this.#services.get(service);
    if (dist === undefined) dist = new Distribution(this.#prior);
    else this.#services.delete(service);
    this.#services.set(service, dist);
    if (this.#services.size > this.#maxKeys) {
      this.#services.delete(this.#services.keys().next().value!);
    }
    return dist;
  }

  #distributionOfAccount(service: ServiceId, account: AccountId): Distribution {
    const key = `${service}/${account}`;
    let dist = this.#accounts.get(key);
    if (dist === undefined) dist = new Distribution(this.#distributionOfService(service));
    else this.#accounts.delete(key);
    this.#accounts.set(key, dist);
    if (this.#accounts.size > this.#maxKeys) {
      this.#accounts.delete(this.#accounts.keys().next().value!);
    }
    return dist;
  }
}

/** The probability of reaching `produced + extra` tokens on a survival curve, given that `produced` were reached. */
export function conditionalSurvival(curve: Float64Array, produced: number, extra: number): number {
  const survivalNow = interpolate(curve, produced);
  // Beyond every length seen, a generation is assumed to double its length with probability one half.
  if (survivalNow <= 1e-6) return (produced + 1) / (produced + 1 + extra);
  return interpolate(curve, produced + extra) / survivalNow;
}
