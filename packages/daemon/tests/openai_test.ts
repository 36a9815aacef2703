import assert from "node:assert/strict";
import { after, test } from "node:test";
import OpenAI from "openai";
import {
  CLIENT_KEY,
  FakeEngine,
  Fleet,
  makeConfig,
  OTHER_KEY,
  tokensText,
  waitUntil,
} from "./fixtures.ts";
import { ScriptedSide } from "./scripted_side.ts";

function makeClient(url: string, { apiKey = CLIENT_KEY, maxRetries = 0 } = {}): OpenAI {
  return new OpenAI({ baseURL: `${url}/v1`, apiKey, maxRetries });
}

const MESSAGES = [{ role: "user" as const, content: "Describe the bowl" }];
const CHAT = { model: "scribe", messages: MESSAGES };

async function startService() {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  engine.release(5);
  const side = await fleet.startSide("scribe-1", engine);
  const { url, entry } = await fleet.startEntry("1");
  return { fleet, engine, side, url, entry };
}

// Guards against chunks that the official client cannot parse or that miss text, finish reason or usage.
test("the official client gets a streamed response with every token once", async () => {
  const { url } = await startService();
  const stream = await makeClient(url).chat.completions.create({
    ...CHAT,
    stream: true,
    stream_options: { include_usage: true },
  });
  let text = "";
  let finish: string | null = null;
  let usage = 0;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? "";
    finish = chunk.choices[0]?.finish_reason ?? finish;
    usage = chunk.usage?.completion_tokens ?? usage;
  }
  assert.equal(text, tokensText(5));
  assert.equal(finish, "stop");
  assert.equal(usage, 5);
});

// Guards against a non-streaming response that the official client cannot parse.
test("the official client gets a buffered response", async () => {
  const { url } = await startService();
  const completion = await makeClient(url).chat.completions.create({ ...CHAT, max_tokens: 3 });
  assert.equal(completion.choices[0]!.message.content, tokensText(3));
  assert.equal(completion.choices[0]!.finish_reason, "length");
  assert.equal(completion.usage!.completion_tokens, 3);
});

// Guards against text completions in the format of chat completions.
test("the official client gets text completions, streamed and buffered", async () => {
  const { url } = await startService();
  const client = makeClient(url);
  const prompt = "Describe";
  const completion = await client.completions.create({ model: "scribe", prompt });
  assert.equal(completion.choices[0]!.text, tokensText(5));
  let text = "";
  const stream = await client.completions.create({ model: "scribe", prompt, stream: true });
  for await (const chunk of stream) text += chunk.choices[0]?.text ?? "";
  assert.equal(text, tokensText(5));
});

// Guards against listing services that the account is not authorised for.
test("the official client lists the model services that its account may use", async () => {
  const { url } = await startService();
  const models = await makeClient(url).models.list();
  assert.deepEqual(models.data.map((m) => m.id), ["scribe"]);
  const none = await makeClient(url, { apiKey: OTHER_KEY }).models.list();
  assert.deepEqual(none.data, []);
});

// Guards against a generation that occupies its engine although its caller has aborted.
test("aborting a stream in the official client cancels the generation", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  engine.release(2);
  await fleet.startSide("scribe-1", engine, { times: { graceMs: 20 } });
  const { url } = await fleet.startEntry("1");
  const stream = await makeClient(url).chat.completions.create({ ...CHAT, stream: true });
  for await (const chunk of stream) {
    if (chunk.choices[0]?.delta.content === "t1 ") break;
  }
  stream.controller.abort();
  await waitUntil(() => engine.cancelled.length === 1);
});

// Guards against status codes and bodies that the official client maps to the wrong error.
test("each refusal raises the error class that the official client has for it", async () => {
  const { url, fleet } = await startService();
  const client = makeClient(url);
  const create = (c: OpenAI, overrides: object = {}) =>
    c.chat.completions.create({ ...CHAT, ...overrides } as typeof CHAT);
  const cases: [Promise<unknown>, new (...args: never[]) => Error, string][] = [
    [create(makeClient(url, { apiKey: "wrong" })), OpenAI.AuthenticationError, "unauthenticated"],
    [
      create(makeClient(url, { apiKey: OTHER_KEY })),
      OpenAI.PermissionDeniedError,
      "forbidden",
    ],
    [create(client, { model: "none" }), OpenAI.NotFoundError, "unknown_service"],
    [create(client, { messages: [] }), OpenAI.BadRequestError, "invalid_request"],
    [create(client, { temperature: 9 }), OpenAI.BadRequestError, "invalid_request"],
  ];
  for (const [promise, type, code] of cases) {
    await assert.rejects(promise, (e) => e instanceof type && errorCode(e) === code, code);
  }
  fleet.config.set(makeConfig({ dataCentres: [{ id: "dc-1", region: "r-1", state: "out" }] }, 2));
  await assert.rejects(create(client), (e) => {
    return e instanceof OpenAI.InternalServerError && errorCode(e) === "no_endpoint";
  });
});

// Guards against an overload response that the official client does not retry by itself.
test("an overloaded fleet raises an error that the official client retries", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  let refusals = 2;
  const side: ScriptedSide = new ScriptedSide("scribe-1", {
    onRun: (run) => {
      if (refusals-- > 0) {
        const load = side.load();
        const about = run.msg.gen;
        run.stream.send({ kind: "not_run", reason: "overloaded", retryAfterMs: 1, load, about });
        return run.stream.end();
      }
      side.sendAdmitted(run);
      side.sendTokens(run.stream, run.msg.gen, 0, 2);
      side.sendEnd(run.stream, run.msg.gen, 2);
    },
  });
  await side.join(fleet);
  const { url } = await fleet.startEntry("1");
  const completion = await makeClient(url, { maxRetries: 2 }).chat.completions.create(CHAT);
  assert.equal(completion.choices[0]!.message.content, tokensText(2));
  assert.equal(side.runs.length, 3);
});

// Guards against a failed stream that the official client takes for complete.
test("a stream that fails after its first token raises an error in the official client", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  engine.release(2);
  await fleet.startSide("scribe-1", engine, { times: { backoffMs: 1, maxFailures: 1 } });
  const { url } = await fleet.startEntry("1");
  const stream = await makeClient(url).chat.completions.create({ ...CHAT, stream: true });
  const read = async () => {
    for await (const chunk of stream) {
      if (chunk.choices[0]?.delta.content === "t1 ") engine.crash({ down: true });
    }
  };
  await assert.rejects(read(), (e) => {
    return e instanceof OpenAI.APIError && errorCode(e) === "engine_lost";
  });
});

function errorCode(e: unknown): string | null | undefined {
  return (e as { code?: string | null }).code;
}
