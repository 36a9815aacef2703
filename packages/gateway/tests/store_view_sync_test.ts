import assert from "node:assert/strict";
import { test } from "node:test";
import { type DataCentreId, ManualClock, Rng } from "@wisteriapick/core";
import { StoreViewSync } from "../src/peers/store_view_sync.ts";
import { applyEncodedChanges, ViewChangesEncoder } from "../src/peers/view_changes.ts";
import { StoreFollower } from "../src/state/store_follower.ts";
import { type FollowedKind, StoreView } from "../src/state/store_view.ts";
import {
  ACCRA,
  makeConfig,
  makeEndpoint,
  makeKeyLease,
  makeRoutes,
  makeSnapshot,
  MemoryLog,
  MemoryStore,
  OSU,
  settle,
  TEMA,
} from "./fixtures.ts";
import type { Message } from "@wisteriapick/wire";
import { MemoryLinks } from "./memory_peers.ts";

const TICK_MS = 20;

/** The modules of a gateway that read the store, with a store object of their own, so that each can lose the store. */
function makeGateway(
  name: string,
  { clock, links, store, revokeMs, firstWatchDelayMs }: {
    readonly clock: ManualClock;
    readonly links: MemoryLinks;
    readonly store: MemoryStore;
    readonly revokeMs: number | null;
    readonly firstWatchDelayMs?: number;
  },
) {
  const view = new StoreView();
  const log = new MemoryLog();
  const { elapsed, keys } = makeKeyLease({ clock, log, revokeMs });
  const follower = new StoreFollower({
    store,
    view,
    clock,
    rng: new Rng(name.length),
    log,
    firstWatchDelayMs,
    elapsedMs: () => elapsed.now(),
    isUrgent: (kind) => kind === "config" && keys.needsRenewal,
    confirmsOnResume: (kind) => kind === "config" && keys.isEnforced,
  });
  const network = links.join(name);
  const viewSync = new StoreViewSync({
    view,
    follower,
    network,
    clock,
    log,
    dataCentre: OSU,
    regionOf: (_dataCentre: DataCentreId) => ACCRA,
    elapsed,
    keys,
  });
  follower.start();
  return { name, view, follower, viewSync, store, network, log, keys };
}

type Gateway = ReturnType<typeof makeGateway>;

async function makeGateways(
  count: number,
  { revokeMs = null as number | null, firstWatchDelayMs = 0 } = {},
) {
  const clock = new ManualClock();
  const links = new MemoryLinks();
  // Each gateway has its own store object, and all of them get the same writes.
  const gateways = Array.from({ length: count }, (_, i) => {
    const store = new MemoryStore(clock);
    store.set("config", "main", makeConfig({ version: 1 }));
    return makeGateway(`entry-${i}`, { clock, links, store, revokeMs, firstWatchDelayMs });
  });
  await settle();
  return { clock, links, gateways };
}

function write(gateways: readonly Gateway[], version: number): void {
  for (const { store } of gateways) store.set("config", "main", makeConfig({ version }));
}

async function advance(
  clock: ManualClock,
  gateways: readonly Gateway[],
  ms: number,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += TICK_MS) {
    clock.advance(TICK_MS);
    await settle();
    for (const { viewSync, keys } of gateways) {
      viewSync.tick();
      keys.tick();
    }
    await settle();
  }
}

const versionOf = ({ view }: Gateway) =>
  view.kinds.config.snapshot.items.get("main")?.value.version;

const callsOf = ({ store }: Gateway) => store.calls.list + store.calls.watch;

/** The gateway that reads the store for the others. */
function readerOf(gateways: readonly Gateway[]): Gateway {
  const [reader] = gateways[0]!.network.orderOf(`store/${ACCRA}`, () => true);
  return gateways.find(({ name }) => name === reader)!;
}

// Guards against store calls that grow with the number of gateways.
test("one gateway reads the store for all, and the others make no calls", async () => {
  const { clock, gateways } = await makeGateways(4);
  await advance(clock, gateways, 5_000);
  const before = new Map(gateways.map((g) => [g.name, callsOf(g)]));
  await advance(clock, gateways, 10_000);
  const reader = readerOf(gateways);
  for (const gateway of gateways) {
    const calls = callsOf(gateway) - before.get(gateway.name)!;
    if (gateway === reader) assert.ok(calls > 0 && calls <= 50, `${calls} calls in 10 s`);
    else assert.equal(calls, 0, `${gateway.name} made ${calls} calls`);
  }
});

