/**
 * A sequential comparison of two versions that may be looked at after every batch.
 *
 * In each batch, given how many bad events both versions had together, the number at the new version follows a
 * binomial law whose probability depends only on the exposures and on the ratio of the two rates. The rates
 * themselves cancel out, so they may change from batch to batch, route to route and load level to load level.
 * The likelihood ratio against the largest tolerated ratio is a supermartingale while the new version is
 * within tolerance, and by Ville's inequality it ever exceeds 1/alpha with probability at most alpha.
 *
 * @module
 */

/** A new version may be this much worse without being called bad. */
export const TOLERATED_RATIO = 1.25;
/** Ratios that the test looks for, mixed with equal weights. */
const BAD_RATIOS = [2, 4, 16];
/**
 * Bad events of the old version are taken to be at least this share of its exposure, so that a new version is
 * not condemned for a single bad event among many good ones.
 */
const FLOOR_RATE = 0.002;

/**
 * A version that was good for long may turn bad. The evidence of the good time would hide it, so a fresh
 * process starts every so many batches. Process j has the weight 1/(j(j+1)); the weights sum to 1, so the error
 * rate of the mixture is still alpha.
 */
const EPOCH_BATCHES = 16;
/** Processes kept besides the first; dropping one only lowers the evidence. */
const KEPT_EPOCHS = 4;

interface Epoch {
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

/** Evidence against a new version in one stratum. */
export class SequentialTest {
  #epochs: Epoch[] = [];
  #batches = 0;
  /** Events that come in clusters count as this many times fewer. */
  readonly #clustering: number;
  newExposure = 0;
  newBad = 0;
  oldExposure = 0;
  oldBad = 0;

  constructor({ clustering = 1 }: { clustering?: number } = {}) {
    this.#clustering = clustering;
  }

  /** Adds one batch. */
  add(batch: Batch): void {
    this.newExposure += batch.newExposure;
    this.newBad += batch.newBad;
    this.oldExposure += batch.oldExposure;
    this.oldBad += batch.oldBad;
    const { newExposure: n, oldExposure: m } = batch;
    // Without both versions at the same time the batch says nothing about their ratio.
    if (n === 0 || m === 0) return;
    const oldBad = Math.max(batch.oldBad, FLOOR_RATE * m);
    const base = logLikelihood(TOLERATED_RATIO, n, m, batch.newBad, oldBad);
    const gains = BAD_RATIOS.map((ratio) =>
      (logLikelihood(ratio, n, m, batch.newBad, oldBad) - base) / this.#clustering
    );
    this.#startEpochWhenDue();
    for (const { logRatios } of this.#epochs) {
      gains.forEach((gain, i) => logRatios[i]! += gain);
    }
  }

  #startEpochWhenDue(): void {
    if (this.#batches++ % EPOCH_BATCHES !== 0) return;
    const j = (this.#batches - 1) / EPOCH_BATCHES + 1;
    this.#epochs.push({ logWeight: -Math.log(j * (j + 1)), logRatios: BAD_RATIOS.map(() => 0) });
    if (this.#epochs.length > KEPT_EPOCHS + 1) this.#epochs.splice(1, 1);
  }

  /** Natural logarithm of the evidence that the new version is worse than tolerated. */
  logEvidence(): number {
    if (this.#epochs.length === 0) return 0;
    const logs = this.#epochs.map((e) => e.logWeight + logMean(e.logRatios));
    return logMean(logs) + Math.log(logs.length);
  }

  /** The evidence of the process that sees most, without its weight: a reason to wait, not a verdict. */
  maxLogRatio(): number {
    return Math.max(0, ...this.#epochs.map((e) => logMean(e.logRatios)));
  }

  /** Whether the new version is condemned at error rate `alpha`. */
  isBad(alpha: number): boolean {
    return this.logEvidence() >= Math.log(1 / alpha);
  }

  /**
   * Upper bound on how much worse the new version's rate is than the old one's, at error rate `beta` for one
   * look. Wilson's bound for the new rate against the old one's estimate.
   */
  excessBound(beta: number): number {
    if (this.newExposure === 0) return 1;
    const n = this.newExposure / this.#clustering;
    const p = this.newBad / this.newExposure;
    const z = normalQuantile(1 - beta);
    const centre = p + z * z / (2 * n);
    const spread = z * Math.sqrt(p * (1 - p) / n + z * z / (4 * n * n));
    const upper = (centre + spread) / (1 + z * z / n);
    const old = this.oldExposure === 0 ? 0 : this.oldBad / this.oldExposure;
    return upper - old;
  }
}

/** Logarithm of the mean of numbers given by their logarithms. */
function logMean(logs: readonly number[]): number {
  const top = Math.max(...logs);
  return top + Math.log(logs.reduce((s, l) => s + Math.exp(l - top), 0) / logs.length);
}

function logLikelihood(ratio: number, n: number, m: number, newBad: number, oldBad: number) {
  const total = ratio * n + m;
  return newBad * Math.log(ratio * n / total) + oldBad * Math.log(m / total);
}

/** Quantile of the normal law by the rational approximation 26.2.23 of Abramowitz and Stegun; error below 5e-4. */
function normalQuantile(p: number): number {
  const t = Math.sqrt(-2 * Math.log(Math.min(p, 1 - p)));
  const num = 2.515517 + t * (0.802853 + t * 0.010328);
  const den = 1 + t * (1.432788 + t * (0.189269 + t * 0.001308));
  const x = t - num / den;
  return p < 0.5 ? -x : x;
}
