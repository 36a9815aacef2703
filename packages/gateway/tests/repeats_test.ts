import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, serviceId } from "@wisteriapick/core";
import { RetryBudgets } from "@wisteriapick/policy";
import { GatewayMetrics } from "../src/observe/metrics.ts";
import { Repeats } from "../src/relay/repeats.ts";
import { makeRoute, MemoryLog, SCRIBE } from "./fixtures.ts";

const COUNTER = serviceId("counter");

function makeRepeats({ ratio = 0, extra = 5 } = {}) {
  const clock = new ManualClock();
  const log = new MemoryLog();
  const metrics = new GatewayMetrics();
  const repeats = new Repeats({
    budgets: new RetryBudgets({ ratio, extra, windowMs: 10_000 }),
    clock,
    log,
    metrics,
    gatewayCount: () => 4,
  });
  return { repeats, log, metrics };
}

// Guards against repeats of which the log and the metrics do not tell for which service they counted, and by how many
// gateways the budget was divided: whether gateways together exceeded a budget could not be told.
test("a repeat and its denial name the service, what was left and the number of gateways", async () => {
  const { repeats, log, metrics } = makeRepeats();
  const repeat = { requestId: "r-1", service: SCRIBE, reason: "not_run" };
  assert.equal(repeats.take(repeat), true);
  assert.equal(repeats.take(repeat), false);
  const fields = { req: "r-1", service: SCRIBE, reason: "not_run", gateways: 4 };
  assert.deepEqual(log.events, [
    { event: "repeat_sent", fields: { ...fields, remaining: 1 } },
    { event: "repeat_denied", fields: { ...fields, remaining: 0 } },
  ]);
  const text = await metrics.text();
  assert.match(text, /wisteriapick_repeats_total\{service="scribe",reason="not_run"\} 1/);
  assert.match(text, /wisteriapick_repeats_denied_total\{service="scribe",reason="not_run"\} 1/);
  assert.match(text, /wisteriapick_retry_budget_gateways 4/);
});

// Guards against calls to one service that let the requests for another one be repeated more often than is allowed.
test("requests count for the services of their route", () => {
  const { repeats } = makeRepeats({ ratio: 0.2, extra: 0 });
  const call = makeRoute({ targets: [{ service: COUNTER, weight: 1 }] });
  for (let i = 0; i < 100; i++) repeats.recordRequest(call);
  assert.equal(repeats.isAllowed(COUNTER), true);
  assert.equal(repeats.isAllowed(SCRIBE), false);
  const split = makeRoute({
    targets: [{ service: COUNTER, weight: 3 }, { service: SCRIBE, weight: 1 }],
  });
  for (let i = 0; i < 48; i++) repeats.recordRequest(split);
  assert.equal(repeats.isAllowed(SCRIBE), false);
  for (let i = 0; i < 8; i++) repeats.recordRequest(split);
  assert.equal(repeats.isAllowed(SCRIBE), true);
});

test("a check takes nothing from the budget, and records a denial", () => {
  const { repeats, log } = makeRepeats();
  const repeat = { requestId: "r-1", service: SCRIBE, reason: "not_run" };
  assert.equal(repeats.check(repeat), true);
  assert.equal(log.events.length, 0);
  assert.equal(repeats.take(repeat), true);
  assert.equal(repeats.check(repeat), false);
  assert.equal(log.count("repeat_denied"), 1);
});

// Guards against runs that go on at another engine beside as many repeats as the budget allows.
test("a repeat that is sent whatever is left takes from the budget", () => {
  const { repeats, log } = makeRepeats({ extra: 10 });
  const repeat = { requestId: "r-1", service: SCRIBE, reason: "engine lost, copy goes on" };
  repeats.recordUnasked(repeat);
  assert.equal(repeats.isAllowed(SCRIBE), true);
  repeats.recordUnasked(repeat);
  assert.equal(repeats.take({ ...repeat, reason: "not_run" }), false);
  assert.equal(log.count("repeat_sent"), 2);
});