// Guards against a start at which each gateway watches for as long as the reader's longest watch takes.
test("gateways that start together make few calls each, whatever changes meanwhile", async () => {
  for (const count of [12, 48]) {
    const { clock, gateways } = await makeGateways(count, { firstWatchDelayMs: 800 });
    for (let i = 0; i < 40; i++) {
      for (const { store } of gateways) store.set("endpoints", `e-${i}`, makeEndpoint(`e-${i}`));
      await advance(clock, gateways, 100);
    }
    const reader = readerOf(gateways);
    for (const gateway of gateways) {
      // A list of each kind, and a watch of those that peers did not confirm in time.
      if (gateway !== reader) assert.ok(callsOf(gateway) <= 8, `${callsOf(gateway)} calls`);
      assert.equal(gateway.view.kinds.endpoints.snapshot.items.size, 40);
    }
  }
});

test("a change reaches all gateways through the one that reads", async () => {
  const { clock, gateways } = await makeGateways(4);
  await advance(clock, gateways, 5_000);
  write(gateways, 2);
  await advance(clock, gateways, 60);
  assert.deepEqual(gateways.map(versionOf), [2, 2, 2, 2]);
});

test("a removed endpoint is removed from the view of every gateway", async () => {
  const { clock, gateways } = await makeGateways(3);
  for (const { store } of gateways) store.set("endpoints", "a", makeEndpoint("a"));
  await advance(clock, gateways, 5_000);
  for (const { store } of gateways) store.set("endpoints", "a", null);
  await advance(clock, gateways, 60);
  for (const { view } of gateways) assert.equal(view.kinds.endpoints.snapshot.items.size, 0);
});

// Guards against stale views when the only reader cannot reach the store.
test("when the reader loses the store, another gateway reads before any view is two seconds old", async () => {
  const { clock, gateways } = await makeGateways(4);
  await advance(clock, gateways, 5_000);
  const reader = readerOf(gateways);
  reader.store.setAvailability("silent");
  await advance(clock, gateways, 100);
  write(gateways, 3);
  await advance(clock, gateways, 1_900);
  assert.deepEqual(gateways.map(versionOf), [3, 3, 3, 3]);
});

// Guards against stale views when the only reader cannot reach its peers.
test("when the reader loses its peers, they read before any view is two seconds old", async () => {
  const { clock, links, gateways } = await makeGateways(4);
  await advance(clock, gateways, 5_000);
  links.cutOff(readerOf(gateways).name);
  write(gateways, 4);
  await advance(clock, gateways, 1_900);
  assert.deepEqual(gateways.map(versionOf), [4, 4, 4, 4]);
});

// Guards against treating the loss of one gateway's connection as an outage of the store.
test("a gateway that cannot reach the store still gets changes and has no outage", async () => {
  const { clock, gateways } = await makeGateways(4);
  await advance(clock, gateways, 5_000);
  const reader = readerOf(gateways);
  reader.store.setAvailability("refusing");
  await advance(clock, gateways, 2_500);
  write(gateways, 5);
  await advance(clock, gateways, 1_500);
  assert.equal(versionOf(reader), 5);
  assert.equal(reader.viewSync.isInformed, true);
  assert.equal(reader.viewSync.outage.isDown, false);
});

test("all gateways report an outage of the store, and catch up when it ends", async () => {
  const { clock, gateways } = await makeGateways(3);
  await advance(clock, gateways, 5_000);
  for (const { store } of gateways) store.setAvailability("refusing");
  await advance(clock, gateways, 5_000);
  assert.deepEqual(gateways.map((g) => g.viewSync.outage.isDown), [true, true, true]);
  write(gateways, 6);
  for (const { store } of gateways) store.setAvailability("serving");
  await advance(clock, gateways, 1_000);
  assert.deepEqual(gateways.map(versionOf), [6, 6, 6]);
  for (const { viewSync } of gateways) {
    assert.equal(viewSync.outage.isDown, false);
    assert.ok(clock.now() - viewSync.outage.endedAtMs <= 1_000);
  }
});

