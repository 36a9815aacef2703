import assert from "node:assert/strict";
import { test } from "node:test";
import {
  dataCentreId,
  generationId,
  hostId,
  ManualClock,
  regionId,
  toWpError,
} from "@wisteriapick/core";
import { HttpHostList, HttpModelEngine, HttpWeightStore } from "@wisteriapick/clients";
import {
  EngineStandin,
  MemoryHostList,
  MemoryWeightStore,
  serveHostList,
  serveWeightStore,
} from "../src/mod.ts";

function host(name: string, state: "live" | "leaving" = "live") {
  const place = { dataCentre: dataCentreId("accra-osu"), region: regionId("accra") };
  return { host: hostId(name), ...place, state, side: "127.0.0.1:1" };
}

// Guards against a list that shows changes at once, which would hide the effects of its lag on the system.
test("readers see a change of the host list after its lag and in order", async () => {
  const clock = new ManualClock();
  const list = new MemoryHostList({ clock, lagMs: 1_000 });
  const server = await serveHostList(list);
  const client = new HttpHostList(server.origin);
  list.set(host("a"));
  clock.advance(500);
  list.set(host("a", "leaving"));
  assert.deepEqual((await client.read()).hosts, []);
  clock.advance(500);
  const [first] = (await client.read()).hosts;
  assert.equal(first!.state, "live");
  clock.advance(500);
  const later = await client.read();
  assert.deepEqual([later.index, later.hosts[0]!.state], [2, "leaving"]);
  list.setDown(true);
  await assert.rejects(client.read(), (e) => toWpError(e).type === "unreachable");
  await client.close();
  await server.close();
});

// Guards against unlimited fetches, a wrong retry time, and grants for unknown names.
test("the weight store grants fetches at its rate and knows its names", async () => {
  const clock = new ManualClock();
  const weights = new MemoryWeightStore({ clock, fetchesPerSecond: 2, weights: { a: 5 } });
  const server = await serveWeightStore(weights);
  const client = new HttpWeightStore(server.origin);
  assert.deepEqual(await client.stat("a"), { name: "a", bytes: 5 });
  assert.equal(await client.stat("b"), null);
  await client.reserve("a");
  await client.reserve("a");
  await assert.rejects(client.reserve("a"), (e) => {
    const err = toWpError(e);
    return err.type === "rate_limited" && err.retryAfterMs === 500;
  });
  clock.advance(500);
  assert.match((await client.reserve("a")).grant, /^a\./);
  await assert.rejects(client.reserve("b"), (e) => toWpError(e).type === "not_found");
  await client.close();
  await server.close();
});

// Guards against a frozen engine that still responds: sides have to detect the freeze by its silence.
test("a frozen engine answers nothing until it thaws", async () => {
  const clock = new ManualClock();
  const engine = new EngineStandin({ clock });
  const server = await engine.listen();
  const client = new HttpModelEngine(server.origin);
  engine.switch({ freezeMs: 1_000 });
  let answered = false;
  const state = client.state().then(() => answered = true);
  const run = (async () => {
    const req = { model: "scribe-7b", version: "v1", maxTokens: 3, priority: 0 };
    const events = [];
    for await (const e of client.run({ gen: generationId("g-1"), prompt: "p", ...req })) {
      events.push(e.type);
    }
    return events;
  })();
  for (let i = 0; i < 50; i++) await new Promise((resolve) => setImmediate(resolve));
  assert.equal(answered, false);
  assert.equal(engine.model.running, 0);
  let ended: string[] | null = null;
  void run.then((events) => ended = events);
  while (ended === null) {
    clock.advance(100);
    await new Promise((resolve) => setImmediate(resolve));
  }
  await state;
  assert.deepEqual(ended, ["token", "token", "token", "end"]);
  await client.close();
  await server.close();
});
