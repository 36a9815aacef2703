/**
 * Decides from the evidence of a version move whether the new version is worse than the old one, or
 * non-inferior to it. Counts by version, route and load level are compared by sequential tests: one
 * set per stratum (a route at a load level) and one set over all strata together.
 *
 * @module
 */
import type { VersionId } from "@wisteriapick/core";
import { SequentialTest } from "./sequential_probability_ratio.ts";

/** A first token that takes longer is slow. */
export const SLOW_FIRST_TOKEN_MS = 340;
/** A longer gap between later tokens is slow. */
export const SLOW_GAP_MS = 49;
/** Slow gaps are clustered within a generation; this many count as one independent event. */
const GAP_CLUSTER_SIZE = 10;
/** Largest number of strata; further ones share the last, so that callers cannot dilute the evidence over many. */
const MAX_STRATA = 32;

/** Likelihood ratio against the new version that counts as a warning: its share does not grow meanwhile. */
const WARNING_LIKELIHOOD_RATIO = 30;

const METRICS = ["failures", "slow_first_token", "slow_gaps"] as const;

/** Counts of one version on one route at one load level. */
export interface VersionCounts {
  readonly version: VersionId;
  readonly route: string;
  readonly loadLevel: "low" | "high";
  readonly requests: number;
  readonly failures: number;
  readonly slowFirstTokens: number;
  readonly gaps: number;
  readonly slowGaps: number;
}

/** A metric by which versions are compared. */
export type Metric = typeof METRICS[number];

/** Counts of one version in one stratum since the last batch. */
type Counts = Pick<
  VersionCounts,
  "requests" | "failures" | "slowFirstTokens" | "gaps" | "slowGaps"
>;

/** A test result that shows the new version to be worse. */
export interface BadVerdict {
  readonly metric: Metric;
  /** `route load-level`, or `all` for the tests over all strata together. */
  readonly stratum: string;
  readonly newBad: number;
  readonly newExposure: number;
  readonly oldBad: number;
  readonly oldExposure: number;
}

function emptyCounts(): Counts {
  return { requests: 0, failures: 0, slowFirstTokens: 0, gaps: 0, slowGaps: 0 };
}

function addCounts(a: Counts, b: Counts): Counts {
  return {
    requests: a.requests + b.requests,
    failures: a.failures + b.failures,
    slowFirstTokens: a.slowFirstTokens + b.slowFirstTokens,
    gaps: a.gaps + b.gaps,
    slowGaps: a.slowGaps + b.slowGaps,
  };
}

function exposure(metric: Metric, c: Counts): [exposure: number, bad: number] {
  if (metric === "failures") return [c.requests, c.failures];
  if (metric === "slow_first_token") return [c.requests, c.slowFirstTokens];
  return [c.gaps, c.slowGaps];
}

/** The tests of one stratum, by metric, and the counts of its current batch. */
class StratumTests {
  readonly tests = new Map<Metric, SequentialTest>();
  pendingNew: Counts = emptyCounts();
  pendingOld: Counts = emptyCounts();

  constructor() {
    for (const metric of METRICS) {
      const clusterSize = metric === "slow_gaps" ? GAP_CLUSTER_SIZE : 1;
      this.tests.set(metric, new SequentialTest({ clusterSize }));
    }
  }

  close(): void {
    // A batch stays open until both versions have served in it: counts of one alone allow no comparison.
    if (this.pendingNew.requests === 0 || this.pendingOld.requests === 0) return;
    for (const [metric, test] of this.tests) {
      const [newExposure, newBad] = exposure(metric, this.pendingNew);
      const [oldExposure, oldBad] = exposure(metric, this.pendingOld);
      test.add({ newExposure, newBad, oldExposure, oldBad });
    }
    this.pendingNew = emptyCounts();
    this.pendingOld = emptyCounts();
  }

  get newRequests(): number {
    return this.tests.get("failures")!.newExposure;
  }

  get oldRequests(): number {
    return this.tests.get("failures")!.oldExposure;
  }
}

