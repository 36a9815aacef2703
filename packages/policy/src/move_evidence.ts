/**
 * Evidence about a move: cells by version, route and load level, and the tests over them.
 *
 * @module
 */
import type { VersionId } from "@wisteriapick/core";
import { SequentialTest } from "./sequential_probability_ratio.ts";

/** A first token after this is slow. */
export const SLOW_FIRST_TOKEN_MS = 340;
/** A later gap over this is slow. */
export const SLOW_GAP_MS = 49;
/** Slow gaps come in runs within one generation; this many count as one independent event. */
const GAP_CLUSTERING = 10;
/** Strata beyond this many share one, so that callers cannot spread the evidence thin. */
const MAX_STRATA = 32;

/** Likelihood ratio of a test that seems clearly against the new version; growth waits meanwhile. */
const DOUBT_RATIO = 30;

const METRICS = ["failures", "slow_first_token", "slow_gaps"] as const;

/** Counts of one version on one route at one load level. Times are sums in milliseconds. */
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

/** What is compared. */
export type Metric = typeof METRICS[number];

/** Sums of one version in one stratum since the last batch. */
type Counts = Pick<
  VersionCounts,
  "requests" | "failures" | "slowFirstTokens" | "gaps" | "slowGaps"
>;

/** A reason for which the new version is called bad. */
export interface BadVerdict {
  readonly metric: Metric;
  /** `route load-level`, or `all` for the tests over all strata together. */
  readonly stratum: string;
  readonly newBad: number;
  readonly newExposure: number;
  readonly oldBad: number;
  readonly oldExposure: number;
}

function zero(): Counts {
  return { requests: 0, failures: 0, slowFirstTokens: 0, gaps: 0, slowGaps: 0 };
}

function sum(a: Counts, b: Counts): Counts {
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

class Stratum {
  readonly tests = new Map<Metric, SequentialTest>();
  pendingNew: Counts = zero();
  pendingOld: Counts = zero();

  constructor() {
    for (const metric of METRICS) {
      const clustering = metric === "slow_gaps" ? GAP_CLUSTERING : 1;
      this.tests.set(metric, new SequentialTest({ clustering }));
    }
  }

  close(): void {
    // A batch goes on until both versions have served in it; alone, neither says anything about the other.
    if (this.pendingNew.requests === 0 || this.pendingOld.requests === 0) return;
    for (const [metric, test] of this.tests) {
      const [newExposure, newBad] = exposure(metric, this.pendingNew);
      const [oldExposure, oldBad] = exposure(metric, this.pendingOld);
      test.add({ newExposure, newBad, oldExposure, oldBad });
    }
    this.pendingNew = zero();
    this.pendingOld = zero();
  }

  get newRequests(): number {
    return this.tests.get("failures")!.newExposure;
  }

  get oldRequests(): number {
    return this.tests.get("failures")!.oldExposure;
  }
}

/**
 * Collects evidence and gives verdicts with a stated error rate over all its tests together.
 *
 * @example
 * ```ts
 * const evidence = new MoveEvidence(move);
 * evidence.add(cell);
 * evidence.closeBatch();
 * const bad = evidence.verdict(0.01);
 * ```
 */
export class MoveEvidence {
  readonly #from: VersionId;
  readonly #to: VersionId;
  readonly #strata = new Map<string, Stratum>();
  readonly #all = new Stratum();

  constructor({ from, to }: { readonly from: VersionId; readonly to: VersionId }) {
    this.#from = from;
    this.#to = to;
  }

  /** Adds the counts of one cell to the present batch. */
  add(cell: VersionCounts): void {
    if (cell.version !== this.#from && cell.version !== this.#to) return;
    for (const stratum of [this.#stratum(`${cell.route} ${cell.loadLevel}`), this.#all]) {
      if (cell.version === this.#to) stratum.pendingNew = sum(stratum.pendingNew, cell);
      else stratum.pendingOld = sum(stratum.pendingOld, cell);
    }
  }

  /** Ends a batch: what came in since the last one was served at the same time. */
  closeBatch(): void {
    for (const stratum of [...this.#strata.values(), this.#all]) stratum.close();
  }

  /** Requests of the new version so far. */
  get newRequests(): number {
    return this.#all.newRequests;
  }

  /** Bad answers of the new version so far, by any metric but gaps. */
  get newBad(): number {
    return this.#all.tests.get("failures")!.newBad +
      this.#all.tests.get("slow_first_token")!.newBad;
  }

  /** The first reason to call the new version bad, or `null`. `alpha` is the error rate of all tests together. */
  verdict(alpha: number): BadVerdict | null {
    // Half of the error rate goes to the tests over everything, half is shared by the strata.
    const perAll = alpha / 2 / METRICS.length;
    const perStratum = alpha / 2 / METRICS.length / MAX_STRATA;
    return this.#find("all", this.#all, perAll) ??
      [...this.#strata].reduce<BadVerdict | null>(
        (found, [key, stratum]) => found ?? this.#find(key, stratum, perStratum),
        null,
      );
  }

  /** Whether every stratum with a fair part of the old traffic has at least `count` new requests. */
  hasCoverage(count: number): boolean {
    const total = this.#all.oldRequests;
    return [...this.#strata.values()].every((s) =>
      s.oldRequests < total / 10 || s.newRequests >= count
    );
  }

  /** Whether the new version is shown to be worse by less than `excess`, at error rate `beta`. */
  isNonInferior(excess: number, beta: number): boolean {
    return METRICS.every((m) => {
      const test = this.#all.tests.get(m)!;
      // A plain service has no gaps.
      if (test.newExposure === 0 && test.oldExposure === 0) return true;
      return test.excessBound(beta / METRICS.length) < excess;
    });
  }

  /** Whether some test leans clearly against the new version without a verdict yet. */
  hasWarning(): boolean {
    const limit = Math.log(DOUBT_RATIO);
    return [...this.#strata.values(), this.#all].some((s) =>
      [...s.tests.values()].some((t) => t.maxLogRatio() > limit)
    );
  }

  #stratum(key: string): Stratum {
    const name = this.#strata.has(key) || this.#strata.size < MAX_STRATA - 1 ? key : "other";
    let stratum = this.#strata.get(name);
    if (stratum === undefined) this.#strata.set(name, stratum = new Stratum());
    return stratum;
  }

  #find(stratum: string, { tests }: Stratum, alpha: number): BadVerdict | null {
    for (const [metric, test] of tests) {
      if (!test.isBad(alpha)) continue;
      const { newBad, newExposure, oldBad, oldExposure } = test;
      return { metric, stratum, newBad, newExposure, oldBad, oldExposure };
    }
    return null;
  }
}
