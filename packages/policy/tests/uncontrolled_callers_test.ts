import assert from "node:assert/strict";
import { test } from "node:test";
import {
  chooseEviction,
  MAX_UNANSWERED,
  mayReadRequest,
  MemoryBudget,
  mustDropHeld,
  openConnectionLimit,
  requestBytesOf,
  sharesOf,
  STALLED_MS,
  StalledBodies,
} from "../src/mod.ts";

const MIB = 1_048_576;

// Guards against requests sent ahead that take more memory than a host of 178 MB has, and against a caller that never
// gets its turn meanwhile.
test("requests sent ahead on hundreds of connections stay within their share, and each connection has one", () => {
  const shares = sharesOf(178);
  const connections = Array.from(
    { length: 300 },
    () => ({ unanswered: 0, hasUnreadResponses: false }),
  );
  const totals = { requests: 0, requestBytes: 0, heldBytes: 0 };
  for (let turn = 0; turn < 10_000; turn++) {
    const account = connections[turn % connections.length]!;
    if (!mayReadRequest(account, totals, { shares, maxDescriptors: null })) continue;
    account.unanswered++;
    totals.requests++;
    totals.requestBytes += requestBytesOf(16_384);
  }
  assert.ok(connections.every(({ unanswered }) => unanswered >= 1));
  assert.ok(connections.every(({ unanswered }) => unanswered <= MAX_UNANSWERED));
  assert.ok(totals.requestBytes <= shares.responses, `${totals.requestBytes} bytes`);
});

// Guards against requests in progress whose connections to endpoints take all descriptors.
test("requests sent ahead take few descriptors", () => {
  const bounds = { shares: sharesOf(null), maxDescriptors: 400 };
  const totals = { requests: 40, requestBytes: 0, heldBytes: 0 };
  const of = (unanswered: number) => ({ unanswered, hasUnreadResponses: false });
  assert.equal(mayReadRequest(of(1), totals, bounds), false);
  assert.equal(mayReadRequest(of(1), { ...totals, requests: 39 }, bounds), true);
  assert.equal(mayReadRequest(of(0), totals, bounds), true);
  assert.equal(mayReadRequest({ unanswered: 0, hasUnreadResponses: true }, totals, bounds), false);
});

test("bytes that wait are dropped beyond half of a share only", () => {
  const bounds = { shares: sharesOf(178) };
  assert.equal(mustDropHeld({ heldBytes: 8 * MIB }, bounds), false);
  assert.equal(mustDropHeld({ heldBytes: 9 * MIB }, bounds), true);
});

// Guards against stalled bodies that keep all room, and against callers that are slow being refused without need.
test("stalled bodies give up their room for others, and bodies that arrive do not", () => {
  const budget = new MemoryBudget({ memoryMb: 178 });
  const stalled = new StalledBodies();
  const refused: number[] = [];
  const add = (i: number, bytes: number, nowMs: number) => {
    assert.ok(budget.takeBody(bytes, 16_384));
    const progress = stalled.add(nowMs, () => {
      refused.push(i);
      budget.releaseBody(bytes);
      return bytes;
    });
    progress.record(bytes, nowMs);
    return progress;
  };
  for (let i = 0; i < 16; i++) add(i, MIB, i);
  const arriving = add(16, 65_536, 16);
  assert.equal(stalled.makeRoom(2 * MIB, STALLED_MS - 1), 0);
  for (let ms = 500; ms <= STALLED_MS + 500; ms += 500) arriving.record(65_536 + 40 * ms, ms);
  assert.equal(stalled.makeRoom(2 * MIB, STALLED_MS + 1), 2);
  assert.deepEqual(refused, [0, 1]);
  assert.equal(stalled.makeRoom(100 * MIB, STALLED_MS + 600), 14);
  assert.ok(!refused.includes(16), "a body that arrives was refused");
  assert.ok(budget.takeBody(MIB));
});

// Guards against large bodies in small chunks that fill what is kept for small bodies.
test("a large body in small pieces leaves room for small ones", () => {
  const budget = new MemoryBudget({ memoryMb: 178 });
  let taken = 0;
  while (budget.takeBody(16_384, taken + 16_384)) taken += 16_384;
  assert.ok(budget.takeBody(60_000));
});

// Guards against callers in use that are closed in place of those that send no request.
test("the connection that has sent no whole request for the longest time is closed first", () => {
  const connection = (name: string, part: Record<string, unknown>) => ({
    name,
    unanswered: 0,
    hasPartOfHead: false,
    hasHadRequest: true,
    usedAtMs: 0,
    ...part,
  });
  const open = [
    connection("in use", { unanswered: 1 }),
    connection("kept", { usedAtMs: 1 }),
    connection("kept for less", { usedAtMs: 9 }),
    connection("new", { hasHadRequest: false, usedAtMs: 8 }),
    connection("stopped in a head", { hasPartOfHead: true, usedAtMs: 5 }),
  ];
  const order: (string | null)[] = [];
  while (open.length > 0) {
    const chosen = chooseEviction(open);
    order.push(chosen?.name ?? null);
    if (chosen === null) break;
    open.splice(open.indexOf(chosen), 1);
  }
  assert.deepEqual(order, ["stopped in a head", "new", "kept", "kept for less", null]);
  assert.equal(openConnectionLimit(400), 300);
  assert.equal(openConnectionLimit(null), Infinity);
});

// Guards against callers' connections and those to endpoints that take more descriptors together than there are.
test("callers have the descriptors that endpoints and files leave", () => {
  assert.equal(openConnectionLimit(400, 50), 300);
  assert.equal(openConnectionLimit(400, 200), 150);
  assert.equal(openConnectionLimit(4_100, 2_000), 1_900);
  assert.equal(openConnectionLimit(400, 500), 1);
  assert.equal(openConnectionLimit(null, 500), Infinity);
});
