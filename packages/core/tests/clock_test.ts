import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, SystemClock } from "../src/clock.ts";

const TOO_LONG_MS = [2 ** 31, 1e15, Infinity];

// Guards against a deadline far away that passes at once, as timers of Node.js have 31 bits.
for (const ms of TOO_LONG_MS) {
  test(`a timer of ${ms} ms does not fire at once`, async () => {
    let isFired = false;
    const undo = new SystemClock().setTimer(ms, () => isFired = true);
    await new Promise((resolve) => setTimeout(resolve, 30));
    undo();
    assert.equal(isFired, false);
  });
}

test("a timer fires after its time, and a timer that was undone does not", async () => {
  const clock = new SystemClock();
  let undone = 0;
  clock.setTimer(2, () => undone++)();
  await clock.sleep(5);
  assert.equal(undone, 0);
});

// Guards against checks that are never made again after one of them has failed.
test("a repeating timer goes on after a call that has thrown", () => {
  const clock = new ManualClock();
  let calls = 0;
  const undo = clock.setRepeating(10, () => {
    if (++calls === 1) throw new Error("odd");
  });
  assert.throws(() => clock.advance(10), /odd/);
  clock.advance(20);
  undo();
  assert.equal(calls, 3);
  clock.advance(100);
  assert.equal(calls, 3);
});
