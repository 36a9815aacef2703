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

/** Lets time pass in small steps, so that promises keep up with timers. */
async function pass(clock: ManualClock, ms: number): Promise<void> {
  for (let done = 0; done < ms; done += 50) {
    clock.advance(50);
    await settle();
  }
}

const versionOf = (view: StoreView) => view.kinds.config.snapshot.items.get("main")?.value.version;

test("a change is in the view at once", async () => {
  const { store, view, follower } = await makeFollower();
  store.set("config", "main", makeConfig({ version: 2 }));
  await settle();
  assert.equal(versionOf(view), 2);
  follower.stop();
});

test("what changed while the store was away is in the view within a second of its return", async () => {
  const { clock, store, view, follower, log } = await makeFollower();
  store.setMood("refusing");
  await pass(clock, 5_000);
  assert.equal(follower.reachable, false);
  store.set("config", "main", makeConfig({ version: 3 }));
  assert.equal(versionOf(view), 1);
  store.setMood("serving");
  await pass(clock, 1_000);
  assert.equal(versionOf(view), 3);
  assert.equal(follower.reachable, true);
  assert.equal(log.count("store_lost"), 1);
  assert.equal(log.count("store_regained"), 1);
  follower.stop();
});

test("a store that is away is probed by one kind alone, about twice a second", async () => {
  const { clock, store, follower } = await makeFollower();
  store.setMood("refusing");
  await pass(clock, 2_000);
  const before = store.calls.watch + store.calls.list;
  await pass(clock, 10_000);
  const perSecond = (store.calls.watch + store.calls.list - before) / 10;
  assert.ok(perSecond <= 3, `${perSecond} calls a second`);
  assert.ok(perSecond >= 1);
  follower.stop();
});

test("a connection that went silent is noticed within a second and a half", async () => {
  const { clock, store, view, follower } = await makeFollower();
  store.setMood("silent");
  await pass(clock, 100);
  store.set("config", "main", makeConfig({ version: 4 }));
  // New connections work; the calls under way never return.
  store.mood = "serving";
  await pass(clock, 1_500);
  assert.equal(versionOf(view), 4);
  follower.stop();
});

test("a dropped history makes the kind be read anew", async () => {
  const { clock, store, view, follower, log } = await makeFollower();
  store.set("endpoints", "a", makeEndpoint("a"));
  store.dropHistory();
  await pass(clock, 1_000);
  assert.ok(view.kinds.endpoints.snapshot.items.has("a"));
  assert.ok(log.count("store_history_gone") > 0);
  follower.stop();
});

test("a suspended follower makes no calls, and catches up when it is resumed", async () => {
  const { clock, store, view, follower } = await makeFollower();
  follower.setSuspended(true);
  await pass(clock, 3_000);
  const before = store.calls.watch;
  await pass(clock, 5_000);
  assert.equal(store.calls.watch, before);
  store.set("config", "main", makeConfig({ version: 5 }));
  await pass(clock, 200);
  assert.equal(versionOf(view), 1);
  follower.setSuspended(false);
  await pass(clock, 200);
  assert.equal(versionOf(view), 5);
  follower.stop();
});
