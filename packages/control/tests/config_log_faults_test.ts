import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Rng, toWpError } from "@wisteriapick/core";
import { MemoryObjectStore } from "@wisteriapick/standins";
import { ConfigLog, decodeEntry, LOG_PREFIX } from "../src/mod.ts";
import { drive, putAccount, write } from "./fixtures.ts";

/** Random outages, lost answers and writes that take effect after their caller gave up. */
function disturb(store: MemoryObjectStore, rng: Rng): void {
  const kind = rng.int(6);
  if (kind === 0) store.setFaults({ loseAnswers: 1 + rng.int(3) });
  else if (kind === 1) {
    store.setFaults({ delayWrites: 1 + rng.int(3), delayMs: 20 + rng.int(3_000) });
  } else if (kind === 2) store.setFaults({ outage: true });
  else store.clearFaults();
}

test("under random faults every answer to a writer is true and every change is in the log at most once", async () => {
  for (let seed = 1; seed <= 25; seed++) {
    const clock = new ManualClock();
    const rng = new Rng(seed);
    const store = new MemoryObjectStore({ clock });
    const logs = [0, 1, 2].map((i) => new ConfigLog(store, clock, rng.fork(`log-${i}`)));
    const answers = new Map<string, number | string>();
    const writer = async (log: ConfigLog, name: string) => {
      for (let i = 0; i < 8; i++) {
        const id = `${name}-${i}`;
        answers.set(id, await write(log, id, [putAccount(id)]).catch((e) => toWpError(e).type));
      }
    };
    const stop = clock.setRepeating(700, () => disturb(store, rng));
    await drive(clock, Promise.all(logs.map((log, i) => writer(log, `w${i}`))));
    stop();
    store.clearFaults();
    // Writes that were held up take effect now.
    clock.advance(5_000);
    const { objects } = await store.list(LOG_PREFIX);
    const found = new Map<string, number[]>();
    objects.forEach((obj, i) => {
      const { entry } = decodeEntry(obj.value);
      assert.equal(entry.revision, i + 1, "no gap");
      found.set(entry.id, [...(found.get(entry.id) ?? []), entry.revision]);
    });
    for (const [id, answer] of answers) {
      const at = found.get(id) ?? [];
      const where = `seed ${seed}, ${id}: ${answer}, in the log at ${at}`;
      assert.ok(at.length <= 1, where);
      if (typeof answer === "number") assert.deepEqual(at, [answer], where);
      else if (answer === "store_unavailable") assert.equal(at.length, 0, where);
      else assert.equal(answer, "store_outcome_unknown", where);
    }
    const reader = new ConfigLog(store, clock, rng.fork("reader"));
    assert.equal(await drive(clock, reader.catchUp()), objects.length);
  }
});
