import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Rng } from "@wisteriapick/core";
import type { GatewayRecord } from "../src/config/types.ts";
import { Registration } from "../src/peers/registration.ts";
import type { ReadOptions } from "../src/state/state_store.ts";
import type { ViewKind } from "../src/state/store_view.ts";
import { MemoryLog, MemoryStore, OSU, settle } from "./fixtures.ts";

const START_MS = 10_000;
const STEP_MS = 100;

/** Advances the clock in small steps, so that promises settle between timers. */
async function advanceBy(clock: ManualClock, ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
    clock.advance(STEP_MS);
    await settle();
  }
}

/** A gateway without seeds, which finds others by the store only. */
function startGateway(name: string, store: MemoryStore, clock: ManualClock) {
  const found = new Set<string>();
  const registration = new Registration({
    record: { name, address: { host: "10.0.0.1", port: 8_748 }, dataCentre: OSU },
    store,
    clock,
    rng: new Rng(1),
    log: new MemoryLog(),
    onFound: (gateways) => gateways.forEach((gateway) => found.add(gateway.name)),
    isEntryPoint: () => true,
    isLinked: () => false,
  });
  registration.start();
  return { registration, found };
}

// Guards against gateways that start together, each reads the store before the other has written, and know of each
// other only a minute later.
test("gateways that register at the same moment find each other within ten seconds", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const found = ["entry-1", "entry-2"].map((name) => startGateway(name, store, clock).found);
  for (let ms = 0; ms < START_MS; ms += STEP_MS) {
    clock.advance(STEP_MS);
    await settle();
  }
  for (const names of found) assert.deepEqual([...names].sort(), ["entry-1", "entry-2"]);
});

/** A store that takes a while for a registration, and not for its removal. */
class SlowWriteStore extends MemoryStore {
  readonly #delay: Promise<void>;
  hasReceived = false;

  constructor(clock: ManualClock, delay: Promise<void>) {
    super(clock);
    this.#delay = delay;
  }

  override async writeGateway(record: GatewayRecord): Promise<void> {
    this.hasReceived = true;
    await this.#delay;
    await super.writeGateway(record);
  }
}

// Guards against a registration that is left in the store by a gateway that stops while it registers.
test("a registration that is being written is removed after it", async () => {
  const clock = new ManualClock();
  let write = () => {};
  const store = new SlowWriteStore(clock, new Promise((resolve) => write = resolve));
  const { registration } = startGateway("entry-1", store, clock);
  for (let ms = 0; ms < START_MS && !store.hasReceived; ms += STEP_MS) {
    clock.advance(STEP_MS);
    await settle();
  }
  const removed = registration.remove();
  await settle();
  write();
  await removed;
  await settle();
  assert.equal((await store.list("gateways")).items.size, 0);
});

/** Time after which a registration without a gateway is removed, and a few reads more. */
const STALE_MS = 900_000;

/** A store that cannot remove one name. */
class StubbornStore extends MemoryStore {
  override removeGateway(name: string): Promise<void> {
    if (name === "odd") return Promise.reject(new URIError("URI malformed"));
    return super.removeGateway(name);
  }
}

// Guards against a name that no path can hold, by which stale registrations were kept for ever.
test("a registration that cannot be removed keeps none of the others from being removed", async () => {
  const clock = new ManualClock();
  const store = new StubbornStore(clock);
  const record = { address: { host: "10.0.0.2", port: 8_748 }, dataCentre: OSU };
  for (const name of ["odd", "stale"]) store.set("gateways", name, { ...record, name });
  const { registration } = startGateway("entry-1", store, clock);
  for (let ms = 0; ms < STALE_MS; ms += 10_000) {
    clock.advance(10_000);
    await settle();
  }
  registration.stop();
  assert.deepEqual([...(await store.list("gateways")).items.keys()].sort(), ["entry-1", "odd"]);
});

/** Remembers which lists may be some seconds old. */
class RecordingStore extends MemoryStore {
  readonly staleAllowed: boolean[] = [];

  override list<K extends ViewKind>(kind: K, options: ReadOptions = {}) {
    this.staleAllowed.push(options.isStaleAllowed ?? false);
    return super.list(kind);
  }
}

// Guards against gateways that are not found for a minute, as a restored store has lost their registrations.
test("a registration that a restored store has lost is written again within three seconds", async () => {
  const clock = new ManualClock();
  const store = new RecordingStore(clock);
  const copy = store.copy();
  const { registration } = startGateway("entry-1", store, clock);
  const advance = (ms: number) => advanceBy(clock, ms);
  await advance(START_MS);
  store.restore(copy);
  store.staleAllowed.length = 0;
  registration.onStoreRestored();
  await advance(3_000);
  const { items } = await store.list("gateways");
  assert.deepEqual([...items.keys()], ["entry-1"]);
  // A read that may be some seconds old would still show the lost registration.
  assert.equal(store.staleAllowed[0], false);
  registration.stop();
});

/** Answers a list some time after it has read what it answers, and records each list. */
class SlowListStore extends RecordingStore {
  readonly #clock: ManualClock;
  listDelayMs = 0;

  constructor(clock: ManualClock) {
    super(clock);
    this.#clock = clock;
  }

  override async list<K extends ViewKind>(kind: K, options: ReadOptions = {}) {
    const snapshot = await super.list(kind, options);
    if (this.listDelayMs > 0) await this.#clock.sleep(this.listDelayMs);
    return snapshot;
  }
}

/** A gateway of which a list of registrations is in progress while the store is restored. */
async function makeRestoredDuringList() {
  const clock = new ManualClock();
  const store = new SlowListStore(clock);
  const copy = store.copy();
  const { registration } = startGateway("entry-1", store, clock);
  const advance = (ms: number) => advanceBy(clock, ms);
  await advance(START_MS);
  store.listDelayMs = 800;
  const before = store.staleAllowed.length;
  while (store.staleAllowed.length === before) await advance(STEP_MS);
  store.restore(copy);
  registration.onStoreRestored();
  store.staleAllowed.length = 0;
  return { store, registration, advance };
}

// Guards against a second series of reads that never ends, one more with each restore.
test("a restore while registrations are read does not start a second series of reads", async () => {
  const { store, registration, advance } = await makeRestoredDuringList();
  store.listDelayMs = 0;
  await advance(20_000);
  store.staleAllowed.length = 0;
  await advance(600_000);
  registration.stop();
  // Reads are 60 s apart at least.
  assert.ok(store.staleAllowed.length <= 10, `${store.staleAllowed.length} reads in 600 s`);
});

// Guards against a list of before the restore that counts as the current one that has to follow it.
test("a list that was in progress at a restore does not replace the current one after it", async () => {
  const { store, registration, advance } = await makeRestoredDuringList();
  await advance(4_000);
  registration.stop();
  assert.equal(store.staleAllowed[0], false);
});

// Guards against a gateway that is not found for a minute, as the restored store refused one call.
test("a lost registration is written again soon when the restored store refuses the first calls", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const copy = store.copy();
  const { registration } = startGateway("entry-1", store, clock);
  const advance = (ms: number) => advanceBy(clock, ms);
  await advance(START_MS);
  store.restore(copy);
  registration.onStoreRestored();
  store.setAvailability("refusing");
  await advance(2_000);
  store.setAvailability("serving");
  await advance(10_000);
  registration.stop();
  const { items } = await store.list("gateways");
  assert.deepEqual([...items.keys()], ["entry-1"]);
});