test("a gateway that starts during a store outage gets the configuration from its peers", async () => {
  const { clock, links, gateways } = await makeGateways(2);
  await advance(clock, gateways, 3_000);
  const store = new MemoryStore(clock);
  store.setAvailability("refusing");
  const late = makeGateway("entry-late", { clock, links, store, revokeMs: null });
  await advance(clock, [...gateways, late], 1_000);
  assert.equal(versionOf(late), 1);
});

/** A gateway that reads nothing itself, and a peer from which it receives what a test sends. */
async function makeReceiver() {
  const clock = new ManualClock();
  const links = new MemoryLinks();
  const store = new MemoryStore(clock);
  store.set("config", "main", makeConfig({ version: 1 }));
  const receiver = makeGateway("entry-1", { clock, links, store, revokeMs: null });
  await settle();
  receiver.store.setAvailability("refusing");
  const peer = links.join("entry-2");
  const kinds = Object.keys(receiver.view.kinds) as FollowedKind[];
  const confirm = (kind: FollowedKind, revision: number) =>
    peer.send("entry-1", {
      kind: "view_update",
      view: kind,
      origin: "entry-2",
      hops: 0,
      from: revision,
      revision,
      ageMs: 0,
      isCompressed: false,
      changes: new Uint8Array(0),
    });
  const run = async (ms: number, revision: number) => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 500) {
      for (const kind of kinds) confirm(kind, revision);
      await advance(clock, [receiver], 500);
    }
  };
  return { clock, links, receiver, peer, run };
}

// Guards against a lagging gateway whose older view keeps others from reading a newer one.
test("an update with an older revision than the view's does not confirm it", async () => {
  const { receiver, run } = await makeReceiver();
  const { revision } = receiver.view.kinds.config;
  await run(3_000, revision);
  assert.equal(receiver.viewSync.isInformed, true);
  await run(3_000, revision - 1);
  assert.equal(receiver.viewSync.isInformed, false);
});

// Guards against many answers at once, which fill the link of the gateway that needs one.
test("a gateway without a current view asks one peer at a time, less and less often", async () => {
  const { clock, links, gateways } = await makeGateways(12);
  await advance(clock, gateways, 3_000);
  const store = new MemoryStore(clock);
  store.setAvailability("refusing");
  for (const gateway of gateways) gateway.store.setAvailability("refusing");
  const late = makeGateway("entry-late", { clock, links, store, revokeMs: null });
  const requests = () => late.network.sent.filter(({ kind }) => kind === "view_request").length;
  await advance(clock, [...gateways, late], 1_000);
  assert.equal(versionOf(late), 1);
  await advance(clock, [...gateways, late], 4_000);
  const before = requests();
  await advance(clock, [...gateways, late], 16_000);
  assert.ok(requests() - before <= 11, `${requests() - before} requests in 16 s`);
});

// Guards against requests of all gateways to one of them when the store is lost.
test("gateways that lose the store at once ask different peers", async () => {
  const { clock, gateways } = await makeGateways(6);
  await advance(clock, gateways, 3_000);
  const received = new Map<string, number>();
  for (const { name, network } of gateways) {
    network.registerHandler("view_request", () => {
      received.set(name, (received.get(name) ?? 0) + 1);
    });
  }
  for (const { store } of gateways) store.setAvailability("refusing");
  await advance(clock, gateways, 2_500);
  assert.equal(received.size, 6);
  assert.ok([...received.values()].every((requests) => requests <= 2));
});

// Guards against the loss of all gateways below one that has died without closing its links.
test("changes reach the gateways below one that has stalled", async () => {
  const { clock, links, gateways } = await makeGateways(24);
  await advance(clock, gateways, 5_000);
  const [, inner] = gateways[0]!.network.orderOf(`store/${ACCRA}`, () => true);
  links.stalled.add(inner!);
  write(gateways, 7);
  const others = gateways.filter(({ name }) => name !== inner);
  await advance(clock, others, 1_900);
  assert.deepEqual(new Set(others.map(versionOf)), new Set([7]));
});

// Guards against a queue that grows with each change while a link is slow.
test("a congested peer is sent the newest state once there is room", async () => {
  const { clock, links, gateways } = await makeGateways(2);
  await advance(clock, gateways, 3_000);
  const reader = readerOf(gateways);
  const other = gateways.find((g) => g !== reader)!;
  links.congested.add(other.name);
  const updates = () => reader.network.sent.filter(({ kind }) => kind === "view_update").length;
  const before = updates();
  for (const version of [2, 3, 4]) {
    reader.store.set("config", "main", makeConfig({ version }));
    await advance(clock, [reader], 100);
  }
  assert.equal(updates(), before);
  links.congested.delete(other.name);
  reader.network.notifyRoom(other.name);
  assert.equal(versionOf(other), 4);
  const configs = reader.network.sent.slice(before).filter((m) =>
    m.kind === "view_update" && m.view === "config"
  );
  assert.equal(configs.length, 1);
});

