import assert from "node:assert/strict";
import { test } from "node:test";
import { accountId, generationId } from "@wisteriapick/core";
import { SideAdmission, type SideAdmissionOptions } from "../src/mod.ts";
import { makeRequest } from "./fixtures.ts";

/** An admission whose engine has already been shown to sustain a full batch. */
function makeWarmAdmission(options: SideAdmissionOptions = {}): SideAdmission {
  return new SideAdmission({ cold: { initial: 64 }, ...options });
}

/** Runs a generation to its end, so that lengths are learned. */
function finish(admission: SideAdmission, n: number, tokens: number, nowMs: number): void {
  admission.recordTokens(generationId(`g${n}`), tokens, 25, nowMs);
  admission.recordEnd(generationId(`g${n}`), "done", nowMs);
}

// Work past its deadline would occupy the engine for a caller that no longer waits.
test("a request past its deadline never starts, neither when it is offered nor from the queue", () => {
  const admission = new SideAdmission();
  const expired = admission.offer(makeRequest(0, { deadlineMs: 10 }), 10);
  assert.deepEqual(expired, { type: "not_run", reason: "deadline_exceeded" });
  assert.equal(admission.offer(makeRequest(1), 10).type, "start");
  assert.equal(admission.offer(makeRequest(2, { deadlineMs: 300 }), 10).type, "queued");
  admission.recordEnd(generationId("g1"), "done", 400);
  const actions = admission.tick(400);
  assert.deepEqual(actions, [{ type: "not_run", gen: "g2", reason: "deadline_exceeded" }]);
});

// Counting only the memory in use now would admit a batch that outgrows memory and is preempted.
test("memory that running generations are forecast to need is not given to new ones", () => {
  const admission = makeWarmAdmission({ kvTotalTokens: 10_000, maxWaitMs: 0 });
  for (let n = 0; n < 40; n++) {
    admission.offer(makeRequest(n), 100 * n);
    finish(admission, n, 2_000, 100 * n);
  }
  let started = 0;
  for (let n = 100; n < 120; n++) {
    if (admission.offer(makeRequest(n), 10_000 + 100 * n).type === "start") started++;
  }
  // By their prompts alone all 20 would fit; at about 2,000 output tokens each, four or five do.
  assert.ok(started >= 3 && started <= 6, `${started} started`);
});

test("a refusal for lack of memory gives that reason and a time after which to retry", () => {
  const admission = makeWarmAdmission({ kvTotalTokens: 1_000, maxWaitMs: 0 });
  admission.offer(makeRequest(0, { promptTokens: 900 }), 0);
  const decision = admission.offer(makeRequest(1, { promptTokens: 900 }), 100);
  assert.equal(decision.type, "not_run");
  assert.ok(decision.type === "not_run" && decision.reason === "memory_pressure");
  assert.ok(decision.type === "not_run" && decision.retryAfterMs! >= 50);
});

// Without aging, a steady flow of short requests would keep a long one queued until its deadline.
test("queued requests start in order of expected length, and long ones do not starve", () => {
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
  // More short requests arrive; the long one has been queued long enough to start first.
  admission.offer(makeRequest(103, { account: tagger }), 1_900);
  admission.recordEnd(generationId("g102"), "done", 2_200);
  assert.deepEqual(admission.tick(2_200), [{ type: "start", gen: "g101" }]);
});

// An account with many long generations would fill memory and leave none for the other accounts.
test("an account far above its fair share leaves memory for the others", () => {
  const admission = makeWarmAdmission({
    kvTotalTokens: 20_000,
    maxWaitMs: 0,
    stepPromptTokens: 1e6,
  });
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

// Only requests that ran can have crashed the engine; those in the queue may be retried elsewhere at once.
test("a crash makes each running request a suspect and refuses queued requests as not run", () => {
  const admission = new SideAdmission();
  admission.offer(makeRequest(0), 0);
  admission.offer(makeRequest(1), 1);
  admission.recordEngineCrash(5);
  assert.equal(admission.quarantine.crashCount("d0", 6), 1);
  assert.equal(admission.quarantine.crashCount("d1", 6), 0);
  assert.deepEqual(admission.tick(6), [{ type: "not_run", gen: "g1", reason: "engine_failed" }]);
});

// If two suspects ran together, a second crash would not show which of them is poison.
test("two suspects never run at the same time, so that a second crash identifies the poison one", () => {
  const admission = makeWarmAdmission({ maxWaitMs: 0, stepPromptTokens: 1e6 });
  assert.equal(admission.offer(makeRequest(0, { suspectCrashes: 1 }), 0).type, "start");
  assert.equal(admission.offer(makeRequest(1, { suspectCrashes: 1 }), 1).type, "not_run");
  assert.equal(admission.offer(makeRequest(2), 1).type, "start");
  admission.recordTokens(generationId("g0"), 8, 25, 200);
  assert.equal(admission.offer(makeRequest(3, { suspectCrashes: 1 }), 201).type, "start");
});

test("a leaving side refuses new requests and its running generations continue", () => {
  const admission = makeWarmAdmission();
  admission.offer(makeRequest(0), 0);
  admission.setDraining(true);
  assert.deepEqual(admission.offer(makeRequest(1), 1), {
    type: "not_run",
    reason: "endpoint_leaving",
  });
  assert.equal(admission.load(1).running, 1);
});
