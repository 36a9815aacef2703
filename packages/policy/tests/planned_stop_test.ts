import assert from "node:assert/strict";
import { test } from "node:test";
import { canTakeWhileStopping } from "../src/mod.ts";

const GRACE_MS = 8_000;

/** Whether a request is taken that comes `sinceStopMs` after the order to stop. */
function isTaken(sinceStopMs: number, usualMs: number, longestMs: number): boolean {
  const remainingMs = GRACE_MS - sinceStopMs;
  return canTakeWhileStopping({ sinceStopMs, remainingMs, usualMs, longestMs });
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
