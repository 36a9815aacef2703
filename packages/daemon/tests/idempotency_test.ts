import assert from "node:assert/strict";
import { after, test } from "node:test";
import { ManualClock, SystemClock } from "@wisteriapick/core";
import { MemoryObjectStore } from "@wisteriapick/standins";
import { request } from "undici";
import { IdempotencyClaims } from "../src/mod.ts";
import { CLIENT_KEY, Fleet, waitUntil } from "./fixtures.ts";
import { dropConnection, TestService } from "./plain_service.ts";

async function makeCounter(parts: { claimsPerSecond?: number; burst?: number } = {}) {
  const fleet = new Fleet();
  after(() => fleet.close());
  const service = new TestService();
  const origin = await service.listen();
  after(() => service.close());
  await fleet.startSide("counter-1", null, { service: "counter", origin });
  const store = new MemoryObjectStore({ clock: new SystemClock() });
  const idempotency = { retryMs: 1, ...parts };
  const entries = [
    await fleet.startEntry("1", { store, idempotency }),
    await fleet.startEntry("2", { store, idempotency }),
  ];
  const order = async (key: string, body = "bowl", entry = 0) => {
    const res = await request(`${entries[entry]!.url}/services/counter/orders`, {
      method: "POST",
      headers: { authorization: `Bearer ${CLIENT_KEY}`, "idempotency-key": key },
      body,
    });
    const text = await res.body.text();
    const json = JSON.parse(text) as { type?: string; not_run?: unknown };
    return { status: res.statusCode, headers: res.headers, text, ...json };
  };
  return { service, store, order };
}

