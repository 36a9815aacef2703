import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, processId, revision, Rng } from "@wisteriapick/core";
import { ConfigState, MoveRouter } from "../src/mod.ts";
import { SequentialTest } from "@wisteriapick/policy";
import { MOVE, SCRIBE, V1, V2, write } from "./fixtures.ts";
import { GOOD, MoveSim, type Situation } from "./move_fixtures.ts";

const HOUR_MS = 3_600_000;
const ALLOWED_MS = 1_200_000;

const BAD = {
  at_once: () => ({ ...GOOD, failure: 0.5 }),
  slow_first_token: () => ({ ...GOOD, slowFirst: 0.5 }),
  slow_gaps: () => ({ ...GOOD, slowGap: 0.3 }),
  later: (s: Situation) => s.sinceMs > 240_000 ? { ...GOOD, failure: 0.6 } : GOOD,
  under_load: (s: Situation) => s.loadLevel === "high" ? { ...GOOD, failure: 0.5 } : GOOD,
  on_one_route: (s: Situation) => s.route === "/tags" ? { ...GOOD, failure: 0.5 } : GOOD,
};

for (const [name, quality] of Object.entries(BAD)) {
  test(`a version that is bad (${name}) is taken back and gets little traffic`, async () => {
    const sim = new MoveSim({ quality, allowedMs: ALLOWED_MS });
    await sim.open();
    await sim.run(ALLOWED_MS, () => sim.move.settled);
    assert.equal(sim.move.state, "taken_back", sim.move.reason);
    assert.match(sim.move.reason, /^bad version/);
    const verdictAt = sim.clock.now();
    await sim.run(verdictAt + 30_000);
    assert.ok(sim.served.every((s) => !s.isNew || s.atMs < verdictAt + 5_000));
    // The bound is a share of the service's traffic in the rest of the time allowed.
    const rest = sim.requestsAfterBad(50);
    const traffic = 40 * (ALLOWED_MS - verdictAt) / 1_000;
    assert.ok(rest.ofNew < 0.01 * traffic, `${rest.ofNew} of ${traffic}`);
  });
}

test("moves to good versions finish within half of the time allowed", async () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const sim = new MoveSim({ quality: () => GOOD, seed });
    await sim.open();
    await sim.run(ALLOWED_MS, () => sim.move.settled);
    assert.equal(sim.move.state, "finished", sim.move.reason);
    assert.ok(sim.clock.now() <= ALLOWED_MS / 2, `seed ${seed}: ${sim.clock.now()} ms`);
  }
});

test("a version with too little traffic for a decision is taken back by its deadline with that reason", async () => {
  const sim = new MoveSim({ quality: () => GOOD, perSecond: 0.02, allowedMs: HOUR_MS });
  await sim.open();
  await sim.run(HOUR_MS, () => sim.move.settled);
  assert.equal(sim.move.state, "taken_back");
  assert.match(sim.move.reason, /^too little traffic to tell/);
  assert.ok(sim.clock.now() < HOUR_MS);
});

test("a good version with little traffic finishes when it has enough requests", async () => {
  const sim = new MoveSim({ quality: () => GOOD, perSecond: 0.5, allowedMs: HOUR_MS });
  await sim.open();
  await sim.run(HOUR_MS, () => sim.move.settled);
  assert.equal(sim.move.state, "finished", sim.move.reason);
});

// Guards against processes that disagree on the version while no entry can be written.
test("a move whose deadline falls into a store outage is taken back by all processes at the deadline, for good", async () => {
  const sim = new MoveSim({ quality: () => GOOD });
  await sim.open();
  await sim.run(200_000);
  assert.equal(sim.move.state, "open");
  sim.store.up = false;
  await sim.run(ALLOWED_MS + 60_000);
  assert.ok(sim.served.some((s) => s.isNew));
  assert.ok(sim.served.every((s) => !s.isNew || s.atMs < ALLOWED_MS));
  sim.store.up = true;
  await sim.run(ALLOWED_MS + 120_000);
  assert.deepEqual([sim.move.state, sim.move.settled], ["taken_back", true]);
  assert.ok(
    sim.served.every((s) => !s.isNew || s.atMs < ALLOWED_MS),
    "no process returns to the new version",
  );
});

