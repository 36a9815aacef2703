import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { ManualClock, WpFailure } from "@wisteriapick/core";

import { encodeBody, FRAME, helloBody, kindNumber } from "../src/message_codec.ts";
import {
  type Address,
  connectLink,
  type ConnectOptions,
  listenLinks,
  type ListenOptions,
  PROTOCOL_VERSIONS,
} from "../src/mod.ts";
import {
  closeCounts,
  connectOptions,
  listenOptions,
  makeAcceptor,
  makeIdentity,
  makeResume,
  until,
} from "./fixtures.ts";
import { frameBytes, RawPeer, Relay } from "./raw_peer.ts";

async function startListener(t: TestContext, parts: Partial<ListenOptions> = {}) {
  const opened: string[] = [];
  const options = listenOptions({
    acceptor: makeAcceptor({
      onLink: () => opened.push("link"),
      onStream: () => {
        opened.push("stream");
        return { onMessage: () => {}, onClose: () => {} };
      },
      onNotify: () => opened.push("notify"),
    }),
    ...parts,
  });
  const listener = await listenLinks(options);
  t.after(() => listener.close());
  return { listener, options, opened };
}

/** Starts a TCP server that handles its sockets with `serve`, to act as a foreign or malicious acceptor. */
async function startRawServer(t: TestContext, serve: (socket: Socket) => void): Promise<Address> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    serve(socket);
  });
  server.listen({ host: "127.0.0.1", port: 0 });
  await once(server, "listening");
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
}

/** Asserts that a connection is refused with `reason`, and that the connector counts this once. */
async function assertRefused(options: ConnectOptions, reason: string): Promise<void> {
  const refused = (e: WpFailure) => e.err.type === "link" && e.err.reason === reason;
  await assert.rejects(connectLink(options), refused);
  assert.deepEqual(await closeCounts(options.metrics!), { [reason]: 1 });
}

test("a connector with another cluster key is refused, counted at both ends, and opens no link", async (t) => {
  const { listener, options, opened } = await startListener(t);
  await assertRefused(connectOptions(listener.address, { clusterKey: "other" }), "authentication");
  assert.deepEqual(await closeCounts(options.metrics), { authentication: 1 });
  assert.deepEqual(opened, []);
});

test("a listener without the cluster key is refused by the connector", async (t) => {
  const address = await startRawServer(t, (socket) => {
    const peer = new RawPeer(socket);
    const hello = { ...makeIdentity("side"), minVersion: 1, maxVersion: 1 };
    const nonce = Buffer.alloc(32, 7);
    socket.write(frameBytes(FRAME.hello, 0, helloBody.encode({ ...hello, nonce })));
    void until(() => peer.frames.some((f) => f.kind === FRAME.auth)).then(() => {
      socket.write(frameBytes(FRAME.auth, 0, Buffer.alloc(32, 1)));
    });
  });
  await assertRefused(connectOptions(address), "authentication");
});

test("peers without a common protocol version do not connect", async (t) => {
  const { listener, options } = await startListener(t);
  const unsupported = { min: PROTOCOL_VERSIONS.max + 1, max: PROTOCOL_VERSIONS.max + 2 };
  const connecting = connectOptions(listener.address, { versions: unsupported });
  await assertRefused(connecting, "protocol_version");
  assert.deepEqual(await closeCounts(options.metrics), { protocol_version: 1 });
});

// Guards against a rolling upgrade in which processes of two protocol versions cannot connect.
test("one listener has links of two protocol versions open at the same time", async (t) => {
  const { listener } = await startListener(t, { versions: { min: 1, max: 2 } });
  const versions = [{ min: 1, max: 1 }, { min: 1, max: 2 }, { min: 2, max: 3 }];
  const links = [];
  for (const range of versions) {
    links.push(await connectLink(connectOptions(listener.address, { versions: range })));
  }
  await until(() => listener.links.size === 3);
  assert.deepEqual(links.map((link) => link.version), [1, 2, 2]);
  assert.deepEqual([...listener.links].map((link) => link.version), [1, 2, 2]);
  for (const link of links) link.close();
});

// Guards against an attacker who records a handshake and sends the same bytes again.
test("replaying a recorded handshake does not authenticate", async (t) => {
  const { listener, options, opened } = await startListener(t);
  const relay = new Relay(listener.address);
  t.after(() => relay.close());
  const link = await connectLink(connectOptions(await relay.listen()));
  link.notify(makeResume());
  await until(() => opened.includes("notify"));
  const recorded = Buffer.concat(relay.sent[0]!);
  const peer = RawPeer.connect(listener.address);
  peer.send(recorded);
  await until(() => peer.closed);
  assert.deepEqual(await closeCounts(options.metrics), { authentication: 1 });
  assert.deepEqual(opened, ["link", "notify"]);
  link.close();
});

