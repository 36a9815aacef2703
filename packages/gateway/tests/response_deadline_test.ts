import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Rng } from "@wisteriapick/core";
import { ResponseDeadline } from "../src/state/response_deadline.ts";
import { StoreFollower } from "../src/state/store_follower.ts";
import { StoreView } from "../src/state/store_view.ts";
import { makeConfig, makeRoutes, MemoryLog, MemoryStore, settle } from "./fixtures.ts";
import { advanceLinks, ThinLinks, ThinStore } from "./thin_links.ts";

function makeDeadline({ isLinkBusy = () => false }: { isLinkBusy?: () => boolean } = {}) {
  const clock = new ManualClock();
  const expirations: number[] = [];
  const deadline = new ResponseDeadline({
    clock,
    firstByteMs: 1_300,
    busyFirstByteMs: 2_500,
    idleMs: 800,
    isLinkBusy,
    onExpired: () => expirations.push(clock.now()),
  });
  return { clock, deadline, expirations };
}

test("a response without a byte expires at its first deadline", () => {
  const { clock, expirations } = makeDeadline();
  clock.advance(5_000);
  assert.deepEqual(expirations, [1_300]);
});

// Guards against aborting a transfer that makes progress, and then fetching the same again from its first byte.
test("a response expires when its bytes stop arriving, however long it takes", () => {
  const { clock, deadline, expirations } = makeDeadline();
  for (let i = 1; i <= 10; i++) {
    clock.advance(700);
    deadline.record(i * 1_000);
  }
  assert.deepEqual(expirations, []);
  clock.advance(5_000);
  assert.deepEqual(expirations, [7_800]);
});

// Guards against aborting small responses that wait behind a large one on the same link.
test("a response behind another one has more time for its first byte, up to a bound", () => {
  const { clock, expirations } = makeDeadline({ isLinkBusy: () => true });
  clock.advance(2_400);
  assert.deepEqual(expirations, []);
  clock.advance(100);
  assert.deepEqual(expirations, [2_500]);
});

test("a complete response does not expire", () => {
  const { clock, deadline, expirations } = makeDeadline();
  deadline.stop();
  clock.advance(5_000);
  assert.deepEqual(expirations, []);
});

// Guards against gateways on thin links that lose the store whenever the configuration is large.
test("a configuration that takes seconds to read is read once", async () => {
  const clock = new ManualClock();
  const links = new ThinLinks();
  links.addHost("entry-1", 1);
  const store = new MemoryStore(clock);
  const log = new MemoryLog();
  const view = new StoreView();
  const thinStore = new ThinStore("entry-1", links, store);
  const follower = new StoreFollower({ store: thinStore, view, clock, rng: new Rng(1), log });
  store.set("config", "main", makeConfig());
  follower.start();
  await advanceLinks(clock, links, 500, settle);
  const config = makeConfig({ version: 2, routes: makeRoutes(1_500) });
  store.set("config", "main", config);
  const before = links.traffic("entry-1").receivedBytes;
  await advanceLinks(clock, links, 5_000, settle);
  const received = links.traffic("entry-1").receivedBytes - before;
  const size = JSON.stringify(config).length;
  assert.equal(view.kinds.config.snapshot.items.get("main")?.value.version, 2);
  assert.ok(received < 1.2 * size, `${received} bytes received for ${size}`);
  assert.equal(log.count("store_lost"), 0);
  follower.stop();
});

// Guards against a configuration that changes quickly and takes the whole link of the gateway that reads it.
test("a large configuration in quick order leaves half of a thin link free", async () => {
  const clock = new ManualClock();
  const links = new ThinLinks();
  links.addHost("entry-1", 7);
  const store = new MemoryStore(clock);
  const view = new StoreView();
  const thinStore = new ThinStore("entry-1", links, store);
  const log = new MemoryLog();
  const follower = new StoreFollower({ store: thinStore, view, clock, rng: new Rng(1), log });
  const routes = makeRoutes(1_500);
  store.set("config", "main", makeConfig({ routes }));
  follower.start();
  await advanceLinks(clock, links, 1_000, settle);
  const before = links.traffic("entry-1").receivedBytes;
  const storms = 30;
  for (let version = 2; version <= storms; version++) {
    store.set("config", "main", makeConfig({ version, routes }));
    await advanceLinks(clock, links, 330, settle);
    const inForce = view.kinds.config.snapshot.items.get("main")!.value.version;
    assert.ok(inForce >= version - 5, `version ${inForce} is in force at version ${version}`);
  }
  const share = (links.traffic("entry-1").receivedBytes - before) / (7 * 125 * 330 * (storms - 1));
  assert.ok(share <= 0.5, `${share} of the link`);
  follower.stop();
});