// Guards against a wrong configuration when a patch is applied to another version than the one it was made for.
test("a gateway that lacks the base of a patch requests the whole content", async () => {
  const { clock, gateways } = await makeGateways(2);
  await advance(clock, gateways, 3_000);
  const reader = readerOf(gateways);
  const other = gateways.find((g) => g !== reader)!;
  for (const { store } of gateways) store.set("evacuations", TEMA, { dataCentre: TEMA });
  await advance(clock, gateways, 2_000);
  // The other gateway has read a version that the reader has missed.
  const { revision } = other.view.kinds.config;
  const missed = makeSnapshot(revision, { main: makeConfig({ version: 2 }) });
  other.view.kinds.config.replace(missed, "store");
  write(gateways, 3);
  await advance(clock, gateways, 500);
  assert.equal(versionOf(other), 3);
  assert.equal(other.log.count("view_requested"), 1);
});

const REVOKE_MS = 5_000;

/** Time after the loss of the store for which a gateway must go on to serve. */
const OWED_MS = 0.6 * REVOKE_MS;

// Guards against a lease that is longer for gateways that hear of the store from others.
test("gateways without the store keep the lease on keys through others, and it never looks younger", async () => {
  const { clock, gateways } = await makeGateways(4, { revokeMs: REVOKE_MS });
  await advance(clock, gateways, 5_000);
  const reader = readerOf(gateways);
  for (const { store } of gateways.filter((g) => g !== reader)) store.setAvailability("silent");
  for (let i = 0; i < 50; i++) {
    await advance(clock, gateways, 100);
    for (const { keys } of gateways) {
      assert.equal(keys.state, "held");
      assert.ok(keys.ageMs >= reader.keys.ageMs - TICK_MS);
    }
  }
});

test("a gateway that is cut off from all loses the lease, and has it back with the next contact", async () => {
  const { clock, links, gateways } = await makeGateways(4, { revokeMs: REVOKE_MS });
  await advance(clock, gateways, 5_000);
  const alone = gateways.find((g) => g !== readerOf(gateways))!;
  links.cutOff(alone.name);
  alone.store.setAvailability("silent");
  await advance(clock, gateways, OWED_MS - 3 * TICK_MS);
  assert.equal(alone.keys.state, "held");
  await advance(clock, gateways, REVOKE_MS - OWED_MS);
  assert.equal(alone.log.count("key_lease_ending"), 1);
  assert.equal(alone.keys.state, "ended");
  assert.ok(
    alone.log.count("key_lease_near_end") === 1 && alone.log.count("key_lease_ended") === 1,
  );
  alone.store.setAvailability("serving");
  await advance(clock, gateways, 500);
  assert.equal(alone.keys.state, "held");
});

// Guards against a reader of which the connection to the store goes silent while all others rely on it.
test("the lease does not run out while one gateway after the other loses the store", async () => {
  const { clock, gateways } = await makeGateways(4, { revokeMs: REVOKE_MS });
  await advance(clock, gateways, 5_000);
  for (let lost = 0; lost < 3; lost++) {
    readerOf(gateways).store.setAvailability("serving");
    const [name] = gateways[0]!.network.orderOf(`store/${ACCRA}`, () => true).slice(lost);
    gateways.find((g) => g.name === name)!.store.setAvailability("silent");
    for (let i = 0; i < 40; i++) {
      await advance(clock, gateways, 100);
      for (const { keys } of gateways) assert.equal(keys.state, "held", `${keys.ageMs}`);
    }
  }
});

