import assert from "node:assert/strict";
import { test } from "node:test";
import { checkRuns } from "../src/mod.ts";

// Guards against changes that violate a property under an ordinary combination of faults.
for (const seed of [1, 2]) {
  test(`generated fault plans of seed ${seed} violate no property`, async () => {
    const report = await checkRuns({ seed, runs: 3 });
    assert.deepEqual(report.failure, null);
  });
}
