import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { ContainedClock, ErrorBoundary } from "../src/observe/error_boundary.ts";
import { GatewayMetrics } from "../src/observe/metrics.ts";
import { MemoryLog } from "./fixtures.ts";

function makeBoundary() {
  const clock = new ManualClock();
  const log = new MemoryLog();
  const metrics = new GatewayMetrics();
  return { clock, log, metrics, errors: new ErrorBoundary({ clock, log, metrics }) };
}

function raiseOdd(): never {
  throw new TypeError("odd");
}

test("an error ends its unit, is logged with its stack and is counted", async () => {
  const { errors, log, metrics } = makeBoundary();
  let ended = 0;
  errors.run("call", raiseOdd, () => ended++);
  assert.equal(ended, 1);
  const [{ event, fields }] = log.events as [typeof log.events[number]];
  assert.equal(event, "error_contained");
  assert.equal(fields.unit, "call");
  assert.match((fields.err as Error).stack!, /TypeError: odd\n.*raiseOdd/);
  assert.match(await metrics.text(), /contained_errors_total\{unit="call"\} 1/);
});

// Guards against an end of a unit that fails like the unit itself.
test("an error in the end of a unit is contained, too", async () => {
  const { errors, metrics } = makeBoundary();
  errors.run("stream", raiseOdd, raiseOdd);
  assert.match(await metrics.text(), /contained_errors_total\{unit="stream"\} 2/);
});

// Guards against a log that is full of one error, which an odd value may raise with every request.
test("errors of a unit have one line in a second, with their number", () => {
  const { errors, log, clock } = makeBoundary();
  for (let i = 0; i < 100; i++) errors.run("call", raiseOdd);
  assert.deepEqual(log.events.map(({ fields }) => fields.errors), [1]);
  errors.run("tick", raiseOdd);
  clock.advance(1_000);
  errors.run("call", raiseOdd);
  assert.deepEqual(log.events.map(({ fields }) => fields.errors), [1, 1, 100]);
});

test("a timer that fails ends neither other timers nor its own repetitions", () => {
  const { errors, log, clock } = makeBoundary();
  const contained = new ContainedClock(clock, errors);
  let calls = 0;
  const undo = contained.setRepeating(10, () => {
    calls++;
    raiseOdd();
  });
  contained.setTimer(15, () => calls += 100);
  clock.advance(30);
  undo();
  assert.equal(calls, 103);
  assert.equal(log.count("error_contained"), 1);
});

// Guards against a fault that is never seen, as another part of the same unit fails before it each time.
test("another error of a unit that fails all the time is logged, too", () => {
  const { errors, log, clock } = makeBoundary();
  const raiseOther = () => {
    throw new RangeError("other");
  };
  for (let i = 0; i < 100; i++) {
    errors.run("tick", raiseOdd, undefined, { part: "fleet" });
    errors.run("tick", raiseOther, undefined, { part: "moves" });
    clock.advance(100);
  }
  const parts = log.events.map(({ fields }) => fields.part);
  assert.ok(parts.includes("moves"));
});

// Guards against a log, and a memory, that grow with the names of those whose messages fail.
test("parts of a unit beyond a bound share one line in a second", () => {
  const { errors, log, clock } = makeBoundary();
  for (let i = 0; i < 5_000; i++) {
    errors.run("peer_message", raiseOdd, undefined, { peer: `p${i}` });
  }
  const lines = log.count("error_contained");
  assert.ok(lines <= 201, `${lines} lines`);
  clock.advance(1_000);
  errors.run("peer_message", raiseOdd, undefined, { peer: "another" });
  assert.equal(log.events.at(-1)!.fields.peer, "another");
});

// Guards against a request that is not ended, as what was raised in it cannot be counted or has no text (LOST).
test("an error that cannot be counted, or has no text, is logged and ends its unit", () => {
  const { clock, log } = makeBoundary();
  const metrics = { countContainedError: raiseOdd };
  const errors = new ErrorBoundary({ clock, log, metrics });
  let ended = 0;
  errors.run("call", () => {
    throw Object.create(null);
  }, () => ended++);
  assert.equal(ended, 1);
  assert.deepEqual(log.events.map(({ fields }) => fields.isCounting), [true, undefined]);
});

// Guards against a request that is not ended, as the sink of the log fails, which ends the process (LOST).
test("a unit is ended although its error cannot be logged", () => {
  const { clock, log } = makeBoundary();
  log.state = raiseOdd;
  const errors = new ErrorBoundary({ clock, log });
  let ended = 0;
  assert.throws(() => errors.run("call", raiseOdd, () => ended++), /odd/);
  assert.equal(ended, 1);
});
