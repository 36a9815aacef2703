import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { encodePayload, MAX_FRAME_BYTES } from "../src/frame.ts";
import { encodeBody, FRAME, kindNumber } from "../src/message_codec.ts";
import { connectLink, listenLinks, STREAM_WINDOW_BYTES } from "../src/mod.ts";
import {
  closeCounts,
  connectOptions,
  listenOptions,
  makeRecorder,
  makeResume,
  makeTokens,
  recordStream,
  until,
} from "./fixtures.ts";
import { connectAuthenticated, frameBytes, framed } from "./raw_peer.ts";
import { makeRun } from "./samples.ts";

/** Starts a listener with one well-behaved link and an authenticated peer that can send arbitrary bytes. */
async function makeScene(t: TestContext) {
  const recorder = makeRecorder();
  const options = listenOptions({ acceptor: recorder.acceptor });
  const listener = await listenLinks(options);
  const bystander = await connectLink(connectOptions(listener.address));
  const peer = await connectAuthenticated(listener.address);
  await until(() => listener.links.size === 2);
  t.after(async () => {
    peer.destroy();
    bystander.close();
    await listener.close();
  });
  return { recorder, options, listener, bystander, peer };
}

type Scene = Awaited<ReturnType<typeof makeScene>>;

/** Asserts that the raw peer's link closes with `reason` and that the other link still works. */
async function assertOnlyPeerClosed(scene: Scene, reason: string): Promise<void> {
  await until(() => scene.listener.links.size === 1);
  assert.deepEqual(await closeCounts(scene.options.metrics), { [reason]: 1 });
  const before = scene.recorder.streams.length;
  const client = recordStream();
  scene.bystander.openStream(makeResume(), client.handler);
  await until(() => scene.recorder.streams.length === before + 1);
  scene.recorder.streams[before]!.stream!.send(makeTokens(0));
  await until(() => client.messages.length === 1);
  assert.equal(scene.bystander.open, true);
}

const resume = encodeBody(makeResume()) as unknown[];
const tokens = encodeBody(makeTokens(0));
const RESUME = kindNumber(makeResume());
const TOKENS = kindNumber(makeTokens(0));

// Guards against a malformed frame that stops the process, disturbs other links or reaches a message handler.
const FAULTS: readonly (readonly [string, string, Buffer])[] = [
  ["bytes that are not CBOR", "frame_malformed", framed(Buffer.from("ff00ff", "hex"))],
  ["an empty frame", "frame_malformed", framed(Buffer.alloc(0))],
  ["a frame that is not a triple", "frame_malformed", framed(Buffer.from("820101", "hex"))],
  ["a tagged value", "frame_malformed", framed(Buffer.from("831001c11a00000001", "hex"))],
  ["a negative correlation id", "frame_malformed", frameBytes(RESUME, -1, resume)],
  ["an unknown message kind", "frame_malformed", frameBytes(900, 1, resume)],
  ["an unknown frame kind", "frame_malformed", frameBytes(9, 0, null)],
  ["a second hello", "frame_malformed", frameBytes(FRAME.hello, 0, null)],
  ["a field of the wrong type", "frame_malformed", frameBytes(RESUME, 1, ["g", "a", "0"])],
  ["an id with a forbidden character", "frame_malformed", frameBytes(RESUME, 1, ["g/1", "a", 0])],
  ["a body that is not an array", "frame_malformed", frameBytes(RESUME, 1, 5)],
  ["a message on a stream that was never opened", "frame_malformed", frameBytes(TOKENS, 8, tokens)],
  ["an oversized frame", "frame_too_large", framed(Buffer.alloc(MAX_FRAME_BYTES + 1))],
];

for (const [name, reason, bytes] of FAULTS) {
  test(`${name} closes only its own link, as ${reason}`, async (t) => {
    const scene = await makeScene(t);
    scene.peer.write(bytes);
    await assertOnlyPeerClosed(scene, reason);
    assert.equal(scene.recorder.streams.length, 1);
    assert.deepEqual(scene.recorder.notes, []);
  });
}

