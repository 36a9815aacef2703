import assert from "node:assert/strict";
import { test } from "node:test";
import { ColdStart } from "../src/mod.ts";

/** Runs engine steps at full allowance; `gapOf` gives the token gap at a number of running generations. */
function run(
  cold: ColdStart,
  from: number,
  steps: number,
  gapOf: (running: number) => number,
): number {
  let nowMs = from;
  for (let i = 0; i < steps; i++) {
    const running = cold.allowance(1, nowMs);
    nowMs += gapOf(running);
    for (let g = 0; g < running; g++) cold.recordGap(gapOf(running), 1, running, nowMs);
  }
  return nowMs;
}

const warmGap = (running: number) => 14 + 0.2 * running;

test("an endpoint of which nothing is known gets one generation", () => {
  assert.equal(new ColdStart().allowance(0, 0), 1);
});

test("unchanged gaps let the allowance grow to a full batch within seconds", () => {
  const cold = new ColdStart();
  const endMs = run(cold, 0, 200, warmGap);
  assert.ok(cold.allowance(1, endMs) >= 32, `${cold.allowance(1, endMs)}`);
});

// A cold endpoint slows down with each generation; growth by tokens alone would overload it.
test("gaps that rise with each generation keep the allowance low", () => {
  const cold = new ColdStart();
  const endMs = run(cold, 0, 200, (running) => 20 * (1.6 + running / 2));
  assert.ok(cold.allowance(1, endMs) <= 3, `${cold.allowance(1, endMs)}`);
});

// Endpoints turn cold without any notice; only the gaps show it.
test("a sudden rise of the gaps returns the allowance to one", () => {
  const cold = new ColdStart();
  let nowMs = run(cold, 0, 200, warmGap);
  for (let i = 0; i < 10; i++) {
    nowMs += 45;
    cold.recordGap(45, 1, 20, nowMs);
  }
  assert.equal(cold.allowance(20, nowMs), 1);
});

// The prefill of a long prompt lengthens a few steps of a warm endpoint.
test("a single long prompt is not mistaken for a cold start", () => {
  const cold = new ColdStart();
  let nowMs = run(cold, 0, 200, warmGap);
  const before = cold.allowance(1, nowMs);
  for (let i = 0; i < 4; i++) {
    nowMs += 60;
    cold.recordGap(60, 1, 20, nowMs);
  }
  // Nothing more starts while steps are long; the next normal step restores the allowance.
  assert.equal(cold.allowance(20, nowMs), 20);
  cold.recordGap(warmGap(20), 1, 20, nowMs += 20);
  assert.equal(cold.allowance(20, nowMs), before);
});

// An endpoint may turn cold while it is idle, when no gap shows it.
test("after idle time an endpoint has to show that it is still warm", () => {
  const cold = new ColdStart();
  let nowMs = run(cold, 0, 200, warmGap);
  // Light load, at which the gap of the warm endpoint is learned.
  for (let i = 0; i < 20; i++) cold.recordGap(warmGap(1), 1, 1, nowMs += warmGap(1));
  const before = cold.allowance(1, nowMs);
  nowMs += 10_000;
  assert.equal(cold.allowance(0, nowMs), 1);
  for (let i = 0; i < 12; i++) cold.recordGap(warmGap(1), 1, 1, nowMs += warmGap(1));
  assert.equal(cold.allowance(1, nowMs), before);
});

test("after a crash the allowance starts from one again", () => {
  const cold = new ColdStart();
  const nowMs = run(cold, 0, 200, warmGap);
  cold.reset();
  assert.equal(cold.allowance(1, nowMs), 1);
});
