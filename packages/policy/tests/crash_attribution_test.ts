import assert from "node:assert/strict";
import { test } from "node:test";
import { contentTrait, CrashAttribution, segmentTrait } from "../src/mod.ts";

const [FIRST, VARIANT, DEADLY, OTHER] = ["a0", "b0", "dd", "c0"].map(segmentTrait) as [
  ReturnType<typeof segmentTrait>,
  ReturnType<typeof segmentTrait>,
  ReturnType<typeof segmentTrait>,
  ReturnType<typeof segmentTrait>,
];

let nextRequest = 1;

/** Records a crash at which one request with `traits` had just begun. */
function crash(
  attribution: CrashAttribution,
  atMs: number,
  traits: readonly ReturnType<typeof segmentTrait>[],
  options: Partial<Parameters<CrashAttribution["recordCrash"]>[0]> = {},
): void {
  const request = `r-${nextRequest++}`;
  const suspect = { crash: `crash-${atMs}`, request, atMs, hasBegun: true, isTrial: false, traits };
  attribution.recordCrash({ ...suspect, ...options }, atMs);
}

// Guards against the incident BUDGET: no two requests are alike, and each crashes an endpoint.
test("a segment is refused after its second crash, and its harmless companions are not", () => {
  const attribution = new CrashAttribution();
  attribution.recordHarmless(FIRST, 0);
  crash(attribution, 1_000, [FIRST, VARIANT, DEADLY]);
  assert.equal(attribution.verdict([FIRST, VARIANT, DEADLY], 1_001).type, "trial");
  assert.equal(attribution.verdict([FIRST], 1_001).type, "free");
  attribution.recordHarmless(VARIANT, 1_500);
  crash(attribution, 2_000, [FIRST, VARIANT, DEADLY], { isTrial: true });
  assert.equal(attribution.verdict([FIRST, OTHER, DEADLY], 2_001).type, "refused");
  assert.equal(attribution.verdict([FIRST, VARIANT], 2_001).type, "free");
});

// Guards against refusing a harmless segment that so far was only in requests that crash.
test("a request with only some of the segments that were at all crashes is tried", () => {
  const attribution = new CrashAttribution();
  for (const atMs of [1_000, 2_000]) crash(attribution, atMs, [FIRST, VARIANT, DEADLY]);
  assert.equal(attribution.verdict([FIRST, VARIANT, DEADLY], 2_001).type, "refused");
  assert.equal(attribution.verdict([FIRST, VARIANT], 2_001).type, "trial");
  attribution.recordHarmless(FIRST, 2_100);
  attribution.recordHarmless(VARIANT, 2_100);
  assert.equal(attribution.verdict([FIRST, VARIANT], 2_101).type, "free");
  assert.equal(attribution.verdict([OTHER, DEADLY], 2_101).type, "refused");
});

// Guards against a harmful segment late in a long prompt that is never looked at.
test("a segment behind many others is refused", () => {
  const attribution = new CrashAttribution();
  const before = Array.from({ length: 30 }, (_, i) => segmentTrait(`s${i}`));
  for (const trait of before) attribution.recordHarmless(trait, 0);
  for (const atMs of [1_000, 2_000]) crash(attribution, atMs, [...before, DEADLY]);
  assert.equal(attribution.verdict([...before, DEADLY], 2_001).type, "refused");
  assert.equal(attribution.verdict(before, 2_001).type, "free");
});

test("two segments that crash endpoints are both refused", () => {
  const attribution = new CrashAttribution();
  for (const atMs of [1_000, 3_000]) {
    crash(attribution, atMs, [FIRST, DEADLY]);
    crash(attribution, atMs + 1_000, [FIRST, OTHER]);
    attribution.recordHarmless(FIRST, atMs + 1_500);
  }
  assert.equal(attribution.verdict([DEADLY], 5_000).type, "refused");
  assert.equal(attribution.verdict([OTHER], 5_000).type, "refused");
  assert.equal(attribution.verdict([FIRST], 5_000).type, "free");
});

// Guards against accusing what has run well for long, and against never accusing it.
test("a segment that ran well shortly before crashes is refused only after several of them", () => {
  const attribution = new CrashAttribution();
  attribution.recordHarmless(DEADLY, 900);
  for (const [i, atMs] of [1_000, 2_000, 3_000, 4_000].entries()) {
    const type = attribution.verdict([DEADLY], atMs - 1).type;
    assert.equal(type, i < 3 ? "free" : "trial", `before crash ${i + 1}`);
    crash(attribution, atMs, [DEADLY], { isTrial: i === 3 });
  }
  assert.equal(attribution.verdict([DEADLY], 4_001).type, "refused");
});

// Guards against refusing whatever was at the engines of a rack that lost power.
test("crashes of several endpoints at the same moment count once", () => {
  const attribution = new CrashAttribution();
  for (const i of [0, 1, 2]) crash(attribution, 1_000 + i * 30, [OTHER], { crash: `e-${i}` });
  assert.equal(attribution.verdict([OTHER], 1_100).type, "trial");
  attribution.recordHarmless(OTHER, 1_500);
  assert.equal(attribution.verdict([OTHER], 1_501).type, "free");
});

