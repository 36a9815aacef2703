import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineQueue, type QueuedGeneration } from "../src/mod.ts";

interface Named extends QueuedGeneration {
  readonly name: string;
}

function makeWaiting(name: string, part: Partial<QueuedGeneration> = {}): Named {
  return { name, rank: 0, arrivedAtMs: 0, startByMs: 1_000, dueAtMs: 39_000, ...part };
}

test("a higher rank goes first, then what must start soonest", () => {
  const queue = new EngineQueue<Named>();
  queue.add(makeWaiting("late", { startByMs: 900 }));
  queue.add(makeWaiting("low", { rank: 1, startByMs: 100 }));
  queue.add(makeWaiting("soon", { startByMs: 500 }));
  assert.deepEqual(queue.inOrder().map((w) => w.name), ["soon", "late", "low"]);
});

test("in a burst only those that can no longer start in time are given up", () => {
  const queue = new EngineQueue<Named>();
  for (let i = 0; i < 10; i++) {
    queue.add(makeWaiting(`draft-${i}`, { arrivedAtMs: i * 100, startByMs: 1_000 + i * 100 }));
  }
  assert.deepEqual(queue.expired(1_250).map((w) => w.name), ["draft-0", "draft-1", "draft-2"]);
});

test("a removed generation is not offered again", () => {
  const queue = new EngineQueue<Named>();
  const waiting = makeWaiting("a");
  queue.add(waiting);
  assert.equal(queue.remove(waiting), true);
  assert.equal(queue.remove(waiting), false);
  assert.equal(queue.size, 0);
});
