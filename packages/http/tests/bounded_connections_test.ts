import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { type CallerBounds, sharesOf } from "@wisteriapick/policy";
import { BoundedConnections, type ContainWork } from "../src/mod.ts";

const GET = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const BOUNDS: CallerBounds = { shares: sharesOf(null), maxDescriptors: null, maxUnanswered: 2 };

interface Handling {
  readonly maxConnections?: number;
  readonly contain?: ContainWork;
  readonly respond?: (
    req: IncomingMessage,
    res: ServerResponse,
    connections: BoundedConnections,
  ) => void;
}

/** Starts a guarded server, which holds requests unless `respond` says otherwise. */
async function startServer(
  t: TestContext,
  { maxConnections = 8, contain = (work) => work(), respond = () => {} }: Handling = {},
) {
  const clock = new ManualClock();
  const events: string[] = [];
  const connections = new BoundedConnections({
    clock,
    bounds: BOUNDS,
    maxConnections: () => maxConnections,
    contain,
    onLimit: (event) => events.push(event),
  });
  const begun: ServerResponse[] = [];
  const server = createServer((req, res) => {
    if (!connections.begin(req, res)) return;
    begun.push(res);
    respond(req, res, connections);
  });
  connections.guard(server);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const sockets: Socket[] = [];
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  const open = async (): Promise<Socket> => {
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    sockets.push(socket);
    socket.on("error", () => {});
    await Promise.all([once(socket, "connect"), once(server, "connection")]);
    return socket;
  };
  return { clock, connections, events, begun, open };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}

// Guards against requests that one connection has in progress without end.
test("requests beyond the bound of a connection wait until one before them is answered", async (t) => {
  const { begun, connections, events, open } = await startServer(t);
  const socket = await open();
  socket.resume();
  socket.write(GET.repeat(1_000));
  await until(() => events.includes("paused"));
  assert.equal(begun.length, 2);
  assert.equal(connections.requests, 2);
  begun[0]!.end();
  await until(() => begun.length === 3);
  assert.equal(connections.requests, 2);
});

// Guards against requests that count as in progress after their caller has left.
test("the end of a connection ends its requests, also those whose response has not had its turn", async (t) => {
  const { begun, connections, open } = await startServer(t);
  const socket = await open();
  socket.write(GET.repeat(2));
  await until(() => begun.length === 2);
  let closed = 0;
  for (const res of begun) res.once("close", () => closed++);
  socket.destroy();
  await until(() => connections.requests === 0);
  assert.equal(closed, 2, "the work on a response that waits for its turn goes on");
  assert.equal(connections.size, 0);
});

// Guards against connections without a request that keep out all others.
test("a new connection closes one whose head is awaited, and not one with a request", async (t) => {
  const { begun, clock, connections, open } = await startServer(t, { maxConnections: 3 });
  const busy = await open();
  busy.resume();
  busy.write(GET);
  await until(() => begun.length === 1);
  const waiting: Socket[] = [];
  for (let i = 0; i < 5; i++) {
    clock.advance(300);
    waiting.push(await open());
    assert.ok(connections.size <= 3);
  }
  waiting.at(-1)!.write(GET);
  await until(() => begun.length === 2);
  begun[0]!.end("first");
  assert.match(String((await once(busy, "data"))[0]), /first/);
});

// Guards against a crowd whose connections are all in use for ever, as each has sent requests ahead.
test("the connection that has sent the most ahead ends with its responses when all are in use", async (t) => {
  const { begun, connections, events, open } = await startServer(t, { maxConnections: 2 });
  const [ahead, ordinary] = [await open(), await open()];
  ahead.resume();
  ahead.write(GET.repeat(1_000));
  ordinary.write(GET);
  await until(() => begun.length === 3);
  const newest = await open();
  newest.resume();
  await once(newest, "close");
  assert.ok(events.includes("held_dropped"));
  const ended = once(ahead, "close");
  for (const res of begun) res.end();
  await ended;
  assert.ok(connections.size <= 1);
  assert.equal(begun.length, 3, "what had been sent ahead was not begun");
});

// Guards against the rest of a body, or requests behind it, that are parsed although nobody wants them.
test("a connection that is ended reads nothing more and sends its response", async (t) => {
  const { begun, open } = await startServer(t, {
    respond: (req, res, connections) => {
      connections.endConnection(req);
      res.setHeader("Connection", "close");
      res.end("done");
    },
  });
  const socket = await open();
  const head = "GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  socket.write(head + "1\r\nx\r\n".repeat(1_000) + "0\r\n\r\n" + GET.repeat(10));
  let text = "";
  for await (const chunk of socket) text += chunk;
  assert.match(text, /done$/);
  assert.equal(begun.length, 1);
});

// Guards against callers that ask for large responses, read none of them and keep all connections.
test("connections that read nothing are closed while no more may be open", async (t) => {
  const { clock, connections, events, open } = await startServer(t, {
    maxConnections: 3,
    respond: (req, res) => void res.end(req.url === "/large" ? Buffer.alloc(50_000_000) : "small"),
  });
  for (let i = 0; i < 3; i++) (await open()).write("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
  await until(() => connections.requests === 3);
  let text = "";
  for (let i = 0; i < 20 && text === ""; i++) {
    const socket = await open();
    socket.on("data", (chunk) => text += chunk);
    socket.write(GET);
    await Promise.race([once(socket, "data"), once(socket, "close")]);
    clock.advance(1_000);
  }
  assert.match(text, /small$/);
  assert.ok(events.includes("unread_closed"));
});

// Guards against connections that stay for as long as their callers do, as a body whose rest was dropped never ends.
test("a connection whose rest was dropped inside a body is closed", async (t) => {
  const { begun, connections, open } = await startServer(t, { maxConnections: 1 });
  const socket = await open();
  socket.resume();
  const head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  socket.write(head + "1\r\nx\r\n".repeat(20_000));
  await until(() => begun.length === 1);
  const ended = once(socket, "close");
  const newest = await open();
  newest.resume();
  await ended;
  assert.equal(connections.requests, 0);
});

// Guards against bytes after a request for a tunnel that reach a parser which the server has given up.
test("nothing is read of a connection after a request for a tunnel", async (t) => {
  const errors: unknown[] = [];
  const { begun, connections, open } = await startServer(t, {
    contain: (work) => {
      try {
        work();
      } catch (e) {
        errors.push(e);
      }
    },
  });
  const socket = await open();
  socket.write(`CONNECT a:443 HTTP/1.1\r\nHost: a:443\r\n\r\n${GET.repeat(20)}`);
  await once(socket, "close");
  await until(() => connections.size === 0);
  assert.deepEqual([errors, begun.length], [[], 0]);
});
