import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, toWpError, type WpError } from "@wisteriapick/core";
import { HttpObjectStore, MAX_VALUE_BYTES, type ObjectStore } from "@wisteriapick/clients";
import { MemoryObjectStore, serveObjectStore } from "../src/mod.ts";

const bytes = (s: string) => new TextEncoder().encode(s);
const text = (b: Uint8Array | null | undefined) => b ? new TextDecoder().decode(b) : null;

async function errorOf(p: Promise<unknown>): Promise<WpError> {
  try {
    await p;
  } catch (e) {
    return toWpError(e);
  }
  throw new assert.AssertionError({ message: "the call did not fail" });
}

async function served(store = new MemoryObjectStore()) {
  const server = await serveObjectStore(store);
  const client = new HttpObjectStore(server.origin);
  const close = async () => {
    await client.close();
    await server.close();
  };
  return { store, server, client, close };
}

// Guards against differences between the HTTP client and the in-memory store in the behaviour that callers rely on.
async function checkContract(store: ObjectStore) {
  assert.equal(await store.get("a/1"), null);
  assert.equal(await store.put("a/1", bytes("x"), { ifVersion: 0 }), 1);
  const conflict = await errorOf(store.put("a/1", bytes("y"), { ifVersion: 0 }));
  assert.deepEqual([conflict.type, (conflict as { currentVersion?: number }).currentVersion], [
    "store_conflict",
    1,
  ]);
  assert.equal(await store.put("a/1", bytes("y"), { ifVersion: 1 }), 2);
  assert.equal(text((await store.get("a/1"))?.value), "y");
  await store.put("a/2", bytes("z"), { ifVersion: 0 });
  await store.put("b", new Uint8Array(0), { ifVersion: 0 });
  const page = await store.list("a/", { limit: 1 });
  assert.deepEqual(page.objects.map((o) => o.key), ["a/1"]);
  const next = await store.list("a/", { after: "a/1" });
  assert.deepEqual(next.objects.map((o) => o.key), ["a/2"]);
  const waiting = store.watch("a/", { index: page.index, waitMs: 60_000 });
  await store.delete("a/1", { ifVersion: 2 });
  const seen = await waiting;
  assert.deepEqual(seen.events.map((e) => [e.key, e.version, e.value]), [["a/1", 3, null]]);
  assert.equal(await store.put("a/1", bytes("w"), { ifVersion: 0 }), 4);
  const large = await errorOf(
    store.put("c", new Uint8Array(MAX_VALUE_BYTES + 1), { ifVersion: 0 }),
  );
  assert.equal(large.type, "store_value_too_large");
}

test("the memory store keeps the contract of the object API", async () => {
  await checkContract(new MemoryObjectStore());
});

test("the HTTP client keeps the contract of the object API", async () => {
  const { client, close } = await served();
  await checkContract(client);
  await close();
});

// Guards against reporting a write whose response was lost as one without effect.
test("a lost answer is an unknown outcome and the write took effect", async () => {
  const { store, client, close } = await served();
  store.setFaults({ loseAnswers: 1 });
  const err = await errorOf(client.put("a", bytes("x"), { ifVersion: 0 }));
  assert.equal(err.type, "store_outcome_unknown");
  assert.equal(text((await client.get("a"))?.value), "x");
  await close();
});

// Guards against reporting a refused connection as an unknown outcome.
test("an outage and a refused connection are failures without effect", async () => {
  const { store, client, server, close } = await served();
  store.setFaults({ outage: true });
  assert.equal(
    (await errorOf(client.put("a", bytes("x"), { ifVersion: 0 }))).type,
    "store_unavailable",
  );
  await server.close();
  const fresh = new HttpObjectStore(server.origin);
  assert.equal(
    (await errorOf(fresh.put("a", bytes("x"), { ifVersion: 0 }))).type,
    "store_unavailable",
  );
  await fresh.close();
  await close();
});

// Guards against a call that never ends when the store is slow.
test("a write that gets no answer in time has an unknown outcome", async () => {
  const store = new MemoryObjectStore({ clock: new ManualClock() });
  store.setFaults({ slowMs: 60_000 });
  const server = await serveObjectStore(store);
  const clock = new ManualClock();
  const client = new HttpObjectStore(server.origin, { clock });
  const put = errorOf(client.put("a", bytes("x"), { ifVersion: 0 }));
  while (store.counters().calls.put === 0) await new Promise((r) => setImmediate(r));
  clock.advance(2_000);
  assert.equal((await put).type, "store_outcome_unknown");
  await client.close();
  await server.close();
});

// Guards against delayed writes overwriting a value that was written in the meantime.
test("a delayed write takes effect later and only on its version", async () => {
  const clock = new ManualClock();
  const store = new MemoryObjectStore({ clock });
  store.setFaults({ delayWrites: 2, delayMs: 500 });
  await errorOf(store.put("a", bytes("late"), { ifVersion: 0 }));
  await errorOf(store.put("b", bytes("late"), { ifVersion: 0 }));
  await store.put("b", bytes("first"), { ifVersion: 0 });
  assert.equal(await store.get("a"), null);
  clock.advance(500);
  assert.equal(text((await store.get("a"))?.value), "late");
  assert.equal(text((await store.get("b"))?.value), "first");
});

// Guards against pending watches that don't count towards the rate limit, and against reads beyond the limit.
test("reads are limited and each waiting watch counts as a call", async () => {
  const clock = new ManualClock();
  const store = new MemoryObjectStore({ clock, readsPerSecond: 10 });
  const abort = new AbortController();
  const watches = [1, 2, 3, 4].map(() => store.watch("a", { index: 0, signal: abort.signal }));
  await Promise.resolve();
  for (let i = 0; i < 6; i++) await store.get("a");
  assert.equal((await errorOf(store.get("a"))).type, "rate_limited");
  clock.advance(1_000);
  for (let i = 0; i < 6; i++) await store.get("a");
  assert.equal((await errorOf(store.get("a"))).type, "rate_limited");
  assert.equal(store.counters().waitingWatches, 4);
  abort.abort();
  await Promise.all(watches);
  assert.equal(store.counters().waitingWatches, 0);
});

// Guards against a watcher that silently misses changes that the history no longer contains.
test("a watch from before the history reports a gap", async () => {
  const store = new MemoryObjectStore({ historySize: 2 });
  for (let i = 0; i < 4; i++) await store.put(`k${i}`, bytes("x"), { ifVersion: 0 });
  assert.equal((await store.watch("", { index: 1, waitMs: 0 })).gap, true);
  const ok = await store.watch("", { index: 2, waitMs: 0 });
  assert.deepEqual([ok.gap, ok.events.length, ok.index], [false, 2, 4]);
});
