import assert from "node:assert/strict";
import { after, test } from "node:test";
import {
  CLUSTER_KEY,
  FakeEngine,
  Fleet,
  OTHER_KEY,
  SHOP,
  tokensText,
  waitUntil,
} from "./fixtures.ts";
import { range, resumeChat, streamChat } from "./sse_client.ts";
import { dataCentreId, generationId, serviceId } from "@wisteriapick/core";
import { ResumeSigner } from "@wisteriapick/delivery";

async function startFleet(entries = 2) {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  const side = await fleet.startSide("scribe-1", engine);
  const all = [];
  for (let i = 1; i <= entries; i++) all.push(await fleet.startEntry(String(i)));
  return { fleet, engine, side, entries: all };
}

// Guards against a crash of an entry losing the responses that it was relaying.
test("a response resumes at another entry after its entry died, with no token lost or repeated", async () => {
  const { engine, entries } = await startFleet();
  engine.totalTokens = 8;
  engine.release(3);
  const first = streamChat(entries[0]!.url, { tokens: 100 });
  await first.waitForTokens(3);
  entries[0]!.kill();
  await first.waitForEnd();
  assert.equal(first.isBroken, true);
  const second = resumeChat(entries[1]!.url, first.lastId);
  engine.release(8);
  await second.waitForEnd();
  assert.deepEqual([...first.offsets, ...second.offsets], range(8));
  assert.equal(first.text + second.text, tokensText(8));
  assert.equal(second.isCompleted, true);
  assert.equal(engine.runs.length, 1);
});

// Guards against generating a response twice when a client reconnects by sending its request again.
test("a retried request with the last event id resumes instead of running again", async () => {
  const { engine, entries } = await startFleet(1);
  engine.release(2);
  const first = streamChat(entries[0]!.url);
  await first.waitForTokens(2);
  first.abort();
  const second = resumeChat(entries[0]!.url, first.lastId, { method: "POST" });
  engine.release(5);
  await second.waitForEnd();
  assert.deepEqual([...first.offsets, ...second.offsets], range(5));
  assert.equal(engine.runs.length, 1);
});

// Guards against discarding a finished generation before its caller has read it.
test("a response that ended while its caller was disconnected is still delivered", async () => {
  const { engine, entries, side } = await startFleet();
  engine.release(2);
  const first = streamChat(entries[0]!.url);
  await first.waitForTokens(2);
  first.abort();
  engine.release(5);
  await waitUntil(() => side.side.load().running === 0);
  const second = await resumeChat(entries[1]!.url, first.lastId).waitForEnd();
  assert.deepEqual(second.offsets, [2, 3, 4]);
  assert.equal(second.isCompleted, true);
});

// Guards against one stream consuming the tokens of another stream of the same generation.
test("two callers that resume the same response each get all the remaining tokens", async () => {
  const { engine, entries } = await startFleet();
  engine.release(2);
  const first = streamChat(entries[0]!.url);
  await first.waitForTokens(2);
  const id = first.lastId;
  const others = entries.map((e) => resumeChat(e.url, id));
  engine.release(5);
  for (const other of others) assert.deepEqual((await other.waitForEnd()).offsets, [2, 3, 4]);
  assert.deepEqual((await first.waitForEnd()).offsets, range(5));
});

// Guards against a caller reading the response of another account with a forged or copied event id.
test("an event id with a changed signature, payload or account is refused", async () => {
  const { engine, entries } = await startFleet(1);
  const { url } = entries[0]!;
  engine.release(5);
  const first = await streamChat(url).waitForEnd();
  const [payload, mac] = first.lastId.split(".") as [string, string];
  const flipped = mac.startsWith("A") ? `B${mac.slice(1)}` : `A${mac.slice(1)}`;
  const forged = Buffer.from(payload, "base64url").toString().replace('"shop"', '"other"');
  const cases: [string, string | undefined, string][] = [
    [`${payload}.${flipped}.0`, undefined, "resume_forbidden"],
    [`${Buffer.from(forged).toString("base64url")}.${mac}.0`, OTHER_KEY, "resume_forbidden"],
    [first.lastId, OTHER_KEY, "resume_forbidden"],
    [`${payload}.${mac}.-2`, undefined, "invalid_request"],
    [`${payload}.${mac}`, undefined, "invalid_request"],
    ["nonsense", undefined, "invalid_request"],
  ];
  for (const [id, key, type] of cases) {
    const res = await resumeChat(url, id, { key }).waitForEnd();
    assert.equal(JSON.parse(res.body).type, type, id);
    assert.equal(JSON.parse(res.body).not_run, true);
  }
});

// Guards against a client that cannot tell whether it must send its request anew.
test("an expired event id and one of an unknown generation are refused with their own types", async () => {
  const { entries, side } = await startFleet(1);
  const { url } = entries[0]!;
  const ref = {
    dataCentre: dataCentreId("dc-1"),
    side: side.address,
    gen: generationId("g-unknown"),
    account: SHOP,
    service: serviceId("scribe"),
    format: "chat" as const,
    created: 0,
    includeUsage: false,
    expiresMs: Date.now() + 60_000,
  };
  const signer = new ResumeSigner(CLUSTER_KEY);
  const expired = `${signer.sign({ ...ref, expiresMs: 1 })}.0`;
  const first = await resumeChat(url, expired).waitForEnd();
  assert.equal(first.status, 410);
  assert.equal(JSON.parse(first.body).type, "resume_expired");
  const unknown = await resumeChat(url, `${signer.sign(ref)}.0`).waitForEnd();
  assert.equal(unknown.status, 404);
  assert.equal(JSON.parse(unknown.body).type, "generation_unknown");
});

// Guards against abandoned generations that occupy an engine until they end.
test("a generation whose caller does not return is cancelled at the engine after the grace time", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  const { side } = await fleet.startSide("scribe-1", engine, { times: { graceMs: 30 } });
  const { url } = await fleet.startEntry("1");
  engine.release(2);
  const caller = streamChat(url);
  await caller.waitForTokens(2);
  caller.abort();
  await waitUntil(() => engine.cancelled.length === 1);
  assert.equal(side.load().running, 0);
});

// Guards against keeping a generation for the grace time although its caller has no event id to resume it with.
test("a generation of which nothing was delivered is cancelled at once when its caller disconnects", async () => {
  const { engine, entries } = await startFleet(1);
  const caller = streamChat(entries[0]!.url);
  await waitUntil(() => engine.runs.length === 1);
  caller.abort();
  await waitUntil(() => engine.cancelled.length === 1);
});

// Guards against tokens lost while the caller's connection does not accept any.
test("a slow caller gets every token once it reads again", async () => {
  const { engine, entries } = await startFleet(1);
  engine.totalTokens = 20_000;
  engine.release(1);
  const caller = streamChat(entries[0]!.url, { tokens: 20_000 });
  await caller.waitForTokens(1);
  caller.pause();
  engine.release(20_000);
  await waitUntil(() => engine.finishedCount >= 1);
  caller.resume();
  await caller.waitForEnd();
  assert.deepEqual(caller.offsets, range(20_000));
  assert.equal(caller.isCompleted, true);
});
