import assert from "node:assert/strict";
import { after, test } from "node:test";
import { Fleet, tokensText, waitUntil } from "./fixtures.ts";
import { type Script, ScriptedSide } from "./scripted_side.ts";
import { range, streamChat } from "./sse_client.ts";

async function makeScripted(script: (side: () => ScriptedSide) => Script) {
  const fleet = new Fleet();
  after(() => fleet.close());
  const side: ScriptedSide = new ScriptedSide("scribe-1", script(() => side));
  await side.join(fleet);
  const { url } = await fleet.startEntry("1", { limits: { resumeBackoffMs: 1 } });
  return { fleet, side, url };
}

test("duplicate and overlapping tokens are delivered once", async () => {
  const { url } = await makeScripted((side) => ({
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

test("a gap in the tokens makes the entry ask for the rest", async () => {
  const { side, url } = await makeScripted((side) => ({
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

test("an end that counts more tokens than arrived makes the entry ask for the rest", async () => {
  const { url } = await makeScripted((side) => ({
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

test("answers that arrive on each other's streams reach neither wrong caller", async () => {
  const { side, url } = await makeScripted((side) => ({
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

test("tokens that arrive after the end change nothing", async () => {
  const { url } = await makeScripted((side) => ({
    onRun: (run) => {
      side().sendAdmitted(run);
      side().sendTokens(run.stream, run.msg.gen, 0, 3);
      run.stream.send({ kind: "end", ...usage(3), load: side().load(), about: run.msg.gen });
      side().sendTokens(run.stream, run.msg.gen, 3, 5);
      run.stream.end();
    },
  }));
  const caller = await streamChat(url).waitForEnd();
  assert.deepEqual(caller.offsets, range(3));
  assert.equal(caller.isCompleted, true);
});

test("a side that never answers is asked again, and without an answer the request runs elsewhere", async () => {
  const fleet = new Fleet();
  after(() => fleet.close());
  const dumb = new ScriptedSide("scribe-1", {});
  await dumb.join(fleet);
  const good: ScriptedSide = new ScriptedSide("scribe-2", {
    onRun: (run) => {
      good.sendAdmitted(run);
      good.sendTokens(run.stream, run.msg.gen, 0, 5);
      good.sendEnd(run.stream, run.msg.gen, 5);
    },
  });
  await good.join(fleet);
  const { url } = await fleet.startEntry("1", {
    limits: { resumeBackoffMs: 1, silenceMs: 20, undeliveredWindowMs: 30 },
  });
  const caller = await streamChat(url).waitForEnd();
  assert.deepEqual(caller.offsets, range(5));
  assert.equal(caller.isCompleted, true);
  assert.ok(dumb.resumes.length >= 1);
});

function usage(completionTokens: number) {
  return { reason: "stop", promptTokens: 3, cachedTokens: 0, completionTokens } as const;
}
