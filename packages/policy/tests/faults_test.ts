import assert from "node:assert/strict";
import { test } from "node:test";
import { accountId, Rng } from "@wisteriapick/core";
import {
  AccountCoordinator,
  AccountLimits,
  type AttemptReport,
  coordinatorOf,
  Quarantine,
  RetryPolicy,
} from "../src/mod.ts";

test("two crashes put a digest in quarantine, which expires", () => {
  const quarantine = new Quarantine({ quarantineMs: 1_000 });
  quarantine.recordCrash("d", "crash-1", 0);
  assert.equal(quarantine.remainingMs("d", 1), 0);
  quarantine.recordCrash("d", "crash-2", 10);
  assert.equal(quarantine.remainingMs("d", 10), 1_000);
  assert.equal(quarantine.remainingMs("d", 1_010), 0);
  // After its quarantine one more crash is enough, and the next quarantine is longer.
  quarantine.recordCrash("d", "crash-3", 2_000);
  assert.equal(quarantine.remainingMs("d", 2_000), 2_000);
});

test("an innocent suspect is cleared by running well elsewhere", () => {
  const quarantine = new Quarantine();
  quarantine.recordCrash("d", "crash-1", 0);
  quarantine.recordCleared("d", 100);
  quarantine.recordCrash("d", "crash-2", 200);
  assert.equal(quarantine.remainingMs("d", 200), 0);
});

test("news of one crash over several ways counts once, in any order", () => {
  const a = new Quarantine();
  const b = new Quarantine();
  a.recordCrash("d", "crash-1", 0);
  b.merge(a.entries(1), 1);
  b.merge(a.entries(1), 2);
  a.merge(b.entries(3), 3);
  assert.equal(a.crashCount("d", 4), 1);
  assert.equal(b.remainingMs("d", 4), 0);
  b.recordCrash("d", "crash-2", 5);
  a.merge(b.entries(6), 6);
  assert.ok(a.remainingMs("d", 7) > 0);
});

test("the list of suspects is bounded", () => {
  const quarantine = new Quarantine({ maxDigests: 10 });
  for (let i = 0; i < 100; i++) quarantine.recordCrash(`d${i}`, "crash", 0);
  assert.equal(quarantine.size, 10);
});

function makeReport(part: Partial<AttemptReport> = {}): AttemptReport {
  return {
    reason: "overloaded",
    notRun: true,
    hasDelivered: false,
    repeatable: true,
    hops: 1,
    holds: 0,
    runs: 0,
    arrivedAtMs: 0,
    deadlineMs: 10_000,
    ...part,
  };
}

function decide(part: Partial<AttemptReport>, nowMs = 0) {
  return new RetryPolicy(new Rng(1)).decide(makeReport(part), nowMs).type;
}

test("nothing runs again once a part of its answer was delivered", () => {
  assert.equal(decide({ reason: "engine_lost", notRun: false, hasDelivered: true }), "give_up");
});

test("work that may not be repeated goes elsewhere only when it is proved that it did not run", () => {
  assert.equal(decide({ repeatable: false, notRun: "unknown", reason: "link_lost" }), "give_up");
  assert.equal(decide({ repeatable: false, notRun: true }), "next");
});

test("hops, runs and holds are bounded", () => {
  assert.equal(decide({ hops: 3 }), "hold");
  assert.equal(decide({ hops: 3 }, 1_000), "give_up");
  assert.equal(decide({ reason: "engine_lost", notRun: false, runs: 3 }), "give_up");
  assert.equal(decide({ reason: "engine_lost", notRun: false, runs: 1 }), "next");
  assert.equal(decide({}, 10_000), "give_up");
});

test("a quarantined request is not offered to other endpoints", () => {
  assert.equal(decide({ reason: "quarantined" }), "give_up");
});

const ACCOUNT = accountId("museum");

/** Runs `entries` entries that offer `perEntryPerS` each; returns admitted requests a second. */
function runLimits(entries: number, perEntryPerS: number, limit: number, seconds: number): number {
  const rng = new Rng(5);
  const limits = Array.from({ length: entries }, () => new AccountLimits());
  const keeper = new AccountCoordinator();
  const quota = { requestsPerS: limit };
  let admitted = 0;
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += 100) {
    limits.forEach((entry, i) => {
      if (rng.chance(perEntryPerS / 10) && entry.admit(ACCOUNT, quota, 0, nowMs) === null) {
        entry.recordEnd(ACCOUNT);
        if (nowMs >= seconds * 500) admitted++;
      }
      for (const report of entry.takeDueReports(nowMs)) {
        entry.applyGrant(keeper.receive(`${i}`, report, quota, nowMs), nowMs);
      }
    });
  }
  return admitted / (seconds / 2);
}

test("a limit holds over many entries that each see the account rarely", () => {
  const rate = runLimits(200, 0.2, 10, 120);
  assert.ok(rate > 7 && rate < 12.5, `${rate}`);
});

test("an account below its limit is never refused", () => {
  const limits = new AccountLimits();
  const keeper = new AccountCoordinator();
  const quota = { requestsPerS: 10, concurrency: 5 };
  for (let nowMs = 0; nowMs < 20_000; nowMs += 200) {
    assert.equal(limits.admit(ACCOUNT, quota, 10, nowMs), null);
    limits.recordEnd(ACCOUNT);
    for (const r of limits.takeDueReports(nowMs)) {
      limits.applyGrant(keeper.receive("entry-1", r, quota, nowMs), nowMs);
    }
  }
});

test("concurrency is limited over two entries together", () => {
  const entries = [new AccountLimits(), new AccountLimits()];
  const keeper = new AccountCoordinator();
  const quota = { concurrency: 10 };
  let inFlight = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
    entries.forEach((entry, i) => {
      if (entry.admit(ACCOUNT, quota, 10, nowMs) === null) inFlight++;
      for (const r of entry.takeDueReports(nowMs)) {
        entry.applyGrant(keeper.receive(`${i}`, r, quota, nowMs), nowMs);
      }
    });
  }
  // Until the first answers an entry admits freely, here for three requests each.
  assert.ok(inFlight >= 8 && inFlight <= 16, `${inFlight}`);
});

test("an account's keeper moves only when the keeper itself leaves", () => {
  const entries = ["entry-1", "entry-2", "entry-3", "entry-4"];
  const keeper = coordinatorOf(ACCOUNT, entries)!;
  const others = entries.filter((e) => e !== keeper);
  assert.equal(coordinatorOf(ACCOUNT, [keeper, others[0]!]), keeper);
  assert.notEqual(coordinatorOf(ACCOUNT, others), keeper);
  assert.equal(coordinatorOf(ACCOUNT, []), null);
});
