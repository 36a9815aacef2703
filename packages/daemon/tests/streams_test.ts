import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, test } from "node:test";
import type { EngineEvent } from "@wisteriapick/clients";
import { MAX_FRAME_BYTES } from "@wisteriapick/wire";
import { request } from "undici";
import { CLIENT_KEY, FakeEngine, Fleet, waitUntil } from "./fixtures.ts";
import { range, streamChat } from "./sse_client.ts";

const AUTH = { authorization: `Bearer ${CLIENT_KEY}` };

type StartedSide = Awaited<ReturnType<Fleet["startSide"]>>;

/** Number of streams open at a side, over all links. */
function countOpenStreams({ listener }: StartedSide): number {
  return [...listener.links].reduce((sum, link) => sum + link.streams, 0);
}

function makeFleet(): Fleet {
  const fleet = new Fleet();
  after(() => fleet.close());
  return fleet;
}

/** Starts a service that responds to every call without reading its body. */
async function serveWithoutReading(): Promise<string> {
  const server = createServer((req, res) => {
    res.writeHead(req.url === "/healthz" ? 200 : 413, { connection: "close" });
    res.end("too large");
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** An engine whose tokens have the lengths that `lengthOf` returns. */
class LongTokenEngine extends FakeEngine {
  yieldedEvents = 0;
  readonly #lengthOf: (offset: number) => number;

  constructor(lengthOf: (offset: number) => number) {
    super();
    this.#lengthOf = lengthOf;
  }

  override async *run(...args: Parameters<FakeEngine["run"]>): AsyncIterable<EngineEvent> {
    for await (const ev of super.run(...args)) {
      this.yieldedEvents++;
      yield ev.type === "token" ? { ...ev, text: "x".repeat(this.#lengthOf(ev.offset)) } : ev;
    }
  }
}

// Guards against a leak of link streams, each of which holds memory at both ends.
test("no stream stays open after responses that ended or were abandoned", async () => {
  const fleet = makeFleet();
  const engine = new FakeEngine();
  const side = await fleet.startSide("scribe-1", engine, { times: { graceMs: 20 } });
  const { url } = await fleet.startEntry("1");
  engine.release(5);
  for (let i = 0; i < 20; i++) await streamChat(url).waitForEnd();
  engine.totalTokens = 50;
  const abandoned = Array.from({ length: 4 }, () => streamChat(url, { tokens: 50 }));
  for (const caller of abandoned) await caller.waitForTokens(1);
  for (const caller of abandoned) caller.abort();
  await waitUntil(() => engine.cancelled.length === 4);
  await waitUntil(() => countOpenStreams(side) === 0);
});

// Guards against leaked streams and lost tokens when links break repeatedly.
test("links that break while tokens flow leave no stream open and lose no token", async () => {
  const fleet = makeFleet();
  const engine = new FakeEngine();
  engine.totalTokens = 60;
  const side = await fleet.startSide("scribe-1", engine);
  const { url } = await fleet.startEntry("1");
  const callers = Array.from({ length: 4 }, () => streamChat(url, { tokens: 60 }));
  for (let n = 10; n <= 60; n += 10) {
    engine.release(n);
    for (const caller of callers) await caller.waitForTokens(n - 5);
    for (const link of side.listener.links) link.close();
  }
  for (const caller of callers) {
    await caller.waitForEnd();
    assert.deepEqual(caller.offsets, range(60));
  }
  await waitUntil(() => countOpenStreams(side) === 0);
});

// Guards against cancelling the generation of a caller that reads slowly. It is still connected, so the grace
// time for disconnected callers does not apply.
test("a caller that reads nothing for longer than the grace time still gets every token", async () => {
  const fleet = makeFleet();
  const graceMs = 50;
  const total = 40_000;
  const engine = new LongTokenEngine(() => 900);
  engine.totalTokens = total;
  await fleet.startSide("scribe-1", engine, { times: { graceMs } });
  const { url } = await fleet.startEntry("1");
  const caller = streamChat(url, { tokens: total });
  engine.release(1);
  await caller.waitForTokens(1);
  caller.pause();
  // 27 MB exceed the buffers between entry and caller.
  engine.release(30_000);
  await waitUntil(() => engine.yieldedEvents >= 30_000);
  // The grace time passes many times over.
  await new Promise((resolve) => setTimeout(resolve, 20 * graceMs));
  engine.release(total);
  caller.resume();
  await caller.waitForEnd();
  assert.equal(caller.error, null);
  assert.deepEqual(caller.offsets, range(total));
});

// Guards against a stream that never closes: the side grants no more credit for a body that its endpoint does not
// read, so the entry cannot finish sending it.
test(
  "a call that gets its response before its body was read leaves no stream open",
  { timeout: 10_000 },
  async () => {
    const fleet = makeFleet();
    const origin = await serveWithoutReading();
    const side = await fleet.startSide("counter-1", null, { service: "counter", origin });
    const { url } = await fleet.startEntry("1");
    const body = Buffer.alloc(8 << 20);
    const res = await request(`${url}/services/counter/search`, {
      method: "POST",
      headers: AUTH,
      body,
    }).catch(() => null);
    await res?.body.dump().catch(() => {});
    await waitUntil(() => countOpenStreams(side) === 0);
  },
);

// Guards against an uncaught exception that ends the process. Tokens are sent from an event loop callback, where
// nothing catches what the callback throws.
test("a token larger than a frame ends its own generation and no other", async () => {
  const fleet = makeFleet();
  const engine = new LongTokenEngine((offset) => offset === 1 ? MAX_FRAME_BYTES : 5);
  await fleet.startSide("scribe-1", engine);
  const { url } = await fleet.startEntry("1");
  engine.release(1);
  const caller = streamChat(url);
  await caller.waitForTokens(1);
  const thrown: unknown[] = [];
  const onUncaught = (e: unknown) => thrown.push(e);
  process.on("uncaughtException", onUncaught);
  engine.release(5);
  await waitUntil(() => caller.hasEnded || thrown.length > 0);
  process.off("uncaughtException", onUncaught);
  assert.deepEqual(thrown, []);
  assert.notEqual(caller.error, null);
});
