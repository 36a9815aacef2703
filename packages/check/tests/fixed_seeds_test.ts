import assert from "node:assert/strict";
import { test } from "node:test";
import { checkRuns } from "../src/mod.ts";

for (const seed of [1, 2]) {
  test(`generated fault plans of seed ${seed} break no promise`, async () => {
    const report = await checkRuns({ seed, runs: 3 });
    assert.deepEqual(report.failure, null);
  });
}
