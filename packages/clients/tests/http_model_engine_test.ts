import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { generationId, ManualClock, toWpError, type WpError } from "@wisteriapick/core";
import { type EngineEvent, HttpHostList, HttpModelEngine, HttpWeightStore } from "../src/mod.ts";

const GEN = generationId("g-1");

async function serve(listener: RequestListener) {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const close = () => {
    server.closeAllConnections();
    return new Promise((resolve) => server.close(resolve));
  };
  return { origin: `http://127.0.0.1:${port}`, close };
}

async function errorOf(p: Promise<unknown>): Promise<WpError> {
  try {
    await p;
  } catch (e) {
    return toWpError(e);
  }
  throw new assert.AssertionError({ message: "the call did not fail" });
}

async function collect(events: AsyncIterable<EngineEvent>, seen: EngineEvent[] = []) {
  for await (const event of events) seen.push(event);
  return seen;
}

const token = (offset: number) => `${JSON.stringify({ type: "token", offset, text: "t" })}\n`;

// Guards against events that are lost because a line is split across packets or preceded by keep-alive lines.
test("lines are reassembled however they are split into packets", async () => {
  const end = {
    type: "end",
    reason: "stop",
    promptTokens: 1,
    cachedTokens: 0,
    completionTokens: 2,
  };
  const text = `\n${token(0)}\n\n${token(1)}${JSON.stringify(end)}\n`;
  const { origin, close } = await serve(async (_req, res) => {
    for (const char of text) {
      res.write(char);
      await new Promise((resolve) => setImmediate(resolve));
    }
    res.end();
  });
  const engine = new HttpModelEngine(origin);
  const events = await collect(engine.resume(GEN, { offset: 0 }));
  assert.deepEqual(events.map((e) => e.type), ["token", "token", "end"]);
  await engine.close();
  await close();
});

// Guards against a broken stream that is taken for a complete response.
test("a stream that ends early or contains invalid JSON fails", async () => {
  for (const [text, type] of [[token(0), "unreachable"], ["{no json\n", "engine"]] as const) {
    const { origin, close } = await serve((_req, res) => res.end(text));
    const engine = new HttpModelEngine(origin);
    assert.equal((await errorOf(collect(engine.resume(GEN, { offset: 0 })))).type, type);
    await engine.close();
    await close();
  }
});

// Guards against waiting forever on a connection that no longer delivers data.
test("an idle stream fails with timeout on the given clock", async () => {
  const { origin, close } = await serve((_req, res) => void res.write(token(0)));
  const clock = new ManualClock();
  const engine = new HttpModelEngine(origin, { clock, idleTimeoutMs: 5_000 });
  const seen: EngineEvent[] = [];
  const failed = errorOf(collect(engine.resume(GEN, { offset: 0 }), seen));
  while (seen.length === 0) await new Promise((resolve) => setImmediate(resolve));
  await new Promise((resolve) => setImmediate(resolve));
  clock.advance(5_000);
  assert.equal((await failed).type, "timeout");
  await engine.close();
  await close();
});

// Guards against reporting "not run" for a request that may have left this process.
test("a request counts as not sent if the connection is refused, but not if it breaks later", async () => {
  const { origin, close } = await serve((req) => req.socket.destroy());
  const engine = new HttpModelEngine(origin);
  const broken = await errorOf(engine.state());
  assert.deepEqual([broken.type, (broken as { sent?: boolean }).sent], ["unreachable", true]);
  await close();
  const refused = await errorOf(new HttpModelEngine(origin).state());
  assert.deepEqual([refused.type, (refused as { sent?: boolean }).sent], ["unreachable", false]);
  await engine.close();
});

test("an invalid host list and a rate-limited weight store are typed failures", async () => {
  const { origin, close } = await serve((req, res) => {
    if (req.url === "/v1/hosts") res.end('{"index":1,"hosts":[{"host":5}]}');
    else res.writeHead(429, { "retry-after": "0.25" }).end("{}");
  });
  const list = new HttpHostList(origin);
  assert.equal((await errorOf(list.read())).type, "unreachable");
  const weights = new HttpWeightStore(origin);
  const busy = await errorOf(weights.reserve("scribe-7b"));
  assert.deepEqual([busy.type, (busy as { retryAfterMs?: number }).retryAfterMs], [
    "rate_limited",
    250,
  ]);
  await list.close();
  await weights.close();
  await close();
});

// Guards against one host whose name is no id, which hid all hosts.
test("a host with an invalid id in the host list is left out, and the others are read", async () => {
  const makeRecord = (host: string) => {
    return { host, dataCentre: "accra-osu", region: "accra", state: "live", entry: "127.0.0.1:7" };
  };
  const hosts = [makeRecord("tema\r\n01"), makeRecord("tema-02")];
  const { origin, close } = await serve((_req, res) =>
    res.end(JSON.stringify({ index: 1, hosts }))
  );
  const list = new HttpHostList(origin);
  assert.deepEqual((await list.read()).hosts.map(({ host }) => host), ["tema-02"]);
  await list.close();
  await close();
});
