import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { WpFailure } from "@wisteriapick/core";
import { connectLink, type LinkAcceptor, listenLinks } from "../src/mod.ts";
import {
  closed,
  connectOptions,
  listenOptions,
  makeAcceptor,
  makeRecorder,
  makeResume,
  makeTokens,
  recordStream,
  until,
} from "./fixtures.ts";

async function makePair(t: TestContext, acceptor: LinkAcceptor) {
  const listening = listenOptions({ acceptor });
  const listener = await listenLinks(listening);
  const connecting = connectOptions(listener.address);
  const link = await connectLink(connecting);
  t.after(async () => {
    link.close();
    await listener.close();
  });
  return { link, listener, listening, connecting };
}

test("messages of a stream arrive once and in order, and both ends close without an error", async (t) => {
  const recorder = makeRecorder();
  const { link } = await makePair(t, recorder.acceptor);
  const client = recordStream();
  const stream = link.openStream(makeResume(), client.handler);
  await until(() => recorder.streams.length === 1);
  const server = recorder.streams[0]!;
  for (let i = 0; i < 100; i++) server.stream!.send(makeTokens(i));
  server.stream!.end();
  stream.end();
  await until(() => client.closes.length === 1 && server.closes.length === 1);
  assert.deepEqual(client.messages, Array.from({ length: 100 }, (_, i) => makeTokens(i)));
  assert.deepEqual([client.closes, server.closes], [[null], [null]]);
});

test("each end knows the authenticated identity of the other", async (t) => {
  const { link, listener } = await makePair(t, makeAcceptor());
  await until(() => listener.links.size === 1);
  assert.equal(link.peer.role, "side");
  assert.equal([...listener.links][0]!.peer.role, "entry");
});

test("a request resolves with the first response and leaves no stream open", async (t) => {
  const acceptor = makeAcceptor({
    onStream: (_link, _msg, stream) => {
      stream.send(makeTokens(7));
      stream.end();
      return { onMessage: () => {}, onClose: () => {} };
    },
  });
  const { link } = await makePair(t, acceptor);
  assert.deepEqual(await link.request(makeResume()), makeTokens(7));
  await until(() => link.streams === 0);
});

test("a request without a response times out and closes the stream at the peer", async (t) => {
  const recorder = makeRecorder();
  const { link, connecting } = await makePair(t, recorder.acceptor);
  const response = link.request(makeResume(), { timeoutMs: 50 });
  await until(() => recorder.streams.length === 1);
  (connecting.clock as import("@wisteriapick/core").ManualClock).advance(50);
  await assert.rejects(response, (e: WpFailure) => e.err.type === "timeout");
  await until(() => recorder.streams[0]!.closes.length === 1);
});

// Guards against requests that stay pending until their deadline although their link is closed.
test("closing a link closes its streams at both ends and notifies its listeners", async (t) => {
  const recorder = makeRecorder();
  const { link, listener } = await makePair(t, recorder.acceptor);
  const client = recordStream();
  link.openStream(makeResume(), client.handler);
  await until(() => recorder.streams.length === 1);
  const loss = closed([...listener.links][0]!);
  link.close();
  assert.equal(client.closes.length, 1);
  assert.equal((await loss).type, "link");
  assert.equal(recorder.streams[0]!.closes.length, 1);
  assert.throws(() => link.openStream(makeResume(), client.handler), WpFailure);
});

// Guards against a fault in the handling of one request that closes the link and with it all other requests.
test("a handler that throws closes only its own stream", async (t) => {
  const acceptor = makeAcceptor({
    onStream: (_link, msg) => {
      if (msg.kind === "resume" && msg.gen === "bad") throw new Error("fault");
      return { onMessage: () => {}, onClose: () => {} };
    },
  });
  const { link } = await makePair(t, acceptor);
  const good = recordStream();
  const bad = recordStream();
  link.openStream(makeResume("good"), good.handler);
  link.openStream(makeResume("bad"), bad.handler);
  await until(() => bad.closes.length === 1);
  assert.equal(link.open, true);
  assert.deepEqual(good.closes, []);
});

function raiseOdd(): never {
  throw new Error("odd");
}

// Guards against an error in the handling of one connection that ends the process with all others.
test("an error while a frame is handled closes its link only", async (t) => {
  const traffic = { recordSent: () => {}, recordReceived: raiseOdd };
  const listener = await listenLinks({ ...listenOptions({ acceptor: makeAcceptor() }), traffic });
  const link = await connectLink(connectOptions(listener.address));
  const other = await connectLink(connectOptions(listener.address));
  t.after(async () => {
    other.close();
    await listener.close();
  });
  await until(() => listener.links.size === 2);
  link.notify({ kind: "gateways_request" });
  await closed(link);
  assert.equal(other.open, true);
  assert.equal(listener.links.size, 1);
});

test("an error in what is told late of a link that is closed ends nothing else", async (t) => {
  const { link } = await makePair(t, makeAcceptor());
  link.close();
  await closed(link);
  let isTold = false;
  link.registerCloseListener(raiseOdd);
  link.registerCloseListener(() => isTold = true);
  await until(() => isTold);
});
