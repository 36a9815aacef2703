/**
 * Output lengths, learned online. A length histogram on a logarithmic scale keeps, per bucket, how many
 * generations reached it and how many ended in it, so that running and cancelled generations count too.
 *
 * @module
 */
import type { AccountId, ServiceId } from "@wisteriapick/core";

const BUCKETS_PER_OCTAVE = 3;
const OCTAVES = 17;
const BUCKETS = BUCKETS_PER_OCTAVE * OCTAVES;

/** Options of {@link LengthEstimator}. */
export interface LengthEstimatorOptions {
  /** Generations after which older ones count half. */
  readonly halfLifeCount?: number;
  /** Weight of the service's distribution against an account's own, in generations. */
  readonly fallbackCount?: number;
  /** Mean of the prior in tokens: lengths are taken as log-uniform around it until there are data. */
  readonly priorMeanTokens?: number;
  /** Accounts kept; the least recently used are forgotten. */
  readonly maxKeys?: number;
}

function bucketOf(tokens: number): number {
  return Math.min(BUCKETS - 1, Math.floor(Math.log2(tokens + 1) * BUCKETS_PER_OCTAVE));
}

function bucketStart(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_OCTAVE) - 1;
}

const BUCKET_STARTS = Array.from({ length: BUCKETS + 1 }, (_, i) => bucketStart(i));

/** Counts of one key and the survival curve derived from them. */
class Distribution {
  readonly reached = new Float64Array(BUCKETS);
  readonly ended = new Float64Array(BUCKETS);
  readonly survival = new Float64Array(BUCKETS + 1);
  readonly #parent: Distribution | null;
  #total = 0;
  #changes = 0;
  #derivedAt = -1;

  constructor(parent: Distribution | null) {
    this.#parent = parent;
  }

  add(fromBucket: number, toBucket: number, ended: boolean, halfLife: number): void {
    for (let b = fromBucket; b <= toBucket; b++) this.reached[b]! += 1;
    if (ended) this.ended[toBucket]! += 1;
    this.#changes++;
    if (!ended) return;
    this.#total += 1;
    if (this.#total >= 2 * halfLife) this.#halve();
  }

  /** Brings the survival curve up to date. Rebuilt at most once per few changes. */
  derive(fallback: number): Float64Array {
    const parent = this.#parent?.derive(fallback) ?? null;
    if (this.#derivedAt >= 0 && this.#changes - this.#derivedAt < 8) return this.survival;
    this.#derivedAt = this.#changes;
    this.survival[0] = 1;
    for (let b = 0; b < BUCKETS; b++) {
      const p0 = parent?.[b] ?? 1;
      const p1 = parent?.[b + 1] ?? 1;
      const parentHazard = p0 > 0 ? 1 - p1 / p0 : 1;
      // The parent counts like `fallback` generations, scaled down to those that would reach this bucket.
      const weight = parent === null ? 0 : Math.max(1, fallback * p0);
      const n = this.reached[b]! + weight;
      const hazard = n > 0 ? (this.ended[b]! + weight * parentHazard) / n : 0;
      this.survival[b + 1] = this.survival[b]! * (1 - hazard);
    }
    return this.survival;
  }

  /** A fixed curve: the chance to reach a length falls linearly in its logarithm. */
  setPrior(meanTokens: number): void {
    const last = Math.min(BUCKETS, bucketOf(meanTokens * 12) + 1);
    for (let b = 0; b <= BUCKETS; b++) this.survival[b] = Math.max(0, 1 - b / last);
    this.#derivedAt = Infinity;
  }

  #halve(): void {
    for (let b = 0; b < BUCKETS; b++) {
      this.reached[b]! /= 2;
      this.ended[b]! /= 2;
    }
    this.#total /= 2;
  }
}

function at(curve: Float64Array, tokens: number): number {
  const b = bucketOf(tokens);
  const from = BUCKET_STARTS[b]!;
  const to = BUCKET_STARTS[b + 1]!;
  const f = Math.min(1, (tokens - from) / (to - from));
  return curve[b]! + (curve[b + 1]! - curve[b]!) * f;
}

/**
 * Estimates how long a generation still runs, given what it has produced.
 *
 * @example
 * ```ts
 * const lengths = new LengthEstimator();
 * lengths.recordEnd(service, account, 180);
 * lengths.survival(service, account, 100, 500); // chance to outlive 600 tokens, having reached 100
 * ```
 */
export class LengthEstimator {
  readonly #halfLife: number;
  readonly #fallback: number;
  readonly #maxKeys: number;
  readonly #prior = new Distribution(null);
  readonly #services = new Map<string, Distribution>();
  readonly #accounts = new Map<string, Distribution>();

