import assert from "node:assert/strict";
import { test } from "node:test";
import { HostSpeed } from "../src/mod.ts";

const POLL_MS = 50;
const PERIOD_MS = 100;

/** Replays a process that is paused for the first part of each 100 ms and is busy for a fraction of the rest. */
function replay(pausedMs: number, busy: number, { lengthMs = 5_000, fromMs = 0 } = {}) {
  const speed = new HostSpeed();
  for (let nowMs = fromMs; nowMs <= fromMs + lengthMs; nowMs += POLL_MS) {
    const cpuMs = (nowMs - fromMs) * busy * (1 - pausedMs / PERIOD_MS);
    // A pause that interrupts work counts as work.
    speed.record({ nowMs, activeMs: (nowMs - fromMs) * busy, cpuMs });
  }
  return speed;
}

test("a quota slows work by the share that it takes away, however short its pauses are", () => {
  for (const [pausedMs, expected] of [[0, 1], [50, 2], [70, 10 / 3], [75, 4]] as const) {
    const { slowdown, utilisation } = replay(pausedMs, 0.9);
    assert.ok(Math.abs(slowdown - expected) < 0.01, `${pausedMs} ms: ${slowdown}`);
    assert.ok(Math.abs(utilisation - 0.9) < 0.01);
  }
});

// Guards against a process that keeps much of its grace period for one stall, or for the little work of its first poll.
test("neither a stall nor a process that did almost nothing counts as slow work", () => {
  assert.equal(replay(0, 0.002).slowdown, 1);
  assert.equal(new HostSpeed().slowdown, 1);
  const speed = replay(0, 0.5);
  speed.record({ nowMs: 60_000, activeMs: 57_500, cpuMs: 2_600 });
  assert.equal(speed.slowdown, 5);
  for (let i = 1; i <= 80; i++) {
    speed.record({ nowMs: 60_000 + i * POLL_MS, activeMs: 57_500 + i * 25, cpuMs: 2_600 + i * 25 });
  }
  assert.ok(speed.slowdown < 1.01, `${speed.slowdown}`);
});
