import assert from "node:assert/strict";
import { test } from "node:test";
import { DecisionLog } from "../src/observe/decision_log.ts";
import { runInBackground } from "../src/observe/background_task.ts";
import { GatewayMetrics } from "../src/observe/metrics.ts";

class RecordingLog extends DecisionLog {
  readonly lines: [string, Record<string, unknown>][] = [];

  override request(event: string, fields: Record<string, unknown>): void {
    this.lines.push([event, fields]);
  }

  override state(event: string, fields: Record<string, unknown>): void {
    this.lines.push([event, fields]);
  }
}

// Guards against a rejection that nothing handles, which ends the process and all requests in progress (FAULT).
test("a task that fails is logged, and nothing else ends with it", async () => {
  const log = new RecordingLog();
  const metrics = new GatewayMetrics();
  runInBackground({ log, metrics }, "report", () => Promise.reject(new Error("odd field")));
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(log.lines.length, 1);
  const [event, { task, err }] = log.lines[0]!;
  assert.equal(event, "task_failed");
  assert.equal(task, "report");
  assert.match((err as Error).message, /odd field/);
  assert.match(await metrics.text(), /contained_errors_total\{unit="task"\} 1/);
});
