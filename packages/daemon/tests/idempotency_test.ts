import assert from "node:assert/strict";
import { after, test } from "node:test";
import { ManualClock, SystemClock } from "@wisteriapick/core";
import { MemoryObjectStore } from "@wisteriapick/standins";
import { request } from "undici";
import { IdempotencyClaims } from "../src/mod.ts";
import { CLIENT_KEY, Fleet, waitUntil } from "./fixtures.ts";
import { dropConnection, TestService } from "./plain_service.ts";

async function startCounter(overrides: { claimsPerSecond?: number; burst?: number } = {}) {
  const fleet = new Fleet();
  after(() => fleet.close());
  const service = new TestService();
  const origin = await service.listen();
  after(() => service.close());
  await fleet.startSide("counter-1", null, { service: "counter", origin });
  const store = new MemoryObjectStore({ clock: new SystemClock() });
  const idempotency = { retryDelayMs: 1, ...overrides };
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

/** Waits until all claims in the store have the given state. */
async function waitForClaimState(store: MemoryObjectStore, state: string): Promise<void> {
  for (;;) {
    const { objects } = await store.list("idempotency/");
    const states = objects.map((o) => JSON.parse(Buffer.from(o.value).toString()).state);
    if (states.length > 0 && states.every((s) => s === state)) return;
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

// Guards against running a call again when its caller retries it at another entry.
test("a repeated key replays the stored response at any entry", async () => {
  const { service, store, order } = await startCounter();
  const first = await order("k1");
  await waitForClaimState(store, "done");
  const second = await order("k1", "bowl", 1);
  assert.equal(first.status, 201);
  assert.deepEqual([second.status, second.text], [first.status, first.text]);
  assert.equal(second.headers["idempotent-replayed"], "true");
  assert.equal(service.count("/orders"), 1);
});

// Guards against replaying the response of another call to a caller that reuses its key.
test("the same key with other content is refused", async () => {
  const { service, store, order } = await startCounter();
  await order("k1", "bowl");
  await waitForClaimState(store, "done");
  const second = await order("k1", "plate");
  assert.deepEqual([second.status, second.type, second.not_run], [
    422,
    "idempotency_mismatch",
    true,
  ]);
  assert.equal(service.count("/orders"), 1);
});

// Guards against both calls passing the claim when they race at two entries.
test("two concurrent calls with one key run once", async () => {
  const { service, order } = await startCounter();
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

// Guards against an entry that takes its own claim for another caller's when the store's response is lost.
test("a lost response to the claim's write is recognised and the call runs once", async () => {
  const { service, store, order } = await startCounter();
  store.setFaults({ loseAnswers: 1 });
  assert.equal((await order("k1")).status, 201);
  await waitForClaimState(store, "done");
  assert.equal((await order("k1", "bowl", 1)).headers["idempotent-replayed"], "true");
  assert.equal(service.count("/orders"), 1);
});

// Guards against a claim that stays open because the response to its completing write is lost.
test("a call whose two store writes both lose their responses runs once and is replayed", async () => {
  const { service, store, order } = await startCounter();
  store.setFaults({ loseAnswers: 2 });
  assert.equal((await order("k1")).status, 201);
  await waitForClaimState(store, "done");
  assert.equal((await order("k1")).headers["idempotent-replayed"], "true");
  assert.equal(service.count("/orders"), 1);
});

// Guards against two claims of one key when the first write is delayed until after the second call arrives.
test("a claim's write that takes effect late does not let the call run twice", async () => {
  const { service, store, order } = await startCounter();
  store.setFaults({ delayWrites: 1, delayMs: 20 });
  const both = await Promise.all([order("k1"), order("k1", "bowl", 1)]);
  assert.ok(both.some((res) => res.status === 201));
  assert.equal(service.count("/orders"), 1);
});

// Guards against running a call without a claim, which a retry would run again.
test("a call with a key is refused and not run while the store is down", async () => {
  const { service, store, order } = await startCounter();
  store.setFaults({ outage: true });
  const res = await order("k1");
  assert.deepEqual([res.status, res.type, res.not_run], [503, "idempotency_unavailable", true]);
  assert.ok(res.headers["retry-after"] !== undefined);
  assert.equal(service.count("/orders"), 0);
  store.clearFaults();
  assert.equal((await order("k1")).status, 201);
});

// Guards against running a call again on a retry when its first run may have taken effect.
test("a call whose outcome is unknown keeps its key claimed", async () => {
  const { service, order } = await startCounter();
  service.onRequest = dropConnection;
  const first = await order("k1");
  assert.deepEqual([first.type, first.not_run], ["upstream_failed", "unknown"]);
  service.onRequest = null;
  const second = await order("k1");
  assert.deepEqual([second.type, second.not_run], ["idempotency_in_progress", "unknown"]);
  assert.equal(service.count("/orders"), 1);
});

// Guards against a key that blocks retries although nothing ran under it.
test("a call that has provably not run releases its key", async () => {
  const { service, store, order } = await startCounter();
  service.close();
  const first = await order("k1");
  assert.equal(first.not_run, true);
  await waitUntil(() => store.counters().calls.delete > 0);
  assert.equal((await store.list("idempotency/")).objects.length, 0);
});

// Guards against running a call again because its response was not stored.
test("a call whose response is too large to store is neither replayed nor run again", async () => {
  const { service, store, order } = await startCounter();
  service.onRequest = (_req, res) => void res.end(JSON.stringify("x".repeat(70_000)));
  assert.equal((await order("k1")).status, 200);
  await waitForClaimState(store, "too_large");
  const second = await order("k1");
  assert.deepEqual([second.status, second.not_run], [409, false]);
  assert.equal(service.count("/orders"), 1);
});

// Guards against one entry using up the store's write rate with claims, or running calls without one.
test("claims above the rate of an entry are refused and not run", async () => {
  const { service, order } = await startCounter({ claimsPerSecond: 0.001, burst: 1 });
  assert.equal((await order("k1")).status, 201);
  const second = await order("k2");
  assert.deepEqual([second.type, second.not_run], ["idempotency_unavailable", true]);
  assert.equal(service.count("/orders"), 1);
});

// Guards against keys that block for ever, and against deleting claims that still protect their calls.
test("keys are usable again after their retention, and a sweep deletes only expired keys", async () => {
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
