import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import {
  choosePendingToClose,
  connectLink,
  type Link,
  type LinkListener,
  listenLinks,
  type ListenOptions,
  MAX_LINKS_PER_PROCESS,
  MAX_PENDING_PER_ADDRESS,
  pendingHandshakeLimit,
} from "../src/mod.ts";
import { FRAME } from "../src/message_codec.ts";
import { closed, connectOptions, listenOptions, until } from "./fixtures.ts";
import { connectAuthenticated, frameBytes, RawPeer } from "./raw_peer.ts";

/** Connections of a crowd; more than any bound on their number. */
const CROWD = 200;

/** Starts a listener. Returns it with a function that opens raw connections and waits until they are accepted. */
async function startListener(t: TestContext, parts: Partial<ListenOptions> = {}) {
  const listener = await listenLinks(listenOptions(parts));
  const peers: RawPeer[] = [];
  t.after(async () => {
    for (const { socket } of peers) socket.destroy();
    await listener.close();
  });
  const crowd = async (bytes: Uint8Array) => {
    for (let i = 0; i < CROWD; i++) {
      const peer = RawPeer.connect(listener.address);
      peers.push(peer);
      peer.send(bytes);
    }
    await until(() => peers.every(({ socket }) => !socket.connecting));
    // One more turn of the loop accepts what the system has connected.
    for (let i = 0; i < 10; i++) await new Promise((resolve) => setTimeout(resolve, 5));
    return peers;
  };
  return { listener, crowd };
}

const PARTS: Readonly<Record<string, Uint8Array>> = {
  "nothing": new Uint8Array(0),
  "a part of a frame": Uint8Array.of(0, 0, 15, 255, 1, 2, 3),
};

for (const [what, bytes] of Object.entries(PARTS)) {
  // Guards against connections without a handshake that take the descriptors which links need.
  test(`a listener keeps few connections that send ${what}, and still accepts links`, async (t) => {
    const { listener, crowd } = await startListener(t);
    const peers = await crowd(bytes);
    assert.ok(listener.pending <= MAX_PENDING_PER_ADDRESS, `${listener.pending} are pending`);
    await until(() => peers.filter(({ closed }) => !closed).length <= MAX_PENDING_PER_ADDRESS);
    const link = await connectLink(connectOptions(listener.address));
    assert.ok(link.open);
    link.close();
  });
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

// Guards against links of one process that take the descriptors and memory of all others.
test("a process has few links at a time, and its newest one stays open", async (t) => {
  const { listener } = await startListener(t);
  const clock = new ManualClock();
  const links: Link[] = [];
  t.after(() => {
    for (const link of links) link.close();
  });
  for (let i = 0; i < 5 * MAX_LINKS_PER_PROCESS; i++) {
    links.push(await connectLink(connectOptions(listener.address, { clock })));
  }
  await until(() => links.filter(({ open }) => open).length <= MAX_LINKS_PER_PROCESS);
  assert.equal(listener.links.size, MAX_LINKS_PER_PROCESS);
  assert.ok(links.at(-1)!.open);
});

// Guards against a crowd from one address that closes the handshakes of all others.
test("the oldest handshake of the address with the most is closed", () => {
  const pending = ["crowd", "crowd", "peer", "crowd", "other", "other"]
    .map((remote, i) => ({ remote, i }));
  assert.equal(choosePendingToClose(pending)?.i, 0);
  assert.equal(choosePendingToClose(pending.slice(2))?.i, 4);
  assert.equal(choosePendingToClose([]), null);
});

// Guards against TLS handshakes that stop short and take the descriptors which links need.
test("a listener with TLS keeps few connections that send nothing", async (t) => {
  const psk = Buffer.alloc(32, 3);
  const ciphers = "PSK-AES128-GCM-SHA256";
  const tls = { ciphers, maxVersion: "TLSv1.2", pskCallback: () => psk } as const;
  const { listener, crowd } = await startListener(t, { tls });
  const peers = await crowd(Uint8Array.of(22, 3, 1));
  assert.ok(listener.pending <= MAX_PENDING_PER_ADDRESS, `${listener.pending} are pending`);
  await until(() => peers.filter(({ closed }) => !closed).length <= MAX_PENDING_PER_ADDRESS);
  const link = await connectLink(connectOptions(listener.address, {
    tls: {
      ciphers,
      maxVersion: "TLSv1.2",
      checkServerIdentity: () => undefined,
      pskCallback: () => ({ psk, identity: "peer" }),
    },
  }));
  assert.ok(link.open);
  link.close();
});

/** Opens one raw connection from each of {@link CROWD} addresses, and returns the number of those that were closed. */
async function connectFromManyAddresses(
  t: TestContext,
  { address: { host, port } }: LinkListener,
): Promise<() => number> {
  let closed = 0;
  const peers = Array.from({ length: CROWD }, (_, i) => {
    const socket = connect({ host, port, localAddress: `127.0.1.${i + 1}` });
    t.after(() => socket.destroy());
    return socket.on("error", () => {}).once("close", () => closed++).resume();
  });
  await until(() => peers.every(({ connecting }) => !connecting));
  for (let i = 0; i < 10; i++) await new Promise((resolve) => setTimeout(resolve, 5));
  return () => closed;
}

// Guards against a crowd with many addresses that takes the descriptors which links need.
test("a listener keeps few connections without a handshake from many addresses", async (t) => {
  const maxPendingHandshakes = pendingHandshakeLimit(800);
  const { listener } = await startListener(t, { maxPendingHandshakes });
  const closedCount = await connectFromManyAddresses(t, listener);
  assert.ok(listener.pending <= maxPendingHandshakes, `${listener.pending} are pending`);
  await until(() => CROWD - closedCount() <= maxPendingHandshakes);
  const link = await connectLink(connectOptions(listener.address));
  assert.ok(link.open);
  link.close();
});

// Guards against a limit that peers meet which all start at once, on hosts that take a moment to send their hello.
test("peers of a large deployment that connect at once all keep their connections", async (t) => {
  const { listener } = await startListener(t);
  const closedCount = await connectFromManyAddresses(t, listener);
  assert.equal(closedCount(), 0);
});
