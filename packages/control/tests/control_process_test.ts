import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "@wisteriapick/core";
import type { ConfigSource } from "../src/mod.ts";
import { makeLog, MemoryStore, putAccount, write } from "./fixtures.ts";
import { FixedHostList, startControl } from "./link_fixtures.ts";

/** Resolves when the source is ready and at least at `revision`. */
function reached(source: ConfigSource, revision: number): Promise<void> {
  return new Promise((resolve) => {
    const clock = new SystemClock();
    const stop = clock.setRepeating(10, () => {
      if (!source.ready() || source.current().revision < revision) return;
      stop();
      resolve();
    });
  });
}

test("processes of two data centres follow the log over real links, with few of them at the store", async () => {
  const clock = new SystemClock();
  const store = new MemoryStore(clock);
  const hostList = new FixedHostList();
  const names = Array.from({ length: 10 }, (_, i) => `host-${i}`);
  const all = [];
  for (const [i, name] of names.entries()) {
    all.push(await startControl(name, i < 7 ? "osu" : "tema", { store, hostList, seed: i }));
  }
  for (const p of all) p.start();
  const log = makeLog(store, clock);
  await write(log, "a", [putAccount("a")]);
  await Promise.all(all.map((p) => reached(p.control.state, 1)));
  await write(log, "b", [putAccount("b")]);
  await Promise.all(all.map((p) => reached(p.control.state, 2)));
  const watching = all.filter((p) => p.control.duty.watching);
  assert.equal(watching.length, 6);
  // The death of a watcher leaves its children and the log's followers intact.
  const dead = watching[0]!;
  await dead.stop();
  await write(log, "c", [putAccount("c")]);
  const alive = all.filter((p) => p !== dead);
  await Promise.all(alive.map((p) => reached(p.control.state, 3)));
  for (const p of alive) await p.stop();
});
