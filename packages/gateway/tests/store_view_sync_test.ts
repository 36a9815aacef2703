import assert from "node:assert/strict";
import { test } from "node:test";
import { type DataCentreId, ManualClock, Rng } from "@wisteriapick/core";
import { StoreViewSync } from "../src/peers/store_view_sync.ts";
import { StoreFollower } from "../src/state/store_follower.ts";
import { StoreView } from "../src/state/store_view.ts";
import {
  ACCRA,
  makeConfig,
  makeEndpoint,
  MemoryLog,
  MemoryStore,
  OSU,
  settle,
} from "./fixtures.ts";
import { MemoryLinks } from "./memory_peers.ts";

const TICK_MS = 20;

/** The modules of a gateway that read the store, with a store object of their own, so that each can lose the store. */
function makeGateway(name: string, clock: ManualClock, links: MemoryLinks, store: MemoryStore) {
  const view = new StoreView();
  const log = new MemoryLog();
  const follower = new StoreFollower({ store, view, clock, rng: new Rng(name.length), log });
  const network = links.join(name);
  const viewSync = new StoreViewSync({
    view,
    follower,
    network,
    clock,
    log,
    dataCentre: OSU,
    regionOf: (_dataCentre: DataCentreId) => ACCRA,
  });
  follower.start();
  return { name, view, follower, viewSync, store, network, log };
}

type Gateway = ReturnType<typeof makeGateway>;

async function makeGateways(count: number) {
  const clock = new ManualClock();
  const links = new MemoryLinks();
  // Each gateway has its own store object, and all of them get the same writes.
  const gateways = Array.from({ length: count }, (_, i) => {
    const store = new MemoryStore(clock);
    store.set("config", "main", makeConfig({ version: 1 }));
    return makeGateway(`entry-${i}`, clock, links, store);
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
    for (const { viewSync } of gateways) viewSync.tick();
    await settle();
  }
}

const versionOf = ({ view }: Gateway) =>
  view.kinds.config.snapshot.items.get("main")?.value.version;

const callsOf = ({ store }: Gateway) => store.calls.list + store.calls.watch;

/** The gateway that reads the store for the others. */
function readerOf(gateways: readonly Gateway[]): Gateway {
  return gateways.find((g) => g.network.rankOf(`store/${ACCRA}`, () => true) === 0)!;
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
  const late = makeGateway("entry-late", clock, links, store);
  await advance(clock, [...gateways, late], 1_000);
  assert.equal(versionOf(late), 1);
});
