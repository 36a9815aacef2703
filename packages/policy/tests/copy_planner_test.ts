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

/** Plays copies until all orders are met; returns when each ended, and the most copies that shared a link. */
function play(planner: CopyPlanner<CopyJob>): { ends: Map<string, number>; mostOnLink: number } {
  const ends = new Map<string, number>();
  let active: { id: string; source: string; target: string; endMs: number }[] = [];
  let mostOnLink = 0;
  for (let ms = 0; ms < 10_000; ms++) {
    for (const copy of active.filter((c) => c.endMs <= ms)) {
      planner.remove(copy.id);
      ends.set(copy.id, ms);
    }
    active = active.filter((c) => c.endMs > ms);
    for (const { job, target } of planner.grant(ms)) {
      const endMs = ms + target.copyMs;
      active.push({ id: job.id, source: job.source, target: target.endpoint, endMs });
    }
    for (const engine of ["s1", "s2", "t1", "t2", "t3"]) {
      const onLink = active.filter((c) => c.source === engine || c.target === engine).length;
      mostOnLink = Math.max(mostOnLink, onLink);
    }
  }
  return { ends, mostOnLink };
}

test("two engines that leave at once are emptied side by side, one copy on each link", () => {
  const planner = makePlanner(["t1", "t2", "t3"]);
  for (let i = 0; i < 5; i++) {
    planner.add(makeJob(`a${i}`, "s1"));
    planner.add(makeJob(`b${i}`, "s2"));
  }
  const { ends, mostOnLink } = play(planner);
  assert.equal(mostOnLink, 1);
  assert.equal(ends.size, 10);
  // Five copies of 220 ms one after the other; both engines at the same time.
  assert.ok(Math.max(...ends.values()) <= 5 * 221);
});

test("the smallest run goes first, so that most get away", () => {
  const planner = makePlanner(["t1"]);
  planner.add(makeJob("large", "s1", 9_000));
  planner.add(makeJob("small", "s1", 1_000));
  assert.deepEqual(planner.grant(0).map((l) => l.job.id), ["small"]);
});

test("a copy whose end is never reported holds its links for a limited time", () => {
  const planner = makePlanner(["t1"]);
  planner.add(makeJob("a", "s1"));
  planner.add(makeJob("b", "s1"));
  assert.equal(planner.grant(0).length, 1);
  assert.equal(planner.grant(500).length, 0);
  assert.equal(planner.grant(1_000).length, 1);
});

test("a run for which no engine has room waits until one has", () => {
  let hasRoom = false;
  const planner = new CopyPlanner<CopyJob>({
    findTargets: () => hasRoom ? [{ endpoint: "t1", peak: 0.9, copyMs: 200 }] : [],
  });
  planner.add(makeJob("a", "s1"));
  assert.equal(planner.grant(0).length, 0);
  hasRoom = true;
  assert.equal(planner.grant(100).length, 1);
});

test("a near engine with less room is preferred to a far one, unless it is much fuller", () => {
  const near: CopyTarget = { endpoint: "near", peak: 0.6, copyMs: 220 };
  const far: CopyTarget = { endpoint: "far", peak: 0.5, copyMs: 440 };
  const planner = new CopyPlanner<CopyJob>({ findTargets: () => [far, near] });
  planner.add(makeJob("a", "s1"));
  assert.equal(planner.grant(0)[0]?.target.endpoint, "near");
});

test("copies are made ahead only while no run has to leave", () => {
  const planner = makePlanner(["t1", "t2"]);
  planner.add({ ...makeJob("ahead", "s1", 100), isProactive: true });
  planner.add(makeJob("leaving", "s2"));
  assert.deepEqual(planner.grant(0).map((l) => l.job.id), ["leaving"]);
  assert.deepEqual(planner.grant(10), []);
  planner.remove("leaving");
  assert.deepEqual(planner.grant(20).map((l) => l.job.id), ["ahead"]);
});
