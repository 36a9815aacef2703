import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Rng } from "@wisteriapick/core";
import { StoreFollower } from "../src/state/store_follower.ts";
import { StoreView } from "../src/state/store_view.ts";
import {
  makeConfig,
  makeEndpoint,
  makeSnapshot,
  MemoryLog,
  MemoryStore,
  settle,
} from "./fixtures.ts";

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

/** A follower of a store that names its era, with a copy taken before version 2 and the last endpoint. */
async function makeRestorable() {
  const made = await makeFollower();
  const { clock, store, view } = made;
  store.restore(store.copy(), 1);
  await advance(clock, 2_000);
  const copy = store.copy();
  store.set("config", "main", makeConfig({ version: 2 }));
  for (const id of ["a", "b", "c"]) store.set("endpoints", id, makeEndpoint(id));
  await advance(clock, 2_000);
  assert.equal(view.kinds.endpoints.snapshot.items.size, 3);
  return { ...made, copy };
}

// Guards against a view that stays as it was until the restored store's revisions pass the earlier ones.
test("what a restored store holds, and what is written to it then, reaches the view", async () => {
  const { clock, store, view, follower, copy } = await makeRestorable();
  store.restore(copy);
  await advance(clock, 2_500);
  assert.equal(view.kinds.endpoints.snapshot.items.size, 0);
  store.set("endpoints", "d", makeEndpoint("d"));
  await advance(clock, 100);
  assert.deepEqual([...view.kinds.endpoints.snapshot.items.keys()], ["d"]);
  assert.deepEqual(view.kinds.endpoints.position, { era: 2, revision: store.revision });
  follower.stop();
});

// Guards against a store that is called without pause after it was restored.
test("a restored store gets a list of each kind and the usual watches", async () => {
  const { clock, store, follower, copy } = await makeRestorable();
  const before = { ...store.calls };
  store.restore(copy);
  await advance(clock, 5_000);
  assert.ok(store.calls.list - before.list <= 4, `${store.calls.list - before.list} lists`);
  // Two kinds are watched for 900 ms at a time and two for 2,200 ms.
  assert.ok(store.calls.watch - before.watch <= 20, `${store.calls.watch - before.watch} watches`);
  follower.stop();
});

// Guards against changes that are missed when a watch counts from a revision of the earlier era.
test("a watch that a restored store answers from an earlier era's revision is followed by a list", async () => {
  const { clock, store, view, follower, copy } = await makeRestorable();
  store.restore(copy);
  // The restored store gives out the revisions of the watches in progress again before it is read.
  for (let i = 0; i < 10; i++) store.set("endpoints", `n-${i}`, makeEndpoint(`n-${i}`));
  await advance(clock, 2_500);
  assert.equal(view.kinds.endpoints.snapshot.items.size, 10);
  follower.stop();
});

// Guards against a list of the earlier era that confirms a view of the later one.
test("a list that is delayed past a restore is read again", async () => {
  const { clock, store, view, log, follower, copy } = await makeRestorable();
  // A peer has read the restored store already.
  const { revision } = copy;
  const value = makeConfig({ version: 3 });
  const items = new Map([["main", { revision, value }]]);
  view.kinds.config.replace({ era: 2, revision, items }, "peer");
  await advance(clock, 1_500);
  assert.equal(versionOf(view), 3);
  assert.ok(log.count("store_history_gone") > 0);
  store.restore(copy);
  store.set("config", "main", makeConfig({ version: 4 }));
  await advance(clock, 2_500);
  assert.equal(versionOf(view), 4);
  follower.stop();
});

// Guards against a store that is called without pause while it has no history of what it lists.
test("a store that never has the history of its lists gets few calls, and what it lists reaches the view", async () => {
  const { clock, store, view, follower } = await makeFollower();
  store.dropsHistory = true;
  await advance(clock, 5_000);
  const before = store.calls.list + store.calls.watch;
  await advance(clock, 10_000);
  const calls = store.calls.list + store.calls.watch - before;
  // A list and a watch of each kind a second.
  assert.ok(calls <= 4 * 2 * 11, `${calls} calls in 10 s`);
  store.set("config", "main", makeConfig({ version: 2 }));
  await advance(clock, 1_200);
  assert.equal(versionOf(view), 2);
  follower.stop();
});

// Guards against a revision that a gateway named, the store never gave out, and that hides all later changes.
test("a view at a position that the store never had is replaced by what the store holds", async () => {
  const { clock, store, view, log, follower } = await makeFollower();
  const { endpoints } = view.kinds;
  endpoints.replace({ era: 0, revision: 2 ** 40, items: new Map() }, "peer");
  store.set("endpoints", "a", makeEndpoint("a"));
  await advance(clock, 2_000);
  assert.deepEqual([...endpoints.snapshot.items.keys()], ["a"]);
  assert.equal(endpoints.revision, store.revision);
  assert.equal(log.count("view_position_unknown_to_store"), 1);
  follower.stop();
});

// Guards against a list that was delayed and replaces what a peer has read since.
test("a list that was asked for before a peer's update does not replace it", async () => {
  const { clock, store, view, log, follower } = await makeFollower();
  const { endpoints } = view.kinds;
  const list = store.list.bind(store);
  let hasAnswered = false;
  store.list = async (kind) => {
    const snapshot = await list(kind);
    await clock.sleep(500);
    hasAnswered ||= kind === "endpoints";
    return snapshot;
  };
  store.set("endpoints", "a", makeEndpoint("a"));
  store.dropHistory();
  await advance(clock, 100);
  // The list has been asked for and is on its way.
  store.set("endpoints", "b", makeEndpoint("b"));
  endpoints.replace(makeSnapshot(store.revision, { b: makeEndpoint("b") }), "peer");
  while (!hasAnswered) await advance(clock, 50);
  assert.deepEqual([...endpoints.snapshot.items.keys()], ["b"]);
  assert.equal(log.count("view_position_unknown_to_store"), 0);
  follower.stop();
});

// Guards against a fault of this process that counts as an outage of the store, by which endpoints seem to have lapsed.
test("a part that fails on a change of the view does not make the store count as lost", async () => {
  const { store, view, log, follower } = await makeFollower();
  view.kinds.config.registerListener(() => {
    throw new Error("odd");
  });
  store.set("config", "main", makeConfig({ version: 2 }));
  await settle();
  assert.equal(log.count("store_lost"), 0);
  assert.equal(follower.reachable, true);
  follower.stop();
});
