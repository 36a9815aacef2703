import assert from "node:assert/strict";
import { test } from "node:test";
import { dueAtMs } from "../src/mod.ts";

const TIMEOUT_MS = 1_000;

/** Time left of a request that is read at `nowMs`. */
const leftMs = (earliestMs: number, latestMs: number, nowMs: number) =>
  dueAtMs({ earliestMs, latestMs }, { timeoutMs: TIMEOUT_MS, nowMs }) - nowMs;

// Guards against refusals of requests that were sent after a stall, whose callers come back at once and are refused again.
test("a request that may have arrived after a stall is not late, however long the stall was", () => {
  for (const stallMs of [900, 1_500, 20_000]) assert.equal(leftMs(0, stallMs, stallMs), 500);
});

test("a request keeps the time that it has left for certain", () => {
  assert.equal(leftMs(0, 0, 0), TIMEOUT_MS);
  assert.equal(leftMs(0, 200, 200), 800);
});

test("a request whose body took all of its time is late", () => {
  assert.ok(leftMs(0, 0, 1_200) < 0);
  assert.ok(leftMs(0, 100, 1_200) < 0);
});

// Guards against endpoints that get much more time than the caller has (BUDGET).
test("no request gets over half a second more than it has left", () => {
  for (let nowMs = 0; nowMs <= 3_000; nowMs += 50) {
    for (let earliestMs = 0; earliestMs <= nowMs; earliestMs += 50) {
      const certainMs = Math.max(0, earliestMs + TIMEOUT_MS - nowMs);
      assert.ok(leftMs(earliestMs, nowMs, nowMs) - certainMs <= 500);
    }
  }
});
