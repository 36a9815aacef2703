import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "../src/mod.ts";

const LIMITS = { ratio: 0.2, extra: 50, windowMs: 10_000 };

/** The window with the most retries of `gatewayCount` gateways together, while all requests fail. */
function worstWindow(
  gatewayCount: number,
  requestsPerSecond: number,
): { retries: number; requests: number } {
  const budgets = Array.from({ length: gatewayCount }, () => new RetryBudget(LIMITS));
  const retryTimes: number[] = [];
  const requestTimes: number[] = [];
  for (let ms = 0; ms < 60_000; ms += 1_000 / requestsPerSecond) {
    const budget = budgets[Math.floor(ms) % gatewayCount]!;
    budget.recordRequest(ms);
    requestTimes.push(ms);
    if (budget.take(ms, gatewayCount)) retryTimes.push(ms);
  }
  let worst = { retries: 0, requests: 1 };
  for (let from = 0; from < 50_000; from += 250) {
    const within = (ms: number) => ms >= from && ms < from + LIMITS.windowMs;
    const retries = retryTimes.filter(within).length;
    if (retries > worst.retries) worst = { retries, requests: requestTimes.filter(within).length };
  }
  return worst;
}

// Each gateway counts only its own requests and retries.
test("four gateways whose calls all fail stay within their common budget", () => {
  const { retries, requests } = worstWindow(4, 100);
  assert.ok(retries <= LIMITS.ratio * requests + LIMITS.extra, `${retries} retries of ${requests}`);
  assert.ok(retries > 0);
});

test("the fixed part of the budget alone allows a retry at a service with few requests", () => {
  const budget = new RetryBudget(LIMITS);
  budget.recordRequest(0);
  assert.equal(budget.take(0, 4), true);
});

test("a retry counts for no longer than the window", () => {
  const budget = new RetryBudget({ ratio: 0, extra: 10, windowMs: 10_000 });
  let taken = 0;
  while (budget.take(0, 1)) taken++;
  assert.equal(taken, 8);
  assert.equal(budget.take(9_000, 1), false);
  assert.equal(budget.take(11_000, 1), true);
});

test("requests and retries stay counted when the limits change", () => {
  const budget = new RetryBudget({ ratio: 0, extra: 10, windowMs: 10_000 });
  while (budget.take(0, 1));
  budget.configure({ ratio: 0, extra: 20, windowMs: 10_000 });
  assert.equal(Math.floor(budget.remaining(0, 1)), 8);
});