/** Waits until the claim of a finished call has been completed in the store. */
async function completed(store: MemoryObjectStore, state: string): Promise<void> {
  for (;;) {
    const { objects } = await store.list("idempotency/");
    const states = objects.map((o) => JSON.parse(Buffer.from(o.value).toString()).state);
    if (states.length > 0 && states.every((s) => s === state)) return;
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

test("a repeated key replays the stored answer at any entry", async () => {
  const { service, store, order } = await makeCounter();
  const first = await order("k1");
  await completed(store, "done");
  const second = await order("k1", "bowl", 1);
  assert.equal(first.status, 201);
  assert.deepEqual([second.status, second.text], [first.status, first.text]);
  assert.equal(second.headers["idempotent-replayed"], "true");
  assert.equal(service.count("/orders"), 1);
});

test("the same key with other content is refused", async () => {
  const { service, store, order } = await makeCounter();
  await order("k1", "bowl");
  await completed(store, "done");
  const second = await order("k1", "plate");
  assert.deepEqual([second.status, second.type, second.not_run], [
    422,
    "idempotency_mismatch",
    true,
  ]);
  assert.equal(service.count("/orders"), 1);
});

test("two calls with one key at the same time run once", async () => {
  const { service, order } = await makeCounter();
  let release = () => {};
  service.onRequest = (_req, res) => {
    release = () => res.end("{}");
  };
  const first = order("k1");
  await waitUntil(() => service.count("/orders") === 1);
  const second = await order("k1", "bowl", 1);
  assert.deepEqual([second.status, second.type, second.not_run], [
    409,
    "idempotency_in_progress",
    "unknown",
  ]);
  release();
  assert.equal((await first).status, 200);
  assert.equal(service.count("/orders"), 1);
});

test("a lost answer to the claim's write is recognised and the call runs once", async () => {
  const { service, store, order } = await makeCounter();
  store.setFaults({ loseAnswers: 1 });
  assert.equal((await order("k1")).status, 201);
  await completed(store, "done");
  assert.equal((await order("k1", "bowl", 1)).headers["idempotent-replayed"], "true");
  assert.equal(service.count("/orders"), 1);
});

test("lost answers to both writes of a call still let it run once and replay", async () => {
  const { service, store, order } = await makeCounter();
  store.setFaults({ loseAnswers: 2 });
  assert.equal((await order("k1")).status, 201);
  await completed(store, "done");
  assert.equal((await order("k1")).headers["idempotent-replayed"], "true");
  assert.equal(service.count("/orders"), 1);
});

test("a claim's write that takes effect late does not let the call run twice", async () => {
  const { service, store, order } = await makeCounter();
  store.setFaults({ delayWrites: 1, delayMs: 20 });
  const both = await Promise.all([order("k1"), order("k1", "bowl", 1)]);
  assert.ok(both.some((res) => res.status === 201));
  assert.equal(service.count("/orders"), 1);
});

test("with the store down a keyed call is refused and not run", async () => {
  const { service, store, order } = await makeCounter();
  store.setFaults({ outage: true });
  const res = await order("k1");
  assert.deepEqual([res.status, res.type, res.not_run], [503, "idempotency_unavailable", true]);
  assert.ok(res.headers["retry-after"] !== undefined);
  assert.equal(service.count("/orders"), 0);
  store.clearFaults();
  assert.equal((await order("k1")).status, 201);
});

test("a call whose outcome is unknown keeps its key claimed", async () => {
  const { service, order } = await makeCounter();
  service.onRequest = dropConnection;
  const first = await order("k1");
  assert.deepEqual([first.type, first.not_run], ["upstream_failed", "unknown"]);
  service.onRequest = null;
  const second = await order("k1");
  assert.deepEqual([second.type, second.not_run], ["idempotency_in_progress", "unknown"]);
  assert.equal(service.count("/orders"), 1);
});

test("a call that is proved not to have run gives its key back", async () => {
  const { service, store, order } = await makeCounter();
  service.close();
  const first = await order("k1");
  assert.equal(first.not_run, true);
  await waitUntil(() => store.counters().calls.delete > 0);
  assert.equal((await store.list("idempotency/")).objects.length, 0);
});

test("an answer that is too large to keep is not replayed and not run again", async () => {
  const { service, store, order } = await makeCounter();
  service.onRequest = (_req, res) => void res.end(JSON.stringify("x".repeat(70_000)));
  assert.equal((await order("k1")).status, 200);
  await completed(store, "too_large");
  const second = await order("k1");
  assert.deepEqual([second.status, second.not_run], [409, false]);
  assert.equal(service.count("/orders"), 1);
});

test("claims above the rate of an entry are refused and not run", async () => {
  const { service, order } = await makeCounter({ claimsPerSecond: 0.001, burst: 1 });
  assert.equal((await order("k1")).status, 201);
  const second = await order("k2");
  assert.deepEqual([second.type, second.not_run], ["idempotency_unavailable", true]);
  assert.equal(service.count("/orders"), 1);
});

test("keys are usable anew after their retention, and a sweep deletes the old ones only", async () => {
  const clock = new ManualClock();
  const store = new MemoryObjectStore({ clock });
  const claims = new IdempotencyClaims({ store, clock, retentionMs: 1_000 });
  const body = Buffer.from("{}");
  const claim = async (key: string) => (await claims.claim(key, "digest")).type;
  const first = await claims.claim("idempotency/shop/a", "digest");
  assert.ok(first.type === "claimed");
  await claims.complete(first.claim, { status: 200, headers: [], body });
  assert.equal(await claim("idempotency/shop/a"), "replay");
  clock.advance(1_001);
  assert.equal(await claim("idempotency/shop/a"), "claimed");
  await claim("idempotency/shop/b");
  clock.advance(500);
  await claim("idempotency/shop/c");
  clock.advance(501);
  assert.equal(await claims.sweep({ limit: 1 }), "idempotency/shop/a");
  assert.equal(await claims.sweep({ after: "idempotency/shop/a" }), null);
  const { objects } = await store.list("idempotency/");
  assert.deepEqual(objects.map((o) => o.key), ["idempotency/shop/c"]);
});
