import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Rng, toWpError } from "@wisteriapick/core";
import { MemoryObjectStore } from "@wisteriapick/standins";
import { ConfigLog, decodeEntry, LOG_PREFIX } from "../src/mod.ts";
import { putAccount, runUntilDone, write } from "./fixtures.ts";

/** Sets one random fault: an outage, lost responses, or writes that take effect after their caller gave up. */
function injectFault(store: MemoryObjectStore, rng: Rng): void {
  const fault = rng.int(6);
  if (fault === 0) store.setFaults({ loseAnswers: 1 + rng.int(3) });
  else if (fault === 1) {
    store.setFaults({ delayWrites: 1 + rng.int(3), delayMs: 20 + rng.int(3_000) });
  } else if (fault === 2) store.setFaults({ outage: true });
  else store.clearFaults();
}

// Guards against a change that is reported as written but missing, or written twice, after responses were lost or
// writes were delayed.
test("under random faults every result that a writer gets is true and every change is in the log at most once", async () => {
  for (let seed = 1; seed <= 25; seed++) {
    const clock = new ManualClock();
    const rng = new Rng(seed);
    const store = new MemoryObjectStore({ clock });
    const logs = [0, 1, 2].map((i) => new ConfigLog(store, clock, rng.fork(`log-${i}`)));
    const outcomes = new Map<string, number | string>();
    const writer = async (log: ConfigLog, name: string) => {
      for (let i = 0; i < 8; i++) {
        const id = `${name}-${i}`;
        outcomes.set(id, await write(log, id, [putAccount(id)]).catch((e) => toWpError(e).type));
      }
    };
    const stop = clock.setRepeating(700, () => injectFault(store, rng));
    await runUntilDone(clock, Promise.all(logs.map((log, i) => writer(log, `w${i}`))));
    stop();
    store.clearFaults();
    // Delayed writes take effect now.
    clock.advance(5_000);
    const { objects } = await store.list(LOG_PREFIX);
    const found = new Map<string, number[]>();
    objects.forEach((obj, i) => {
      const { entry } = decodeEntry(obj.value);
      assert.equal(entry.revision, i + 1, "no gap");
      found.set(entry.id, [...(found.get(entry.id) ?? []), entry.revision]);
    });
    for (const [id, outcome] of outcomes) {
      const at = found.get(id) ?? [];
      const where = `seed ${seed}, ${id}: ${outcome}, in the log at ${at}`;
      assert.ok(at.length <= 1, where);
      if (typeof outcome === "number") assert.deepEqual(at, [outcome], where);
      else if (outcome === "store_unavailable") assert.equal(at.length, 0, where);
      else assert.equal(outcome, "store_outcome_unknown", where);
    }
    const reader = new ConfigLog(store, clock, rng.fork("reader"));
    assert.equal(await runUntilDone(clock, reader.catchUp()), objects.length);
  }
});
