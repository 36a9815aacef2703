/**
 * Decides on the next step of an open move, from its evidence and the time alone.
 *
 * @module
 */
import type { Move } from "./config_document.ts";
import type { BadVerdict, MoveEvidence } from "@wisteriapick/policy";
import { FINISH_MARGIN_MS } from "./move_deadline_rule.ts";

/** Chance that a version that is no worse is ever shown to be worse. */
export const WORSE_ALPHA = 0.01;
/** Chance that one test accepts a version that is worse by more than {@link NON_INFERIORITY_MARGIN}. */
export const NON_INFERIORITY_BETA = 0.05;
/** Share of requests by which an accepted version may be worse. */
export const NON_INFERIORITY_MARGIN = 0.05;
/**
 * Shares of the service's traffic that the new version gets step by step. The old version retains half until the
 * end, because a bad response of the new one carries 0.5 nats of evidence at a share of 0.5, and 0.08 at 0.9.
 */
export const SHARE_STEPS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5] as const;
/** Fraction of the time allowed that the steps take when there is traffic, so that good versions finish within half. */
const GROWTH_FRACTION = 0.4;
/** Shortest time at one share: a change takes up to 5 s to be in force everywhere, and evidence follows later. */
const MIN_STEP_MS = 8_000;
/** Requests of the new version between two steps, unless the step has lasted twice its time. */
const MIN_STEP_REQUESTS = 10;
/** Largest share that is reached by time alone, at half the pace, when there is little traffic. */
const LOW_TRAFFIC_MAX_SHARE = 0.5;
/** Requests of the new version in each stratum with a fair share of traffic, before it is accepted. */
const MIN_STRATUM_REQUESTS = 5;

/** The next step of a move. */
export type MoveDecision =
  | { readonly type: "wait" }
  | { readonly type: "advance"; readonly share: number }
  | { readonly type: "finish"; readonly reason: string }
  | { readonly type: "take_back"; readonly reason: string };

function describeBad(bad: BadVerdict): string {
  const ratio = (n: number, m: number) => `${Math.round(n)} of ${Math.round(m)}`;
  return `bad version: ${bad.metric} in ${bad.stratum}: ${ratio(bad.newBad, bad.newExposure)} ` +
    `against ${ratio(bad.oldBad, bad.oldExposure)}`;
}

/** The next larger share after `share`, or `null` when there is none. */
export function nextShare(share: number): number | null {
  return SHARE_STEPS.find((s) => s > share) ?? null;
}

/** Shortest time at one share. */
export function minStepMs(move: Move): number {
  const allowedMs = move.deadlineMs - move.startMs;
  return Math.max(MIN_STEP_MS, allowedMs * GROWTH_FRACTION / SHARE_STEPS.length);
}

/** When the current share was set, and how many requests of the new version had been seen then. */
export interface StepStart {
  readonly wallMs: number;
  readonly newRequests: number;
}

/**
 * Decides on a move at Unix time `wallMs`.
 *
 * @example
 * ```ts
 * const decision = decideMove(move, evidence, step, clock.wall());
 * ```
 */
export function decideMove(
  move: Move,
  evidence: MoveEvidence,
  step: StepStart,
  wallMs: number,
): MoveDecision {
  const bad = evidence.verdict(WORSE_ALPHA);
  if (bad !== null) return { type: "take_back", reason: describeBad(bad) };
  if (wallMs < move.startMs) return { type: "wait" };
  if (wallMs >= move.deadlineMs - FINISH_MARGIN_MS) return decideAtDeadline(evidence);
  if (evidence.hasWarning()) return { type: "wait" };
  const next = nextShare(move.share);
  const isLastChance = wallMs >= move.deadlineMs - 2 * FINISH_MARGIN_MS;
  if (isLastChance && move.share >= LOW_TRAFFIC_MAX_SHARE && isAccepted(evidence)) {
    return finish(evidence);
  }
  if (wallMs - step.wallMs < minStepMs(move)) return { type: "wait" };
  if (next === null) return isAccepted(evidence) ? finish(evidence) : { type: "wait" };
  if (next > LOW_TRAFFIC_MAX_SHARE && !isAccepted(evidence)) return { type: "wait" };
  const hasEnoughRequests = evidence.newRequests - step.newRequests >= MIN_STEP_REQUESTS;
  const waitedDouble = wallMs >= step.wallMs + 2 * minStepMs(move);
  return hasEnoughRequests || waitedDouble ? { type: "advance", share: next } : { type: "wait" };
}

function isAccepted(evidence: MoveEvidence): boolean {
  return evidence.isNonInferior(NON_INFERIORITY_MARGIN, NON_INFERIORITY_BETA) &&
    evidence.hasCoverage(MIN_STRATUM_REQUESTS);
}

function finish(evidence: MoveEvidence): MoveDecision {
  return { type: "finish", reason: `accepted after ${evidence.newRequests} requests` };
}

function decideAtDeadline(evidence: MoveEvidence): MoveDecision {
  const n = evidence.newRequests;
  if (evidence.hasWarning()) {
    return {
      type: "take_back",
      reason: `not shown to be good by the deadline after ${n} requests`,
    };
  }
  return {
    type: "take_back",
    reason: `too little traffic to tell by the deadline: ${n} requests of the new version`,
  };
}
