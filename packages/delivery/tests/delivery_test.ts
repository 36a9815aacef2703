import assert from "node:assert/strict";
import { test } from "node:test";
import { type GenerationId, generationId, REFUSAL_REASONS, WpFailure } from "@wisteriapick/core";
import fc from "fast-check";
import {
  encodeBufferedResponse,
  GenerationLog,
  GenerationLogStore,
  makeProblemResponse,
  parseCompletionRequest,
  ResumeSigner,
  SseWriter,
  TokenCursor,
} from "../src/mod.ts";
import { makeHead, makeRef, makeSink } from "./fixtures.ts";

const USAGE = { promptTokens: 3, cachedTokens: 1, completionTokens: 2 };

function refusalType(fn: () => unknown): string {
  try {
    fn();
  } catch (e) {
    if (e instanceof WpFailure && e.err.type === "refused") return e.err.refusal.type;
    throw e;
  }
  return "none";
}

test("a cursor delivers every token once and in order, whatever arrives", () => {
  const batches = fc.array(fc.tuple(fc.nat(30), fc.nat(6)), { maxLength: 60 });
  fc.assert(
    fc.property(batches, (list) => {
      const cursor = new TokenCursor(0);
      const out: string[] = [];
      for (const [offset, count] of list) {
        const items = Array.from({ length: count }, (_, i) => String(offset + i));
        const before = cursor.next;
        const res = cursor.accept(offset, items);
        if (res.type === "deliver") out.push(...res.items);
        if (res.type === "gap") assert.ok(offset > before);
      }
      assert.deepEqual(out, out.map((_, i) => String(i)));
      assert.equal(cursor.next, out.length);
    }),
    { seed: 1, numRuns: 500 },
  );
});

test("a log takes each offset once, notices gaps and takes nothing after its end", () => {
  const log = new GenerationLog<string>();
  assert.equal(log.append(0, "a"), true);
  assert.equal(log.append(0, "x"), false);
  assert.equal(log.append(2, "c"), "gap");
  assert.equal(log.append(1, "b"), true);
  assert.equal(log.finish("done", 5), true);
  assert.equal(log.finish("again", 6), false);
  assert.equal(log.append(2, "c"), false);
  assert.deepEqual(log.read(1), ["b"]);
  assert.deepEqual(log.end, { at: 5, value: "done" });
});

test("a store keeps ended generations for the grace time and never uses an id twice", () => {
  const store = new GenerationLogStore<GenerationId, string>({ graceMs: 10 });
  const id = generationId("g-1");
  store.create(id)!.append(0, "a");
  assert.equal(store.create(id), null);
  store.finish(id, "done", 100);
  store.sweep(109);
  assert.deepEqual(store.get(id)!.read(0), ["a"]);
  store.sweep(110);
  assert.equal(store.get(id), null);
  assert.equal(store.create(id), null);
});

test("a store above its memory bound drops ended generations, oldest first, and no running one", () => {
  const store = new GenerationLogStore<GenerationId, string>({ maxBytes: 150, maxEndedIds: 2 });
  const ids = ["g-1", "g-2", "g-3"].map(generationId);
  for (const id of ids) store.create(id)!.append(0, "x".repeat(30));
  store.finish(ids[1]!, "done", 1);
  store.finish(ids[0]!, "done", 2);
  assert.ok(store.sweep(3) <= 152);
  assert.equal(store.get(ids[1]!), null);
  assert.notEqual(store.get(ids[2]!), null);
  const more = ["g-4", "g-5", "g-6"].map(generationId);
  for (const id of more) store.create(id);
  for (const id of more) store.finish(id, "done", 4);
  store.sweep(5);
  assert.equal(store.wasUsed(more[2]!), true);
  assert.equal(store.wasUsed(ids[0]!), false);
});

test("a signed ref comes back whole", () => {
  const signer = new ResumeSigner("key");
  const ref = makeRef({ includeUsage: true, format: "text" });
  const signed = signer.sign(ref);
  const point = signer.verify(`${signed}.41`, { account: ref.account, wallMs: 1_000 });
  assert.deepEqual(point, { ref, signed, offset: 41 });
});

