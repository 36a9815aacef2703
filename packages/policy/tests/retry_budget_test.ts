import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "../src/mod.ts";

const LIMITS = { ratio: 0.2, extra: 50, windowMs: 10_000 };

/** Repeats that `gateways` gateways send together in any window while everything fails. */
function worstWindow(
  gateways: number,
  requestsPerSecond: number,
): { repeats: number; requests: number } {
  const budgets = Array.from({ length: gateways }, () => new RetryBudget(LIMITS));
  const sent: number[] = [];
  const asked: number[] = [];
  for (let ms = 0; ms < 60_000; ms += 1_000 / requestsPerSecond) {
    const budget = budgets[Math.floor(ms) % gateways]!;
    budget.recordRequest(ms);
    asked.push(ms);
    if (budget.take(ms, gateways)) sent.push(ms);
  }
  let worst = { repeats: 0, requests: 1 };
  for (let from = 0; from < 50_000; from += 250) {
    const within = (ms: number) => ms >= from && ms < from + LIMITS.windowMs;
    const repeats = sent.filter(within).length;
    if (repeats > worst.repeats) worst = { repeats, requests: asked.filter(within).length };
  }
  return worst;
}

test("four gateways whose calls all fail stay within the budget that they share", () => {
  const { repeats, requests } = worstWindow(4, 100);
  assert.ok(repeats <= LIMITS.ratio * requests + LIMITS.extra, `${repeats} repeats of ${requests}`);
  assert.ok(repeats > 0);
});

test("the fixed part alone lets a quiet service repeat", () => {
  const budget = new RetryBudget(LIMITS);
  budget.recordRequest(0);
  assert.equal(budget.take(0, 4), true);
});

test("a repeat is counted no longer than the window", () => {
  const budget = new RetryBudget({ ratio: 0, extra: 10, windowMs: 10_000 });
  let taken = 0;
  while (budget.take(0, 1)) taken++;
  assert.equal(taken, 8);
  assert.equal(budget.take(9_000, 1), false);
  assert.equal(budget.take(11_000, 1), true);
});

test("new limits keep what was counted", () => {
  const budget = new RetryBudget({ ratio: 0, extra: 10, windowMs: 10_000 });
  while (budget.take(0, 1));
  budget.configure({ ratio: 0, extra: 20, windowMs: 10_000 });
  assert.equal(Math.floor(budget.remaining(0, 1)), 8);
});
