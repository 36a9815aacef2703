import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { connectLink, listenLinks, STREAM_WINDOW_BYTES } from "../src/mod.ts";
import {
  connectOptions,
  listenOptions,
  makeRecorder,
  makeResume,
  makeTokens,
  type RecordedStream,
  recordStream,
  until,
} from "./fixtures.ts";

const ITEM = "x".repeat(1_000);
/** Upper bound of the size of a frame with one {@link ITEM}, which is slightly larger than its text. */
const FRAME_BOUND_BYTES = 1_100;

/** Opens streams from a client; in these tests the server's ends send. */
async function makeStreams(t: TestContext, number: number) {
  const recorder = makeRecorder();
  const listener = await listenLinks(listenOptions({ acceptor: recorder.acceptor }));
  const link = await connectLink(connectOptions(listener.address));
  t.after(async () => {
    link.close();
    await listener.close();
  });
  const clients: (RecordedStream & { own: ReturnType<typeof link.openStream> })[] = [];
  for (let i = 0; i < number; i++) {
    const recorded = recordStream();
    clients.push(Object.assign(recorded, { own: link.openStream(makeResume(), recorded.handler) }));
  }
  await until(() => recorder.streams.length === number);
  return { clients, servers: recorder.streams, link, listener };
}

/** Sends until `send` reports backpressure; returns the offset after the last message sent. */
function sendUntilFull(server: RecordedStream, from = 0): number {
  let i = from;
  while (server.stream!.send(makeTokens(i++, ITEM)));
  return i;
}

async function roundTrip({ clients, servers }: Awaited<ReturnType<typeof makeStreams>>, k: number) {
  const before = clients[k]!.messages.length;
  servers[k]!.stream!.send(makeTokens(0));
  await until(() => clients[k]!.messages.length === before + 1);
}

// Guards against unbounded memory at a receiver whose reader is slow, and against loss or reordering on resume.
test("a paused receiver bounds the data in flight, and resuming delivers the rest in order", async (t) => {
  const scene = await makeStreams(t, 2);
  const [client, other] = [scene.clients[0]!, scene.clients[1]!];
  const server = scene.servers[0]!;
  client.own.pause();
  let sent = sendUntilFull(server);
  for (let i = 0; i < 500; i++) assert.equal(server.stream!.send(makeTokens(sent++, ITEM)), false);
  await roundTrip(scene, 1);
  const inFlight = client.messages.length * ITEM.length;
  assert.ok(inFlight > 0 && inFlight <= STREAM_WINDOW_BYTES + FRAME_BOUND_BYTES, `${inFlight}`);
  assert.equal(server.drains, 0);
  client.own.resume();
  await until(() => client.messages.length === sent && server.drains === 1);
  assert.deepEqual(client.messages, Array.from({ length: sent }, (_, i) => makeTokens(i, ITEM)));
  assert.equal(other.messages.length, 1);
});

// Guards against head-of-line blocking: all streams of a link share one socket.
test("a slow reader of one stream does not block another stream", async (t) => {
  const scene = await makeStreams(t, 2);
  scene.clients[0]!.own.pause();
  sendUntilFull(scene.servers[0]!);
  let sent = 0;
  while (sent < 400) {
    sent = sendUntilFull(scene.servers[1]!, sent);
    const drains = scene.servers[1]!.drains;
    await until(() =>
      scene.servers[1]!.drains > drains || scene.clients[1]!.messages.length >= sent
    );
  }
  await until(() => scene.clients[1]!.messages.length === sent);
  assert.equal(scene.servers[0]!.drains, 0);
});

// Guards against credit that is lost bit by bit, which would stall a stream after some windows.
test("all credit is returned, so that a long stream does not stall", async (t) => {
  const scene = await makeStreams(t, 1);
  const server = scene.servers[0]!;
  let sent = 0;
  while (sent * ITEM.length < 20 * STREAM_WINDOW_BYTES) {
    const drains = server.drains;
    sent = sendUntilFull(server, sent);
    await until(() => server.drains > drains);
  }
  await until(() => scene.clients[0]!.messages.length === sent);
});

// Guards against a half-close that overtakes or drops messages queued for lack of credit.
test("an end is sent after the messages that are still queued", async (t) => {
  const scene = await makeStreams(t, 1);
  const [client, server] = [scene.clients[0]!, scene.servers[0]!];
  client.own.pause();
  const sent = sendUntilFull(server) + 1;
  server.stream!.send(makeTokens(sent - 1, ITEM));
  server.stream!.end();
  client.own.end();
  assert.equal(server.stream!.send(makeTokens(sent, ITEM)), false);
  client.own.resume();
  await until(() => client.closes.length === 1 && server.closes.length === 1);
  assert.equal(client.messages.length, sent);
  assert.deepEqual([client.closes, server.closes], [[null], [null]]);
});

// Guards against a stream that leaks, or whose handler is notified twice, when it is aborted under backpressure.
test("aborting a stream drops its queued messages and closes both ends once", async (t) => {
  const scene = await makeStreams(t, 2);
  const [client, server] = [scene.clients[0]!, scene.servers[0]!];
  client.own.pause();
  const sent = sendUntilFull(server);
  for (let i = 0; i < 50; i++) server.stream!.send(makeTokens(sent + i, ITEM));
  client.own.abort();
  await until(() => server.closes.length === 1);
  assert.equal(client.closes.length, 1);
  assert.equal(server.closes[0]!.type, "link");
  assert.equal(server.stream!.send(makeTokens(0)), false);
  await roundTrip(scene, 1);
  assert.equal(scene.link.streams, 1);
});

// Guards against streams that are not resumed after the shared socket was congested.
test("many streams that congest the socket together deliver all messages", async (t) => {
  const scene = await makeStreams(t, 40);
  const sent = scene.servers.map((server) => {
    let i = sendUntilFull(server);
    while (i < 150) server.stream!.send(makeTokens(i++, ITEM));
    return i;
  });
  const all = () => scene.clients.every((client, i) => client.messages.length === sent[i]);
  await until(all);
  await until(() => scene.servers.every((server) => server.drains === 1));
});