test("no changed character of an event id passes as another generation", () => {
  const signer = new ResumeSigner("key");
  const ref = makeRef();
  const id = `${signer.sign(ref)}.41`;
  const signedLength = id.lastIndexOf(".");
  fc.assert(
    fc.property(fc.nat(signedLength - 1), fc.constantFrom(..."ABCxyz019-_."), (at, char) => {
      const changed = id.slice(0, at) + char + id.slice(at + 1);
      if (changed === id) return;
      let point;
      try {
        point = signer.verify(changed, { account: ref.account, wallMs: 0 });
      } catch (e) {
        assert.ok(e instanceof WpFailure && e.err.type === "refused");
        return;
      }
      // The last characters of base64 hold unused bits; only an equal signature may pass.
      assert.deepEqual(point.ref, ref);
    }),
    { seed: 1, numRuns: 2_000 },
  );
});

test("another key, another account and an expired id are refused by type", () => {
  const ref = makeRef();
  const id = `${new ResumeSigner("key").sign(ref)}.0`;
  const verify = (key: string, account: string, wallMs: number) =>
    refusalType(() => {
      new ResumeSigner(key).verify(id, { account: account as typeof ref.account, wallMs });
    });
  assert.equal(verify("other", "shop", 0), "resume_forbidden");
  assert.equal(verify("key", "other", 0), "resume_forbidden");
  assert.equal(verify("key", "shop", 1_001), "resume_expired");
  assert.equal(verify("key", "shop", 1_000), "none");
});

test("tokens with any characters come out of the events as they went in, in one write a turn", async () => {
  const items = ["line\nbreak", '"quote"', "data: x\n\n", "é 🏺", "\u2028"];
  const sink = makeSink();
  const sse = new SseWriter(sink, { head: makeHead(), signedRef: "ref", includeUsage: true });
  sse.open();
  sse.tokens(0, items.slice(0, 2));
  sse.tokens(2, items.slice(2));
  assert.equal(sink.writes.length, 0);
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(sink.writes.length, 1);
  sse.end("stop", USAGE);
  const events = sink.writes.join("").split("\n\n").slice(0, -1);
  const tokens = events.slice(1, 6).map((event) => event.split("\n"));
  assert.deepEqual(tokens.map(([id]) => id), [0, 1, 2, 3, 4].map((i) => `id: ref.${i}`));
  const data = events.slice(0, -1).map((e) => JSON.parse(e.slice(e.indexOf("data: ") + 6)));
  assert.equal(data.map((c) => c.choices[0]?.delta.content ?? "").join(""), items.join(""));
  assert.equal(data[0].choices[0].delta.role, "assistant");
  assert.equal(data.at(-2).choices[0].finish_reason, "stop");
  assert.equal(data.at(-1).usage.total_tokens, 5);
  assert.equal(events.at(-1), "data: [DONE]");
});

test("a whole answer carries text, finish reason and usage", () => {
  const chat = JSON.parse(encodeBufferedResponse(makeHead(), "hi", "length", USAGE));
  assert.equal(chat.id, "chatcmpl-g-1");
  assert.equal(chat.choices[0].message.content, "hi");
  assert.equal(chat.choices[0].finish_reason, "length");
  assert.equal(chat.usage.prompt_tokens_details.cached_tokens, 1);
  const text = JSON.parse(encodeBufferedResponse(makeHead("text"), "hi", "stop", USAGE));
  assert.equal(text.choices[0].text, "hi");
});

test("every refusal has a document, and clients are told to retry only what did not run", () => {
  for (const type of REFUSAL_REASONS) {
    for (const notRun of [true, false, "unknown"] as const) {
      const refusal = { type, message: "why", notRun, retryAfterMs: 1_500 };
      const { status, headers, body } = makeProblemResponse(refusal);
      const doc = JSON.parse(body);
      assert.ok(status >= 400 && status < 600);
      assert.equal(doc.type, type);
      assert.equal(doc.not_run, notRun);
      assert.equal(doc.error.code, type);
      assert.equal(headers["retry-after"], "2");
      if (notRun !== true && status >= 500) assert.equal(headers["x-should-retry"], "false");
    }
  }
});

test("a request is refused with the key path that is wrong", () => {
  const message = (body: unknown) => {
    try {
      parseCompletionRequest("chat", typeof body === "string" ? body : JSON.stringify(body));
    } catch (e) {
      return (e as Error).message;
    }
    return "none";
  };
  const messages = [{ role: "user", content: [{ type: "text", text: "a" }] }];
  assert.equal(message({ model: "scribe", messages }), "none");
  assert.match(message("{"), /JSON/);
  assert.match(message({ messages }), /^model: /);
  assert.match(message({ model: "scribe", messages, max_tokens: 0 }), /^max_tokens: /);
  assert.match(message({ model: "scribe", messages, n: 2 }), /^n: expected 1/);
  assert.match(
    message({ model: "scribe", messages: [{ role: "robot" }] }),
    /^messages\.0\.role: /,
  );
});
