import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogger, SystemClock, toWpError } from "@wisteriapick/core";
import { startLocal } from "@wisteriapick/daemon";
import { parseLoadArgs } from "../src/load/load_command.ts";
import { planLoad } from "../src/load/load_plan.ts";
import { loadReportHtml } from "../src/load/load_report.ts";
import { LoadRun } from "../src/load/load_runner.ts";
import { StallMeter } from "../src/load/load_stats.ts";

function args(overrides: Record<string, unknown> = {}) {
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
    ...overrides,
  };
}

// Guards against runs that cannot be reproduced, and against exceeding the limits of requests and duration.
test("the same seed plans the same requests within the limits", () => {
  const options = parseLoadArgs(args());
  const plan = [...planLoad(options)];
  assert.deepEqual(plan, [...planLoad(options)]);
  assert.ok(plan.length <= 15 && plan.every((r) => r.atMs < 500));
  assert.notDeepEqual(plan, [...planLoad({ ...options, seed: 2 })]);
});

// Guards against a mistyped address that sends load to a machine of somebody else, and against unlimited options.
test("non-loopback addresses need --allow-remote and options stay within their limits", () => {
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

// Guards against a definition of stall that differs from the design page.
test("stall is the first-token time beyond 340 ms plus each gap beyond 49 ms", () => {
  const meter = new StallMeter(0);
  for (const atMs of [400, 440, 500]) meter.record(atMs);
  assert.equal(meter.stallMs, 60 + 0 + 11);
});

// Guards against requests that are missing from the result, and against API keys in the report.
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
