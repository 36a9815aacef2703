/**
 * A mixture sequential probability ratio test that compares the rates of bad events of two
 * versions. It decides whether the new version is worse than tolerated, and may be evaluated after
 * every batch without raising its error rate.
 *
 * In each batch, given the number of bad events of both versions together, the number at the new
 * version follows a binomial distribution whose probability depends only on the exposures and on
 * the ratio of the two rates. The rates themselves cancel out, so they may change from batch to
 * batch, route to route and load level to load level. The likelihood ratio against the largest
 * tolerated ratio is a supermartingale while the new version is within tolerance, and by Ville's
 * inequality it ever exceeds 1/alpha with probability at most alpha.
 *
 * @module
 */

/** Ratio of the bad rates, new to old, up to which the new version is not called worse. */
export const TOLERATED_RATIO = 1.25;
/** Alternative ratios that the test detects, mixed with equal weights. */
const BAD_RATIOS = [2, 4, 16];
/**
 * Lower bound of the old version's rate of bad events in a batch, so that a new version is not
 * called worse for a single bad event among many good ones.
 */
const MIN_OLD_RATE = 0.002;

/**
 * Batches after which a further component of the mixture starts. A version that was good for long
 * may turn bad, and its evidence from before would hide that; a new component starts without it.
 * Component j has the weight 1/(j(j+1)). The weights sum to 1, so the error rate of the mixture is
 * still alpha.
 */
const COMPONENT_START_BATCHES = 16;
/** Components kept besides the first; the oldest of them is dropped, which only lowers the evidence. */
const MAX_LATER_COMPONENTS = 4;

/** One component of the mixture: its weight, and its likelihood ratios by {@link BAD_RATIOS}, as logarithms. */
interface MixtureComponent {
  readonly logWeight: number;
  readonly logRatios: number[];
}

/** Exposure and bad events of both versions in one batch. */
export interface Batch {
  readonly newExposure: number;
  readonly newBad: number;
  readonly oldExposure: number;
  readonly oldBad: number;
}

/** Evidence against a new version by one metric in one stratum. */
export class SequentialTest {
  #components: MixtureComponent[] = [];
  #batches = 0;
  /** Number of bad events that count as one, for events that come in clusters. */
  readonly #clusterSize: number;
  newExposure = 0;
  newBad = 0;
  oldExposure = 0;
  oldBad = 0;

  constructor({ clusterSize = 1 }: { clusterSize?: number } = {}) {
    this.#clusterSize = clusterSize;
  }

  /** Adds the events of one batch. */
  add(batch: Batch): void {
    this.newExposure += batch.newExposure;
    this.newBad += batch.newBad;
    this.oldExposure += batch.oldExposure;
    this.oldBad += batch.oldBad;
    const { newExposure: n, oldExposure: m } = batch;
    // A batch that lacks exposure of either version is no evidence on the ratio of their rates.
    if (n === 0 || m === 0) return;
    const oldBad = Math.max(batch.oldBad, MIN_OLD_RATE * m);
    const baseline = logLikelihood(TOLERATED_RATIO, n, m, batch.newBad, oldBad);
    const increments = BAD_RATIOS.map((ratio) =>
      (logLikelihood(ratio, n, m, batch.newBad, oldBad) - baseline) / this.#clusterSize
    );
    this.#startComponentWhenDue();
    for (const { logRatios } of this.#components) {
      increments.forEach((increment, i) => logRatios[i]! += increment);
    }
  }

  #startComponentWhenDue(): void {
    if (this.#batches++ % COMPONENT_START_BATCHES !== 0) return;
    const j = (this.#batches - 1) / COMPONENT_START_BATCHES + 1;
    this.#components.push({
      logWeight: -Math.log(j * (j + 1)),
      logRatios: BAD_RATIOS.map(() => 0),
    });
    if (this.#components.length > MAX_LATER_COMPONENTS + 1) this.#components.splice(1, 1);
  }

  /** Natural logarithm of the evidence that the new version is worse than tolerated. */
  logEvidence(): number {
    if (this.#components.length === 0) return 0;
    const logs = this.#components.map((p) => p.logWeight + logMean(p.logRatios));
    return logMean(logs) + Math.log(logs.length);
  }

  /** The largest evidence of one component, as a logarithm and without its weight: a warning, not a verdict. */
  maxLogRatio(): number {
    return Math.max(0, ...this.#components.map((p) => logMean(p.logRatios)));
  }

  /** Whether the new version is shown to be worse than tolerated at error rate `alpha`. */
  isBad(alpha: number): boolean {
    return this.logEvidence() >= Math.log(1 / alpha);
  }

  /**
   * Upper bound on the difference between the new version's rate and the old one's, at error rate
   * `beta` for a single evaluation: Wilson's bound of the new rate, less the estimate of the old
   * one.
   */
  excessBound(beta: number): number {
    if (this.newExposure === 0) return 1;
    const n = this.newExposure / this.#clusterSize;
    const p = this.newBad / this.newExposure;
    const z = normalQuantile(1 - beta);
    const centre = p + z * z / (2 * n);
    const halfWidth = z * Math.sqrt(p * (1 - p) / n + z * z / (4 * n * n));
    const upper = (centre + halfWidth) / (1 + z * z / n);
    const old = this.oldExposure === 0 ? 0 : this.oldBad / this.oldExposure;
    return upper - old;
  }
}

/** Logarithm of the mean of numbers that are given as logarithms. */
function logMean(logs: readonly number[]): number {
  const top = Math.max(...logs);
  return top + Math.log(logs.reduce((s, l) => s + Math.exp(l - top), 0) / logs.length);
}

/** Log-likelihood of a batch when the new version's rate is `ratio` times the old one's. */
function logLikelihood(ratio: number, n: number, m: number, newBad: number, oldBad: number) {
  const totalWeight = ratio * n + m;
  return newBad * Math.log(ratio * n / totalWeight) + oldBad * Math.log(m / totalWeight);
}

/** Quantile of the normal distribution by approximation 26.2.23 of Abramowitz and Stegun; its error is below 5e-4. */
function normalQuantile(p: number): number {
  const t = Math.sqrt(-2 * Math.log(Math.min(p, 1 - p)));
  const num = 2.515517 + t * (0.802853 + t * 0.010328);
  const den = 1 + t * (1.432788 + t * (0.189269 + t * 0.001308));
  const x = t - num / den;
  return p < 0.5 ? -x : x;
}
