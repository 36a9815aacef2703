import assert from "node:assert/strict";
import { after, test } from "node:test";
import { Rng } from "@wisteriapick/core";
import { FakeEngine, Fleet, tokensText } from "./fixtures.ts";
import { range, resumeChat, type SseClient, streamChat } from "./sse_client.ts";
import { TcpRelay } from "./tcp_relay.ts";

const TOTAL_TOKENS = 60;
const STEPS = 20;

/** Receives one response under a random mix of faults; the caller resumes at any entry each time it is cut off. */
async function runFaultMix(seed: number): Promise<{ callers: SseClient[]; runs: number }> {
  const rng = new Rng(seed);
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  engine.totalTokens = TOTAL_TOKENS;
  const startSide = () => fleet.startSide("scribe-1", engine, { times: { idleTimeoutMs: 30 } });
  let side = await startSide();
  const relay = new TcpRelay(side.port);
  fleet.setSideAddress("scribe-1", await relay.listen());
  after(() => relay.close());
  const limits = { resumeBackoffMs: 1 };
  const entries = [
    await fleet.startEntry("1", { limits }),
    await fleet.startEntry("2", { limits }),
  ];
  engine.release(1);
  const callers = [streamChat(entries[0]!.url, { tokens: TOTAL_TOKENS })];
  await callers[0]!.waitForTokens(1);
  const faults = [
    async () => relay.cut(),
    async () => {
      await side.kill();
      side = await startSide();
      relay.targetPort = side.port;
      fleet.setSideAddress("scribe-1", relay.address);
    },
    async () => {
      const last = callers.at(-1)!;
      last.abort();
      await last.waitForEnd();
      const id = callers.filter((caller) => caller.offsets.length > 0).at(-1)!.lastId;
      callers.push(resumeChat(rng.pick(entries).url, id));
    },
    async () => engine.stallOpenStreams(),
  ];
  for (let step = 0; step < STEPS; step++) {
    engine.release(Math.min(TOTAL_TOKENS - 1, engine.allowedTokens + rng.int(4)));
    await rng.pick(faults)();
    // Half of the faults follow each other at once; the others hit a stream that has recovered.
    if (rng.chance(0.5)) {
      const received = callers.reduce((n, caller) => n + caller.offsets.length, 0);
      await callers.at(-1)!.waitForTokens(
        engine.allowedTokens - received + callers.at(-1)!.offsets.length,
      );
    }
  }
  engine.release(TOTAL_TOKENS);
  await callers.at(-1)!.waitForEnd();
  return { callers, runs: engine.runs.length };
}

// Guards against tokens that are lost, repeated or generated again when several faults hit one response.
for (const seed of [1, 2, 3, 4, 5]) {
  test(`cut links, restarted sides, stalled engines and reconnecting callers lose and repeat no token (seed ${seed})`, async () => {
    const { callers, runs } = await runFaultMix(seed);
    assert.deepEqual(callers.flatMap((caller) => caller.offsets), range(TOTAL_TOKENS));
    assert.equal(callers.map((caller) => caller.text).join(""), tokensText(TOTAL_TOKENS));
    assert.equal(callers.at(-1)!.isCompleted, true);
    assert.equal(runs, 1);
  });
}
