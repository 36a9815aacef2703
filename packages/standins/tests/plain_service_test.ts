import assert from "node:assert/strict";
import { test } from "node:test";
import { PlainServiceStandin, stockOf } from "../src/mod.ts";

async function served() {
  const service = new PlainServiceStandin({ name: "counter-1", restartAfterMs: null });
  const server = await service.listen();
  return { service, server };
}

function postOrder(origin: string, order: string): Promise<Response> {
  return fetch(`${origin}/orders`, { method: "POST", body: JSON.stringify({ order }) });
}

// Guards against an order that ran but isn't counted because its response was lost.
test("each run of an order is counted, also when its answer is lost", async () => {
  const { service, server } = await served();
  assert.deepEqual(await (await postOrder(server.origin, "o-1")).json(), { order: "o-1", runs: 1 });
  service.switch({ loseOrderAnswers: 1 });
  await assert.rejects(postOrder(server.origin, "o-2"));
  assert.equal(service.orderRuns.get("o-2"), 1);
  await server.close();
});

// Guards against stock that differs between instances, and against truncated request or response bodies.
test("stock checks answer the same on every instance and bodies stream both ways", async () => {
  const { server } = await served();
  const stock = await (await fetch(`${server.origin}/stock/kente-7`)).json();
  assert.deepEqual(stock, { item: "kente-7", stock: stockOf("kente-7") });
  const body = "x".repeat(300_000);
  const echo = await fetch(`${server.origin}/echo`, { method: "POST", body });
  assert.equal(await echo.text(), body);
  const blob = await fetch(`${server.origin}/blob?bytes=100000`);
  assert.equal((await blob.arrayBuffer()).byteLength, 100_000);
  await server.close();
});

// Guards against a crashed instance that still accepts calls, or one that stays down after a restart.
test("a crashed instance answers nothing until restarted", async () => {
  const { service, server } = await served();
  service.switch({ crash: true });
  await assert.rejects(fetch(`${server.origin}/stock/a`));
  service.switch({ restart: true });
  assert.equal((await fetch(`${server.origin}/stock/a`)).status, 200);
  await server.close();
});
