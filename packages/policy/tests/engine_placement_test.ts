import assert from "node:assert/strict";
import { test } from "node:test";
import { accountId, serviceId } from "@wisteriapick/core";
import {
  chooseBackup,
  chooseEngine,
  type EngineCandidate,
  type ForecastItem,
  LengthEstimator,
  MemoryForecast,
  shouldReleaseBackup,
} from "../src/mod.ts";

const MEMORY_TOKENS = 34_282;
const CURVE = new LengthEstimator().survivalCurve(serviceId("drafts"), accountId("all"));

function makeItem(overrides: Partial<ForecastItem> = {}): ForecastItem {
  return { curve: CURVE, promptTokens: 3_000, produced: 0, maxTokens: 2_196, ...overrides };
}

interface Named extends EngineCandidate {
  readonly name: string;
  readonly sharesDataCentre: boolean;
}

function makeEngine(
  name: string,
  runs: number,
  overrides: Partial<Omit<Named, "name">> = {},
): Named {
  const forecast = new MemoryForecast();
  for (let i = 0; i < runs; i++) forecast.add(makeItem({ produced: 400 }));
  return {
    name,
    forecast,
    reservedTokens: 0,
    memoryTokens: MEMORY_TOKENS,
    running: runs,
    slots: 24,
    pendingPrefillTokens: 0,
    cachedPromptTokens: 0,
    isLocal: true,
    sharesDataCentre: true,
    ...overrides,
  };
}

test("a generation is placed on the engine with the most free memory", () => {
  const engines = [makeEngine("busy", 6), makeEngine("free", 2), makeEngine("half", 4)];
  assert.equal(chooseEngine(makeItem(), engines)?.candidate.name, "free");
});

// An engine that runs out of memory preempts generations, which then repeat their prefill.
test("a generation that is forecast to outgrow every engine's memory is not placed", () => {
  const engines = [makeEngine("a", 9), makeEngine("b", 10)];
  assert.equal(chooseEngine(makeItem(), engines), null);
});

// A run whose engine leaves is lost unless it migrates, so that the margins do not apply to it.
test("a run that would otherwise be lost may use all memory of an engine", () => {
  // Eight runs and one more of 3,400 tokens each use 30,600 of 34,282 tokens now, and more at their peak.
  const engines = [makeEngine("a", 8, { reservedTokens: 2_500 })];
  const item = makeItem({ produced: 400 });
  assert.equal(chooseEngine(item, engines), null);
  const rescue = chooseEngine(item, engines, { z: 0, usableFraction: 1 });
  assert.equal(rescue?.candidate.name, "a");
});

test("an engine without a free slot is not chosen, whatever its memory", () => {
  assert.equal(chooseEngine(makeItem(), [makeEngine("a", 2, { slots: 2 })]), null);
});

// All memory of a new engine is free: by memory alone each arrival would be queued there behind the
// prefill of the others.
test("a new engine is not chosen for each arrival while prompts on it are still to be prefilled", () => {
  const fresh = makeEngine("fresh", 0, { pendingPrefillTokens: 9_000 });
  const busy = makeEngine("busy", 4);
  const choice = chooseEngine(makeItem(), [fresh, busy], { firstEventTargetMs: 1_800 });
  assert.equal(choice?.candidate.name, "busy");
});

// A short generation has ended before memory runs out, and most of its time is the time to the first event.
test("a short generation is placed by its time to the first event, not by memory", () => {
  const short = makeItem({ promptTokens: 2_200, maxTokens: 40 });
  const prefilling = makeEngine("empty but prefilling", 0, { pendingPrefillTokens: 3_000 });
  const full = makeEngine("full but idle", 6);
  const choice = chooseEngine(short, [prefilling, full], { firstEventTargetMs: 1_500 });
  assert.equal(choice?.candidate.name, "full but idle");
});

test("among equal engines one that has the prompt cached is preferred", () => {
  const engines = [makeEngine("cold", 3), makeEngine("warm", 3, { cachedPromptTokens: 2_500 })];
  assert.equal(chooseEngine(makeItem(), engines)?.candidate.name, "warm");
});

test("a backup is placed in another data centre where one has the memory", () => {
  const engines = [
    makeEngine("near", 1),
    makeEngine("far", 2, { sharesDataCentre: false, isLocal: false }),
  ];
  assert.equal(chooseBackup(makeItem(), engines)?.name, "far");
});

test("no backup is placed where memory is scarce", () => {
  const engines = [makeEngine("a", 6), makeEngine("b", 6, { sharesDataCentre: false })];
  assert.equal(chooseBackup(makeItem(), engines), null);
});

// Backups that are never released would keep new generations out of the memory that they occupy.
test("a backup is released on an engine that is too full for a new generation", () => {
  const isNeeded = (runs: number) =>
    shouldReleaseBackup(makeEngine("a", runs).forecast.peakTokens(1), MEMORY_TOKENS);
  const counts = Array.from({ length: 12 }, (_, runs) => runs);
  const full = counts.find((runs) => chooseEngine(makeItem(), [makeEngine("a", runs)]) === null)!;
  assert.equal(isNeeded(full), true);
  assert.equal(isNeeded(4), false);
});

// If release and placement overlapped, a backup would be made and released in turn.
test("an engine that may take a backup does not have to release it", () => {
  for (let runs = 0; runs < 10; runs++) {
    const engine = makeEngine("far", runs, { sharesDataCentre: false });
    if (chooseBackup(makeItem(), [engine]) === null) continue;
    const { forecast } = engine;
    forecast.add(makeItem());
    assert.equal(shouldReleaseBackup(forecast.peakTokens(1), MEMORY_TOKENS), false);
  }
});
