/**
 * How much of a service's traffic a new version gets while a move is open, and when the move ends. Load pattern: a new
 * version beside the old one that may be bad at once or later, judged on few requests before a near deadline.
 *
 * @module
 */

/** What is known of an open move. */
export interface MoveProgress {
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Requests of the service since the order, by all gateways. */
  readonly requests: number;
  /** Those among them that went to the new version. */
  readonly exposed: number;
  /** Bad answers of the new version. */
  readonly bad: number;
  /** Whether the evidence is against the new version. */
  readonly isWorse: boolean;
  /** Whether the evidence shows the new version to be about as good as the old one. */
  readonly isNonInferior: boolean;
}

/** Limits of a deployment. */
export interface ExposureLimits {
  /** Part of a service's requests that an unproved version may get. */
  readonly share: number;
  /** Requests that it may get besides. */
  readonly extra: number;
}

/** What to do now: the part of new requests that goes to the new version, and what to write, if anything. */
export interface MoveStep {
  readonly share: number;
  readonly end: "completed" | "rolled_back" | null;
}

/** Part of the allowance that is used; gateways hear of each other's requests with a delay. */
const USED_PART = 0.6;
/** Share of traffic that shows within a few seconds what a version is like. */
const PROBE_SHARE = 0.25;
/** Part of the time after which an accepted version takes all traffic as far as the allowance goes. */
const SWITCH_PART = 0.85;
/** The end is written this long before the deadline, so that a slow store still takes it in time. */
const WRITE_MARGIN_MS = 700;
/** Requests after which a version with little traffic is judged by the part of its answers that is bad. */
const FEW_REQUESTS = 8;
/** Part of its answers that may be bad, besides a single one that says nothing. */
const TOLERATED_BAD_PART = 0.1;
/** Bad answers after which a version gets no more, whatever the statistics say. */
const MAX_BAD = 20;
/** Part of its answers that must be bad for that. */
const MAX_BAD_PART = 0.15;

/**
 * The next step of a move.
 *
 * @example
 * ```ts
 * const { share, end } = nextMoveStep(progress, { share: 0.1, extra: 50 });
 * ```
 */
export function nextMoveStep(progress: MoveProgress, limits: ExposureLimits): MoveStep {
  const { elapsedMs, durationMs, requests, exposed, bad, isWorse, isNonInferior } = progress;
  if (isWorse || (bad >= MAX_BAD && bad >= MAX_BAD_PART * exposed)) {
    return { share: 0, end: "rolled_back" };
  }
  const allowance = USED_PART * (limits.share * requests + limits.extra) - exposed;
  const isDue = elapsedMs >= durationMs - WRITE_MARGIN_MS;
  const looksGood = isNonInferior ||
    (exposed >= FEW_REQUESTS && bad <= 1 + TOLERATED_BAD_PART * exposed);
  if (isDue) return { share: looksGood ? 1 : 0, end: looksGood ? "completed" : "rolled_back" };
  if (allowance <= 0) return { share: 0, end: null };
  const isSwitching = looksGood && elapsedMs >= SWITCH_PART * durationMs;
  return { share: isSwitching ? 1 : PROBE_SHARE, end: null };
}
