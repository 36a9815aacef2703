import assert from "node:assert/strict";
import { test } from "node:test";
import { generationId, moveId, processId } from "@wisteriapick/core";
import { checkHistory, type HistoryEvent, type PropertyNumber } from "../src/mod.ts";
import {
  ENDPOINT,
  makeEnded,
  makeGeneration,
  makeReceived,
  makeSent,
  makeStart,
  OTHER_REQ,
  REQ,
  SCRIBE,
  TEMA,
  V2,
} from "./fixtures.ts";

const ENTRY = processId("entry-1");

interface Case {
  readonly name: string;
  readonly promise: PropertyNumber;
  readonly history: HistoryEvent[];
}

function makeManyStarts(
  count: number,
  options: Partial<HistoryEvent & { type: "work_started" }>,
): HistoryEvent[] {
  return Array.from(
    { length: count },
    (_, i) => makeStart({ gen: generationId(`x${i}`), ...options }),
  );
}

function makeBadResponses(count: number): HistoryEvent[] {
  return Array.from(
    { length: count },
    () => ({ atMs: 1, type: "bad_answer", version: V2, service: SCRIBE, req: REQ }),
  );
}

/** Histories that each violate one property; a checker that misses one would let that fault of the system pass. */
const VIOLATIONS: Case[] = [
  {
    name: "a token received twice (token order)",
    promise: 1,
    history: [...makeGeneration("g1", ["a", "b"]), ...makeReceived(["a"]), ...makeReceived(["a"])],
  },
  {
    name: "a missing token (token order)",
    promise: 1,
    history: [...makeGeneration("g1", ["a", "b"]), ...makeReceived(["b"], { from: 1 })],
  },
  {
    name: "tokens of two generations in one response (token order)",
    promise: 1,
    history: [
      ...makeGeneration("g1", ["a", "b"]),
      ...makeGeneration("g2", ["c", "d"]),
      ...makeReceived(["a", "d"]),
    ],
  },
  {
    name: "a cold endpoint above its capacity (cold-start limit)",
    promise: 2,
    history: [{
      atMs: 1,
      type: "endpoint_pressure",
      endpoint: ENDPOINT,
      cold: true,
      running: 3,
      capacity: 2,
    }],
  },
  {
    name: "new work in a data centre that is out (data centre out)",
    promise: 3,
    history: [{ atMs: 0, type: "data_centre_out", dataCentre: TEMA }, makeStart({ atMs: 3_001 })],
  },
  {
    name: "a bad version that keeps its share (bad version)",
    promise: 4,
    history: [
      ...makeBadResponses(50),
      ...makeManyStarts(98, {}),
      ...makeManyStarts(2, { version: V2 }),
    ],
  },
  {
    name: "new work on a bad version after the verdict (bad version)",
    promise: 4,
    history: [
      { atMs: 0, type: "version_verdict", service: SCRIBE, version: V2, move: moveId("m1") },
      makeStart({ atMs: 5_001, version: V2 }),
    ],
  },
  {
    name: "a response cut short (complete response)",
    promise: 5,
    history: [makeSent(), ...makeGeneration("g1", ["a", "b"]), ...makeReceived(["a"]), makeEnded()],
  },
  {
    name: "a response that belongs to another request (complete response)",
    promise: 5,
    history: [
      makeSent(),
      ...makeGeneration("g2", ["c"], OTHER_REQ),
      ...makeReceived(["c"]),
      makeEnded(),
    ],
  },
  { name: "a request without any response (complete response)", promise: 5, history: [makeSent()] },
  {
    name: "a 'not run' for a request that has run (truthful 'not run')",
    promise: 6,
    history: [makeSent(), makeStart(), {
      atMs: 2,
      type: "answer_failed",
      req: REQ,
      reason: "overloaded",
      notRun: true,
    }],
  },
  {
    name: "work that starts after a 'not run' (truthful 'not run')",
    promise: 6,
    history: [makeSent(), {
      atMs: 2,
      type: "answer_failed",
      req: REQ,
      reason: "overloaded",
      notRun: true,
    }, makeStart()],
  },
  {
    name: "a non-repeatable request that runs twice (at-most-once)",
    promise: 7,
    history: [makeSent({ repeatable: false }), makeStart(), makeStart({ gen: generationId("g2") })],
  },
  {
    name: "new work on a leaving endpoint (leaving endpoint)",
    promise: 8,
    history: [
      { atMs: 0, type: "endpoint_leaving", endpoint: ENDPOINT },
      makeStart({ atMs: 5_001 }),
    ],
  },
  {
    name: "a planned stop that cuts a request (planned stop)",
    promise: 9,
    history: [
      { atMs: 0, type: "process_stop_planned", process: ENTRY },
      { atMs: 1, type: "request_cut", process: ENTRY, req: REQ },
    ],
  },
  {
    name: "a change that is not in force in time (configuration)",
    promise: 10,
    history: [
      { atMs: 0, type: "process_started", process: ENTRY },
      { atMs: 0, type: "change_accepted", revision: 1, digest: "x" },
      makeSent({ atMs: 5_001 }),
    ],
  },
  {
    name: "a revision that goes back (configuration)",
    promise: 10,
    history: [
      { atMs: 0, type: "process_started", process: ENTRY },
      { atMs: 1, type: "revision_in_force", process: ENTRY, revision: 2, digest: "y" },
      { atMs: 2, type: "revision_in_force", process: ENTRY, revision: 1, digest: "x" },
    ],
  },
  {
    name: "a revision with other content than was accepted (configuration)",
    promise: 10,
    history: [
      { atMs: 0, type: "process_started", process: ENTRY },
      { atMs: 0, type: "change_accepted", revision: 1, digest: "x" },
      { atMs: 1, type: "revision_in_force", process: ENTRY, revision: 1, digest: "z" },
    ],
  },
];

for (const { name, promise, history } of VIOLATIONS) {
  test(`property ${promise}: the checker reports ${name}`, () => {
    const result = checkHistory(history).find((r) => r.promise === promise)!;
    assert.ok(result.violations.length > 0);
  });
}

test("a correct history with events of many kinds violates no property", () => {
  const history: HistoryEvent[] = [
    { atMs: 0, type: "process_started", process: ENTRY },
    { atMs: 0, type: "change_accepted", revision: 1, digest: "x" },
    { atMs: 1, type: "revision_in_force", process: ENTRY, revision: 1, digest: "x" },
    makeSent(),
    ...makeGeneration("g1", ["a", "b"]),
    ...makeReceived(["a", "b"]),
    makeEnded(),
    { atMs: 6, type: "data_centre_out", dataCentre: TEMA },
    makeStart({ atMs: 3_006, gen: generationId("g3"), req: OTHER_REQ }),
    { atMs: 3_007, type: "data_centre_in", dataCentre: TEMA },
    { atMs: 3_008, type: "process_stop_planned", process: ENTRY },
  ];
  for (const result of checkHistory(history)) assert.deepEqual(result.violations, []);
});

test("no checker counts an examined fact in an empty history", () => {
  for (const result of checkHistory([])) assert.equal(result.examined, 0);
});
