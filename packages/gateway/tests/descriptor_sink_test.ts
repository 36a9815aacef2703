import assert from "node:assert/strict";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { test } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { DescriptorSink } from "../src/observe/descriptor_sink.ts";

// Guards against lines that are still collected when a process whose log is a file ends.
test("a flush to a file is over when all lines are in it", async () => {
  const dir = mkdtempSync(`${tmpdir()}/wisteriapick-sink-test-`);
  const file = `${dir}/log`;
  const fd = openSync(file, "w");
  const sink = new DescriptorSink(new ManualClock(), fd);
  sink.write("first\n", 1);
  const flushed = [1, 2].map(() => new Promise<void>((resolve) => sink.flush(resolve)));
  sink.write("second\n", 1);
  await Promise.all(flushed);
  assert.equal(readFileSync(file, "utf8"), "first\nsecond\n");
  closeSync(fd);
  rmSync(dir, { recursive: true });
});