// Guards against a reflection attack: the peer returns this end's own hello and proof.
test("a peer that reflects every frame is refused because of the reflected nonce", async (t) => {
  const address = await startRawServer(t, (socket) => socket.pipe(socket));
  await assertRefused(connectOptions(address), "authentication");
});

// Guards against a reflection attack with a hello of the peer's own.
test("a proof that is reflected to its sender does not authenticate", async (t) => {
  const address = await startRawServer(t, (socket) => {
    const peer = new RawPeer(socket);
    const hello = { ...makeIdentity("side"), minVersion: 1, maxVersion: 1 };
    const nonce = Buffer.alloc(32, 7);
    socket.write(frameBytes(FRAME.hello, 0, helloBody.encode({ ...hello, nonce })));
    void until(() => peer.frames.length === 2).then(() => {
      socket.write(frameBytes(FRAME.auth, 0, peer.frames[1]!.body));
    });
  });
  await assertRefused(connectOptions(address), "authentication");
});

test("messages sent before authentication have no effect", async (t) => {
  const { listener, options, opened } = await startListener(t);
  const peer = RawPeer.connect(listener.address);
  peer.send(frameBytes(kindNumber(makeResume()), 1, encodeBody(makeResume())));
  await until(() => peer.closed);
  assert.deepEqual(opened, []);
  const counts = await closeCounts(options.metrics);
  assert.equal(Object.values(counts).reduce((a, b) => a + b), 1);
});

test("an auth frame without a hello is refused with a typed error", async (t) => {
  const { listener } = await startListener(t);
  const peer = RawPeer.connect(listener.address);
  peer.send(frameBytes(FRAME.auth, 0, Buffer.alloc(32)));
  await until(() => peer.closed);
  assert.equal(peer.frames[0]!.kind, FRAME.refused);
  assert.equal((peer.frames[0]!.body as unknown[])[0], "authentication");
});

test("a hello with an invalid field is refused and counted as malformed", async (t) => {
  const { listener, options } = await startListener(t);
  const peer = RawPeer.connect(listener.address);
  peer.send(frameBytes(FRAME.hello, 0, [1, 1, "root", "p", "h", "d", Buffer.alloc(32)]));
  await until(() => peer.closed);
  assert.deepEqual(await closeCounts(options.metrics), { frame_malformed: 1 });
});

// The first four bytes of an HTTP request are read as a length above the limit.
test("an HTTP client is refused because of the frame length", async (t) => {
  const { listener, options } = await startListener(t);
  const peer = RawPeer.connect(listener.address);
  peer.send(Buffer.from("GET / HTTP/1.1\r\n\r\n"));
  await until(() => peer.closed);
  assert.deepEqual(await closeCounts(options.metrics), { frame_too_large: 1 });
});

// Guards against idle connections of strangers that hold sockets without limit.
test("a connection that sends nothing is closed after the handshake timeout", async (t) => {
  const clock = new ManualClock();
  const { listener, options } = await startListener(t, { clock });
  const peer = RawPeer.connect(listener.address);
  await once(peer.socket, "connect");
  await until(() => listener.pending === 1);
  clock.advance(2_000);
  await until(() => peer.closed);
  assert.deepEqual(await closeCounts(options.metrics), { handshake_timeout: 1 });
});

test("connecting to an address without a listener fails with connect_failed", async (t) => {
  const { listener } = await startListener(t);
  await listener.close();
  await assertRefused(connectOptions(listener.address), "connect_failed");
});

test("links run over TLS, and a peer with another TLS key is refused", async (t) => {
  const psk = Buffer.alloc(32, 3);
  const ciphers = "PSK-AES128-GCM-SHA256";
  const tls = (key: Buffer) => ({
    ciphers,
    pskCallback: () => ({ psk: key, identity: "link" }),
    checkServerIdentity: () => undefined,
  });
  const { listener } = await startListener(t, { tls: { ciphers, pskCallback: () => psk } });
  const link = await connectLink(connectOptions(listener.address, { tls: tls(psk) }));
  assert.equal(link.peer.role, "side");
  link.close();
  const other = connectOptions(listener.address, { tls: tls(Buffer.alloc(32, 4)) });
  await assertRefused(other, "connect_failed");
  await assertRefused(connectOptions(listener.address), "closed");
});

// Guards against closing the links to processes of an earlier build, which know kinds by their numbers.
test("the numbers of the kinds of protocol version 1 do not change", () => {
  assert.equal(kindNumber({ kind: "view_pull", revisions: [] }), 40);
  assert.equal(kindNumber({ kind: "gateway_overload", isOverloaded: true }), 48);
});