// Guards against a process that was paused and reads what had been sent to it before as if it were new.
test("a confirmation that waited in a paused gateway counts from when it was sent", async () => {
  const { clock, links, gateways } = await makeGateways(3, { revokeMs: REVOKE_MS });
  await advance(clock, gateways, 5_000);
  const paused = gateways.find((g) => g !== readerOf(gateways))!;
  const kept: { readonly from: string; readonly msg: Message }[] = [];
  const deliver = links.deliver.bind(links);
  links.deliver = (from, to, msg) => {
    if (to === paused.name) kept.push({ from, msg });
    else deliver(from, to, msg);
  };
  const running = gateways.filter((g) => g !== paused);
  await advance(clock, running, 1_000);
  links.deliver = () => {};
  paused.store.setAvailability("silent");
  await advance(clock, running, REVOKE_MS);
  assert.ok(kept.some(({ msg }) => msg.kind === "config_confirmed"));
  for (const { from, msg } of kept) deliver(from, paused.name, msg);
  await settle();
  assert.equal(paused.keys.state, "ended");
});

// Guards against a lease that outlasts the bound, by which keys that were taken away stay in use (REVOKE).
test("a confirmation that states a time of the future does not extend the lease beyond its bound", async () => {
  const { clock, links, gateways } = await makeGateways(3, { revokeMs: REVOKE_MS });
  await advance(clock, gateways, 5_000);
  const reader = readerOf(gateways);
  const alone = gateways.find((g) => g !== reader)!;
  const deliver = links.deliver.bind(links);
  links.deliver = (from, to, msg) => {
    const isOdd = to === alone.name && msg.kind === "config_confirmed";
    deliver(from, to, isOdd ? { ...msg, ageMs: -1e12 } : msg);
  };
  await advance(clock, gateways, 2_000);
  links.cutOff(alone.name);
  alone.store.setAvailability("silent");
  await advance(clock, gateways, REVOKE_MS);
  assert.equal(alone.keys.state, "ended");
});

// Guards against a gateway that refuses all requests with a key for ever, because of one message of a peer.
test("after a confirmation that states a time of the future, reads of the store renew the lease", async () => {
  const { clock, links, gateways } = await makeGateways(3, { revokeMs: REVOKE_MS });
  await advance(clock, gateways, 5_000);
  const deliver = links.deliver.bind(links);
  let isOdd = true;
  links.deliver = (from, to, msg) => {
    if (!isOdd || msg.kind !== "config_confirmed") return deliver(from, to, msg);
    isOdd = false;
    deliver(from, to, { ...msg, ageMs: -1e12 });
  };
  await advance(clock, gateways, 3 * REVOKE_MS);
  assert.equal(isOdd, false);
  assert.deepEqual(gateways.map(({ keys }) => keys.state), ["held", "held", "held"]);
});

// Guards against a lease on a configuration that has not arrived yet.
test("a view that is being transferred does not extend the lease of the older one", async () => {
  const { clock, links, gateways } = await makeGateways(3, { revokeMs: REVOKE_MS });
  await advance(clock, gateways, 5_000);
  const behind = gateways.find((g) => g !== readerOf(gateways))!;
  behind.store.setAvailability("silent");
  links.congested.add(behind.name);
  write(gateways.filter((g) => g !== behind), 2);
  await advance(clock, gateways, REVOKE_MS);
  assert.equal(versionOf(behind), 1);
  assert.equal(behind.keys.state, "ended");
});

// Guards against messages and calls that a deployment without the bound would pay for.
test("where keys do not end, the lease is held without any message", async () => {
  const { clock, gateways } = await makeGateways(3);
  await advance(clock, gateways, 5_000);
  for (const { keys, network } of gateways) {
    assert.equal(keys.state, "held");
    assert.ok(network.sent.every(({ kind }) => kind !== "config_confirmed"));
  }
});

// Guards against a restored store that no log line of a gateway names.
test("each gateway logs the era of its views and from whom it learned it", async () => {
  const { clock, gateways } = await makeGateways(2);
  await advance(clock, gateways, 5_000);
  const reader = readerOf(gateways);
  for (const { store } of gateways) {
    store.restore(store.copy());
    store.set("config", "main", makeConfig({ version: 2 }));
  }
  await advance(clock, gateways, 3_000);
  for (const { name, log } of gateways) {
    const line = log.events.find(({ event, fields }) =>
      event === "store_restored" && fields.kind === "config"
    );
    assert.equal(line?.fields.era, 1, name);
    assert.equal(line?.fields.source, name === reader.name ? "store" : reader.name, name);
  }
});

