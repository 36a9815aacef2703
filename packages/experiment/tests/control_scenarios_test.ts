import assert from "node:assert/strict";
import { test } from "node:test";
import { runVersions, VERSION_KINDS } from "../src/versions.ts";
import { runZone } from "../src/zone.ts";

const SHORT = { arrivalMs: 55_000, outAtMs: 30_000, backAtMs: 45_000 };

test("a data centre that is out gets no new work after 3 s, and what runs there ends whole", () => {
  for (const fault of ["none", "store_down", "silent_entry", "silent_centre"] as const) {
    for (const revisionOnRequests of fault.startsWith("silent") ? [true, false] : [true]) {
      const r = runZone({ seed: 2, fault, revisionOnRequests, ...SHORT });
      assert.ok(r.running_at_out > 0, "there was something to lose");
      assert.equal(r.running_completed, r.running_at_out);
      assert.ok(r.last_sent_s <= 3, `${fault}: ${r.last_sent_s} s`);
      assert.equal(r.cold_overloads, 0);
    }
  }
});

test("each kind of version has the outcome it deserves, and bad ones get little", async () => {
  for (const kind of VERSION_KINDS) {
    const r = await runVersions({ seed: 6, kind });
    assert.equal(r.outcome, kind === "good" ? "finished" : "taken_back", `${kind}: ${r.reason}`);
    if (kind === "good") {
      assert.ok(r.end_part <= 0.5, `finished at ${r.end_part}`);
      continue;
    }
    assert.ok(r.new_after_50_bad <= 0.01 * r.requests_after_50_bad, kind);
    assert.equal(r.new_5s_after_verdict, 0, kind);
  }
});

test("a version bad on one route is taken back although the traffic is little", async () => {
  const r = await runVersions({ seed: 1, kind: "bad_on_one_route", requestsPerSecond: 5 });
  assert.equal(r.outcome, "taken_back");
  assert.match(r.reason, /^bad version/);
});
