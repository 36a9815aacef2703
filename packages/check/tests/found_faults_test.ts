import assert from "node:assert/strict";
import { test } from "node:test";
import { checkPlan, type RunPlan } from "../src/mod.ts";

/** Plans that once broke a promise, smallest form, with the fault each one found. */
const FOUND: { readonly fault: string; readonly plan: RunPlan }[] = [
  {
    fault: "a stream hangs for good when its caller's buffer drains before the entry waits for it",
    plan: { seed: 0, faults: [{ kind: "pause_entry", atMs: 0, durationMs: 1578, target: 0 }] },
  },
  {
    fault: "jitter of links is taken for speed, and a cold endpoint is given more than it bears",
    plan: { seed: 936793, faults: [], coldStart: true, move: "none" },
  },
];

for (const { fault, plan } of FOUND) {
  test(fault, async () => {
    const { results } = await checkPlan(plan);
    assert.deepEqual(results.flatMap((r) => r.violations), []);
  });
}