/** Restores the store of each gateway to a copy without what `write` does, in a new era. */
async function restoreAll(clock: ManualClock, gateways: readonly Gateway[], write: () => void) {
  const copies = new Map(gateways.map(({ store }) => [store, store.copy()]));
  write();
  await advance(clock, gateways, 1_500);
  for (const [store, copy] of copies) store.restore(copy);
}

// Guards against gateways that leave reading to a peer and never learn that the store was restored.
test("every gateway has the content of a restored store, and one goes on reading for all", async () => {
  const { clock, gateways } = await makeGateways(4);
  await advance(clock, gateways, 5_000);
  await restoreAll(clock, gateways, () => {
    for (const { store } of gateways) store.set("endpoints", "lost", makeEndpoint("lost"));
  });
  await advance(clock, gateways, 2_000);
  for (const { store } of gateways) store.set("endpoints", "new", makeEndpoint("new"));
  await advance(clock, gateways, 1_500);
  for (const { name, view } of gateways) {
    assert.deepEqual([...view.kinds.endpoints.snapshot.items.keys()], ["new"], name);
    assert.equal(view.kinds.endpoints.era, 1, name);
  }
  const before = new Map(gateways.map((g) => [g, callsOf(g)]));
  await advance(clock, gateways, 5_000);
  const readers = gateways.filter((g) => callsOf(g) > before.get(g)!);
  assert.deepEqual(readers, [readerOf(gateways)]);
});

// Guards against a gateway that is cut off from the store and keeps to the earlier era.
test("a gateway without the store learns the content of a restored store from its peers", async () => {
  const { clock, gateways } = await makeGateways(3);
  await advance(clock, gateways, 5_000);
  const cut = gateways.find((g) => g !== readerOf(gateways))!;
  cut.store.setAvailability("refusing");
  await restoreAll(clock, gateways, () => {
    for (const { store } of gateways) store.set("endpoints", "lost", makeEndpoint("lost"));
  });
  await advance(clock, gateways, 2_500);
  assert.equal(cut.view.kinds.endpoints.era, 1);
  assert.equal(cut.view.kinds.endpoints.snapshot.items.size, 0);
});

// Guards against a peer of the earlier era whose greater revision confirms, or replaces, what the restored store holds.
test("updates of an earlier era neither change nor confirm a view", async () => {
  const { clock, receiver, peer } = await makeReceiver();
  receiver.store.setAvailability("serving");
  receiver.store.restore(receiver.store.copy(), 2);
  await advance(clock, [receiver], 2_000);
  const { position } = receiver.view.kinds.config;
  assert.equal(position.era, 2);
  receiver.store.setAvailability("refusing");
  for (const kind of Object.keys(receiver.view.kinds) as FollowedKind[]) {
    peer.send("entry-1", {
      kind: "view_update",
      view: kind,
      origin: "entry-2",
      hops: 0,
      from: 0,
      revision: position.revision + 100,
      ageMs: 0,
      isCompressed: false,
      changes: Buffer.from('{"isFull":true,"items":[],"patches":[],"removed":[]}'),
      era: 1,
    });
  }
  await advance(clock, [receiver], 3_000);
  assert.deepEqual(receiver.view.kinds.config.position, position);
  assert.equal(receiver.viewSync.isInformed, false);
});

// Guards against a lease on keys that a confirmation of the earlier era prolongs.
test("a confirmation of an earlier era does not confirm the configuration", async () => {
  const { clock, gateways } = await makeGateways(2, { revokeMs: 5_000 });
  await advance(clock, gateways, 5_000);
  const reader = readerOf(gateways);
  const other = gateways.find((g) => g !== reader)!;
  // The other gateway knows of the later era, and its only peer does not.
  other.view.kinds.config.replace(makeSnapshot(1, { main: makeConfig() }, 1, 1), "peer");
  other.store.setAvailability("silent");
  const { confirmedAtMs } = other.keys;
  await advance(clock, gateways, 3_000);
  assert.equal(other.keys.confirmedAtMs, confirmedAtMs);
});

/** Gateways whose store has lost version 2 of the configuration, and one that starts then. */
async function makeLostVersion() {
  const { clock, links, gateways } = await makeGateways(3);
  await advance(clock, gateways, 5_000);
  await restoreAll(clock, gateways, () => write(gateways, 2));
  const store = new MemoryStore(clock);
  store.restore(gateways[0]!.store.copy(), 1);
  const late = makeGateway("entry-late", { clock, links, store, revokeMs: null });
  const all = [...gateways, late];
  await advance(clock, all, 2_500);
  return { clock, links, all, late };
}