/**
 * Collects the counts of a version move and gives verdicts whose error rate holds over all tests
 * together.
 *
 * @example
 * ```ts
 * const evidence = new MoveEvidence(move);
 * evidence.add(counts);
 * evidence.closeBatch();
 * const bad = evidence.verdict(0.01);
 * ```
 */
export class MoveEvidence {
  readonly #from: VersionId;
  readonly #to: VersionId;
  readonly #strata = new Map<string, StratumTests>();
  readonly #overall = new StratumTests();

  constructor({ from, to }: { readonly from: VersionId; readonly to: VersionId }) {
    this.#from = from;
    this.#to = to;
  }

  /** Adds counts to the current batch of their stratum. Those of other versions are ignored. */
  add(counts: VersionCounts): void {
    if (counts.version !== this.#from && counts.version !== this.#to) return;
    for (const stratum of [this.#stratum(`${counts.route} ${counts.loadLevel}`), this.#overall]) {
      if (counts.version === this.#to) stratum.pendingNew = addCounts(stratum.pendingNew, counts);
      else stratum.pendingOld = addCounts(stratum.pendingOld, counts);
    }
  }

  /** Closes the batch: requests since the last one count as served at the same time. */
  closeBatch(): void {
    for (const stratum of [...this.#strata.values(), this.#overall]) stratum.close();
  }

  /** Requests that the new version has served in closed batches. */
  get newRequests(): number {
    return this.#overall.newRequests;
  }

  /** Failures and slow first tokens of the new version in closed batches. */
  get newBad(): number {
    return this.#overall.tests.get("failures")!.newBad +
      this.#overall.tests.get("slow_first_token")!.newBad;
  }

  /** The first test that shows the new version to be worse, if any. `alpha` is the error rate of all tests together. */
  verdict(alpha: number): BadVerdict | null {
    // Half of the error rate goes to the tests over all strata, the other half is divided among the strata.
    const alphaOverall = alpha / 2 / METRICS.length;
    const alphaPerStratum = alpha / 2 / METRICS.length / MAX_STRATA;
    return this.#findWorse("all", this.#overall, alphaOverall) ??
      [...this.#strata].reduce<BadVerdict | null>(
        (found, [key, stratum]) => found ?? this.#findWorse(key, stratum, alphaPerStratum),
        null,
      );
  }

  /** Whether the new version has `minRequests` requests in each stratum with at least a tenth of the old traffic. */
  hasCoverage(minRequests: number): boolean {
    const total = this.#overall.oldRequests;
    return [...this.#strata.values()].every((s) =>
      s.oldRequests < total / 10 || s.newRequests >= minRequests
    );
  }

  /** Whether the new version is shown to be worse by less than `margin`, at error rate `beta`. */
  isNonInferior(margin: number, beta: number): boolean {
    return METRICS.every((m) => {
      const test = this.#overall.tests.get(m)!;
      // A plain service has no gaps.
      if (test.newExposure === 0 && test.oldExposure === 0) return true;
      return test.excessBound(beta / METRICS.length) < margin;
    });
  }

  /** Whether some test is strongly against the new version, though not enough for a verdict. */
  hasWarning(): boolean {
    const limit = Math.log(WARNING_LIKELIHOOD_RATIO);
    return [...this.#strata.values(), this.#overall].some((s) =>
      [...s.tests.values()].some((t) => t.maxLogRatio() > limit)
    );
  }

  #stratum(key: string): StratumTests {
    const name = this.#strata.has(key) || this.#strata.size < MAX_STRATA - 1 ? key : "other";
    let stratum = this.#strata.get(name);
    if (stratum === undefined) this.#strata.set(name, stratum = new StratumTests());
    return stratum;
  }

  #findWorse(stratum: string, { tests }: StratumTests, alpha: number): BadVerdict | null {
    for (const [metric, test] of tests) {
      if (!test.isBad(alpha)) continue;
      const { newBad, newExposure, oldBad, oldExposure } = test;
      return { metric, stratum, newBad, newExposure, oldBad, oldExposure };
    }
    return null;
  }
}
