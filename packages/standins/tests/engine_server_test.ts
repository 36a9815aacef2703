import assert from "node:assert/strict";
import { test } from "node:test";
import { generationId, toWpError, type WpError } from "@wisteriapick/core";
import { type EngineEvent, type EngineRequest, HttpModelEngine } from "@wisteriapick/clients";
import { EngineStandin, type EngineStandinOptions, expectedText } from "../src/mod.ts";

function request(gen: string, parts: Partial<EngineRequest> = {}): EngineRequest {
  const fixed = { model: "scribe-7b", version: "v1", maxTokens: 1_000, priority: 0 };
  return { gen: generationId(gen), prompt: "Describe it [tokens=20]", ...fixed, ...parts };
}

async function served(options: EngineStandinOptions = {}) {
  const engine = new EngineStandin({ restartAfterMs: null, ...options });
  const server = await engine.listen();
  const client = new HttpModelEngine(server.origin);
  const close = async () => {
    await client.close();
    await server.close();
  };
  return { engine, server, client, close };
}

async function collect(events: AsyncIterable<EngineEvent>) {
  let text = "";
  const offsets: number[] = [];
  let end: EngineEvent | null = null;
  for await (const event of events) {
    if (event.type === "end") end = event;
    else {
      text += event.text;
      offsets.push(event.offset);
    }
  }
  return { text, offsets, end };
}

async function errorOf(p: Promise<unknown>): Promise<WpError> {
  try {
    await p;
  } catch (e) {
    return toWpError(e);
  }
  throw new assert.AssertionError({ message: "the call did not fail" });
}

// Guards against responses that a test can't tell apart, and against lost or duplicated tokens on resume.
test("a generation streams its own text once and resumes at any offset", async () => {
  const { client, close } = await served();
  const req = request("g-1");
  const whole = await collect(client.run(req));
  assert.equal(whole.text, expectedText("g-1", req.prompt, 20));
  assert.deepEqual(whole.offsets, Array.from({ length: 20 }, (_, i) => i));
  const rest = await collect(client.resume(req.gen, { offset: 15 }));
  assert.deepEqual(rest.offsets, [15, 16, 17, 18, 19]);
  assert.ok(whole.text.endsWith(rest.text));
  assert.deepEqual(rest.end, whole.end);
  const other = await collect(client.run(request("g-2")));
  assert.notEqual(other.text, whole.text);
  await close();
});

// Guards against an engine that runs one generation id twice.
test("a generation id runs at most once", async () => {
  const { engine, client, close } = await served();
  await collect(client.run(request("g-1")));
  const err = await errorOf(collect(client.run(request("g-1"))));
  assert.deepEqual([err.type, (err as { status?: number }).status], ["engine", 409]);
  assert.equal(engine.runs.get(generationId("g-1")), 1);
  await close();
});

// Guards against a crash that looks like a normal end, or that leaves state behind.
test("a crash breaks streams and restarts with an empty memory", async () => {
  const { engine, client, close } = await served();
  const stream = client.run(request("g-1", { prompt: "long [tokens=5000]", maxTokens: 5_000 }));
  const seen: EngineEvent[] = [];
  const failed = errorOf((async () => {
    for await (const event of stream) {
      if (seen.push(event) === 3) engine.switch({ crash: true });
    }
  })());
  assert.equal((await failed).type, "unreachable");
  assert.equal((await errorOf(client.state())).type, "unreachable");
  engine.switch({ restart: true });
  assert.deepEqual(await client.generations(), []);
  assert.equal(
    (await errorOf(collect(client.resume(generationId("g-1"), { offset: 0 })))).type,
    "engine",
  );
  assert.equal(engine.model.cold, true);
  await close();
});

// Guards against a cancelled generation that runs on, or whose stream ends with another reason.
test("a cancelled generation ends with the reason cancelled", async () => {
  const { client, close } = await served();
  const req = request("g-1", { prompt: "long [tokens=5000]", maxTokens: 5_000 });
  const events: EngineEvent[] = [];
  for await (const event of client.run(req)) {
    if (events.push(event) === 1) await client.cancel(req.gen);
  }
  const end = events.at(-1)!;
  assert.equal(end.type === "end" && end.reason, "cancelled");
  await close();
});

// Guards against confusing the two kinds of engine: one rejects outdated fencing numbers, the other ignores them.
test("an engine enforces or ignores fencing numbers as configured", async () => {
  const order = { version: "v1", model: "scribe-7b", adapters: [], role: "serve" };
  const strict = await served({ enforcesFence: true });
  assert.equal((await strict.client.order({ ...order, fence: 5 })).highestFence, 5);
  assert.equal((await errorOf(strict.client.order({ ...order, fence: 4 }))).type, "fenced");
  await strict.close();
  const lax = await served({ enforcesFence: false });
  await lax.client.order({ ...order, fence: 5 });
  assert.equal((await lax.client.order({ ...order, fence: 4 })).highestFence, undefined);
  await lax.close();
});

// Guards against a bad version whose fault occurs on every route or on none.
test("a version that fails on one route fails there only", async () => {
  const behaviours = { v1: { failShare: 1, route: "chat" } };
  const { client, close } = await served({ behaviours });
  const err = await errorOf(collect(client.run(request("g-1", { route: "chat" }))));
  assert.deepEqual([err.type, (err as { status?: number }).status], ["engine", 500]);
  assert.equal((await collect(client.run(request("g-2", { route: "text" })))).offsets.length, 20);
  await close();
});

// Guards against missing or malformed server-sent events, and against text that contains a stop word.
test("a stream is available as server-sent events and stops at stop words", async () => {
  const { server, client, close } = await served();
  const res = await fetch(`${server.origin}/v1/generations`, {
    method: "POST",
    headers: { accept: "text/event-stream" },
    body: JSON.stringify(request("g-1")),
  });
  const lines = (await res.text()).split("\n\n").filter((l) => l.startsWith("data: "));
  assert.equal(lines.length, 21);
  const word = expectedText("g-2", request("g-2").prompt, 6).split(" ").at(-1)!;
  const stopped = await collect(client.run(request("g-2", { stop: [word] })));
  assert.equal(stopped.text.includes(word), false);
  await close();
});
