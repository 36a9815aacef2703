import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Rng } from "@wisteriapick/core";
import { Registration } from "../src/peers/registration.ts";
import { MemoryLog, MemoryStore, OSU, settle } from "./fixtures.ts";

const START_MS = 10_000;
const STEP_MS = 100;

/** A gateway without seeds, which finds others by the store only. */
function startGateway(name: string, store: MemoryStore, clock: ManualClock): Set<string> {
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
  return found;
}

// Guards against gateways that start together, each reads the store before the other has written, and know of each
// other only a minute later.
test("gateways that register at the same moment find each other within ten seconds", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const found = ["entry-1", "entry-2"].map((name) => startGateway(name, store, clock));
  for (let ms = 0; ms < START_MS; ms += STEP_MS) {
    clock.advance(STEP_MS);
    await settle();
  }
  for (const names of found) assert.deepEqual([...names].sort(), ["entry-1", "entry-2"]);
});