  constructor(options: LengthEstimatorOptions = {}) {
    this.#halfLife = options.halfLifeCount ?? 512;
    this.#fallback = options.fallbackCount ?? 12;
    this.#maxKeys = options.maxKeys ?? 512;
    this.#prior.setPrior(options.priorMeanTokens ?? 400);
  }

  /** Records that a generation reached `tokens`, having been recorded up to `before` tokens. */
  recordProgress(service: ServiceId, account: AccountId, before: number, tokens: number): void {
    const from = before === 0 ? 0 : bucketOf(before) + 1;
    const to = bucketOf(tokens);
    if (to < from) return;
    this.#service(service).add(from, to, false, this.#halfLife);
    this.#account(service, account).add(from, to, false, this.#halfLife);
  }

  /** Records the end of a generation at `tokens`; `before` as in {@link recordProgress}. */
  recordEnd(service: ServiceId, account: AccountId, tokens: number, before = 0): void {
    const from = before === 0 ? 0 : bucketOf(before) + 1;
    const to = bucketOf(tokens);
    this.#service(service).add(from, to, true, this.#halfLife);
    this.#account(service, account).add(from, to, true, this.#halfLife);
  }

  /** The chance that a generation that has reached `produced` tokens reaches `extra` more. */
  survival(service: ServiceId, account: AccountId, produced: number, extra: number): number {
    return conditional(this.survivalCurve(service, account), produced, extra);
  }

  /** Expected further tokens after `produced`, at most `limit`. */
  expectedRemaining(
    service: ServiceId,
    account: AccountId,
    produced = 0,
    limit = Infinity,
  ): number {
    const curve = this.survivalCurve(service, account);
    const alive = at(curve, produced);
    if (alive <= 0) return Math.min(limit, Math.max(1, produced * 0.5));
    let sum = 0;
    for (let b = bucketOf(produced); b < BUCKETS; b++) {
      const from = Math.max(produced, BUCKET_STARTS[b]!);
      const to = Math.min(produced + limit, BUCKET_STARTS[b + 1]!);
      if (to <= from) break;
      sum += (to - from) * (at(curve, from) + at(curve, to - 1e-9)) / 2;
    }
    return Math.max(1, sum / alive);
  }

  /** The survival curve of a key, for {@link conditional}. Valid until the next record. */
  survivalCurve(service: ServiceId, account: AccountId): Float64Array {
    const found = this.#accounts.get(`${service}/${account}`);
    return (found ?? this.#service(service)).derive(this.#fallback);
  }

  /** Approximate bytes held. */
  stateBytes(): number {
    const perKey = (3 * BUCKETS + 1) * 8 + 100;
    return (this.#services.size + this.#accounts.size + 1) * perKey;
  }

  #service(service: ServiceId): Distribution {
    let dist = this.#services.get(service);
    if (dist === undefined) {
      dist = new Distribution(this.#prior);
      this.#services.set(service, dist);
    }
    return dist;
  }

  #account(service: ServiceId, account: AccountId): Distribution {
    const key = `${service}/${account}`;
    let dist = this.#accounts.get(key);
    if (dist === undefined) dist = new Distribution(this.#service(service));
    else this.#accounts.delete(key);
    this.#accounts.set(key, dist);
    if (this.#accounts.size > this.#maxKeys) {
      this.#accounts.delete(this.#accounts.keys().next().value!);
    }
    return dist;
  }
}

/** The chance to reach `produced + extra` tokens under a survival curve, given `produced`. */
export function conditional(curve: Float64Array, produced: number, extra: number): number {
  const alive = at(curve, produced);
  // Beyond everything ever seen, a generation is taken to double its length with chance one half.
  if (alive <= 1e-6) return (produced + 1) / (produced + 1 + extra);
  return at(curve, produced + extra) / alive;
}