// Guards against an older configuration that comes into force when the store is restored, at gateways that start then too.
test("gateways keep the configuration that a restored store lost, and one that starts gets it from them", async () => {
  const { clock, all, late } = await makeLostVersion();
  assert.deepEqual(all.map(versionOf), [2, 2, 2, 2]);
  assert.equal(late.view.kinds.config.era, 1);
  write(all, 3);
  await advance(clock, all, 1_500);
  assert.deepEqual(all.map(versionOf), [3, 3, 3, 3]);
  const config = all[0]!.view.kinds.config.snapshot.items.get("main")?.value;
  for (const { name, view } of all) {
    assert.deepEqual(view.kinds.config.snapshot.items.get("main")?.value, config, name);
  }
});

const RECEIVED = { kind: "config", onUnreadable: () => {} } as const;

// Guards against a patch that is applied to another version than the one that it was made from.
test("a patch for the configuration that a restored store lost is not applied to the restored one", () => {
  const config = (version: number) => makeConfig({ version, routes: makeRoutes(version) });
  const restored = makeSnapshot(4, { main: config(5) }, 4, 2);
  const knowing = new StoreView().kinds;
  knowing.config.replace(makeSnapshot(10, { main: config(7) }, 10, 1), "store");
  const encoder = new ViewChangesEncoder({ kinds: knowing });
  knowing.config.replace(restored, "store");
  const item = { revision: 5, value: config(8) };
  const changes = { era: 2, revision: 5, events: [{ name: "main", item }] };
  knowing.config.apply(changes, "store");
  const encoded = encoder.encode("config", restored);
  const late = new StoreView().kinds.config;
  late.replace(restored, "store");
  assert.equal(applyEncodedChanges(late as never, changes, encoded, RECEIVED), false);
  const other = new StoreView().kinds.config;
  other.replace(makeSnapshot(10, { main: config(7) }, 10, 1), "store");
  other.replace(restored, "store");
  assert.equal(applyEncodedChanges(other as never, changes, encoded, RECEIVED), true);
  assert.deepEqual(other.snapshot.items.get("main")?.value, config(8));
});

// Guards against a gateway of the earlier era whose later configuration is not used.
test("a later configuration is taken from a peer whose view is of an earlier era", async () => {
  const { clock, gateways } = await makeGateways(2);
  const [ahead, behind] = gateways as [Gateway, Gateway];
  await advance(clock, gateways, 5_000);
  // One gateway reads the restored store, and the other, cut off from it, has what the store lost.
  for (const { store } of gateways) store.setAvailability("refusing");
  const main = (revision: number, version: number) => ({
    main: { revision, value: makeConfig({ version }) },
  });
  ahead.view.kinds.config.replace(
    { era: 1, revision: 1, items: new Map(Object.entries(main(1, 1))) },
    "store",
  );
  const revision = behind.view.kinds.config.revision + 1;
  behind.view.kinds.config.apply({
    era: 0,
    revision,
    events: [{ name: "main", item: main(revision, 2).main }],
  }, "store");
  await advance(clock, gateways, 4_000);
  assert.deepEqual(gateways.map(versionOf), [2, 2]);
  assert.deepEqual(gateways.map(({ view }) => view.kinds.config.era), [1, 1]);
});

// Guards against a cached encoding of what the view contained before it took a later version at the same position.
test("a gateway that took a later configuration passes it on, whatever it encoded at that position before", () => {
  const late = new StoreView().kinds;
  const encoder = new ViewChangesEncoder({ kinds: late });
  const whole = { era: 2, revision: 0 };
  late.config.replace(makeSnapshot(4, { main: makeConfig({ version: 5 }) }, 4, 2), "store");
  encoder.encode("config", whole);
  late.config.adopt([["main", { revision: 10, value: makeConfig({ version: 7 }) }]], "peer");
  const receiver = new StoreView().kinds.config;
  const encoded = encoder.encode("config", whole);
  applyEncodedChanges(receiver as never, late.config.position, encoded, RECEIVED);
  assert.equal(receiver.snapshot.items.get("main")?.value.version, 7);
});

