import assert from "node:assert/strict";
import { after, test } from "node:test";
import { endpointId, type Fence, fence, versionId } from "@wisteriapick/core";
import type { Order } from "@wisteriapick/wire";
import { FakeEngine, Fleet, waitUntil } from "./fixtures.ts";

function makeOrder(n: number, version = "v2"): Order {
  return {
    kind: "order",
    endpoint: endpointId("scribe-1"),
    fence: fence(n),
    version: versionId(version),
    model: "m",
    adapters: [],
    role: "serve",
  };
}

async function makeSide(learnFence?: () => Promise<Fence>) {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  await fleet.startSide("scribe-1", engine, { readHighestFence: learnFence });
  const { pool } = await fleet.startEntry("1");
  const address = fleet.sideAddress("scribe-1");
  pool.keep(address);
  const link = await pool.ready(address);
  const order = async (n: number, version?: string) => {
    const msg = await link.request(makeOrder(n, version));
    return msg.kind === "fail" ? msg.refusal.type : msg.kind;
  };
  return { engine, order };
}

test("an order with an old fencing number is refused where the engine ignores the number", async () => {
  const { engine, order } = await makeSide(async () => fence(3));
  await waitUntil(() => engine.version === "v1");
  let first = await order(3, "v2");
  while (first === "side_not_ready") first = await order(3, "v2");
  assert.equal(first, "order_done");
  assert.equal(await order(5, "v3"), "order_done");
  assert.equal(await order(4, "v2"), "fenced");
  assert.equal(engine.version, "v3");
});

test("a side accepts no order until it has learned the highest fencing number", async () => {
  let learned: (n: Fence) => void = () => {};
  const { engine, order } = await makeSide(() =>
    new Promise((resolve) => {
      learned = resolve;
    })
  );
  assert.equal(await order(9), "side_not_ready");
  assert.equal(engine.orders.length, 0);
  learned(fence(7));
  await waitUntil(() => engine.orders.length === 0);
  let res = await order(6);
  while (res === "side_not_ready") res = await order(6);
  assert.equal(res, "fenced");
  assert.equal(await order(7), "order_done");
});

test("an engine that reports its highest fencing number is enough to learn it", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  engine.highestFence = 4;
  await fleet.startSide("scribe-1", engine);
  const { pool } = await fleet.startEntry("1");
  const address = fleet.sideAddress("scribe-1");
  pool.keep(address);
  const link = await pool.ready(address);
  let msg = await link.request(makeOrder(3));
  while (msg.kind === "fail" && msg.refusal.type === "side_not_ready") {
    msg = await link.request(makeOrder(3));
  }
  assert.equal(msg.kind === "fail" && msg.refusal.type, "fenced");
});
