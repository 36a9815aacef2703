import assert from "node:assert/strict";
import { test } from "node:test";
import {
  buildSetup,
  runProduct,
  runScenario,
  SCENARIOS,
  toHtml,
  toOutput,
  toTable,
} from "../src/mod.ts";
import { runExperiment } from "../src/command.ts";
import { withoutLarge } from "../src/run.ts";

const SHORT_MS = 60_000;

test("the same seed gives the same bytes, another seed does not", () => {
  const run = (seed: number) =>
    JSON.stringify(toOutput(runScenario("failures", { seed, arrivalMs: 20_000 })));
  const first = run(1);
  assert.equal(run(1), first);
  assert.notEqual(run(2), first);
});

test("every scenario reports the product and all four baselines", () => {
  const expected = ["wisteriapick", "random", "round_robin", "least_outstanding", "power_of_two"];
  for (const { name } of SCENARIOS) {
    const output = toOutput(runScenario(name, { seed: 1, arrivalMs: 5_000 }));
    assert.deepEqual(Object.keys(output.policies), expected);
    for (const m of Object.values(output.policies)) {
      assert.equal(m.completed + m.refused + m.failed, output.offered, name);
    }
  }
});

test("the report and the table can be made from any output", () => {
  const output = toOutput(runScenario("mixed", { seed: 1, arrivalMs: 3_000 }));
  const html = toHtml(output, toTable(output));
  assert.match(html, /<svg/);
  assert.match(html, /power_of_two/);
});

test("wrong arguments are answered with exit code 2", async () => {
  assert.equal(await runExperiment(["nothing"]), 2);
  assert.equal(await runExperiment(["crowded", "--seed", "x"]), 2);
  assert.equal(await runExperiment(["crowded", "--load", "0"]), 2);
});

test("cold hosts are never overloaded, whatever turns cold and whichever side restarts", () => {
  for (const seed of [1, 2, 3]) {
    const result = runProduct(buildSetup("cold", { seed, arrivalMs: SHORT_MS }));
    assert.equal(result.measures.cold_overloads, 0, `seed ${seed}`);
  }
});

test("a poisonous request crashes at most two endpoints, and innocent ones complete", () => {
  for (const seed of [1, 2, 3]) {
    const result = runProduct(buildSetup("poison", { seed, arrivalMs: SHORT_MS }));
    assert.ok(result.integrity.poison_crashes <= 2, `seed ${seed}`);
    assert.equal(result.measures.failed, 0, `seed ${seed}`);
    assert.equal(result.refusals["refused.quarantined"], 1, `seed ${seed}`);
  }
});

test("engines that die, are reclaimed or hang lose, duplicate or splice nothing", () => {
  for (const seed of [1, 2, 3]) {
    const { integrity } = runProduct(buildSetup("failures", { seed, arrivalMs: SHORT_MS }));
    const { lost, duplicated, spliced } = integrity;
    assert.deepEqual({ lost, duplicated, spliced }, { lost: 0, duplicated: 0, spliced: 0 });
  }
});

test("small accounts do not notice two large ones", () => {
  // The whole length: in a short run the first seconds, in which accounts are learned, are a large part.
  const setup = buildSetup("large_accounts", { seed: 1 });
  const results = new Map([["wisteriapick", runProduct(setup)]]);
  const { small_accounts: small } = toOutput({
    setup,
    results,
    withoutLarge: runProduct(withoutLarge(setup)),
  });
  assert.ok(small!.stall_p99_ms <= 1.25 * small!.stall_p99_ms_without_large, JSON.stringify(small));
  assert.equal(small!.refused, 0);
});

test("crowded engines: stall, preemptions, goodput and gaps against the best baseline", () => {
  const { policies } = toOutput(
    runScenario("crowded", { seed: 2, load: 1.2, arrivalMs: 200_000 }),
  );
  const { wisteriapick: own, ...rest } = policies;
  const baselines = Object.values(rest);
  const least = (of: (m: typeof own & object) => number) => Math.min(...baselines.map(of));
  assert.ok(own!.stall_ms.p99 <= 0.5 * least((m) => m.stall_ms.p99));
  assert.ok(own!.preemptions_per_1000 <= 0.25 * least((m) => m.preemptions_per_1000));
  assert.ok(own!.token_gap_ms.p99 <= least((m) => m.token_gap_ms.p99));
});

test("mixed work, seed 4: the p99 gap between tokens is no worse than the best baseline's", () => {
  const { policies } = toOutput(runScenario("mixed", { seed: 4, load: 0.9 }));
  const { wisteriapick: own, ...rest } = policies;
  const best = Math.min(...Object.values(rest).map((m) => m.token_gap_ms.p99));
  assert.ok(own!.token_gap_ms.p99 <= best, `${own!.token_gap_ms.p99} against ${best}`);
});