// Guards against some processes that switch to the new version at a late finish while others went back at the
// deadline.
test("a finish that no process sees before the deadline has no effect, and the move is settled as taken back", async () => {
  const sim = new MoveSim({ quality: () => GOOD });
  await sim.open();
  // The finish takes effect in the store, but no process sees it before the deadline.
  await write(sim.log, "finish", [{ type: "finish_move", id: MOVE, reason: "accepted" }]);
  sim.store.up = false;
  await sim.run(ALLOWED_MS + 30_000);
  const before = sim.served.length;
  sim.fence = null;
  sim.store.up = true;
  await sim.run(ALLOWED_MS + 60_000);
  assert.ok(sim.served.slice(before).every((s) => !s.isNew), "a late finish has no effect");
  sim.fence = revision(2);
  await sim.run(ALLOWED_MS + 90_000);
  assert.deepEqual([sim.move.state, sim.move.settled], ["taken_back", true]);
});

test("a process that starts after the deadline follows the log", () => {
  const clock = new ManualClock({ wallStart: ALLOWED_MS + 1 });
  const sim = new MoveSim({ quality: () => GOOD });
  return sim.open().then(async () => {
    await write(sim.log, "finish", [{ type: "finish_move", id: MOVE, reason: "accepted" }]);
    const state = new ConfigState(clock);
    const router = new MoveRouter(state, clock, processId("late"));
    for (const e of sim.log.state.entriesAfter(revision(0))!) state.applyEntry(e);
    state.recordProof(clock.now());
    assert.equal(router.versionFor(SCRIBE, "r"), V2);
  });
});

test("an entry stops on its own evidence without a decision of the driver", async () => {
  const sim = new MoveSim({ quality: () => ({ failure: 1 }), entries: 1 });
  await sim.open();
  sim.fence = null;
  await sim.run(600_000);
  assert.equal(sim.entries[0]!.router.isStopped(SCRIBE), true);
  assert.equal(sim.entries[0]!.router.versionFor(SCRIBE, "any"), V1);
  assert.ok(sim.newRequests < 50, `${sim.newRequests} requests reached the bad version`);
});

test("the death of one endpoint does not stop its version", () => {
  const sim = new MoveSim({ quality: () => GOOD, entries: 1 });
  return sim.open().then(() => {
    const { router } = sim.entries[0]!;
    const base = { service: SCRIBE, route: "/", loadLevel: "low" as const };
    for (let i = 0; i < 100; i++) router.record({ ...base, version: V1, failed: false });
    for (let i = 0; i < 100; i++) router.record({ ...base, version: V2, failed: false });
    for (let i = 0; i < 40; i++) {
      router.record({ ...base, version: V2, failed: true, endpoint: "scribe-0" as never });
    }
    assert.equal(router.isStopped(SCRIBE), false);
  });
});

// Guards against evidence that is discarded because its batch has requests of one version only.
test("failures of the new version count although the old one serves nothing at the same time", async () => {
  const sim = new MoveSim({ quality: () => GOOD, entries: 1 });
  await sim.open();
  const { router } = sim.entries[0]!;
  const base = { service: SCRIBE, route: "/", loadLevel: "low" as const };
  for (let i = 0; i < 20; i++) {
    router.record({ ...base, version: V2, failed: true });
    router.takeEvidence();
  }
  for (let i = 0; i < 20; i++) router.record({ ...base, version: V1, failed: false });
  router.record({ ...base, version: V2, failed: true });
  assert.equal(router.isStopped(SCRIBE), true);
});

test("the sequential test calls equal versions bad no more often than its error rate", () => {
  const alpha = 0.05;
  const runs = 400;
  let wrong = 0;
  for (let seed = 0; seed < runs; seed++) {
    const rng = new Rng(seed);
    const t = new SequentialTest();
    for (let i = 0; i < 200 && !t.isBad(alpha); i++) {
      const rate = i % 2 === 0 ? 0.02 : 0.2;
      const draw = (n: number) =>
        Array.from({ length: n }, () => rng.chance(rate)).filter(Boolean).length;
      t.add({ newExposure: 10, newBad: draw(10), oldExposure: 30, oldBad: draw(30) });
    }
    if (t.isBad(alpha)) wrong++;
  }
  assert.ok(wrong <= alpha * runs, `${wrong} of ${runs}`);
});