test("a connection that ends inside a frame is counted as truncated", async (t) => {
  const scene = await makeScene(t);
  scene.peer.end(frameBytes(RESUME, 1, resume).subarray(0, 9));
  await assertOnlyPeerClosed(scene, "frame_truncated");
  assert.equal(scene.recorder.streams.length, 1);
});

// Guards against a peer that makes this end send without limit by returning more credit than it received bytes.
test("credit beyond the window closes the link", async (t) => {
  for (const credit of [1, -1, STREAM_WINDOW_BYTES]) {
    const scene = await makeScene(t);
    const opening = frameBytes(RESUME, 1, resume);
    scene.peer.write(Buffer.concat([opening, frameBytes(FRAME.credit, 1, credit)]));
    await assertOnlyPeerClosed(scene, "flow_control");
  }
});

test("credit that is not an integer closes the link", async (t) => {
  const scene = await makeScene(t);
  const opening = frameBytes(RESUME, 1, resume);
  scene.peer.write(Buffer.concat([opening, frameBytes(FRAME.credit, 1, "5")]));
  await assertOnlyPeerClosed(scene, "frame_malformed");
});

// Guards against unbounded memory when a peer ignores flow control while the receiver is paused.
test("a peer that sends without credit is disconnected after one window and one frame", async (t) => {
  const scene = await makeScene(t);
  scene.peer.write(frameBytes(RESUME, 1, resume));
  await until(() => scene.recorder.streams.length === 1);
  const victim = scene.recorder.streams[0]!;
  victim.stream!.pause();
  const frame = frameBytes(TOKENS, 1, encodeBody(makeTokens(0, "x".repeat(1_000))));
  for (let i = 0; i < 200; i++) scene.peer.write(frame);
  await assertOnlyPeerClosed(scene, "flow_control");
  const taken = (victim.messages.length - 1) * (frame.length - 4);
  assert.ok(taken <= STREAM_WINDOW_BYTES + frame.length, `${taken} bytes taken`);
  assert.deepEqual(victim.closes.map((err) => err?.type), ["link"]);
});

// Guards against frames in flight at the time of an abort that close the link or reach a newer stream.
test("late frames of a closed stream are ignored and reach no other stream", async (t) => {
  const scene = await makeScene(t);
  scene.peer.write(frameBytes(RESUME, 1, resume));
  await until(() => scene.recorder.streams.length === 1);
  scene.recorder.streams[0]!.stream!.abort();
  scene.peer.write(frameBytes(TOKENS, 1, tokens));
  scene.peer.write(frameBytes(FRAME.credit, 1, 5));
  scene.peer.write(frameBytes(FRAME.streamEnd, 1, null));
  scene.peer.write(frameBytes(RESUME, 3, resume));
  await until(() => scene.recorder.streams.length === 2);
  assert.equal(scene.recorder.streams[0]!.messages.length, 1);
  assert.equal(scene.recorder.streams[1]!.messages.length, 1);
  assert.equal(scene.listener.links.size, 2);
});

test("a message sent after the peer ended the stream closes the link", async (t) => {
  const scene = await makeScene(t);
  scene.peer.write(frameBytes(RESUME, 1, resume));
  scene.peer.write(frameBytes(FRAME.streamEnd, 1, null));
  scene.peer.write(frameBytes(TOKENS, 1, tokens));
  await assertOnlyPeerClosed(scene, "flow_control");
});

// Guards against an oversized message that reaches the peer, which would close the link and all of its streams.
test("a message larger than a frame is rejected at the sender and not sent", async (t) => {
  const scene = await makeScene(t);
  const run = makeRun("x".repeat(MAX_FRAME_BYTES));
  assert.throws(() => scene.bystander.openStream(run, recordStream().handler), {
    name: "WpFailure",
  });
  assert.equal(scene.bystander.streams, 0);
  const largest = makeRun("x".repeat(MAX_FRAME_BYTES - 300));
  assert.ok(encodePayload(16, 1, encodeBody(largest)).length <= MAX_FRAME_BYTES);
  scene.bystander.openStream(largest, recordStream().handler);
  await until(() => scene.recorder.streams.length === 1);
  assert.deepEqual(scene.recorder.streams[0]!.messages, [largest]);
});
