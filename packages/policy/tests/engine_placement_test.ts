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

function makeItem(part: Partial<ForecastItem> = {}): ForecastItem {
  return { curve: CURVE, promptTokens: 3_000, produced: 0, maxTokens: 2_196, ...part };
}

interface Named extends EngineCandidate {
  readonly name: string;
  readonly sharesDataCentre: boolean;
}

function makeEngine(
  name: string,
  runs: number,
  part: Partial<Omit<Named, "name">> = {},
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
    ...part,
  };
}

test("a draft goes to the engine with the most memory left", () => {
  const engines = [makeEngine("busy", 6), makeEngine("free", 2), makeEngine("half", 4)];
  assert.equal(chooseEngine(makeItem(), engines)?.candidate.name, "free");
});

test("a draft that would outgrow every engine's memory is placed nowhere", () => {
  const engines = [makeEngine("a", 9), makeEngine("b", 10)];
  assert.equal(chooseEngine(makeItem(), engines), null);
});

test("a run that would be lost otherwise may fill memory to the last token", () => {
  // Eight runs and one more of 3,400 tokens hold 30,600 of 34,282 now, and would need more at their peak.
  const engines = [makeEngine("a", 8, { reservedTokens: 2_500 })];
  const item = makeItem({ produced: 400 });
  assert.equal(chooseEngine(item, engines), null);
  const rescue = chooseEngine(item, engines, { z: 0, usableFraction: 1 });
  assert.equal(rescue?.candidate.name, "a");
});

test("an engine without a free slot takes nothing, whatever its memory", () => {
  assert.equal(chooseEngine(makeItem(), [makeEngine("a", 2, { slots: 2 })]), null);
});

test("a new engine does not draw every arrival while it still reads the prompts before", () => {
  const fresh = makeEngine("fresh", 0, { pendingPrefillTokens: 9_000 });
  const busy = makeEngine("busy", 4);
  const choice = chooseEngine(makeItem(), [fresh, busy], { firstEventTargetMs: 1_800 });
  assert.equal(choice?.candidate.name, "busy");
});

test("a short request looks for a quick start, not for memory", () => {
  const short = makeItem({ promptTokens: 2_200, maxTokens: 40 });
  const reading = makeEngine("empty but reading", 0, { pendingPrefillTokens: 3_000 });
  const full = makeEngine("full but idle", 6);
  const choice = chooseEngine(short, [reading, full], { firstEventTargetMs: 1_500 });
  assert.equal(choice?.candidate.name, "full but idle");
});

test("an engine that keeps the prompt is preferred among equals", () => {
  const engines = [makeEngine("cold", 3), makeEngine("warm", 3, { cachedPromptTokens: 2_500 })];
  assert.equal(chooseEngine(makeItem(), engines)?.candidate.name, "warm");
});

test("a backup goes to another data centre where one has room", () => {
  const engines = [
    makeEngine("near", 1),
    makeEngine("far", 2, { sharesDataCentre: false, isLocal: false }),
  ];
  assert.equal(chooseBackup(makeItem(), engines)?.name, "far");
});

test("no backup is made where memory is short", () => {
  const engines = [makeEngine("a", 6), makeEngine("b", 6, { sharesDataCentre: false })];
  assert.equal(chooseBackup(makeItem(), engines), null);
});

test("a copy made ahead is given up where new drafts find an engine full", () => {
  const isNeeded = (runs: number) =>
    shouldReleaseBackup(makeEngine("a", runs).forecast.peakTokens(1), MEMORY_TOKENS);
  const counts = Array.from({ length: 12 }, (_, runs) => runs);
  const full = counts.find((runs) => chooseEngine(makeItem(), [makeEngine("a", runs)]) === null)!;
  assert.equal(isNeeded(full), true);
  assert.equal(isNeeded(4), false);
});

test("a copy is not given up on an engine that would take one", () => {
  for (let runs = 0; runs < 10; runs++) {
    const engine = makeEngine("far", runs, { sharesDataCentre: false });
    if (chooseBackup(makeItem(), [engine]) === null) continue;
    const { forecast } = engine;
    forecast.add(makeItem());
    assert.equal(shouldReleaseBackup(forecast.peakTokens(1), MEMORY_TOKENS), false);
  }
});
