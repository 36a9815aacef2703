import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineQueue, type QueuedGeneration } from "../src/mod.ts";

interface Named extends QueuedGeneration {
  readonly name: string;
}

function makeQueued(name: string, overrides: Partial<QueuedGeneration> = {}): Named {
  return { name, rank: 0, arrivedAtMs: 0, startByMs: 1_000, dueAtMs: 39_000, ...overrides };
}

test("generations are ordered by rank and then by the time by which they must start", () => {
  const queue = new EngineQueue<Named>();
  queue.add(makeQueued("late", { startByMs: 900 }));
  queue.add(makeQueued("low", { rank: 1, startByMs: 100 }));
  queue.add(makeQueued("soon", { startByMs: 500 }));
  assert.deepEqual(queue.inOrder().map((w) => w.name), ["soon", "late", "low"]);
});

// Generations that are too late anyway would otherwise delay those behind them in a burst.
test("in a burst only generations that can no longer start in time expire", () => {
  const queue = new EngineQueue<Named>();
  for (let i = 0; i < 10; i++) {
    queue.add(makeQueued(`draft-${i}`, { arrivedAtMs: i * 100, startByMs: 1_000 + i * 100 }));
  }
  assert.deepEqual(queue.expired(1_250).map((w) => w.name), ["draft-0", "draft-1", "draft-2"]);
});

test("a removed generation is no longer in the queue", () => {
  const queue = new EngineQueue<Named>();
  const generation = makeQueued("a");
  queue.add(generation);
  assert.equal(queue.remove(generation), true);
  assert.equal(queue.remove(generation), false);
  assert.equal(queue.size, 0);
});
