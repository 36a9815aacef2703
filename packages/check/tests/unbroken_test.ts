import assert from "node:assert/strict";
import { test } from "node:test";
import { checkPlan } from "../src/mod.ts";
import { MUTANTS } from "./mutants.ts";

// Without these tests a mutant's plan could violate the property for a reason other than the mutant's change.
for (const { name, promise, plan } of MUTANTS) {
  test(`property ${promise} holds without ${name}`, async () => {
    const { results } = await checkPlan(plan);
    const result = results.find((r) => r.promise === promise)!;
    assert.ok(result.examined > 0, "the plan examines nothing");
    assert.deepEqual(result.violations, []);
  });
}
