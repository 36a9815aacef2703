import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "node:test";
import { ManualClock, SystemClock } from "@wisteriapick/core";
import { LoopMonitor, POLL_INTERVAL_MS } from "../src/observe/loop_monitor.ts";
import { MemoryLog } from "./fixtures.ts";

test("a process that keeps up has no stall, one that was held up knows for how long", () => {
  const clock = new ManualClock();
  const monitor = new LoopMonitor(clock, new MemoryLog());
  monitor.start();
  for (let i = 0; i < 10; i++) clock.advance(POLL_INTERVAL_MS);
  assert.equal(monitor.stallMs(), 0);
  const held = new ManualClock();
  const late = new LoopMonitor(held, new MemoryLog());
  held.advance(900);
  assert.equal(late.stallMs(), 900 - POLL_INTERVAL_MS);
});

test("a caller that left during a stall is known to have left when its request is looked at", async () => {
  const monitor = new LoopMonitor(new SystemClock(), new MemoryLog());
  const seen: string[] = [];
  const server = createServer((socket) => {
    socket.on("data", () => monitor.afterNextPoll(() => seen.push("dispatch")));
    socket.on("end", () => seen.push("left"));
    socket.on("error", () => seen.push("left"));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
  await once(caller, "connect");
  caller.end("GET / HTTP/1.1\r\n\r\n");
  await once(caller, "finish");
  const until = Date.now() + 60;
  while (Date.now() < until); // The loop stands still while both arrive.
  await new Promise((resolve) => setTimeout(resolve, 30));
  assert.deepEqual(seen, ["left", "dispatch"]);
  server.close();
});
