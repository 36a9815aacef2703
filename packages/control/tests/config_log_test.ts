import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, moveId, raise, revision, Rng, toWpError } from "@wisteriapick/core";
import { ConfigState, logKey, SnapshotStore, StoreWatcher } from "../src/mod.ts";
import {
  baseChanges,
  makeLog,
  MemoryStore,
  openMove,
  putAccount,
  run,
  runUntilDone,
  settle,
  write,
} from "./fixtures.ts";

// Guards against a lost response being reported as a failure, or the write being repeated at a later revision.
test("a write whose response is lost is reported with its true outcome", async () => {
  for (const fault of ["lost_after", "lost_before", "unavailable"] as const) {
    const clock = new ManualClock();
    const store = new MemoryStore(clock);
    const log = makeLog(store, clock);
    store.writeFaults.push(fault);
    assert.equal(await runUntilDone(clock, write(log, "c1", [putAccount("a")])), 1, fault);
    assert.equal(await runUntilDone(clock, write(log, "c2", [putAccount("b")])), 2, fault);
    assert.equal(log.state.current().accounts.size, 2);
  }
});

test("appending with the same change id again never applies the change twice", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  store.writeFaults.push("lost_after", "unavailable", "unavailable", "unavailable");
  const first = makeLog(store, clock);
  store.beforeWrite = async () => void (store.writes > 1 && (store.up = false));
  const failed = await runUntilDone(clock, write(first, "c1", [putAccount("a")]).catch(toWpError));
  assert.equal((failed as { type: string }).type, "store_outcome_unknown");
  store.up = true;
  store.beforeWrite = () => Promise.resolve();
  store.writeFaults.length = 0;
  assert.equal(
    await runUntilDone(clock, write(makeLog(store, clock, 2), "c1", [putAccount("a")])),
    1,
  );
  assert.equal(store.objects.has(logKey(revision(2))), false);
});

// Guards against a write that is still due when it is built, and takes effect after its deadline through retries.
test("a write whose time has passed is given up between its attempts, and nothing is written later", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const log = makeLog(store, clock);
  store.writeFaults.push("unavailable", "unavailable");
  const endMs = 20;
  const late = log.append({
    id: "late",
    note: { who: "ama", atMs: 0, why: "test" },
    build: () => [putAccount("a")],
    beforeAttempt: () => {
      if (clock.now() > endMs) raise({ type: "invalid_change", message: "too late" });
    },
  });
  const err = await runUntilDone(clock, late.catch(toWpError));
  assert.equal((err as { type: string }).type, "invalid_change");
  await run(clock, 10_000);
  assert.equal(await log.catchUp(), 0);
});

test("concurrent writers get true results and their changes have one order", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const logs = [1, 2, 3, 4].map((seed) => makeLog(store, clock, seed));
  const writes = logs.flatMap((log, i) =>
    [0, 1, 2].map((k) => () => write(log, `c${i}-${k}`, [putAccount(`a${i}-${k}`)]))
  );
  const all = await runUntilDone(clock, Promise.all(writes.map((w) => w())));
  assert.deepEqual([...all].sort((a, b) => a - b), Array.from({ length: 12 }, (_, i) => i + 1));
  for (const log of logs) {
    await log.catchUp();
    assert.equal(log.state.current().accounts.size, 12);
  }
});

test("a change that another writer made invalid is refused and nothing is lost", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const [a, b] = [makeLog(store, clock, 1), makeLog(store, clock, 2)];
  await write(a, "base", baseChanges());
  store.beforeWrite = async () => {
    store.beforeWrite = () => Promise.resolve();
    await write(b, "b", [{ type: "remove_endpoint", id: "scribe-0" }]);
  };
  const res = await write(a, "a", [{ type: "remove_endpoint", id: "scribe-0" }]).catch(toWpError);
  assert.equal((res as { type: string }).type, "invalid_change");
  assert.equal(await b.catchUp(), 2);
});

