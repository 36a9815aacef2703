import assert from "node:assert/strict";
import { after, test } from "node:test";
import { FakeEngine, Fleet, waitUntil } from "./fixtures.ts";
import { range, streamChat } from "./sse_client.ts";
import { Quarantine, SideAdmission } from "@wisteriapick/policy";

// Guards against a request that crashes endpoint after endpoint because each entry retries it, and against a
// quarantine that refuses other requests as well.
test("a request that crashes two endpoints is refused at every entry while other requests complete", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engines: FakeEngine[] = [];
  let crashes = 0;
  for (let i = 1; i <= 4; i++) {
    const engine = new FakeEngine();
    engine.release(5);
    engine.onRun = (req) => {
      if (!req.prompt.includes("poison")) return;
      crashes++;
      engine.crash();
    };
    engines.push(engine);
    const quarantine = new Quarantine();
    const admission = new SideAdmission({ quarantine, name: `scribe-${i}` });
    const times = { backoffMs: 1, maxFailures: 1 };
    await fleet.startSide(`scribe-${i}`, engine, { admission, quarantine, times });
  }
  const known = new Quarantine();
  const entries = [await fleet.startEntry("1"), await fleet.startEntry("2", { quarantine: known })];
  // An entry receives reports of crashes once it is connected, which is when a side has responded to it.
  for (const { pool } of entries) {
    for (let i = 1; i <= 4; i++) {
      const address = fleet.sideAddress(`scribe-${i}`);
      pool.keep(address);
      await pool.ready(address);
    }
  }
  const first = await streamChat(entries[0]!.url, { prompt: "poison" }).waitForEnd();
  assert.equal(JSON.parse(first.body).type, "quarantined");
  assert.equal(crashes, 2);
  const { clock } = fleet;
  await waitUntil(() =>
    known.entries(clock.now()).some((suspect) => suspect.crashIds.length === 2)
  );
  const again = await streamChat(entries[1]!.url, { prompt: "poison" }).waitForEnd();
  assert.equal(JSON.parse(again.body).type, "quarantined");
  assert.equal(crashes, 2);
  const innocent = await streamChat(entries[1]!.url, { prompt: "bowl" }).waitForEnd();
  assert.deepEqual(innocent.offsets, range(5));
});
