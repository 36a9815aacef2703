import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { MemoryBudget } from "@wisteriapick/policy";
import { BodyQueue } from "../src/surface/body_queue.ts";

const BODY = 4_100_000;
const MAX_WAIT_MS = 500;

function makeQueue() {
  const clock = new ManualClock();
  // One body of this size fits.
  const budget = new MemoryBudget({ memoryMb: 88 });
  const queue = new BodyQueue({ budget, clock, maxWaitMs: MAX_WAIT_MS });
  const outcomes: [string, boolean][] = [];
  const enter = (name: string, bytes = BODY) =>
    queue.enter(bytes, (hasRoom) => outcomes.push([name, hasRoom]));
  return { clock, budget, queue, outcomes, enter };
}

test("bodies get room in the order of their arrival", () => {
  const { queue, outcomes, enter } = makeQueue();
  for (const name of ["a", "b", "c"]) enter(name);
  assert.deepEqual(outcomes, [["a", true]]);
  queue.release(BODY);
  queue.release(BODY);
  assert.deepEqual(outcomes, [["a", true], ["b", true], ["c", true]]);
});

test("a body that gets no room in time is refused, and takes none later", () => {
  const { clock, budget, queue, outcomes, enter } = makeQueue();
  enter("a");
  enter("b");
  clock.advance(MAX_WAIT_MS);
  assert.deepEqual(outcomes.at(-1), ["b", false]);
  queue.release(BODY);
  assert.equal(budget.bodyBytes, 0);
});

test("a body whose caller leaves is not waited for", () => {
  const { queue, outcomes, enter } = makeQueue();
  enter("a");
  const leave = enter("b");
  enter("c");
  leave();
  queue.release(BODY);
  assert.deepEqual(outcomes, [["a", true], ["c", true]]);
});

test("a body that can never fit, and one behind too many others, are refused at once", () => {
  const { budget, outcomes, enter, queue } = makeQueue();
  enter("huge", budget.shares.bodies + 1);
  assert.deepEqual(outcomes, [["huge", false]]);
  enter("a");
  // Connections read ahead of bodies that wait, so that these take memory too.
  for (let i = 0; i < 100; i++) enter(`waiting-${i}`);
  assert.ok(queue.size > 0 && queue.size * 65_536 <= budget.shares.bodies / 4);
  assert.equal(outcomes.filter(([, hasRoom]) => !hasRoom).length, 101 - queue.size);
});

// Guards against a body of 100 KB that is refused behind one of megabytes, although there is room for it.
test("bodies that fit pass one that does not, up to its size in total", () => {
  const { outcomes, enter, queue } = makeQueue();
  const held = 3_000_000;
  enter("held", held);
  enter("large", 2_000_000);
  enter("fits", 100_000);
  assert.deepEqual(outcomes, [["held", true], ["fits", true]]);
  enter("does not fit", 1_500_000);
  queue.release(100_000);
  assert.deepEqual(outcomes.slice(2), [["does not fit", true]]);
  queue.release(1_500_000);
  enter("one too many", 500_000);
  assert.deepEqual(outcomes.slice(3), []);
  queue.release(held);
  assert.deepEqual(outcomes.slice(3), [["large", true], ["one too many", true]]);
});

/** A body that has room, of which nothing has arrived. */
function makeArriving() {
  const body = {
    arrived: 0,
    hasRoom: true,
    arrivedBytes: () => body.arrived,
    giveBack() {
      body.hasRoom = false;
      return BODY - body.arrived;
    },
  };
  return body;
}

// Guards against callers that announce large bodies, send one byte and keep all other large bodies out.
test("a body that hardly arrives gives back its room while others wait", () => {
  const { clock, budget, queue, outcomes, enter } = makeQueue();
  const body = makeArriving();
  enter("slow");
  queue.watch(body);
  clock.advance(10 * MAX_WAIT_MS);
  assert.ok(body.hasRoom, "nobody waits");
  enter("other", 600_000);
  body.arrived = 1;
  clock.advance(MAX_WAIT_MS - 1);
  assert.ok(!body.hasRoom);
  assert.deepEqual(outcomes, [["slow", true], ["other", true]]);
  assert.equal(budget.bodyBytes, 1 + 600_000);
});

test("a body that arrives keeps its room while others wait", () => {
  const { clock, queue, outcomes, enter } = makeQueue();
  const body = makeArriving();
  enter("steady");
  queue.watch(body);
  enter("other");
  for (let ms = 0; ms < MAX_WAIT_MS; ms += 100) {
    body.arrived += 65_536;
    clock.advance(100);
  }
  assert.ok(body.hasRoom);
  assert.deepEqual(outcomes, [["steady", true], ["other", false]]);
});
