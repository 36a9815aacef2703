import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { listenLinks, type ListenOptions } from "../src/mod.ts";
import { FRAME } from "../src/message_codec.ts";
import { closed, listenOptions, until } from "./fixtures.ts";
import { connectAuthenticated, frameBytes } from "./raw_peer.ts";

/** Starts a listener. */
async function startListener(t: TestContext, parts: Partial<ListenOptions> = {}) {
  const listener = await listenLinks(listenOptions(parts));
  t.after(() => listener.close());
  return { listener };
}

/** Bytes that may wait on a link of the test. */
const QUEUED_BYTES = 262_144;

// Guards against responses to pings that fill the memory, as the peer does not read them.
test("a link whose peer reads nothing is closed before much waits on it", async (t) => {
  const { listener } = await startListener(t, { maxQueuedBytes: QUEUED_BYTES });
  const socket = await connectAuthenticated(listener.address);
  t.after(() => socket.destroy());
  await until(() => listener.links.size === 1);
  const [link] = listener.links;
  const end = closed(link!);
  socket.pause();
  const pings = Buffer.concat(Array(4_096).fill(frameBytes(FRAME.ping, 0, null)));
  let most = 0;
  while (link!.open && most <= 4 * QUEUED_BYTES) {
    await new Promise((resolve) => socket.write(pings, resolve));
    most = Math.max(most, link!.queuedBytes);
  }
  assert.ok(most <= 2 * QUEUED_BYTES, `${most} bytes wait`);
  assert.deepEqual(await end, {
    type: "link",
    reason: "flow_control",
    message: "the peer does not read",
  });
});
