import assert from "node:assert/strict";
import { test } from "node:test";
import { runVersions, VERSION_KINDS } from "../src/versions.ts";
import { runZone } from "../src/zone.ts";

const SHORT = { arrivalMs: 55_000, outAtMs: 30_000, backAtMs: 45_000 };

// Guards against entries that miss the state `out`, because the store is down or connections are silent, and keep
// sending requests to the data centre, and against cutting off requests in progress there.
test("a data centre that is out gets no new requests after 3 s, and those in progress complete", () => {
  for (const fault of ["none", "store_down", "silent_entry", "silent_centre"] as const) {
    for (const revisionOnRequests of fault.startsWith("silent") ? [true, false] : [true]) {
      const r = runZone({ seed: 2, fault, revisionOnRequests, ...SHORT });
      assert.ok(r.running_at_out > 0, "no request was in progress when the data centre went out");
      assert.equal(r.running_completed, r.running_at_out);
      assert.ok(r.last_sent_s <= 3, `${fault}: ${r.last_sent_s} s`);
      assert.equal(r.cold_overloads, 0);
    }
  }
});

// Guards against taking back a good version, and against finishing a bad one or sending it more than 1 % of the
// requests after its first 50 bad responses.
test("a good version finishes; a bad one of each kind is taken back and gets few requests", async () => {
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

// Guards against a sequential test that needs more evidence than 5 requests per second give within the move.
test("a version that is bad on one route is taken back at low traffic", async () => {
  const r = await runVersions({ seed: 1, kind: "bad_on_one_route", requestsPerSecond: 5 });
  assert.equal(r.outcome, "taken_back");
  assert.match(r.reason, /^bad version/);
});
