import assert from "node:assert/strict";
import { test } from "node:test";
import { canTakeWhileStopping } from "../src/mod.ts";

const GRACE_MS = 8_000;

/** Whether a request is taken that comes `sinceStopMs` after the order to stop. */
function isTaken(
  sinceStopMs: number,
  usualMs: number,
  longestMs: number,
  { turnMs = 0 } = {},
): boolean {
  const remainingMs = GRACE_MS - sinceStopMs;
  return canTakeWhileStopping({ sinceStopMs, remainingMs, usualMs, longestMs, turnMs });
}

test("a request that comes soon after the order to stop is taken if it usually ends in time", () => {
  assert.equal(isTaken(1_000, 6_900, 39_000), true);
  assert.equal(isTaken(1_000, 7_100, 39_000), false);
  assert.equal(isTaken(2_900, 600, 6_000), true);
});

// Guards against requests that are cut without a response because they were taken late in the grace period (LOST).
test("a request that comes late is taken only if it must end in time", () => {
  assert.equal(isTaken(3_100, 600, 6_000), false);
  assert.equal(isTaken(5_400, 600, 2_500), true);
  assert.equal(isTaken(5_600, 600, 2_500), false);
  assert.equal(isTaken(7_500, 600, 400), true);
});

// Guards against requests that a slow process takes as if it were a quick one, and whose response it cannot write in
// time: 200 connections on a quarter of a core take 0.8 s for a turn (LOST).
test("a request is taken by a slow process only if it ends in time with the turns that it waits", () => {
  const turnMs = 800;
  assert.equal(isTaken(2_900, 600, 6_000, { turnMs }), true);
  assert.equal(isTaken(2_900, 3_600, 6_000, { turnMs }), false);
  assert.equal(isTaken(5_400, 600, 2_500, { turnMs }), false);
  assert.equal(isTaken(4_600, 600, 2_500, { turnMs }), true);
});
