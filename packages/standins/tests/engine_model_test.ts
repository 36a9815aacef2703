import assert from "node:assert/strict";
import { test } from "node:test";
import { generationId, ManualClock, Rng } from "@wisteriapick/core";
import { EngineModel, type EngineOptions, type ModelFinish } from "../src/mod.ts";

function makeEngine(options: EngineOptions = {}) {
  const clock = new ManualClock();
  const finished = new Map<string, ModelFinish>();
  const tokens = new Map<string, number>();
  const model = new EngineModel({
    clock,
    rng: new Rng(1),
    options,
    listener: {
      onStep: ({ gens, produced }) => gens.forEach((gen, i) => tokens.set(gen, produced[i]!)),
      onFinish: (gen, how) => void finished.set(gen, how),
    },
  });
  const submit = (name: string, outputTokens: number, part = {}) =>
    model.submit({ gen: generationId(name), promptTokens: 100, outputTokens, ...part });
  return { clock, model, finished, tokens, submit };
}

// Guards against tokens or KV memory lost or counted twice when a generation is preempted.
test("every generation gets exactly its tokens, also when it was preempted", () => {
  const { clock, model, finished, tokens, submit } = makeEngine({ kvTotalTokens: 1_000 });
  for (let i = 0; i < 8; i++) submit(`g${i}`, 300);
  clock.advance(120_000);
  assert.ok(model.counts.preemptions > 0);
  assert.deepEqual([...finished.values()], new Array(8).fill("stop"));
  assert.deepEqual([...tokens.values()], new Array(8).fill(300));
  assert.equal(model.kvUsedTokens, 0);
});

// Guards against a prefix cache without effect on the prefill time.
test("a cached prefix shortens the next prompt", () => {
  const { clock, submit, tokens } = makeEngine();
  const prefixes = [{ hash: "p", tokens: 20_000 }];
  submit("a", 1, { promptTokens: 20_100, prefixes });
  const until = (gen: string) => {
    const from = clock.now();
    while (!tokens.has(gen)) clock.step();
    return clock.now() - from;
  };
  const first = until("a");
  submit("b", 1, { promptTokens: 20_100, prefixes });
  assert.ok(until("b") < first / 5);
});

// Guards against a cold engine that tolerates more than its capacity, which would hide faults of cold-start limits.
test("more than a cold engine bears crashes it and is counted", () => {
  const { model, finished, submit } = makeEngine({ startsCold: true, coldCapacity: 2 });
  submit("a", 50);
  submit("b", 50);
  assert.equal(model.counts.coldOverloads, 0);
  submit("c", 50);
  assert.equal(model.counts.coldOverloads, 1);
  assert.equal(model.alive, false);
  assert.equal(finished.get("a"), "crashed");
});

// Guards against a queue in order of arrival that ignores priorities.
test("waiting work of lower priority number runs first", () => {
  const { clock, finished, submit } = makeEngine({ maxBatch: 1 });
  submit("first", 5);
  submit("long", 5, { priority: 1 });
  submit("short", 5, { priority: 0 });
  clock.advance(10_000);
  assert.deepEqual([...finished.keys()], ["first", "short", "long"]);
});

// Guards against a poison request without effect, and against a restart that leaves the engine down or warm.
test("a poisonous request crashes the engine, and a restart makes it usable", () => {
  const { clock, model, finished, submit } = makeEngine();
  submit("a", 50);
  submit("bad", 5, { poison: true });
  clock.advance(1_000);
  assert.equal(model.alive, false);
  assert.equal(finished.get("a"), "crashed");
  model.restart();
  assert.equal(model.cold, true);
  assert.equal(submit("b", 3), true);
});

// Guards against reports that are more current or complete than those of real engines.
test("load reports are late and cache events have gaps", () => {
  const { clock, model, submit } = makeEngine({ loadLagMs: 1_000, cacheEventLoss: 0.5 });
  for (let i = 0; i < 20; i++) submit(`g${i}`, 200, { prefixes: [{ hash: `p${i}`, tokens: 50 }] });
  clock.advance(500);
  assert.equal(model.load().running, 0);
  clock.advance(3_000);
  assert.ok(model.load().ageMs >= 1_000);
  const events = model.cacheEvents(0);
  assert.ok(events.length > 0 && events.length < 20);
});
