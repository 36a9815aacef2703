import assert from "node:assert/strict";
import { after, test } from "node:test";
import OpenAI from "openai";
import { CLIENT_KEY, FakeEngine, Fleet, tokensText } from "./fixtures.ts";

function makeClient(url: string, apiKey = CLIENT_KEY): OpenAI {
  return new OpenAI({ baseURL: `${url}/v1`, apiKey, maxRetries: 0 });
}

const MESSAGES = [{ role: "user" as const, content: "Describe the bowl" }];

test("the official client gets a streamed answer with every token once", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  engine.release(5);
  await fleet.side("scribe-1", engine);
  const { url } = await fleet.entry("1");
  const stream = await makeClient(url).chat.completions.create({
    model: "scribe",
    messages: MESSAGES,
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

test("the official client gets a whole answer", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const engine = new FakeEngine();
  engine.release(5);
  await fleet.side("scribe-1", engine);
  const { url } = await fleet.entry("1");
  const answer = await makeClient(url).chat.completions.create({
    model: "scribe",
    messages: MESSAGES,
    max_tokens: 3,
  });
  assert.equal(answer.choices[0]!.message.content, tokensText(3));
  assert.equal(answer.choices[0]!.finish_reason, "length");
  assert.equal(answer.usage!.completion_tokens, 3);
});
