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

test("after two crashes a digest is in quarantine until that expires", () => {
  const quarantine = new Quarantine({ quarantineMs: 1_000 });
  quarantine.recordCrash("d", "crash-1", 0);
  assert.equal(quarantine.remainingMs("d", 1), 0);
  quarantine.recordCrash("d", "crash-2", 10);
  assert.equal(quarantine.remainingMs("d", 10), 1_000);
  assert.equal(quarantine.remainingMs("d", 1_010), 0);
  // After its quarantine one more crash suffices, and the next quarantine is longer.
  quarantine.recordCrash("d", "crash-3", 2_000);
  assert.equal(quarantine.remainingMs("d", 2_000), 2_000);
});

// Requests that ran together with a poison one must not be refused at the next crash.
test("a suspect that runs well elsewhere is cleared", () => {
  const quarantine = new Quarantine();
  quarantine.recordCrash("d", "crash-1", 0);
  quarantine.recordCleared("d", 100);
  quarantine.recordCrash("d", "crash-2", 200);
  assert.equal(quarantine.remainingMs("d", 200), 0);
});

// Processes exchange suspects over several paths; counted per report, one crash would quarantine a harmless request.
test("one crash reported over several paths counts once, in any order", () => {
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

test("the number of suspects is bounded", () => {
  const quarantine = new Quarantine({ maxDigests: 10 });
  for (let i = 0; i < 100; i++) quarantine.recordCrash(`d${i}`, "crash", 0);
  assert.equal(quarantine.size, 10);
});

function makeAttemptReport(overrides: Partial<AttemptReport> = {}): AttemptReport {
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
    ...overrides,
  };
}

function decide(overrides: Partial<AttemptReport>, nowMs = 0) {
  return new RetryPolicy(new Rng(1)).decide(makeAttemptReport(overrides), nowMs).type;
}

// A second run produces other tokens, which must not be appended to those of the first.
test("a request is not retried once a part of its response was delivered", () => {
  assert.equal(decide({ reason: "engine_lost", notRun: false, hasDelivered: true }), "give_up");
});

// At-most-once: a request whose link was lost may have run.
test("a request that may not be repeated is retried only where it provably did not run", () => {
  assert.equal(decide({ repeatable: false, notRun: "unknown", reason: "link_lost" }), "give_up");
  assert.equal(decide({ repeatable: false, notRun: true }), "next");
});

test("the numbers of attempts and runs and the time on hold are bounded", () => {
  assert.equal(decide({ hops: 3 }), "hold");
  assert.equal(decide({ hops: 3 }, 1_000), "give_up");
  assert.equal(decide({ reason: "engine_lost", notRun: false, runs: 3 }), "give_up");
  assert.equal(decide({ reason: "engine_lost", notRun: false, runs: 1 }), "next");
  assert.equal(decide({}, 10_000), "give_up");
});

test("a quarantined request is not retried at other endpoints", () => {
  assert.equal(decide({ reason: "quarantined" }), "give_up");
});

const ACCOUNT = accountId("museum");

/** Simulates entries that receive `perEntryPerS` requests each; returns the admitted requests per second. */
function runLimits(entries: number, perEntryPerS: number, limit: number, seconds: number): number {
  const rng = new Rng(5);
  const limits = Array.from({ length: entries }, () => new AccountLimits());
  const coordinator = new AccountCoordinator();
  const quota = { requestsPerS: limit };
  let admitted = 0;
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += 100) {
    limits.forEach((entry, i) => {
      if (rng.chance(perEntryPerS / 10) && entry.admit(ACCOUNT, quota, 0, nowMs) === null) {
        entry.recordEnd(ACCOUNT);
        if (nowMs >= seconds * 500) admitted++;
      }
      for (const report of entry.takeDueReports(nowMs)) {
        entry.applyGrant(coordinator.receive(`${i}`, report, quota, nowMs), nowMs);
      }
    });
  }
  return admitted / (seconds / 2);
}

// An entry that receives one request of an account in seconds cannot enforce a rate limit by its own counts.
test("a rate limit holds over many entries that each receive few requests of the account", () => {
  const rate = runLimits(200, 0.2, 10, 120);
  assert.ok(rate > 7 && rate < 12.5, `${rate}`);
});

test("an account below its limits is never refused", () => {
  const limits = new AccountLimits();
  const coordinator = new AccountCoordinator();
  const quota = { requestsPerS: 10, concurrency: 5 };
  for (let nowMs = 0; nowMs < 20_000; nowMs += 200) {
    assert.equal(limits.admit(ACCOUNT, quota, 10, nowMs), null);
    limits.recordEnd(ACCOUNT);
    for (const r of limits.takeDueReports(nowMs)) {
      limits.applyGrant(coordinator.receive("entry-1", r, quota, nowMs), nowMs);
    }
  }
});

test("the concurrency limit holds over two entries together", () => {
  const entries = [new AccountLimits(), new AccountLimits()];
  const coordinator = new AccountCoordinator();
  const quota = { concurrency: 10 };
  let inFlight = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
    entries.forEach((entry, i) => {
      if (entry.admit(ACCOUNT, quota, 10, nowMs) === null) inFlight++;
      for (const r of entry.takeDueReports(nowMs)) {
        entry.applyGrant(coordinator.receive(`${i}`, r, quota, nowMs), nowMs);
      }
    });
  }
  // An entry admits without a limit until the first response, here three requests each.
  assert.ok(inFlight >= 8 && inFlight <= 16, `${inFlight}`);
});

// A new coordinator starts without counts, so that the limit would not hold for a moment at each change.
test("the coordinator of an account changes only when it leaves itself", () => {
  const entries = ["entry-1", "entry-2", "entry-3", "entry-4"];
  const coordinator = coordinatorOf(ACCOUNT, entries)!;
  const others = entries.filter((e) => e !== coordinator);
  assert.equal(coordinatorOf(ACCOUNT, [coordinator, others[0]!]), coordinator);
  assert.notEqual(coordinatorOf(ACCOUNT, others), coordinator);
  assert.equal(coordinatorOf(ACCOUNT, []), null);
});
