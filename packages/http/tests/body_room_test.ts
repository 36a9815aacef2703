import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { test } from "node:test";
import { ManualClock, toWpError } from "@wisteriapick/core";
import { MemoryBudget, STALLED_MS } from "@wisteriapick/policy";
import { BodyRoom, BoundedConnections } from "../src/mod.ts";

const MAX_BYTES = 1_000_000;

/** A room for bodies on a host with little memory, and requests whose bodies the test sends. */
function makeRoom() {
  const clock = new ManualClock();
  const budget = new MemoryBudget({ memoryMb: 1 });
  const bounds = { shares: budget.shares, maxDescriptors: null };
  const contain = (work: () => void) => work();
  const connections = new BoundedConnections({ clock, bounds, maxConnections: () => 8, contain });
  let refused = 0;
  const room = new BodyRoom({ budget, clock, connections, onRefused: () => refused++ });
  const begin = () => {
    const req = Object.assign(new EventEmitter(), { resume: () => {}, socket: {} });
    const res = new EventEmitter();
    const read = room.read(
      req as unknown as IncomingMessage,
      res as unknown as ServerResponse,
      { maxBytes: MAX_BYTES },
    ).then((body) => body.length, (e) => {
      const err = toWpError(e);
      return err.type === "refused" ? err.refusal.type : err.type;
    });
    return {
      read,
      send: (bytes: number) => req.emit("data", Buffer.alloc(bytes)),
      end: () => req.emit("end"),
      close: () => res.emit("close"),
    };
  };
  /** Begins bodies until there is no room for one more chunk of them. */
  const fill = () => {
    const bodies = [];
    while (budget.bodyBytes + MAX_BYTES - 1 <= 0.875 * budget.shares.bodies) {
      const body = begin();
      body.send(MAX_BYTES - 1);
      bodies.push(body);
    }
    return bodies;
  };
  return { begin, budget, clock, fill, refused: () => refused, room };
}

// Guards against bodies that are each within their limit and take more memory than there is.
test("a body without room is refused as not run, and one that ends has its room until its response", async () => {
  const { begin, budget, fill, refused } = makeRoom();
  const bodies = fill();
  const late = begin();
  late.send(MAX_BYTES - 1);
  assert.equal(await late.read, "memory_pressure");
  late.close();
  bodies[0]!.end();
  assert.equal(await bodies[0]!.read, MAX_BYTES - 1);
  const held = budget.bodyBytes;
  bodies[0]!.close();
  assert.equal(budget.bodyBytes, held - MAX_BYTES + 1);
  for (const body of bodies) body.close();
  assert.equal(budget.bodyBytes, 0);
  assert.equal(refused(), 0);
});

// Guards against bodies that stop before their end and keep all room.
test("a stalled body is refused when another one needs its room", async () => {
  const { begin, clock, fill, refused } = makeRoom();
  const bodies = fill();
  clock.advance(STALLED_MS);
  const late = begin();
  late.send(MAX_BYTES - 1);
  late.end();
  assert.equal(await late.read, MAX_BYTES - 1);
  assert.equal(await bodies[0]!.read, "memory_pressure");
  assert.equal(refused(), 1);
});

// Guards against bodies that stop before their end and keep all connections.
test("the longest stalled body is refused when its connection is wanted, and no other", async () => {
  const { begin, clock, room } = makeRoom();
  const stalled = begin();
  stalled.send(10);
  clock.advance(STALLED_MS);
  const arriving = begin();
  arriving.send(10);
  room.refuseLongestStalled();
  room.refuseLongestStalled();
  assert.equal(await stalled.read, "memory_pressure");
  arriving.end();
  assert.equal(await arriving.read, 10);
});

test("a body that is too large, or whose caller leaves, gives back its room", async () => {
  const { begin, budget } = makeRoom();
  const [large, left] = [begin(), begin()];
  large.send(MAX_BYTES);
  large.send(1);
  assert.equal(await large.read, "request_too_large");
  large.close();
  left.send(10);
  left.close();
  assert.equal(await left.read, "cancelled");
  assert.equal(budget.bodyBytes, 0);
});
