import assert from "node:assert/strict";
import { test } from "node:test";
import { canTakeWhileStopping, StopDeadline } from "../src/mod.ts";

const GRACE_MS = 8_000;
const POLL_MS = 50;

/**
 * Replays a process that polls every 50 ms and is stalled from time to time. The order to stop is sent at `sentAtMs`
 * and handled at the first poll afterwards.
 *
 * Returns the times since the order was sent at which the last responses are written and connections are closed.
 */
function replay(
  { sentAtMs, stalls }: {
    readonly sentAtMs: number;
    readonly stalls: readonly { readonly atMs: number; readonly ms: number }[];
  },
) {
  const deadline = new StopDeadline({ graceMs: GRACE_MS });
  let lastPollMs = 0;
  let answeredAtMs: number | null = null;
  for (;;) {
    const stall = stalls.find(({ atMs }) => atMs >= lastPollMs && atMs < lastPollMs + POLL_MS);
    const now = stall === undefined ? lastPollMs + POLL_MS : stall.atMs + stall.ms;
    const delayMs = now - lastPollMs - POLL_MS;
    deadline.recordPoll(delayMs, now);
    if (!deadline.hasBegun && now >= sentAtMs) deadline.begin(now, delayMs);
    if (deadline.remainingMs(now) <= 0) answeredAtMs ??= now;
    if (deadline.closesInMs(now) <= 0) {
      return { answeredMs: answeredAtMs! - sentAtMs, closedMs: now - sentAtMs };
    }
    lastPollMs = now;
  }
}

test("a process without stalls uses its grace period but for a quarter of a second", () => {
  const { answeredMs, closedMs } = replay({ sentAtMs: 1_010, stalls: [] });
  assert.ok(answeredMs >= GRACE_MS - 300 && answeredMs <= GRACE_MS - 150, `${answeredMs}`);
  assert.ok(closedMs <= GRACE_MS - POLL_MS, `${closedMs}`);
});

// Guards against a grace period that is counted from the handling of the order to stop, upon which a process that was
// stalled when the order came is killed with its requests in progress (LOST).
test("an order to stop that came during a stall is counted from the beginning of the stall", () => {
  for (const ms of [300, 700, 1_500, 3_000]) {
    const stalls = [{ atMs: 1_020, ms }];
    const { answeredMs } = replay({ sentAtMs: 1_030, stalls });
    assert.ok(answeredMs < GRACE_MS, `stalled for ${ms} ms, responds after ${answeredMs} ms`);
  }
});

// Guards against a process on a weak host that stalls as it is about to write its last responses (LOST).
test("a host that stalls from time to time responds before it is killed", () => {
  const sentAtMs = 5_010;
  for (const ms of [150, 300, 450]) {
    for (let shift = 0; shift < 900; shift += 30) {
      const stalls = [];
      for (let atMs = shift; atMs < 20_000; atMs += 900) stalls.push({ atMs, ms });
      const { answeredMs } = replay({ sentAtMs, stalls });
      assert.ok(answeredMs < GRACE_MS, `stalls of ${ms} ms, responds after ${answeredMs} ms`);
    }
  }
});

/**
 * Replays the end of a process under a quota that pauses it for the first part of each 100 ms: from the moment at which
 * its requests must be responded to, it reads and refuses one on each connection, then closes them and exits. Times are
 * processor time of a whole core. Returns the time since the order at which it has exited.
 */
function replayQuota(pausedMs: number, connections: number): number {
  const refusalsMs = 50 + 0.8 * connections;
  const exitMs = 50;
  const slowdown = 100 / (100 - pausedMs);
  const deadline = new StopDeadline({ graceMs: GRACE_MS });
  const elapsed = (workMs: number) => workMs * slowdown;
  deadline.recordLoad({ slowdown, connections });
  deadline.begin(0, 0);
  let nowMs = 0;
  while (deadline.refusesInMs(nowMs) > 0) {
    nowMs += 2 * POLL_MS;
    deadline.recordPoll(pausedMs, nowMs);
    // Callers that were told to leave connect again, and most of them queue.
    deadline.recordLoad({ slowdown, connections: 5 });
  }
  nowMs += elapsed(refusalsMs);
  nowMs = Math.max(nowMs, nowMs + deadline.closesInMs(nowMs));
  return nowMs + elapsed(exitMs);
}

