import assert from "node:assert/strict";
import { test } from "node:test";
import { checkPlan, type RunPlan } from "../src/mod.ts";

/** Regression plans: each is the smallest plan that showed the named fault by violating a property. */
const FOUND_FAULTS: { readonly fault: string; readonly plan: RunPlan }[] = [
  {
    fault:
      "a stream hangs forever when its caller's buffer drains before the entry waits for the drain",
    plan: { seed: 0, faults: [{ kind: "pause_entry", atMs: 0, durationMs: 1578, target: 0 }] },
  },
  {
    fault:
      "link jitter is mistaken for endpoint speed, and a cold endpoint is given more than it sustains",
    plan: { seed: 936793, faults: [], coldStart: true, move: "none" },
  },
  {
    fault: "a process whose parent has died finds no new parent while all links are slow",
    plan: {
      seed: 227342,
      faults: [
        { kind: "slow_links", atMs: 0, durationMs: 4954, target: 0 },
        { kind: "kill_side", atMs: 1, durationMs: 50, target: 0 },
      ],
      move: "failing",
    },
  },
  {
    fault:
      "an endpoint that turns cold again soon after a cold start is given more than it sustains",
    plan: {
      seed: 0,
      faults: [{ kind: "turn_cold", atMs: 4674, durationMs: 50, target: 0 }],
      coldStart: true,
      move: "failing_later",
    },
  },
  {
    fault: "an endpoint that turns cold again while it is cold is given more than it bears",
    plan: {
      seed: 7,
      faults: [
        { kind: "turn_cold", atMs: 4741, durationMs: 5195, target: 5 },
        { kind: "kill_side", atMs: 13182, durationMs: 331, target: 4 },
      ],
      coldStart: true,
      move: "good",
    },
  },
];

for (const { fault, plan } of FOUND_FAULTS) {
  test(fault, async () => {
    const { results } = await checkPlan(plan);
    assert.deepEqual(results.flatMap((r) => r.violations), []);
  });
}
