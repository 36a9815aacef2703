import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { createDecisionLog, SUM_INTERVAL_MS } from "../src/observe/decision_log.ts";

const CALLERS = 150;
const RETURN_MS = 20;
const LOAD_MS = 3_000;

function makeLog({ hasRoom = () => true }: { readonly hasRoom?: () => boolean } = {}) {
  const clock = new ManualClock();
  const lines: Record<string, unknown>[] = [];
  const write = (line: string) => {
    if (!hasRoom()) return false;
    lines.push(JSON.parse(line) as Record<string, unknown>);
    return true;
  };
  const log = createDecisionLog({ name: "entry", clock, sink: { write } });
  return { clock, lines, log };
}

// Guards against lines of requests that ran which are dropped as others are refused fifty times a second.
test("requests that were sent keep their lines beside 150 callers that return at once", () => {
  const { clock, lines, log } = makeLog();
  const sent: string[] = [];
  let refused = 0;
  for (let ms = 0; ms < LOAD_MS; ms++) {
    for (let i = ms % RETURN_MS; i < CALLERS; i += RETURN_MS) {
      log.request("request_rejected", { req: `r-${refused++}`, reason: "draining" });
      log.request("request_over", { req: `n-${refused}`, detail: "no_endpoint", sends: 0 });
    }
    if (ms % RETURN_MS === 0) {
      const req = `s-${ms}`;
      sent.push(req);
      log.request("run_placed", { req });
      log.request("run_sent", { req });
      log.request("request_over", { req, outcome: "rejected", detail: "overloaded", sends: 1 });
    }
    clock.advance(1);
  }
  clock.advance(SUM_INTERVAL_MS);
  for (const id of sent) {
    const events = lines.filter(({ req }) => req === id).map(({ msg }) => msg);
    assert.deepEqual(events, ["run_placed", "run_sent", "request_over"], id);
  }
  assert.equal(lines.some(({ msg }) => msg === "log_lines_dropped"), false);
  const sums = lines.filter(({ msg }) => msg === "refusals_summed");
  for (const reason of ["request_rejected/draining", "request_over/no_endpoint"]) {
    const own = lines.filter((l) => reason === `${l.msg}/${l.reason ?? l.detail}`).length;
    const summed = sums.filter((l) => l.reason === reason);
    assert.equal(summed.length, LOAD_MS / SUM_INTERVAL_MS);
    assert.equal(own + summed.reduce((n, l) => n + Number(l.count), 0), refused);
  }
});

// Guards against drops that are never reported, as the report itself is dropped.
test("what a sink without room has dropped is reported when it has room again", () => {
  let hasRoom = false;
  const { clock, lines, log } = makeLog({ hasRoom: () => hasRoom });
  log.request("call_sent", { req: "a" });
  log.request("request_rejected", { req: "b", reason: "draining" });
  log.state("stopping", {});
  clock.advance(SUM_INTERVAL_MS);
  hasRoom = true;
  log.flush(() => {});
  const [line] = lines;
  assert.equal(line!.msg, "log_lines_dropped");
  assert.deepEqual([line!.lines, line!.passed_on, line!.refused, line!.state], [3, 1, 1, 1]);
});
