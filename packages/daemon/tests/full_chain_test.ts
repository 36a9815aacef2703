import assert from "node:assert/strict";
import { after, test } from "node:test";
import { dataCentreId, Rng } from "@wisteriapick/core";
import { HttpModelEngine } from "@wisteriapick/clients";
import { Quarantine, SideAdmission, SubsetPlacement } from "@wisteriapick/policy";
import { drawOutputTokens, EngineStandin, expectedText } from "@wisteriapick/standins";
import { Fleet, makeConfig } from "./fixtures.ts";
import { range, type SseClient, streamChat } from "./sse_client.ts";

/** Starts an entry and sides with the production policies, over HTTP to engine stand-ins. */
async function startFleet(count: number) {
  const fleet = new Fleet();
  after(() => fleet.close());
  const versions = [{ id: "v1", model: "scribe-7b" }];
  const scribe = { id: "scribe", kind: "model", versions, activeVersion: "v1" };
  fleet.config.set(makeConfig({ services: [scribe] }));
  const engines: EngineStandin[] = [];
  for (let i = 1; i <= count; i++) {
    const standin = new EngineStandin({ clock: fleet.clock, seed: i });
    engines.push(standin);
    const server = await standin.listen();
    const engine = new HttpModelEngine(server.origin, { clock: fleet.clock });
    fleet.onClose(async () => {
      await engine.close();
      await server.close();
    });
    const quarantine = new Quarantine();
    const admission = new SideAdmission({ quarantine, name: `scribe-${i}` });
    await fleet.startSide(`scribe-${i}`, engine, { admission, quarantine });
  }
  const placement = new SubsetPlacement({
    entry: "1",
    dataCentre: dataCentreId("dc-1"),
    rng: new Rng(1),
  });
  const { url } = await fleet.startEntry("1", { placement });
  return { fleet, engines, url };
}

function generationIdOf(caller: SseClient): string {
  const data = caller.events.find((e) => e.data.startsWith("{"))!.data;
  return (JSON.parse(data).id as string).replace("chatcmpl-", "");
}

/** The prompt as the entry passes it to engines. */
function promptOf(content: string): string {
  return `<|user|>\n${content}\n<|assistant|>\n`;
}

// Guards against text of several generations or prompts mixed into one response under concurrent load.
test("concurrent callers each get the complete text of one generation of their own prompt", async () => {
  const { url } = await startFleet(3);
  const prompts = Array.from({ length: 12 }, (_, i) => `Describe bowl ${i} [tokens=${5 + i}]`);
  const callers = prompts.map((prompt) => streamChat(url, { prompt, tokens: 100 }));
  const finished = await Promise.all(callers.map((caller) => caller.waitForEnd()));
  let completed = 0;
  for (const [i, caller] of finished.entries()) {
    if (caller.status !== 200) {
      // A cold fleet may refuse a request, but only as not run.
      assert.equal(JSON.parse(caller.body).not_run, true);
      continue;
    }
    completed++;
    const prompt = promptOf(prompts[i]!);
    const count = drawOutputTokens(prompt);
    assert.deepEqual(caller.offsets, range(count));
    assert.equal(caller.text, expectedText(generationIdOf(caller), prompt, count));
    assert.equal(caller.isCompleted, true);
  }
  assert.ok(completed >= 3, `${completed} complete responses`);
});

// Guards against continuing a response with the tokens of another generation when its engine crashes.
test("an engine crash leaves complete responses and typed errors, and never a splice of two generations", async () => {
  const { url, engines } = await startFleet(2);
  const prompts = Array.from({ length: 4 }, (_, i) => `Report ${i} [tokens=60]`);
  const callers = prompts.map((prompt) => streamChat(url, { prompt, tokens: 100 }));
  await callers[0]!.waitForTokens(5);
  engines[0]!.switch({ crash: true });
  for (const [i, caller] of callers.entries()) {
    await caller.waitForEnd();
    if (caller.status !== 200) continue;
    const prompt = promptOf(prompts[i]!);
    const count = caller.offsets.length;
    assert.deepEqual(caller.offsets, range(count));
    assert.equal(caller.text, expectedText(generationIdOf(caller), prompt, count));
    if (!caller.isCompleted) assert.equal(caller.error?.type, "engine_lost");
  }
});
