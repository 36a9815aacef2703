import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogger, SystemClock, toWpError } from "@wisteriapick/core";
import { startLocal } from "@wisteriapick/daemon";
import { parseLoadArgs } from "../src/load/load_command.ts";
import { planLoad } from "../src/load/load_plan.ts";
import { loadReportHtml } from "../src/load/load_report.ts";
import { LoadRun } from "../src/load/load_runner.ts";
import { StallMeter } from "../src/load/load_stats.ts";

function args(parts: Record<string, unknown> = {}) {
  return {
    url: "http://127.0.0.1:8080",
    accounts: "museum-shop=local-museum-shop:3,elmina-shop=local-elmina-shop",
    services: "scribe=3,counter/plain=1",
    lengths: "short=1",
    rate: "40",
    duration: "0.5",
    requests: "15",
    open: "100",
    seed: "1",
    ...parts,
  };
}

test("the same seed gives the same requests within the bounds", () => {
  const options = parseLoadArgs(args());
  const plan = [...planLoad(options)];
  assert.deepEqual(plan, [...planLoad(options)]);
  assert.ok(plan.length <= 15 && plan.every((r) => r.atMs < 500));
  assert.notDeepEqual(plan, [...planLoad({ ...options, seed: 2 })]);
});

// Guards against load being sent to somebody else's machine by a mistyped address.
test("addresses that are not loopback need a flag", () => {
  for (
    const url of ["http://10.0.0.1:80", "http://example.test", "http://127.0.0.1.example.test"]
  ) {
    assert.throws(() => parseLoadArgs(args({ url })), (e) => toWpError(e).type === "settings");
    assert.equal(parseLoadArgs(args({ url, "allow-remote": true })).url, url);
  }
  for (const bad of [{ rate: "0" }, { duration: "1e9" }, { lengths: "huge=1" }]) {
    assert.throws(() => parseLoadArgs(args(bad)), (e) => toWpError(e).type === "settings");
  }
});

// Guards against another definition of stall than that of the design page.
test("stall is the wait beyond 340 ms and each later gap beyond 49 ms", () => {
  const meter = new StallMeter(0);
  for (const atMs of [400, 440, 500]) meter.record(atMs);
  assert.equal(meter.stallMs, 60 + 0 + 11);
});

// Guards against requests that vanish from the result.
test("every request of a run against the local system is accounted for", async () => {
  const system = await startLocal({
    port: 0,
    log: createLogger("test", { level: "silent" }),
  });
  try {
    const result = await new LoadRun(parseLoadArgs(args({ url: system.url })), new SystemClock())
      .run();
    const problems = Object.values(result.total.problems).reduce((a, b) => a + b, 0);
    assert.equal(result.total.sent + result.notSent, [...planLoad(parseLoadArgs(args()))].length);
    assert.equal(result.total.completed + problems, result.total.sent);
    assert.ok(result.total.completed > 0);
    const services = Object.values(result.services);
    assert.equal(services.reduce((sum, s) => sum + s.sent, 0), result.total.sent);
    const html = loadReportHtml(result);
    assert.ok(html.includes("<svg") && !html.includes("local-museum-shop"));
  } finally {
    await system.close();
  }
});
