import assert from "node:assert/strict";
import { after, test } from "node:test";
import { FakeEngine, Fleet, tokensText, waitUntil } from "./fixtures.ts";
import { range, SseClient, streamChat } from "./sse_client.ts";
import { TcpRelay } from "./tcp_relay.ts";

const QUICK = { backoffMs: 1, maxFailures: 2 };

async function makePair(parts: Parameters<Fleet["startSide"]>[2] = {}) {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engines = [new FakeEngine(), new FakeEngine()];
  const sides = [
    await fleet.startSide("scribe-1", engines[0]!, { times: QUICK, ...parts }),
    await fleet.startSide("scribe-2", engines[1]!, { times: QUICK, ...parts }),
  ];
  const entry = await fleet.startEntry("1");
  return { fleet, engines, sides, entry, url: entry.url };
}

function wholeChat(url: string, tokens = 5): SseClient {
  const messages = [{ role: "user", content: "Sort this" }];
  const body = { model: "scribe", max_tokens: tokens, messages };
  return new SseClient(`${url}/v1/chat/completions`, { body });
}

function runningEngine(engines: FakeEngine[]): FakeEngine {
  return engines.find((engine) => engine.runs.length > 0)!;
}

test("an engine crash before the first token runs the request elsewhere, unseen by the caller", async () => {
  const { engines, url } = await makePair();
  const caller = streamChat(url);
  await waitUntil(() => engines.some((engine) => engine.runs.length > 0));
  const first = runningEngine(engines);
  for (const engine of engines) engine.release(5);
  first.allowedTokens = 0;
  first.crash({ down: true });
  await caller.waitForEnd();
  assert.equal(caller.text, tokensText(5));
  assert.deepEqual(caller.offsets, range(5));
  assert.equal(caller.isCompleted, true);
  assert.notEqual(engines[0]!.runs[0]!.gen, engines[1]!.runs[0]!.gen);
});

test("an engine crash after the first token ends the stream with a typed error and no splice", async () => {
  const { engines, url } = await makePair();
  for (const engine of engines) engine.release(2);
  const caller = streamChat(url);
  await caller.waitForTokens(2);
  const first = runningEngine(engines);
  first.crash({ down: true });
  await caller.waitForEnd();
  assert.deepEqual(caller.offsets, [0, 1]);
  assert.equal(caller.error?.type, "engine_lost");
  assert.equal(caller.error?.not_run, false);
  assert.equal(caller.isCompleted, false);
  assert.equal(engines.flatMap((engine) => engine.runs).length, 1);
});

test("a whole answer is run again elsewhere when its engine crashes after many tokens", async () => {
  const { engines, url } = await makePair();
  for (const engine of engines) engine.release(4);
  const caller = wholeChat(url);
  await waitUntil(() => engines.some((engine) => engine.produced(engine.runs[0]?.gen) === 4));
  const first = runningEngine(engines);
  const other = engines.find((engine) => engine !== first)!;
  other.release(5);
  first.crash({ down: true });
  await caller.waitForEnd();
  assert.equal(caller.status, 200);
  assert.equal(JSON.parse(caller.body).choices[0].message.content, tokensText(5));
});

test("an engine stream that goes silent without closing is resumed on a new connection", async () => {
  const { engines, url } = await makePair({ times: { ...QUICK, idleTimeoutMs: 30 } });
  for (const engine of engines) engine.release(2);
  const caller = streamChat(url);
  await caller.waitForTokens(2);
  const first = runningEngine(engines);
  first.stallOpenStreams();
  first.release(5);
  await caller.waitForEnd();
  assert.deepEqual(caller.offsets, range(5));
  assert.equal(caller.isCompleted, true);
});

test("a restarted side goes on with the engine's generation and the caller notices nothing", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  const side = await fleet.startSide("scribe-1", engine);
  const { url } = await fleet.startEntry("1");
  engine.release(3);
  const caller = streamChat(url);
  await caller.waitForTokens(3);
  await side.kill();
  engine.release(4);
  await fleet.startSide("scribe-1", engine, { port: side.port });
  engine.release(5);
  await caller.waitForEnd();
  assert.deepEqual(caller.offsets, range(5));
  assert.equal(caller.isCompleted, true);
  assert.equal(engine.runs.length, 1);
});

test("a restarted side cancels what it learned from the engine when nobody asks for it", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  const side = await fleet.startSide("scribe-1", engine);
  const entry = await fleet.startEntry("1");
  engine.release(1);
  const caller = streamChat(entry.url);
  await caller.waitForTokens(1);
  entry.kill();
  await side.kill();
  assert.deepEqual(engine.cancelled, []);
  await fleet.startSide("scribe-1", engine, { port: side.port, times: { graceMs: 20 } });
  await waitUntil(() => engine.cancelled.length === 1);
  assert.equal(engine.cancelled[0], engine.runs[0]!.gen);
});

test("a link that goes silent without closing is noticed and the answer resumed", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  const side = await fleet.startSide("scribe-1", engine);
  const relay = new TcpRelay(side.port);
  fleet.setSideAddress("scribe-1", await relay.listen());
  after(() => relay.close());
  const { url } = await fleet.startEntry("1");
  engine.release(2);
  const caller = streamChat(url);
  await caller.waitForTokens(2);
  relay.stall();
  engine.release(5);
  await caller.waitForEnd();
  assert.deepEqual(caller.offsets, range(5));
  assert.equal(caller.isCompleted, true);
  assert.equal(engine.runs.length, 1);
});

test("a link that breaks again and again delivers each token once", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  engine.totalTokens = 20;
  const side = await fleet.startSide("scribe-1", engine);
  const relay = new TcpRelay(side.port);
  fleet.setSideAddress("scribe-1", await relay.listen());
  after(() => relay.close());
  const { url } = await fleet.startEntry("1", { limits: { resumeBackoffMs: 1 } });
  const caller = streamChat(url, { tokens: 20 });
  for (let n = 2; n <= 18; n += 4) {
    engine.release(n);
    await caller.waitForTokens(n);
    relay.cut();
  }
  engine.release(20);
  await caller.waitForEnd();
  assert.deepEqual(caller.offsets, range(20));
  assert.equal(caller.isCompleted, true);
  assert.equal(engine.runs.length, 1);
});

test("a side that stays away ends a delivered stream with a typed error", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  const side = await fleet.startSide("scribe-1", engine);
  const { url } = await fleet.startEntry("1", {
    limits: { resumeWindowMs: 50, resumeBackoffMs: 1 },
  });
  engine.release(2);
  const caller = streamChat(url);
  await caller.waitForTokens(2);
  await side.kill();
  await caller.waitForEnd();
  assert.deepEqual(caller.offsets, [0, 1]);
  assert.equal(caller.error?.type, "side_lost");
});