// Guards against a reserve that follows the longest pause alone: those of a quota are short, and all work takes several
// times as long as on a whole core (LOST).
test("a process under a quota refuses what waits and exits before it is killed", () => {
  for (const pausedMs of [0, 50, 70, 75]) {
    for (const connections of [15, 40, 60, 200, 280]) {
      const exitedMs = replayQuota(pausedMs, connections);
      assert.ok(exitedMs < GRACE_MS, `${pausedMs} ms, ${connections}: exits after ${exitedMs} ms`);
    }
  }
});

// Guards against a stopping process that refuses what it can serve: each kept connection counted as one with a request
// to read, however long it had been idle.
test("idle connections keep a stopping process neither from taking requests nor from responding", () => {
  for (const slowdown of [1, 2, 5]) {
    const deadline = new StopDeadline({ graceMs: GRACE_MS });
    const load = { slowdown, connections: 2_000, busyConnections: 20 };
    deadline.recordLoad(load);
    deadline.begin(0, 0);
    deadline.recordLoad({ ...load, busyConnections: 5 });
    assert.equal(deadline.turnMs, slowdown * 20);
    for (const nowMs of [0, 1_000, 2_500, 2_900]) {
      const remainingMs = deadline.remainingMs(nowMs);
      const { turnMs } = deadline;
      const request = { sinceStopMs: nowMs, remainingMs, usualMs: 100, longestMs: 6_000, turnMs };
      assert.ok(canTakeWhileStopping(request), `slowdown ${slowdown}, refused after ${nowMs} ms`);
    }
  }
});

// A stream that has begun loses its rest in any case, and is excused in the last sixth of the grace period only.
test("responses that have begun go on into the last sixth of the grace period", () => {
  for (const ms of [0, 300, 700, 1_500, 3_000]) {
    // Handled at the end of the stall, and sent just before it: the whole stall was in vain.
    const stalls = ms === 0 ? [] : [{ atMs: 1_020, ms }];
    const { closedMs } = replay({ sentAtMs: 1_020 + ms, stalls });
    assert.ok(closedMs >= GRACE_MS * 5 / 6, `stalled for ${ms} ms, closes after ${closedMs} ms`);
  }
});

test("no load makes a process end its requests before the last sixth of the grace period", () => {
  const deadline = new StopDeadline({ graceMs: GRACE_MS });
  deadline.recordLoad({ slowdown: 5, connections: 4_000 });
  deadline.begin(0, 0);
  deadline.recordPoll(900, 100);
  assert.equal(Math.round(deadline.remainingMs(100)), Math.round(GRACE_MS * 5 / 6) - 100);
  assert.ok(deadline.closesInMs(100) > deadline.remainingMs(100));
  // What has not been passed on loses nothing by an earlier refusal.
  assert.equal(deadline.refusesInMs(100), GRACE_MS * 3 / 4 - 100);
});

test("a stall of long ago keeps no time in reserve", () => {
  const deadline = new StopDeadline({ graceMs: GRACE_MS });
  deadline.recordPoll(400, 1_000);
  deadline.recordPoll(10, 5_000);
  deadline.begin(12_000, 0);
  assert.equal(deadline.remainingMs(12_000), GRACE_MS - 250 - 2 * 10);
});

// Guards against an end that waits for the reader of the log until the process is killed.
test("a stalled process is killed that much sooner after it has handled the order to stop", () => {
  const deadline = new StopDeadline({ graceMs: 8_000 });
  assert.equal(deadline.killedInMs(1_000), Infinity);
  deadline.begin(1_000, 600);
  assert.equal(deadline.killedInMs(1_000), 7_400);
  assert.equal(deadline.killedInMs(8_900), -500);
});
