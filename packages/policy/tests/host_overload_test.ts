import assert from "node:assert/strict";
import { test } from "node:test";
import { canShedToOthers, HostOverload } from "../src/mod.ts";

test("a slowed host takes no new streams until it has kept up for a second", () => {
  const overload = new HostOverload();
  // Delays of a host that runs six times slower for four seconds, as it looks at the clock.
  for (let ms = 8_000; ms < 12_000; ms += 400) {
    overload.recordDelay(380, ms);
    assert.equal(overload.isOverloaded(ms + 399), true, `${ms}`);
  }
  overload.recordDelay(5, 12_100);
  assert.equal(overload.isOverloaded(12_500), true);
  assert.equal(overload.isOverloaded(12_601), false);
});

test("pauses of garbage collection turn nothing away", () => {
  const overload = new HostOverload();
  for (let ms = 0; ms < 5_000; ms += 500) {
    overload.recordDelay(120, ms);
    assert.equal(overload.isOverloaded(ms), false);
  }
});

test("where most hosts stand still together, as after a common restart, none turns streams away", () => {
  assert.equal(canShedToOthers({ total: 29, overloaded: 5 }), true);
  assert.equal(canShedToOthers({ total: 29, overloaded: 15 }), false);
  assert.equal(canShedToOthers({ total: 1, overloaded: 1 }), false);
  assert.equal(canShedToOthers({ total: 0, overloaded: 0 }), false);
});