// Guards against accusing requests that waited for a response beside the one that was being written.
test("a request without a response is no candidate beside one whose response had begun", () => {
  const attribution = new CrashAttribution();
  for (const atMs of [1_000, 2_000]) {
    crash(attribution, atMs, [OTHER], { hasBegun: false });
    crash(attribution, atMs, [DEADLY]);
  }
  assert.equal(attribution.verdict([OTHER], 2_001).type, "free");
  assert.equal(attribution.verdict([DEADLY], 2_001).type, "refused");
});

test("a content is refused after three crashes, whatever its segments", () => {
  const attribution = new CrashAttribution();
  const content = contentTrait("d1");
  for (const [i, atMs] of [1_000, 2_000, 3_000].entries()) {
    // From the second crash on, copies of the request do not run together.
    assert.equal(attribution.verdict([content], atMs).type, i < 2 ? "free" : "trial");
    crash(attribution, atMs, [content], { hasBegun: false });
  }
  assert.equal(attribution.verdict([content], 3_001).type, "refused");
});

// Guards against a request that crashes endpoints for ever because others had just begun their responses (BUDGET).
test("a content without a response is refused after three crashes beside responses that had begun", () => {
  const attribution = new CrashAttribution();
  const harmful = contentTrait("d1");
  for (const atMs of [1_000, 2_000, 3_000]) {
    const sound = contentTrait(`sound-${atMs}`);
    crash(attribution, atMs, [OTHER, sound]);
    crash(attribution, atMs, [VARIANT, harmful], { hasBegun: false });
    for (const trait of [OTHER, VARIANT, sound]) attribution.recordHarmless(trait, atMs + 100);
  }
  assert.equal(attribution.verdict([VARIANT, harmful], 3_101).type, "refused");
  assert.equal(attribution.verdict([VARIANT], 3_101).type, "free");
});

// Guards against refusing a sound request that is repeated and happened to be at three crashes.
test("a content that runs well between crashes is not refused", () => {
  const attribution = new CrashAttribution();
  const content = contentTrait("d1");
  for (const atMs of [1_000, 2_000, 3_000, 4_000]) {
    crash(attribution, atMs, [content], { hasBegun: false });
    attribution.recordHarmless(content, atMs + 500);
  }
  assert.equal(attribution.verdict([content], 4_501).type, "free");
});

// Guards against copies of a harmful request that reach an endpoint each as soon as its refusal ends.
test("a refused content is tried one at a time after the refusal", () => {
  const attribution = new CrashAttribution({ retrialMs: 1_000 });
  const content = contentTrait("d1");
  for (const atMs of [0, 100, 200]) crash(attribution, atMs, [content], { hasBegun: false });
  assert.equal(attribution.verdict([content], 1_199).type, "refused");
  assert.equal(attribution.verdict([content], 1_201).type, "trial");
});

// Guards against forgetting a harmful content among the requests of endpoints that crash with many others.
test("a content of several crashes is kept when there are many others", () => {
  const attribution = new CrashAttribution({ maxSuspects: 30 });
  const harmful = contentTrait("d1");
  for (const atMs of [1_000, 2_000, 3_000]) {
    crash(attribution, atMs, [harmful], { hasBegun: false });
    for (let i = 0; i < 20; i++) {
      crash(attribution, atMs, [contentTrait(`${atMs}-${i}`)], { hasBegun: i % 2 === 0 });
    }
  }
  assert.equal(attribution.verdict([harmful], 3_001).type, "refused");
});

// Guards against a refusal that never ends, and against one that lets a crash through each minute.
test("a refused segment is tried again after a time that doubles, and is refused again by one crash", () => {
  const attribution = new CrashAttribution({ retrialMs: 1_000, suspectMs: 500 });
  crash(attribution, 0, [DEADLY]);
  crash(attribution, 200, [DEADLY]);
  const verdictAt = (atMs: number) => attribution.verdict([DEADLY], atMs).type;
  assert.equal(verdictAt(1_199), "refused");
  assert.equal(verdictAt(1_201), "trial");
  crash(attribution, 1_300, [DEADLY], { isTrial: true });
  assert.equal(verdictAt(3_299), "refused");
  assert.equal(verdictAt(3_301), "trial");
  attribution.recordHarmless(DEADLY, 3_400);
  assert.equal(verdictAt(3_401), "free");
  assert.equal(attribution.isEmpty, true);
});

// Guards against a table that grows with each request of a burst, and forgets what it refuses.
test("the number of suspects is bounded, and those that support a refusal stay", () => {
  const attribution = new CrashAttribution({ maxSuspects: 10 });
  for (const atMs of [1_000, 2_000]) crash(attribution, atMs, [DEADLY]);
  for (let i = 0; i < 100; i++) crash(attribution, 3_000 + i, [segmentTrait(`n${i}`)]);
  assert.equal(attribution.suspects(3_200).length, 10);
  assert.equal(attribution.verdict([DEADLY], 3_200).type, "refused");
});
