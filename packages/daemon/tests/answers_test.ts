import assert from "node:assert/strict";
import { after, test } from "node:test";
import { Fleet, tokensText, waitUntil } from "./fixtures.ts";
import { type Script, ScriptedSide } from "./scripted_side.ts";
import { range, streamChat } from "./sse_client.ts";

async function startScriptedSide(script: (side: () => ScriptedSide) => Script) {
  const fleet = new Fleet();
  after(() => fleet.close());
  const side: ScriptedSide = new ScriptedSide("scribe-1", script(() => side));
  await side.join(fleet);
  const { url } = await fleet.startEntry("1", { limits: { resumeBackoffMs: 1 } });
  return { fleet, side, url };
}

// Guards against repeated text when a side sends a token range twice or ranges that overlap.
test("duplicate and overlapping tokens are delivered once", async () => {
  const { url } = await startScriptedSide((side) => ({
    onRun: (run) => {
      side().sendAdmitted(run);
      const { gen } = run.msg;
      side().sendTokens(run.stream, gen, 0, 2);
      side().sendTokens(run.stream, gen, 0, 2);
      side().sendTokens(run.stream, gen, 1, 4);
      side().sendTokens(run.stream, gen, 4, 5);
      side().sendEnd(run.stream, gen, 5);
    },
  }));
  const caller = await streamChat(url).waitForEnd();
  assert.deepEqual(caller.offsets, range(5));
  assert.equal(caller.text, tokensText(5));
});

// Guards against a response with missing text when a side skips tokens.
test("a gap in the tokens makes the entry resume the generation", async () => {
  const { side, url } = await startScriptedSide((side) => ({
    onRun: (run) => {
      side().sendAdmitted(run);
      side().sendTokens(run.stream, run.msg.gen, 0, 2);
      side().sendTokens(run.stream, run.msg.gen, 3, 5);
    },
    onResume: ({ stream, msg }) => {
      side().sendTokens(stream, msg.gen, msg.offset, 5);
      side().sendEnd(stream, msg.gen, 5);
    },
  }));
  const caller = await streamChat(url).waitForEnd();
  assert.deepEqual(caller.offsets, range(5));
  assert.deepEqual(side.resumes.map((r) => r.msg.offset), [2]);
});

// Guards against a truncated response that looks complete, when the last tokens before the end are lost.
test("an end that counts more tokens than have arrived makes the entry resume the generation", async () => {
  const { url } = await startScriptedSide((side) => ({
    onRun: (run) => {
      side().sendAdmitted(run);
      side().sendTokens(run.stream, run.msg.gen, 0, 3);
      side().sendEnd(run.stream, run.msg.gen, 5);
    },
    onResume: ({ stream, msg }) => {
      side().sendTokens(stream, msg.gen, msg.offset, 5);
      side().sendEnd(stream, msg.gen, 5);
    },
  }));
  const caller = await streamChat(url).waitForEnd();
  assert.deepEqual(caller.offsets, range(5));
  assert.equal(caller.isCompleted, true);
});

// Guards against a caller receiving another caller's text when a side confuses two streams.
test("tokens that arrive on the stream of another generation reach only their own caller", async () => {
  const { side, url } = await startScriptedSide((side) => ({
    onRun: (run) => {
      side().sendAdmitted(run);
      const { runs } = side();
      if (runs.length < 2) return;
      const [a, b] = runs as [typeof run, typeof run];
      side().sendTokens(a.stream, b.msg.gen, 0, 3, "b");
      side().sendEnd(a.stream, b.msg.gen, 3);
      side().sendTokens(b.stream, a.msg.gen, 0, 3, "a");
      side().sendEnd(b.stream, a.msg.gen, 3);
    },
    onResume: ({ stream, msg }) => {
      const text = msg.gen === side().runs[0]!.msg.gen ? "a" : "b";
      side().sendTokens(stream, msg.gen, msg.offset, 3, text);
      side().sendEnd(stream, msg.gen, 3);
    },
  }));
  const first = streamChat(url, { prompt: "first" });
  await waitUntil(() => side.runs.length === 1);
  const second = streamChat(url, { prompt: "second" });
  await Promise.all([first.waitForEnd(), second.waitForEnd()]);
  assert.equal(first.text, "a0 a1 a2 ");
  assert.equal(second.text, "b0 b1 b2 ");
});

// Guards against text after the end of a response when a side continues to send.
test("tokens that arrive after the end are ignored", async () => {
  const { url } = await startScriptedSide((side) => ({
    onRun: (run) => {
      side().sendAdmitted(run);
      side().sendTokens(run.stream, run.msg.gen, 0, 3);
      run.stream.send({ kind: "end", ...makeUsage(3), load: side().load(), about: run.msg.gen });
      side().sendTokens(run.stream, run.msg.gen, 3, 5);
      run.stream.end();
    },
  }));
  const caller = await streamChat(url).waitForEnd();
  assert.deepEqual(caller.offsets, range(3));
  assert.equal(caller.isCompleted, true);
});

// Guards against a request that hangs on a side which accepts it and sends nothing.
test("a request to a side that never responds is resumed there, and then runs elsewhere", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const unresponsive = new ScriptedSide("scribe-1", {});
  await unresponsive.join(fleet);
  const responsive: ScriptedSide = new ScriptedSide("scribe-2", {
    onRun: (run) => {
      responsive.sendAdmitted(run);
      responsive.sendTokens(run.stream, run.msg.gen, 0, 5);
      responsive.sendEnd(run.stream, run.msg.gen, 5);
    },
  });
  await responsive.join(fleet);
  const { url } = await fleet.startEntry("1", {
    limits: { resumeBackoffMs: 1, idleTimeoutMs: 20, undeliveredWindowMs: 30 },
  });
  const caller = await streamChat(url).waitForEnd();
  assert.deepEqual(caller.offsets, range(5));
  assert.equal(caller.isCompleted, true);
  assert.ok(unresponsive.resumes.length >= 1);
});

function makeUsage(completionTokens: number) {
  return { reason: "stop", promptTokens: 3, cachedTokens: 0, completionTokens } as const;
}