/** Name of a gateway that reads for the others once it joins them. */
function firstInOrder(gateways: readonly Gateway[]): string {
  for (let i = 0;; i++) {
    const links = new MemoryLinks();
    const name = `entry-late-${i}`;
    for (const member of [...gateways.map((g) => g.name), name]) links.join(member);
    const [first] = links.members.get(name)!.orderOf(`store/${ACCRA}`, () => true);
    if (first === name) return name;
  }
}

// Guards against an older configuration at the later ones of several gateways that are restarted at a restore.
test("gateways that start one after the other at a restore all get the configuration that it lost", async () => {
  const { clock, links, gateways } = await makeGateways(3);
  await advance(clock, gateways, 5_000);
  const copy = gateways[0]!.store.copy();
  write(gateways, 2);
  await advance(clock, gateways, 1_500);
  const all = [...gateways];
  for (const { store } of all) store.setAvailability("refusing");
  await advance(clock, all, 2_000);
  for (const { store } of all) store.restore(copy, 1);
  const start = (name: string) => {
    const store = new MemoryStore(clock);
    store.restore(copy, 1);
    all.push(makeGateway(name, { clock, links, store, revokeMs: null }));
  };
  start(firstInOrder(gateways));
  for (const { store } of all) store.setAvailability("serving");
  await advance(clock, all, 5_000);
  assert.deepEqual(all.map(versionOf), all.map(() => 2), "first");
  start("entry-last");
  await advance(clock, all, 5_000);
  assert.deepEqual(all.map(versionOf), all.map(() => 2), "last");
});

// Guards against gateways that all read the store, as they go on to wait for one that cannot name its era.
test("gateways leave out those of an earlier release once the store names its era, whenever they were linked", async () => {
  const { clock, links, gateways } = await makeGateways(3);
  for (const { store } of gateways) store.setAvailability("refusing");
  // The gateway of the earlier release comes first in the order.
  for (let i = 0; links.members.size < 4; i++) {
    const name = `entry-old-${i}`;
    const trial = new MemoryLinks();
    for (const member of [...links.members.keys(), name]) trial.join(member);
    const [first] = trial.members.get(name)!.orderOf(`store/${ACCRA}`, () => true);
    if (first === name) links.join(name, { protocolVersion: 4 });
  }
  await advance(clock, gateways, 1_000);
  for (const { store } of gateways) {
    store.restore(store.copy(), 1);
    store.setAvailability("serving");
  }
  await advance(clock, gateways, 5_000);
  const before = new Map(gateways.map((g) => [g, callsOf(g)]));
  await advance(clock, gateways, 10_000);
  const readers = gateways.filter((g) => callsOf(g) > before.get(g)!);
  assert.equal(readers.length, 1);
});

// Guards against an older configuration at the only gateway that reaches the store, though its peers know the later one.
test("a gateway that starts after a restore and reads for all learns the lost configuration from those it reads for", async () => {
  const { clock, links, gateways } = await makeGateways(3);
  await advance(clock, gateways, 5_000);
  const copy = gateways[0]!.store.copy();
  write(gateways, 2);
  await advance(clock, gateways, 1_500);
  for (const { store } of gateways) store.setAvailability("refusing");
  const store = new MemoryStore(clock);
  store.restore(copy, 1);
  const late = makeGateway(firstInOrder(gateways), { clock, links, store, revokeMs: null });
  const all = [...gateways, late];
  await advance(clock, all, 10_000);
  assert.deepEqual(all.map(({ view }) => view.kinds.config.era), [1, 1, 1, 1]);
  assert.deepEqual(all.map(versionOf), [2, 2, 2, 2]);
});

// Guards against a view that counts as confirmed when the store has answered with content of an earlier era.
test("a list of an earlier era confirms no view at other gateways", async () => {
  const { clock, gateways } = await makeGateways(2);
  await advance(clock, gateways, 3_000);
  const reader = readerOf(gateways);
  for (const { view } of gateways) {
    view.kinds.config.replace(makeSnapshot(1, { main: makeConfig() }, 1, 1), "peer");
  }
  const ages = () =>
    reader.network.sent.filter((msg) => msg.kind === "view_update" && msg.view === "config")
      .flatMap((msg) => msg.kind === "view_update" && msg.era === 1 ? [msg.ageMs ?? Infinity] : []);
  await advance(clock, gateways, 5_000);
  assert.ok(ages().every((ageMs) => ageMs >= 100), `confirmed: ${ages().join(", ")}`);
});
