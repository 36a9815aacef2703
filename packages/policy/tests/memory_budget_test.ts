import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryBudget, sharesOf } from "../src/mod.ts";

const MIB = 1_048_576;
const LARGE_BODY = 4_100_000;
const ORDINARY_BODY = 12_000;
/** Memory of hosts, in MiB. */
const HOSTS = [40, 88, 178, 200, 350, 602];
/** Memory of an entry with 3,000 connections and nothing to hold, in MiB. */
const PROCESS_MIB = 80;

test("shares fit the host beside the process, and a host without a limit has the largest", () => {
  for (const memoryMb of HOSTS) {
    const { bodies, responses, garbage } = sharesOf(memoryMb);
    // Garbage of recent buffers and of older ones.
    const total = bodies + responses + 2 * garbage;
    const isSmallest = bodies === sharesOf(0).bodies;
    assert.ok(isSmallest || total <= (memoryMb - PROCESS_MIB) * MIB, `${memoryMb} MB`);
  }
  assert.equal(sharesOf(null).bodies, 32 * MIB);
  assert.equal(sharesOf(10_000).bodies, 32 * MIB);
});

// Guards against callers that were refused on small hosts although they send what all do.
test("a host of any size holds the bodies of 300 ordinary callers, and one large body", () => {
  for (const memoryMb of HOSTS) {
    const budget = new MemoryBudget({ memoryMb });
    for (let i = 0; i < 300; i++) assert.ok(budget.takeBody(ORDINARY_BODY), `${memoryMb} MB, ${i}`);
    for (let i = 0; i < 300; i++) budget.releaseBody(ORDINARY_BODY);
    assert.equal(budget.bodyBytes, 0);
    assert.ok(budget.canHold(LARGE_BODY) && budget.takeBody(LARGE_BODY), `${memoryMb} MB`);
  }
});

// Guards against bodies within the limit of the settings that a small host refuses at each attempt.
test("a host of any size holds one body of the largest allowed size, and small ones beside it", () => {
  const largest = 8 * MIB;
  for (const memoryMb of HOSTS) {
    const budget = new MemoryBudget({ memoryMb });
    budget.allowBodies(largest);
    assert.ok(budget.takeBody(largest), `${memoryMb} MB`);
    assert.ok(budget.takeBody(ORDINARY_BODY), `${memoryMb} MB`);
    budget.allowBodies(1_000 * MIB);
    assert.ok(!budget.canHold(1_000 * MIB), "more than the host has");
    budget.allowBodies(0);
    assert.ok(!budget.canHold(budget.shares.bodies), `${memoryMb} MB`);
  }
});

// Guards against a process that is killed for bodies of megabytes to endpoints that read late (LOST, FAULT).
test("large bodies take a part of their share and leave room to small ones", () => {
  const budget = new MemoryBudget({ memoryMb: 200 });
  let taken = 0;
  while (budget.takeBody(LARGE_BODY)) taken++;
  assert.ok(taken >= 1 && taken * LARGE_BODY <= budget.shares.bodies);
  assert.ok(budget.takeBody(ORDINARY_BODY));
  assert.ok(!budget.canHold(budget.shares.bodies + 1));
  budget.releaseBody(LARGE_BODY);
  assert.ok(budget.takeBody(LARGE_BODY));
});

// Guards against a process that is killed for answers that callers leave unread.
test("unread responses reduce what is held of each, and then keep new requests out", () => {
  const budget = new MemoryBudget({ memoryMb: 200 });
  const usual = budget.responseBufferBytes;
  budget.takeResponse(budget.shares.responses / 2);
  assert.ok(budget.responseBufferBytes < usual);
  assert.ok(budget.hasRoomForResponses);
  budget.takeResponse(budget.shares.responses / 2);
  assert.ok(!budget.hasRoomForResponses);
  budget.releaseResponse(1);
  assert.ok(budget.hasRoomForResponses);
});

test("garbage is collected after a share of arrivals, and older garbage when a share of it is left", () => {
  const budget = new MemoryBudget({ memoryMb: 200 });
  const { garbage } = budget.shares;
  assert.ok(!budget.recordAllocated(garbage - 1));
  assert.ok(budget.recordAllocated(1));
  assert.ok(!budget.recordAllocated(garbage - 1));
  const used = 4 * MIB;
  budget.recordCollected(used);
  assert.ok(!budget.needsFullCollection(used + garbage - 1));
  assert.ok(budget.needsFullCollection(used + garbage));
  // What is held is no garbage.
  budget.takeBody(LARGE_BODY);
  assert.ok(!budget.needsFullCollection(used + garbage));
});
