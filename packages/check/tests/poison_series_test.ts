import assert from "node:assert/strict";
import { test } from "node:test";
import { checkPlan, type RunPlan } from "../src/mod.ts";

/** Crashes that one part of prompts may cause before requests with it are refused. */
const MAX_CRASHES = 3;

// Guards against a part of a prompt that crashes one engine after the other in requests of which no two are alike.
test("prompts that share a part which crashes engines are refused after a few crashes", async () => {
  const plan: RunPlan = {
    seed: 21,
    faults: [{ kind: "poison_series", atMs: 2_000, durationMs: 12_000, target: 0 }],
  };
  const { history, results } = await checkPlan(plan);
  assert.deepEqual(results.flatMap((r) => r.violations), []);
  const crashes = new Set(
    history.flatMap((e) =>
      e.type === "work_ended" && e.how === "crashed" ? [`${e.endpoint} at ${e.atMs}`] : []
    ),
  );
  assert.ok(crashes.size >= 1, "the series has run");
  assert.ok(crashes.size <= MAX_CRASHES, `${crashes.size} crashes`);
});
