import assert from "node:assert/strict";
import { test } from "node:test";
import { canShedToOthers, HostOverload } from "../src/mod.ts";

test("a slowed host accepts no new streams until it has had no stall for a second", () => {
  const overload = new HostOverload();
  // Scheduling delays measured by a host that is six times slower for four seconds.
  for (let ms = 8_000; ms < 12_000; ms += 400) {
    overload.recordDelay(380, ms);
    assert.equal(overload.isOverloaded(ms + 399), true, `${ms}`);
  }
  overload.recordDelay(5, 12_100);
  assert.equal(overload.isOverloaded(12_500), true);
  assert.equal(overload.isOverloaded(12_601), false);
});

test("pauses of garbage collection do not count as overload", () => {
  const overload = new HostOverload();
  for (let ms = 0; ms < 5_000; ms += 500) {
    overload.recordDelay(120, ms);
    assert.equal(overload.isOverloaded(ms), false);
  }
});

// Streams that each host sheds to other overloaded hosts would find no host at all.
test("where most hosts stall together, as after a common restart, none sheds its streams", () => {
  assert.equal(canShedToOthers({ total: 29, overloaded: 5 }), true);
  assert.equal(canShedToOthers({ total: 29, overloaded: 15 }), false);
  assert.equal(canShedToOthers({ total: 1, overloaded: 1 }), false);
  assert.equal(canShedToOthers({ total: 0, overloaded: 0 }), false);
});
