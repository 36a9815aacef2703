import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { RetryBudget } from "@wisteriapick/policy";
import { GatewayMetrics } from "../src/observe/metrics.ts";
import { Repeats } from "../src/relay/repeats.ts";
import { MemoryLog, SCRIBE } from "./fixtures.ts";

function makeRepeats() {
  const clock = new ManualClock();
  const log = new MemoryLog();
  const metrics = new GatewayMetrics();
  const repeats = new Repeats({
    budget: new RetryBudget({ ratio: 0, extra: 5, windowMs: 10_000 }),
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
  const fields = { req: "r-1", service: SCRIBE, why: "not_run", gateways: 4 };
  assert.deepEqual(log.events, [
    { event: "repeat_sent", fields: { ...fields, remaining: 1 } },
    { event: "repeat_denied", fields: { ...fields, remaining: 0 } },
  ]);
  const text = await metrics.text();
  assert.match(text, /wisteriapick_repeats_total\{service="scribe",reason="not_run"\} 1/);
  assert.match(text, /wisteriapick_repeats_denied_total\{service="scribe",reason="not_run"\} 1/);
  assert.match(text, /wisteriapick_retry_budget_gateways 4/);
});
