import assert from "node:assert/strict";
import { test } from "node:test";
import { Rng } from "@wisteriapick/core";
import { MoveEvidence, type MoveProgress, nextMoveStep } from "../src/mod.ts";
import type { VersionId } from "@wisteriapick/core";

const LIMITS = { share: 0.1, extra: 50 };
const OLD = "old" as VersionId;
const NEW = "new" as VersionId;

function makeProgress(overrides: Partial<MoveProgress> = {}): MoveProgress {
  return {
    elapsedMs: 1_000,
    durationMs: 12_000,
    requests: 40,
    exposed: 5,
    bad: 0,
    isWorse: false,
    isNonInferior: false,
    ...overrides,
  };
}

interface MoveResult {
  readonly end: string | null;
  readonly endedAtMs: number;
  readonly requests: number;
  readonly exposed: number;
}

/** Simulates a move of a service with `perSecond` requests, whose new version fails with the given probability. */
function simulateMove(
  seed: number,
  perSecond: number,
  failChance: (ms: number) => number,
): MoveResult {
  const rng = new Rng(seed * 7_919);
  const evidence = new MoveEvidence({ from: OLD, to: NEW });
  const totals = { requests: 0, exposed: 0, bad: 0 };
  const durationMs = 12_000;
  let share = 0;
  let end: string | null = null;
  let endedAtMs = Infinity;
  for (let ms = 0; ms < durationMs; ms += 100) {
    for (let i = 0; i < perSecond / 10; i++) {
      const isNew = rng.chance(share);
      const failed = isNew ? rng.chance(failChance(ms)) : rng.chance(0.02);
      totals.requests++;
      if (isNew) totals.exposed++;
      if (isNew && failed) totals.bad++;
      evidence.add({
        version: isNew ? NEW : OLD,
        route: "drafts",
        loadLevel: "low",
        requests: 1,
        failures: failed ? 1 : 0,
        slowFirstTokens: 0,
        gaps: 0,
        slowGaps: 0,
      });
    }
    evidence.closeBatch();
    const step = nextMoveStep({
      elapsedMs: ms,
      durationMs,
      ...totals,
      isWorse: evidence.verdict(0.01) !== null,
      isNonInferior: evidence.isNonInferior(0.15, 0.1),
    }, LIMITS);
    share = step.share;
    if (end === null && step.end !== null) {
      end = step.end;
      endedAtMs = ms;
      if (end === "rolled_back") break;
    }
  }
  return { end, endedAtMs, ...totals };
}

test("a good version is completed before the deadline", () => {
  for (const perSecond of [10, 30, 100]) {
    for (let seed = 1; seed <= 10; seed++) {
      const { end, endedAtMs } = simulateMove(seed, perSecond, () => 0.02);
      assert.equal(end, "completed", `seed ${seed}, ${perSecond} a second`);
      assert.ok(endedAtMs < 12_000);
    }
  }
});

test("a version that fails often is rolled back and stays within its exposure limit", () => {
  for (const perSecond of [10, 30, 100]) {
    for (let seed = 1; seed <= 10; seed++) {
      const { end, exposed, requests } = simulateMove(seed, perSecond, () => 0.5);
      assert.equal(end, "rolled_back", `seed ${seed}, ${perSecond} a second`);
      assert.ok(exposed <= LIMITS.share * requests + LIMITS.extra, `${exposed} of ${requests}`);
    }
  }
});

// Evidence from before the change is in favour of the version.
test("a version that turns bad late stays within its exposure limit", () => {
  for (let seed = 1; seed <= 10; seed++) {
    const { exposed, requests } = simulateMove(seed, 30, (ms) => ms > 7_000 ? 0.6 : 0.02);
    assert.ok(exposed <= LIMITS.share * requests + LIMITS.extra, `${exposed} of ${requests}`);
  }
});

test("a version that is shown to be worse gets no more traffic", () => {
  const step = nextMoveStep(makeProgress({ isWorse: true }), LIMITS);
  assert.deepEqual(step, { share: 0, end: "rolled_back" });
});

test("a version without any requests by the deadline is rolled back", () => {
  const step = nextMoveStep(makeProgress({ elapsedMs: 11_500, exposed: 0 }), LIMITS);
  assert.equal(step.end, "rolled_back");
});

test("a version whose exposure limit is used up gets no more traffic", () => {
  const step = nextMoveStep(makeProgress({ exposed: 40 }), LIMITS);
  assert.equal(step.share, 0);
});
