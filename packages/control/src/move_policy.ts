/**
 * Decides what becomes of an open move. Pure: evidence and time in, one decision out.
 *
 * @module
 */
import type { Move } from "./config_document.ts";
import type { BadVerdict, MoveEvidence } from "@wisteriapick/policy";
import { FINISH_MARGIN_MS } from "./move_rule.ts";

/** Chance that a good version is ever called bad. */
export const BAD_ALPHA = 0.01;
/** Chance that a version worse than {@link ACCEPTED_EXCESS} is accepted at one look. */
export const ACCEPT_BETA = 0.05;
/** A version accepted may be worse by at most this share of requests. */
export const ACCEPTED_EXCESS = 0.05;
/**
 * Shares of the service's traffic that the new version goes through. The old version keeps half until the end:
 * a bad answer of the new one carries 0.5 nats of evidence at a share of 0.5, and 0.08 at 0.9.
 */
export const SHARES = [0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5] as const;
/** The steps take this part of the time allowed when there is traffic; good versions finish within half. */
const GROWTH_PART = 0.4;
/** A share stays at least this long: a change is in force in 5 s, and evidence must follow. */
const MIN_STEP_MS = 8_000;
/** New requests between two steps, at least. */
const STEP_REQUESTS = 10;
/** With little traffic the share grows on time alone, half as fast, up to this. */
const LITTLE_TRAFFIC_SHARE = 0.5;
/** New requests in each fair stratum before the end. */
const STRATUM_REQUESTS = 5;

/** What to do now. */
export type MoveDecision =
  | { readonly type: "wait" }
  | { readonly type: "advance"; readonly share: number }
  | { readonly type: "finish"; readonly reason: string }
  | { readonly type: "take_back"; readonly reason: string };

function describeBad(bad: BadVerdict): string {
  const part = (n: number, m: number) => `${Math.round(n)} of ${Math.round(m)}`;
  return `bad version: ${bad.metric} in ${bad.stratum}: ${part(bad.newBad, bad.newExposure)} ` +
    `against ${part(bad.oldBad, bad.oldExposure)}`;
}

/** The next share after `share`, or `null` at the top. */
export function nextShare(share: number): number | null {
  return SHARES.find((s) => s > share) ?? null;
}

/** Shortest time at one share. */
export function stepMs(move: Move): number {
  const allowed = move.deadlineMs - move.startMs;
  return Math.max(MIN_STEP_MS, allowed * GROWTH_PART / SHARES.length);
}

/** When the present share was set, and how much evidence there was then. */
export interface StepStart {
  readonly wallMs: number;
  readonly newRequests: number;
}

/**
 * Decides at Unix time `wallMs`.
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
  const bad = evidence.verdict(BAD_ALPHA);
  if (bad !== null) return { type: "take_back", reason: describeBad(bad) };
  if (wallMs < move.startMs) return { type: "wait" };
  if (wallMs >= move.deadlineMs - FINISH_MARGIN_MS) return deadline(evidence);
  if (evidence.hasWarning()) return { type: "wait" };
  const next = nextShare(move.share);
  const lastChance = wallMs >= move.deadlineMs - 2 * FINISH_MARGIN_MS;
  if (lastChance && move.share >= LITTLE_TRAFFIC_SHARE && accepted(evidence)) {
    return finish(evidence);
  }
  if (wallMs - step.wallMs < stepMs(move)) return { type: "wait" };
  if (next === null) return accepted(evidence) ? finish(evidence) : { type: "wait" };
  if (next > LITTLE_TRAFFIC_SHARE && !accepted(evidence)) return { type: "wait" };
  const enough = evidence.newRequests - step.newRequests >= STEP_REQUESTS;
  const patient = wallMs >= step.wallMs + 2 * stepMs(move);
  return enough || patient ? { type: "advance", share: next } : { type: "wait" };
}

function accepted(evidence: MoveEvidence): boolean {
  return evidence.isNonInferior(ACCEPTED_EXCESS, ACCEPT_BETA) &&
    evidence.hasCoverage(STRATUM_REQUESTS);
}

function finish(evidence: MoveEvidence): MoveDecision {
  return { type: "finish", reason: `accepted after ${evidence.newRequests} requests` };
}

function deadline(evidence: MoveEvidence): MoveDecision {
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
