/**
 * Decides which share of a service's traffic a new version gets while its move is open, and when
 * the move ends. Load pattern: a new version that runs beside the old one and may be bad at once or
 * later, judged on few requests before a near deadline.
 *
 * @module
 */

/** Progress of an open move. */
export interface MoveProgress {
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Requests of the service since the move was ordered, by all gateways. */
  readonly requests: number;
  /** Those of them that were sent to the new version. */
  readonly exposed: number;
  /** Bad responses of the new version: failures and slow first tokens. */
  readonly bad: number;
  /** Whether the evidence shows the new version to be worse than the old one. */
  readonly isWorse: boolean;
  /** Whether the evidence shows the new version to be non-inferior to the old one. */
  readonly isNonInferior: boolean;
}

/** Limits of a new version's exposure to traffic until it is shown to be good. */
export interface ExposureLimits {
  /** Fraction of the service's requests that the new version may get. */
  readonly share: number;
  /** Further requests that it may get. */
  readonly extra: number;
}

/** The next step: the share of new requests that goes to the new version, and the end of the move to write, if any. */
export interface MoveStep {
  readonly share: number;
  readonly end: "completed" | "rolled_back" | null;
}

/** Fraction of the exposure limit that is used, as gateways learn of each other's requests with a delay. */
const USED_FRACTION = 0.6;
/** Share of traffic that gives enough evidence on a version within a few seconds. */
const PROBE_SHARE = 0.25;
/** Fraction of the move's duration after which a good version gets all traffic that the exposure limit allows. */
const SWITCH_FRACTION = 0.85;
/** Time before the deadline at which the end is written, so that a slow store still accepts it in time. */
const WRITE_MARGIN_MS = 700;
/** Requests from which on a version with little traffic is judged by its fraction of bad responses. */
const MIN_JUDGED_REQUESTS = 8;
/** Fraction of its responses that may be bad, besides a single one, which is no evidence. */
const TOLERATED_BAD_FRACTION = 0.1;
/** Bad responses after which a version gets no more traffic, whatever the tests show. */
const MAX_BAD = 20;
/** Fraction of its responses that must be bad for that. */
const MAX_BAD_FRACTION = 0.15;

/**
 * Decides the next step of a move.
 *
 * @example
 * ```ts
 * const { share, end } = nextMoveStep(progress, { share: 0.1, extra: 50 });
 * ```
 */
export function nextMoveStep(progress: MoveProgress, limits: ExposureLimits): MoveStep {
  const { elapsedMs, durationMs, requests, exposed, bad, isWorse, isNonInferior } = progress;
  if (isWorse || (bad >= MAX_BAD && bad >= MAX_BAD_FRACTION * exposed)) {
    return { share: 0, end: "rolled_back" };
  }
  const remainingExposure = USED_FRACTION * (limits.share * requests + limits.extra) - exposed;
  const isDue = elapsedMs >= durationMs - WRITE_MARGIN_MS;
  const isGood = isNonInferior ||
    (exposed >= MIN_JUDGED_REQUESTS && bad <= 1 + TOLERATED_BAD_FRACTION * exposed);
  if (isDue) return { share: isGood ? 1 : 0, end: isGood ? "completed" : "rolled_back" };
  if (remainingExposure <= 0) return { share: 0, end: null };
  const isSwitching = isGood && elapsedMs >= SWITCH_FRACTION * durationMs;
  return { share: isSwitching ? 1 : PROBE_SHARE, end: null };
}
