import assert from "node:assert/strict";
import { test } from "node:test";
import { type CopyJob, CopyPlanner, type CopyTarget } from "../src/mod.ts";

const MS_PER_TOKEN = 0.055;

function makeJob(id: string, source: string, tokens = 4_000): CopyJob {
  return { id, source, tokens, requestedAtMs: 0, isProactive: false };
}

function makePlanner(targets: readonly string[]): CopyPlanner<CopyJob> {
  return new CopyPlanner({
    findTargets: ({ source, tokens }) =>
      targets
        .filter((endpoint) => endpoint !== source)
        .map((endpoint): CopyTarget => ({
          endpoint,
          peak: 0.5,
          copyMs: tokens * MS_PER_TOKEN,
        })),
  });
}

/** Simulates copies until all jobs are done; returns when each ended and the largest number of copies on one link. */
function simulateCopies(
  planner: CopyPlanner<CopyJob>,
): { endMsById: Map<string, number>; maxCopiesPerLink: number } {
  const endMsById = new Map<string, number>();
  let active: { id: string; source: string; target: string; endMs: number }[] = [];
  let maxCopiesPerLink = 0;
  for (let ms = 0; ms < 10_000; ms++) {
    for (const copy of active.filter((c) => c.endMs <= ms)) {
      planner.remove(copy.id);
      endMsById.set(copy.id, ms);
    }
    active = active.filter((c) => c.endMs > ms);
    for (const { job, target } of planner.grant(ms)) {
      const endMs = ms + target.copyMs;
      active.push({ id: job.id, source: job.source, target: target.endpoint, endMs });
    }
    for (const engine of ["s1", "s2", "t1", "t2", "t3"]) {
      const copiesOnLink = active.filter((c) => c.source === engine || c.target === engine).length;
      maxCopiesPerLink = Math.max(maxCopiesPerLink, copiesOnLink);
    }
  }
  return { endMsById, maxCopiesPerLink };
}

// Copies that share a link slow each other down, so that runs would still be on their engine when it stops.
test("two engines that leave together are evacuated in parallel, with one copy per link", () => {
  const planner = makePlanner(["t1", "t2", "t3"]);
  for (let i = 0; i < 5; i++) {
    planner.add(makeJob(`a${i}`, "s1"));
    planner.add(makeJob(`b${i}`, "s2"));
  }
  const { endMsById, maxCopiesPerLink } = simulateCopies(planner);
  assert.equal(maxCopiesPerLink, 1);
  assert.equal(endMsById.size, 10);
  // Five copies of 220 ms in sequence, on both engines in parallel.
  assert.ok(Math.max(...endMsById.values()) <= 5 * 221);
});

test("the smallest run is copied first, so that as many as possible are saved", () => {
  const planner = makePlanner(["t1"]);
  planner.add(makeJob("large", "s1", 9_000));
  planner.add(makeJob("small", "s1", 1_000));
  assert.deepEqual(planner.grant(0).map((l) => l.job.id), ["small"]);
});

// The gateway that owns a copy may crash before it reports the end.
test("a copy whose end is never reported occupies its links for a limited time", () => {
  const planner = makePlanner(["t1"]);
  planner.add(makeJob("a", "s1"));
  planner.add(makeJob("b", "s1"));
  assert.equal(planner.grant(0).length, 1);
  assert.equal(planner.grant(500).length, 0);
  assert.equal(planner.grant(1_000).length, 1);
});

test("a job for which no engine has the memory stays pending until one has", () => {
  let hasRoom = false;
  const planner = new CopyPlanner<CopyJob>({
    findTargets: () => hasRoom ? [{ endpoint: "t1", peak: 0.9, copyMs: 200 }] : [],
  });
  planner.add(makeJob("a", "s1"));
  assert.equal(planner.grant(0).length, 0);
  hasRoom = true;
  assert.equal(planner.grant(100).length, 1);
});

test("an engine with a faster copy is preferred although it has a little less memory left", () => {
  const near: CopyTarget = { endpoint: "near", peak: 0.6, copyMs: 220 };
  const far: CopyTarget = { endpoint: "far", peak: 0.5, copyMs: 440 };
  const planner = new CopyPlanner<CopyJob>({ findTargets: () => [far, near] });
  planner.add(makeJob("a", "s1"));
  assert.equal(planner.grant(0)[0]?.target.endpoint, "near");
});

// A proactive copy on a link would delay a run that must leave its engine within its notice.
test("proactive copies are granted only while no run has to leave its engine", () => {
  const planner = makePlanner(["t1", "t2"]);
  planner.add({ ...makeJob("proactive", "s1", 100), isProactive: true });
  planner.add(makeJob("leaving", "s2"));
  assert.deepEqual(planner.grant(0).map((l) => l.job.id), ["leaving"]);
  assert.deepEqual(planner.grant(10), []);
  planner.remove("leaving");
  assert.deepEqual(planner.grant(20).map((l) => l.job.id), ["proactive"]);
});
