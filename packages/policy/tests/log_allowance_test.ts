import assert from "node:assert/strict";
import { test } from "node:test";
import { DEFAULT_LINE_RATES, LogAllowance, MAX_SUMMED_ID_LENGTH } from "../src/log_allowance.ts";

const CALLERS = 150;
const RETURN_MS = 20;
const LOAD_MS = 4_000;
const SENT_EVERY_MS = 5;
const LINES_OF_A_REQUEST = 3;
const REPORT_MS = 1_000;

// Guards against refusals that take the lines of requests that ran: 150 callers return at once to a stopping entry.
test("every request that was sent to an endpoint has its lines, whatever is refused beside it", () => {
  const allowance = new LogAllowance(0);
  let refusals = 0;
  let refusalLines = 0;
  let summed = 0;
  let sumLines = 0;
  for (let nowMs = 0; nowMs <= LOAD_MS; nowMs++) {
    for (let i = nowMs % RETURN_MS; i < CALLERS; i += RETURN_MS) {
      refusals++;
      const line = { reason: "request_rejected/draining", requestId: `r-${nowMs}-${i}` };
      if (allowance.takeRefusal(line, nowMs)) refusalLines++;
    }
    for (let i = 0; nowMs % SENT_EVERY_MS === 0 && i < LINES_OF_A_REQUEST; i++) {
      assert.ok(allowance.take("passed_on", nowMs), `a line was dropped at ${nowMs} ms`);
    }
    if (nowMs % REPORT_MS !== 0 || !allowance.hasLeftOut) continue;
    const { sums, dropped } = allowance.takeLeftOut();
    assert.deepEqual(dropped, {});
    for (const { count, requestIds, firstAtMs, lastAtMs } of sums) {
      sumLines++;
      summed += count;
      const idLength = requestIds.reduce((n, id) => n + id.length + 3, 0);
      assert.ok(idLength <= MAX_SUMMED_ID_LENGTH && idLength > 0.9 * MAX_SUMMED_ID_LENGTH);
      assert.ok(firstAtMs >= nowMs - REPORT_MS && lastAtMs <= nowMs && firstAtMs < lastAtMs);
    }
  }
  assert.ok(refusals > 29_000);
  assert.equal(refusalLines + summed, refusals);
  const seconds = LOAD_MS / 1_000;
  assert.ok(refusalLines <= (seconds + 1) * DEFAULT_LINE_RATES.refused);
  assert.equal(sumLines, seconds);
});

// Guards against sums whose size callers or their number of reasons determine.
test("the size of the sums is bounded for any ids and reasons", () => {
  const allowance = new LogAllowance(0, { passed_on: 0, unanswered: 0, refused: 0 });
  for (let i = 0; i < 5_000; i++) {
    allowance.takeRefusal({ reason: `reason-${i}`, requestId: "x".repeat(5_000) }, i);
  }
  const { sums } = allowance.takeLeftOut();
  assert.equal(sums.reduce((n, { count }) => n + count, 0), 5_000);
  assert.ok(sums.length <= 33);
  assert.ok(JSON.stringify(sums).length < 30_000);
});

test("what is dropped is counted by importance, once", () => {
  const allowance = new LogAllowance(0, { passed_on: 1, unanswered: 2, refused: 0 });
  for (let i = 0; i < 4; i++) allowance.take("passed_on", 0);
  for (let i = 0; i < 3; i++) allowance.take("unanswered", 0);
  allowance.recordDropped("refused");
  assert.deepEqual(allowance.takeLeftOut().dropped, { passed_on: 3, unanswered: 1, refused: 1 });
  assert.equal(allowance.hasLeftOut, false);
});

test("sums that could not be written are counted in a later report", () => {
  const allowance = new LogAllowance(0, { passed_on: 0, unanswered: 0, refused: 0 });
  const line = { reason: "draining", requestId: "r-1" };
  for (const nowMs of [5, 9]) allowance.takeRefusal(line, nowMs);
  const { sums } = allowance.takeLeftOut();
  allowance.takeRefusal(line, 1_200);
  allowance.restore(sums);
  const [sum] = allowance.takeLeftOut().sums;
  assert.deepEqual([sum!.count, sum!.firstAtMs, sum!.lastAtMs], [3, 5, 1_200]);
});
