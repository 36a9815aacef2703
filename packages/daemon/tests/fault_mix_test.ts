import assert from "node:assert/strict";
import { after, test } from "node:test";
import { Rng } from "@wisteriapick/core";
import { FakeEngine, Fleet, tokensText } from "./fixtures.ts";
import { range, resumeChat, type SseClient, streamChat } from "./sse_client.ts";
import { TcpRelay } from "./tcp_relay.ts";

const TOTAL = 60;
const STEPS = 20;

/** One answer under a random mix of faults; the caller comes back at any entry each time it loses its own. */
async function runMix(seed: number): Promise<{ parts: SseClient[]; runs: number }> {
  const rng = new Rng(seed);
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  engine.totalTokens = TOTAL;
  const start = () => fleet.startSide("scribe-1", engine, { times: { idleTimeoutMs: 30 } });
  let side = await start();
  const relay = new TcpRelay(side.port);
  fleet.setSideAddress("scribe-1", await relay.listen());
  after(() => relay.close());
  const limits = { resumeBackoffMs: 1 };
  const entries = [
    await fleet.startEntry("1", { limits }),
    await fleet.startEntry("2", { limits }),
  ];
  engine.release(1);
  const parts = [streamChat(entries[0]!.url, { tokens: TOTAL })];
  await parts[0]!.waitForTokens(1);
  const faults = [
    async () => relay.cut(),
    async () => {
      await side.kill();
      side = await start();
      relay.targetPort = side.port;
      fleet.setSideAddress("scribe-1", relay.address);
    },
    async () => {
      const last = parts.at(-1)!;
      last.abort();
      await last.waitForEnd();
      const id = parts.filter((part) => part.offsets.length > 0).at(-1)!.lastId;
      parts.push(resumeChat(rng.pick(entries).url, id));
    },
    async () => engine.stallOpenStreams(),
  ];
  for (let step = 0; step < STEPS; step++) {
    engine.release(Math.min(TOTAL - 1, engine.allowedTokens + rng.int(4)));
    await rng.pick(faults)();
    // Some faults meet each other, others meet a stream that has recovered.
    if (rng.chance(0.5)) {
      const seen = parts.reduce((n, part) => n + part.offsets.length, 0);
      await parts.at(-1)!.waitForTokens(engine.allowedTokens - seen + parts.at(-1)!.offsets.length);
    }
  }
  engine.release(TOTAL);
  await parts.at(-1)!.waitForEnd();
  return { parts, runs: engine.runs.length };
}

for (const seed of [1, 2, 3, 4, 5]) {
  test(`cut links, restarted sides, silent engines and returning callers lose and repeat nothing (seed ${seed})`, async () => {
    const { parts, runs } = await runMix(seed);
    assert.deepEqual(parts.flatMap((part) => part.offsets), range(TOTAL));
    assert.equal(parts.map((part) => part.text).join(""), tokensText(TOTAL));
    assert.equal(parts.at(-1)!.isCompleted, true);
    assert.equal(runs, 1);
  });
}
