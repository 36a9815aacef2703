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

// Guards against randomness or time from outside the seeded run.
test("the same seed gives the same output, another seed gives another", () => {
  const run = (seed: number) =>
    JSON.stringify(toOutput(runScenario("failures", { seed, arrivalMs: 20_000 })));
  const first = run(1);
  assert.equal(run(1), first);
  assert.notEqual(run(2), first);
});

// Guards against a policy that is missing from the output, and requests that end without an outcome.
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

// Guards against a report without charts or without a policy.
test("an output renders as a table and as an HTML report", () => {
  const output = toOutput(runScenario("mixed", { seed: 1, arrivalMs: 3_000 }));
  const html = toHtml(output, toTable(output));
  assert.match(html, /<svg/);
  assert.match(html, /power_of_two/);
});

// Guards against runs with a wrong scenario, seed or load that look successful.
test("wrong arguments give exit code 2", async () => {
  assert.equal(await runExperiment(["nothing"]), 2);
  assert.equal(await runExperiment(["crowded", "--seed", "x"]), 2);
  assert.equal(await runExperiment(["crowded", "--load", "0"]), 2);
});

// Guards against an admission that exceeds the capacity of a cold engine, among others after its side restarted.
test("cold hosts are never overloaded, even when engines turn cold and sides restart", () => {
  for (const seed of [1, 2, 3]) {
    const result = runProduct(buildSetup("cold", { seed, arrivalMs: SHORT_MS }));
    assert.equal(result.measures.cold_overloads, 0, `seed ${seed}`);
  }
});

// Guards against running a poison request again until it has crashed every endpoint, and against refusing other
// requests with it.
test("a poison request crashes at most two endpoints, and the other requests complete", () => {
  for (const seed of [1, 2, 3]) {
    const result = runProduct(buildSetup("poison", { seed, arrivalMs: SHORT_MS }));
    assert.ok(result.integrity.poison_crashes <= 2, `seed ${seed}`);
    assert.equal(result.measures.failed, 0, `seed ${seed}`);
    assert.equal(result.refusals["refused.quarantined"], 1, `seed ${seed}`);
  }
});

// Guards against responses put together from two attempts, and tokens lost or sent twice, when a request runs again.
test("engine crashes, reclaims and link stalls lose, duplicate and splice no tokens", () => {
  for (const seed of [1, 2, 3]) {
    const { integrity } = runProduct(buildSetup("failures", { seed, arrivalMs: SHORT_MS }));
    const { lost, duplicated, spliced } = integrity;
    assert.deepEqual({ lost, duplicated, spliced }, { lost: 0, duplicated: 0, spliced: 0 });
  }
});

// Guards against large accounts that fill the queues and delay or displace the requests of small ones.
test("two large accounts do not delay small accounts", () => {
  // The run has its full length: in a short one the first seconds, in which accounts are learned, weigh too much.
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

// Guards against an admission that lets engines run out of memory or overfills their batches.
test("crowded engines: p99 stall, preemptions and p99 gap beat the best baseline by the stated factors", () => {
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

// Guards against long drafts that slow down the tokens of short requests at the same engine.
test("mixed work, seed 4: the p99 gap between tokens is no worse than the best baseline's", () => {
  const { policies } = toOutput(runScenario("mixed", { seed: 4, load: 0.9 }));
  const { wisteriapick: own, ...rest } = policies;
  const best = Math.min(...Object.values(rest).map((m) => m.token_gap_ms.p99));
  assert.ok(own!.token_gap_ms.p99 <= best, `${own!.token_gap_ms.p99} against ${best}`);
});
