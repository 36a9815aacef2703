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

/** Streams open at a side, over all links. */
function openStreams({ listener }: StartedSide): number {
  return [...listener.links].reduce((sum, link) => sum + link.streams, 0);
}

function makeFleet(): Fleet {
  const fleet = new Fleet();
  after(() => fleet.close());
  return fleet;
}

/** A service that answers every call without reading its body. */
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

/** An engine with tokens of the lengths that `lengthOf` gives. */
class LongTokenEngine extends FakeEngine {
  yielded = 0;
  readonly #lengthOf: (offset: number) => number;

  constructor(lengthOf: (offset: number) => number) {
    super();
    this.#lengthOf = lengthOf;
  }

  override async *run(...args: Parameters<FakeEngine["run"]>): AsyncIterable<EngineEvent> {
    for await (const ev of super.run(...args)) {
      this.yielded++;
      yield ev.type === "token" ? { ...ev, text: "x".repeat(this.#lengthOf(ev.offset)) } : ev;
    }
  }
}

test("no stream stays open after answers that ended or were abandoned", async () => {
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
  await waitUntil(() => openStreams(side) === 0);
});

test("links that break while tokens flow leave no stream open and no token out", async () => {
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
  await waitUntil(() => openStreams(side) === 0);
});

// A caller that reads slowly is still connected, so the grace time of callers that are gone is not its bound.
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
  // 27 MB are more than the buffers between entry and caller hold.
  engine.release(30_000);
  await waitUntil(() => engine.yielded >= 30_000);
  // Lets the grace time pass several times over.
  await new Promise((resolve) => setTimeout(resolve, 20 * graceMs));
  engine.release(total);
  caller.resume();
  await caller.waitForEnd();
  assert.equal(caller.error, null);
  assert.deepEqual(caller.offsets, range(total));
});

// The side stops granting credit for a body that its endpoint does not read.
test(
  "a call answered before its body was read leaves no stream open",
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
    await waitUntil(() => openStreams(side) === 0);
  },
);

// The tokens are sent from a job of the event loop, where nothing catches what a job throws.
test("a token larger than a frame ends its own generation and no other", async () => {
  const fleet = makeFleet();
  const engine = new LongTokenEngine((offset) => offset === 1 ? MAX_FRAME_BYTES : 5);
  await fleet.startSide("scribe-1", engine);
  const { url } = await fleet.startEntry("1");
  engine.release(1);
  const caller = streamChat(url);
  await caller.waitForTokens(1);
  const thrown: unknown[] = [];
  const collect = (e: unknown) => thrown.push(e);
  process.on("uncaughtException", collect);
  engine.release(5);
  await waitUntil(() => caller.hasEnded || thrown.length > 0);
  process.off("uncaughtException", collect);
  assert.deepEqual(thrown, []);
  assert.notEqual(caller.error, null);
});
