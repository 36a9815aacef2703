import assert from "node:assert/strict";
import { test } from "node:test";
import { checkPlan } from "../src/mod.ts";
import { MUTANTS } from "./mutants.ts";

// A checker that doesn't report these deliberate faults would also miss real ones.
for (const { name, promise, plan, overrides } of MUTANTS) {
  test(`property ${promise} is reported as violated by ${name}`, async () => {
    const { results } = await checkPlan(plan, overrides);
    const result = results.find((r) => r.promise === promise)!;
    assert.ok(result.violations.length > 0);
  });
}
