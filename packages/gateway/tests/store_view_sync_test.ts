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

/** A gateway's part that reads the store, with a store object of its own so that it can be cut off from it. */
function makeGateway(name: string, clock: ManualClock, links: MemoryLinks, store: MemoryStore) {
  const view = new StoreView();
  const log = new MemoryLog();
  const follower = new StoreFollower({ store, view, clock, rng: new Rng(name.length), log });
  const network = links.join(name);
  const readers = new StoreViewSync({
    view,
    follower,
    network,
    clock,
    log,
    dataCentre: OSU,
    regionOf: (_dataCentre: DataCentreId) => ACCRA,
  });
  follower.start();
  return { name, view, follower, readers, store, network, log };
}

type Gateway = ReturnType<typeof makeGateway>;

async function makeGateways(count: number) {
  const clock = new ManualClock();
  const links = new MemoryLinks();
  // Each gateway has a path of its own to the store; all paths lead to the same objects.
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

async function pass(clock: ManualClock, gateways: readonly Gateway[], ms: number): Promise<void> {
  for (let done = 0; done < ms; done += TICK_MS) {
    clock.advance(TICK_MS);
    await settle();
    for (const { readers } of gateways) readers.tick();
    await settle();
  }
}

const versionOf = ({ view }: Gateway) =>
  view.kinds.config.snapshot.items.get("main")?.value.version;

const callsOf = ({ store }: Gateway) => store.calls.list + store.calls.watch;

/** The gateway that reads while the others leave it to it. */
function readerOf(gateways: readonly Gateway[]): Gateway {
  return gateways.find((g) => g.network.rankOf(`store/${ACCRA}`, () => true) === 0)!;
}

test("one gateway reads for all, and the others make no calls", async () => {
  const { clock, gateways } = await makeGateways(4);
  await pass(clock, gateways, 5_000);
  const before = new Map(gateways.map((g) => [g.name, callsOf(g)]));
  await pass(clock, gateways, 10_000);
  const reader = readerOf(gateways);
  for (const gateway of gateways) {
    const calls = callsOf(gateway) - before.get(gateway.name)!;
    if (gateway === reader) assert.ok(calls > 0 && calls <= 50, `${calls} calls in 10 s`);
    else assert.equal(calls, 0, `${gateway.name} made ${calls} calls`);
  }
});

test("a change reaches all through the one that reads", async () => {
  const { clock, gateways } = await makeGateways(4);
  await pass(clock, gateways, 5_000);
  write(gateways, 2);
  await pass(clock, gateways, 60);
  assert.deepEqual(gateways.map(versionOf), [2, 2, 2, 2]);
});

test("a removed endpoint is removed everywhere", async () => {
  const { clock, gateways } = await makeGateways(3);
  for (const { store } of gateways) store.set("endpoints", "a", makeEndpoint("a"));
  await pass(clock, gateways, 5_000);
  for (const { store } of gateways) store.set("endpoints", "a", null);
  await pass(clock, gateways, 60);
  for (const { view } of gateways) assert.equal(view.kinds.endpoints.snapshot.items.size, 0);
});

test("when the reader loses the store, another one reads before any is two seconds behind", async () => {
  const { clock, gateways } = await makeGateways(4);
  await pass(clock, gateways, 5_000);
  const reader = readerOf(gateways);
  reader.store.setMood("silent");
  await pass(clock, gateways, 100);
  write(gateways, 3);
  await pass(clock, gateways, 1_900);
  assert.deepEqual(gateways.map(versionOf), [3, 3, 3, 3]);
});

test("when the reader is cut off from its peers, they read before any is two seconds behind", async () => {
  const { clock, links, gateways } = await makeGateways(4);
  await pass(clock, gateways, 5_000);
  links.cutOff(readerOf(gateways).name);
  write(gateways, 4);
  await pass(clock, gateways, 1_900);
  assert.deepEqual(gateways.map(versionOf), [4, 4, 4, 4]);
});

test("a gateway that cannot reach the store still gets changes, and does not count as blind", async () => {
  const { clock, gateways } = await makeGateways(4);
  await pass(clock, gateways, 5_000);
  const reader = readerOf(gateways);
  reader.store.setMood("refusing");
  await pass(clock, gateways, 2_500);
  write(gateways, 5);
  await pass(clock, gateways, 1_500);
  assert.equal(versionOf(reader), 5);
  assert.equal(reader.readers.isInformed, true);
  assert.equal(reader.readers.outage.isDown, false);
});

test("while the store is away for all, every gateway knows it, and all catch up on its return", async () => {
  const { clock, gateways } = await makeGateways(3);
  await pass(clock, gateways, 5_000);
  for (const { store } of gateways) store.setMood("refusing");
  await pass(clock, gateways, 5_000);
  assert.deepEqual(gateways.map((g) => g.readers.outage.isDown), [true, true, true]);
  write(gateways, 6);
  for (const { store } of gateways) store.setMood("serving");
  await pass(clock, gateways, 1_000);
  assert.deepEqual(gateways.map(versionOf), [6, 6, 6]);
  for (const { readers } of gateways) {
    assert.equal(readers.outage.isDown, false);
    assert.ok(clock.now() - readers.outage.endedAtMs <= 1_000);
  }
});

test("a gateway that starts while the store is away learns everything from its peers", async () => {
  const { clock, links, gateways } = await makeGateways(2);
  await pass(clock, gateways, 3_000);
  const store = new MemoryStore(clock);
  store.setMood("refusing");
  const late = makeGateway("entry-late", clock, links, store);
  await pass(clock, [...gateways, late], 1_000);
  assert.equal(versionOf(late), 1);
});
