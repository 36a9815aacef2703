import assert from "node:assert/strict";
import { test } from "node:test";
import { accountId, generationId } from "@wisteriapick/core";
import { SideAdmission, type SideAdmissionOptions } from "../src/mod.ts";
import { makeRequest } from "./fixtures.ts";

/** An admission that has already learned to bear a full batch. */
function makeWarm(options: SideAdmissionOptions = {}): SideAdmission {
  return new SideAdmission({ cold: { initial: 64 }, ...options });
}

/** Runs a generation to its end, so that lengths are learned. */
function finish(admission: SideAdmission, n: number, tokens: number, nowMs: number): void {
  admission.recordTokens(generationId(`g${n}`), tokens, 25, nowMs);
  admission.recordEnd(generationId(`g${n}`), "done", nowMs);
}

test("expired work never starts, neither at the offer nor from the queue", () => {
  const admission = new SideAdmission();
  const late = admission.offer(makeRequest(0, { deadlineMs: 10 }), 10);
  assert.deepEqual(late, { type: "not_run", reason: "deadline_exceeded" });
  assert.equal(admission.offer(makeRequest(1), 10).type, "start");
  assert.equal(admission.offer(makeRequest(2, { deadlineMs: 300 }), 10).type, "queued");
  admission.recordEnd(generationId("g1"), "done", 400);
  const actions = admission.tick(400);
  assert.deepEqual(actions, [{ type: "not_run", gen: "g2", reason: "deadline_exceeded" }]);
});

test("memory that running drafts will probably need is not given away", () => {
  const admission = makeWarm({ kvTotalTokens: 10_000, maxWaitMs: 0 });
  for (let n = 0; n < 40; n++) {
    admission.offer(makeRequest(n), 100 * n);
    finish(admission, n, 2_000, 100 * n);
  }
  let started = 0;
  for (let n = 100; n < 120; n++) {
    if (admission.offer(makeRequest(n), 10_000 + 100 * n).type === "start") started++;
  }
  // Prompts alone would let all 20 in; at about 2,000 tokens each, four or five fit.
  assert.ok(started >= 3 && started <= 6, `${started} started`);
});

test("a refusal names memory as the reason and an honest time to come back", () => {
  const admission = makeWarm({ kvTotalTokens: 1_000, maxWaitMs: 0 });
  admission.offer(makeRequest(0, { promptTokens: 900 }), 0);
  const decision = admission.offer(makeRequest(1, { promptTokens: 900 }), 100);
  assert.equal(decision.type, "not_run");
  assert.ok(decision.type === "not_run" && decision.reason === "memory_pressure");
  assert.ok(decision.type === "not_run" && decision.retryAfterMs! >= 50);
});

test("queued work starts in order of expected length, and long work is not starved", () => {
  const admission = new SideAdmission({ agingMs: 1_000, maxWaitMs: 10_000, stepPromptTokens: 1e6 });
  const tagger = accountId("tagger");
  for (let n = 0; n < 40; n++) {
    const account = n % 2 === 0 ? tagger : makeRequest(0).account;
    admission.offer(makeRequest(n, { account }), n);
    finish(admission, n, n % 2 === 0 ? 6 : 3_000, n);
  }
  admission.offer(makeRequest(100), 100);
  admission.offer(makeRequest(101), 100);
  admission.offer(makeRequest(102, { account: tagger }), 110);
  admission.recordEnd(generationId("g100"), "done", 120);
  assert.deepEqual(admission.tick(120), [{ type: "start", gen: "g102" }]);
  // More short work keeps coming; the draft has waited long enough to go first.
  admission.offer(makeRequest(103, { account: tagger }), 1_900);
  admission.recordEnd(generationId("g102"), "done", 2_200);
  assert.deepEqual(admission.tick(2_200), [{ type: "start", gen: "g101" }]);
});

test("a large account cannot keep a small one out of memory", () => {
  const admission = makeWarm({ kvTotalTokens: 20_000, maxWaitMs: 0, stepPromptTokens: 1e6 });
  const large = accountId("large");
  const small = (n: number) => accountId(`small-${n}`);
  for (let n = 0; n < 5; n++) {
    admission.offer(makeRequest(1_000 + n, { account: small(n) }), n);
    finish(admission, 1_000 + n, 200, n);
  }
  for (let n = 0; n < 200; n++) {
    admission.offer(makeRequest(n, { account: large }), 30 * n);
    admission.recordTokens(generationId(`g${n}`), 1, 25, 30 * n);
    if (n < 60) finish(admission, n, 400, 30 * n);
  }
  const refused = admission.offer(makeRequest(500, { account: large }), 6_100);
  assert.equal(refused.type, "not_run");
  assert.equal(admission.offer(makeRequest(501, { account: small(0) }), 6_100).type, "start");
});

test("a crash makes everything that ran suspect, and queued work is refused as not run", () => {
  const admission = new SideAdmission();
  admission.offer(makeRequest(0), 0);
  admission.offer(makeRequest(1), 1);
  admission.recordEngineCrash(5);
  assert.equal(admission.quarantine.crashCount("d0", 6), 1);
  assert.equal(admission.quarantine.crashCount("d1", 6), 0);
  assert.deepEqual(admission.tick(6), [{ type: "not_run", gen: "g1", reason: "engine_failed" }]);
});

test("two suspects never run beside each other, so that a second crash names the guilty one", () => {
  const admission = makeWarm({ maxWaitMs: 0, stepPromptTokens: 1e6 });
  assert.equal(admission.offer(makeRequest(0, { suspectCrashes: 1 }), 0).type, "start");
  assert.equal(admission.offer(makeRequest(1, { suspectCrashes: 1 }), 1).type, "not_run");
  assert.equal(admission.offer(makeRequest(2), 1).type, "start");
  admission.recordTokens(generationId("g0"), 8, 25, 200);
  assert.equal(admission.offer(makeRequest(3, { suspectCrashes: 1 }), 201).type, "start");
});

test("a leaving side refuses, and what it runs goes on", () => {
  const admission = makeWarm();
  admission.offer(makeRequest(0), 0);
  admission.setDraining(true);
  assert.deepEqual(admission.offer(makeRequest(1), 1), {
    type: "not_run",
    reason: "endpoint_leaving",
  });
  assert.equal(admission.load(1).running, 1);
});
