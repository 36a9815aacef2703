import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayCensus } from "../src/mod.ts";

// Guards against a gateway behind a partition that divides limits by those that it reaches, while the others serve on.
test("gateways that are lost without an announced stop are counted for minutes", () => {
  const census = new GatewayCensus();
  for (let n = 0; n < 29; n++) census.recordSeen(`entry-${n}`, 0);
  assert.equal(census.count(60_000), 29);
  assert.equal(census.count(600_000), 0);
});

// Guards against shares that stay small after gateways were removed by plan.
test("gateways that announced their stop are counted until they could be back", () => {
  const census = new GatewayCensus();
  census.recordSeen("entry-2", 0);
  census.recordStop("entry-2", 5_000);
  assert.equal(census.count(24_000), 1);
  assert.equal(census.count(25_000), 0);
  census.recordNamed("entry-2", 25_000);
  assert.equal(census.count(25_000), 0, "lists name gateways that have ended");
  census.recordSeen("entry-2", 26_000);
  assert.equal(census.count(26_000), 1);
});

test("gateways are counted once they are named", () => {
  const census = new GatewayCensus();
  assert.equal(census.hasSeenAny, false);
  census.recordNamed("entry-2", 0);
  assert.equal(census.hasSeenAny, true);
  assert.equal(census.count(0), 1);
});