test("changes that are not valid for the configuration are refused with a typed error", async () => {
  const clock = new ManualClock();
  const log = makeLog(new MemoryStore(clock), clock);
  await write(log, "base", [...baseChanges(), openMove()]);
  const bad = [
    openMove(),
    { type: "remove_service", id: "scribe" },
    { type: "remove_account", id: "nobody" },
    { type: "remove_data_centre", id: "accra-osu" },
  ] as Parameters<typeof write>[2];
  for (const change of bad) {
    const err = await write(log, `bad-${change.type}`, [change]).catch(toWpError);
    assert.equal((err as { type: string }).type, "invalid_change", change.type);
  }
  assert.equal(await log.catchUp(), 1);
});

test("an entry with an invalid change changes nothing, and ended moves do not accumulate", async () => {
  const clock = new ManualClock();
  const log = makeLog(new MemoryStore(clock), clock);
  await write(log, "base", baseChanges());
  const before = log.state.current();
  const half = [putAccount("a"), putAccount("b"), { type: "remove_account", id: "none" } as const];
  await write(log, "half", half).catch(toWpError);
  assert.equal(log.state.current(), before);
  assert.equal(before.accounts.size, 0);
  for (let i = 0; i < 12; i++) {
    const open = openMove();
    if (open.type !== "open_move") return assert.fail();
    const move = { ...open.move, id: moveId(`m${i}`) };
    const back = { type: "take_back_move", id: move.id, reason: "test" } as const;
    await write(log, `m${i}`, [{ type: "open_move", move }, back]);
  }
  const retained = [...log.state.current().moves.keys()];
  assert.deepEqual([retained[0], retained.length], ["m4", 8]);
});

test("a reader that lacks deleted entries continues from chunked snapshots, and the history stays bounded", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const log = makeLog(store, clock);
  const snapshots = new SnapshotStore(store, { interval: 4, retainedEntries: 8, chunkBytes: 100 });
  const late = makeLog(store, clock, 2);
  await write(log, "c0", [putAccount("a0")]);
  await late.catchUp();
  for (let i = 1; i < 40; i++) {
    await write(log, `c${i}`, [putAccount(`a${i}`)]);
    await snapshots.writeIfDue(log.state.current());
  }
  assert.equal(store.objects.has(logKey(revision(2))), false, "old entries are deleted");
  assert.ok([...store.objects.keys()].filter((k) => k.includes("snapshots")).length > 5);
  assert.equal(await late.catchUp(), 40);
  assert.equal(late.state.current().accounts.size, 40);
  const fresh = makeLog(store, clock, 3);
  assert.equal(await fresh.catchUp(), 40);
  assert.deepEqual([...fresh.state.current().accounts.keys()], [
    ...log.state.current().accounts.keys(),
  ]);
  assert.equal((await log.history(revision(33)))[0]!.note.who, "ama");
});

test("revisions never decrease and gaps are not skipped", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const log = makeLog(store, clock);
  for (let i = 0; i < 3; i++) await write(log, `c${i}`, [putAccount(`a${i}`)]);
  const [one, two, three] = log.state.entriesAfter(revision(0))!;
  const state = new ConfigState(clock);
  assert.equal(state.applyEntry(two!), false);
  assert.equal(state.applyEntry(one!), true);
  assert.equal(state.applyEntry(three!), false);
  assert.equal(state.applyEntry(two!), true);
  assert.equal(state.applyEntry(one!), true);
  assert.equal(state.current().revision, 2);
});

test("a watcher follows the log through an outage of the store", async () => {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const log = makeLog(store, clock);
  const watcher = new StoreWatcher(store, clock, new Rng(5));
  const stop = watcher.start();
  await settle();
  assert.equal(watcher.state.ready(), true);
  await write(log, "c1", [putAccount("a")]);
  await settle();
  assert.equal(watcher.state.current().revision, 1);
  store.up = false;
  await run(clock, 10_000);
  assert.equal(watcher.storeUp, false);
  assert.ok(watcher.state.asOfMs()! > 5_000);
  store.up = true;
  await runUntilDone(clock, write(log, "c2", [putAccount("b")]));
  await run(clock, 3_000);
  assert.equal(watcher.state.current().revision, 2);
  assert.ok(watcher.state.asOfMs()! < 2_000);
  stop();
});
