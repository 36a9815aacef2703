import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Rng } from "@wisteriapick/core";
import { StoreFollower } from "../src/state/store_follower.ts";
import { StoreView } from "../src/state/store_view.ts";
import { makeConfig, makeEndpoint, MemoryLog, MemoryStore, settle } from "./fixtures.ts";

async function makeFollower() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  store.set("config", "main", makeConfig({ version: 1 }));
  const view = new StoreView();
  const log = new MemoryLog();
  const follower = new StoreFollower({ store, view, clock, rng: new Rng(4), log });
  follower.start();
  await settle();
  return { clock, store, view, log, follower };
}

/** Advances the clock in small steps, so that promises settle between timers. */
async function advance(clock: ManualClock, ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
    clock.advance(50);
    await settle();
  }
}

const versionOf = (view: StoreView) => view.kinds.config.snapshot.items.get("main")?.value.version;

test("a change reaches the view at once", async () => {
  const { store, view, follower } = await makeFollower();
  store.set("config", "main", makeConfig({ version: 2 }));
  await settle();
  assert.equal(versionOf(view), 2);
  follower.stop();
});

// Guards against stale views after an outage.
test("a change made during a store outage reaches the view within a second of its end", async () => {
  const { clock, store, view, follower, log } = await makeFollower();
  store.setAvailability("refusing");
  await advance(clock, 5_000);
  assert.equal(follower.reachable, false);
  store.set("config", "main", makeConfig({ version: 3 }));
  assert.equal(versionOf(view), 1);
  store.setAvailability("serving");
  await advance(clock, 1_000);
  assert.equal(versionOf(view), 3);
  assert.equal(follower.reachable, true);
  assert.equal(log.count("store_lost"), 1);
  assert.equal(log.count("store_regained"), 1);
  follower.stop();
});

// Guards against overloading a store that returns, when hundreds of gateways probe it with every kind.
test("an unreachable store is probed by one kind alone, about twice a second", async () => {
  const { clock, store, follower } = await makeFollower();
  store.setAvailability("refusing");
  await advance(clock, 2_000);
  const before = store.calls.watch + store.calls.list;
  await advance(clock, 10_000);
  const perSecond = (store.calls.watch + store.calls.list - before) / 10;
  assert.ok(perSecond <= 3, `${perSecond} calls a second`);
  assert.ok(perSecond >= 1);
  follower.stop();
});

// Guards against waiting for a watch on a dead connection.
test("a silent connection is noticed within a second and a half", async () => {
  const { clock, store, view, follower } = await makeFollower();
  store.setAvailability("silent");
  await advance(clock, 100);
  store.set("config", "main", makeConfig({ version: 4 }));
  // New calls work, but the calls in progress never return.
  store.availability = "serving";
  await advance(clock, 1_500);
  assert.equal(versionOf(view), 4);
  follower.stop();
});

// Guards against missing changes that are no longer in the history of the store.
test("a kind is listed again when the store has dropped its history", async () => {
  const { clock, store, view, follower, log } = await makeFollower();
  store.set("endpoints", "a", makeEndpoint("a"));
  store.dropHistory();
  await advance(clock, 1_000);
  assert.ok(view.kinds.endpoints.snapshot.items.has("a"));
  assert.ok(log.count("store_history_gone") > 0);
  follower.stop();
});

test("a suspended follower makes no calls, and catches up when resumed", async () => {
  const { clock, store, view, follower } = await makeFollower();
  follower.setSuspended(true);
  await advance(clock, 3_000);
  const before = store.calls.watch;
  await advance(clock, 5_000);
  assert.equal(store.calls.watch, before);
  store.set("config", "main", makeConfig({ version: 5 }));
  await advance(clock, 200);
  assert.equal(versionOf(view), 1);
  follower.setSuspended(false);
  await advance(clock, 200);
  assert.equal(versionOf(view), 5);
  follower.stop();
});
