import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { MemoryMonitor } from "../src/observe/memory_monitor.ts";
import { MemoryLog } from "./fixtures.ts";

const MIB = 1_048_576;
const LIMIT_MB = 200;

function makeMonitor() {
  const clock = new ManualClock();
  const log = new MemoryLog();
  let resident: number | null = 0;
  const monitor = new MemoryMonitor({
    clock,
    log,
    memoryMb: LIMIT_MB,
    holdings: () => ({ connections: 3 }),
    residentBytes: () => resident === null ? null : resident * MIB,
  });
  const lines = () => log.events.filter(({ event }) => event === "memory_high");
  const checkAt = (mib: number) => {
    resident = mib;
    monitor.check();
    return lines().length;
  };
  return {
    clock,
    log,
    monitor,
    lines,
    checkAt,
    setResident: (mib: number | null) => resident = mib,
  };
}

// Guards against a process that was killed for its memory, and whose log does not say so.
test("each rise of memory by 16 MiB is reported with what is held", () => {
  const { checkAt, lines } = makeMonitor();
  assert.deepEqual([80, 90, 97, 60, 97, 113].map(checkAt), [1, 1, 2, 2, 2, 3]);
  const { residentMib, limitMib, isNear, connections } = lines().at(-1)!.fields;
  assert.deepEqual([residentMib, limitMib, isNear, connections], [113, LIMIT_MB, false, 3]);
});

test("memory near the limit is reported every 10 s, not at each check", () => {
  const { checkAt, clock } = makeMonitor();
  assert.equal(checkAt(180), 1);
  assert.equal(checkAt(181), 1);
  clock.advance(10_000);
  assert.equal(checkAt(181), 2);
});

test("memory is checked as bytes arrive, not by time alone", () => {
  const { monitor, lines, setResident } = makeMonitor();
  setResident(120);
  monitor.recordArrived(7 * MIB);
  assert.equal(lines().length, 0);
  monitor.recordArrived(MIB);
  assert.equal(lines().length, 1);
});

// Guards against a process that ends because all its descriptors are in use when its memory is to be read (FAULT).
test("memory that cannot be read is reported once", () => {
  const { monitor, log, setResident } = makeMonitor();
  setResident(null);
  for (let i = 0; i < 3; i++) monitor.check();
  assert.equal(log.count("memory_unreadable"), 1);
});
