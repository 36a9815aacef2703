import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { makeKeyLease, MemoryLog } from "./fixtures.ts";

const REVOKE_MS = 1_000;

// Guards against refusals without a line that says why: requests see the state of the lease at once, its lines come with
// the next tick, and a confirmation may come between the two.
test("the state that a confirmation ends is logged before it", () => {
  for (const [ageMs, state] of [[900, "ending"], [1_100, "ended"]] as const) {
    const clock = new ManualClock();
    const log = new MemoryLog();
    const { keys, elapsed } = makeKeyLease({ clock, log, revokeMs: REVOKE_MS });
    keys.confirm(elapsed.now(), "store");
    keys.tick();
    clock.advance(ageMs);
    assert.equal(keys.state, state);
    keys.confirm(elapsed.now(), "store");
    const lines = log.events.map(({ event }) => event).filter((e) => e !== "key_lease_near_end");
    assert.deepEqual(lines, ["key_lease_held", `key_lease_${state}`, "key_lease_held"]);
  }
});
