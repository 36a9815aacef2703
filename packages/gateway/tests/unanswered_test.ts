import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer as createNetServer, type Socket } from "node:net";
import { afterEach, test } from "node:test";
import { SystemClock } from "@wisteriapick/core";
import { MemoryBudget } from "@wisteriapick/policy";
import { LoopMonitor } from "../src/observe/loop_monitor.ts";
import type { InboundHead } from "../src/relay/inbound.ts";
import type { CallerDialect } from "../src/surface/caller_dialect.ts";
import type { HttpResponder } from "../src/surface/http_responder.ts";
import { type ProxyHandler, ProxyServer } from "../src/surface/proxy_server.ts";
import { MemoryLog } from "./fixtures.ts";

const LIMITS = {
  maxHeaderBytes: 8_192,
  maxBodyBytes: 64,
  headerTimeoutMs: 30_000,
  idleTimeoutMs: 30_000,
};

/** Reads the id of a request and nothing else. */
const dialect: CallerDialect = {
  readyPath: "/ready",
  readHead: ({ method, target, rawHeaders }) => {
    const at = rawHeaders.findIndex((s) => s.toLowerCase() === "x-id");
    const head: InboundHead = {
      requestId: rawHeaders[at + 1]!,
      method,
      target,
      hostname: "shop.example",
      headers: [],
      deadlineMs: null,
      apiKey: null,
      generation: null,
      lastEventId: null,
    };
    return head;
  },
};

async function freePort(): Promise<number> {
  const server = createNetServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

const undos: (() => void)[] = [];

afterEach(() => {
  for (const undo of undos.splice(0)) undo();
});

/** A server whose handler keeps every request, and connections of a caller to it. */
async function makeServer(
  {
    isReady = true,
    isStalled = false,
    headerTimeoutMs = LIMITS.headerTimeoutMs,
    idleTimeoutMs = LIMITS.idleTimeoutMs,
  } = {},
) {
  const log = new MemoryLog();
  const clock = new SystemClock();
  const responders: HttpResponder[] = [];
  const waiters: (() => void)[] = [];
  const handler: ProxyHandler = {
    isReady: () => isReady,
    shouldLeave: () => false,
    limits: () => ({ ...LIMITS, headerTimeoutMs, idleTimeoutMs }),
    accept: () => true,
    handle: (_head, _body, _arrivedAtMs, responder) => {
      responders.push(responder);
      for (const resolve of waiters.splice(0)) resolve();
    },
  };
  const port = await freePort();
  const address = { host: "127.0.0.1", port };
  const loop = new LoopMonitor(clock, log);
  loop.stallMs = () => isStalled ? 200 : 0;
  if (isStalled) loop.afterNextPoll = () => {};
  const budget = new MemoryBudget({ memoryMb: null });
  const server = new ProxyServer({ address, dialect, handler, clock, log, loop, budget });
  await server.listen();
  undos.push(() => server.destroy());
  const open = async () => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    undos.push(() => socket.destroy());
    await new Promise((resolve) => socket.once("connect", resolve));
    return socket;
  };
  const handled = (count: number): Promise<void> =>
    responders.length >= count
      ? Promise.resolve()
      : new Promise<void>((resolve) => waiters.push(resolve)).then(() => handled(count));
  /** Waits until a line has been logged. */
  const logged = async (event: string, count = 1) => {
    while (log.count(event) < count) await new Promise((resolve) => setImmediate(resolve));
    return log.events.filter((e) => e.event === event).map((e) => e.fields);
  };
  return { server, log, responders, budget, open, handled, logged };
}

const head = (id: string, more = "") =>
  `POST /orders HTTP/1.1\r\nHost: shop.example\r\nX-Id: ${id}\r\n${more}\r\n`;

/** Waits until the server has read what was sent on connections before, by a request on one of its own. */
async function readSoFar(of: Awaited<ReturnType<typeof makeServer>>): Promise<void> {
  const before = of.responders.length;
  const socket = await of.open();
  socket.write(head("barrier"));
  await of.handled(before + 1);
  of.responders.at(-1)!.writeHead(200, [], 0);
  of.responders.at(-1)!.end();
  await closed(socket.end());
}

const closed = (socket: Socket) =>
  new Promise<void>((resolve) => {
    socket.resume();
    if (socket.closed) resolve();
    else socket.once("close", () => resolve());
  });

const summary = (fields: readonly Record<string, unknown>[]) =>
  fields.map(({ req, stage, cause }) => [req, stage, cause]);

// Guards against requests that are cut at the end of a process and named nowhere (LOST).
test("each request that the end of a process cuts is logged with how far it had come", async () => {
  const of = await makeServer();
  const sockets = await Promise.all(Array.from({ length: 4 }, of.open));
  sockets[0]!.write(head("relayed"));
  await of.handled(1);
  sockets[1]!.write(head("responding"));
  await of.handled(2);
  of.responders[1]!.writeHead(200, [], null);
  of.responders[1]!.write(Buffer.from("part"));
  sockets[2]!.write(`${head("half-a-body", "Content-Length: 10\r\n")}12345`);
  sockets[3]!.write("POST /orders HTTP/1.1\r\nHost: sh");
  await readSoFar(of);
  of.server.destroy();
  const lines = await of.logged("request_unanswered", 4);
  assert.deepEqual(summary(lines), [
    ["relayed", "with_relay", "process_end"],
    ["responding", "responding", "process_end"],
    ["half-a-body", "reading_body", "process_end"],
    [undefined, "reading_head", "process_end"],
  ]);
  assert.equal(lines[2]!.bodyBytes, 5);
  assert.equal(lines[3]!.headBytes, 31);
});

test("a request that waits for the first configuration at the end is logged as such", async () => {
  const of = await makeServer({ isReady: false });
  const socket = await of.open();
  socket.write(head("early"));
  while (of.server.active === 0) await new Promise((resolve) => setImmediate(resolve));
  of.server.destroy();
  const lines = await of.logged("request_unanswered");
  assert.deepEqual(summary(lines), [["early", "waiting_for_config", "process_end"]]);
});

test("a request that a stall has deferred at the end is logged as such", async () => {
  const of = await makeServer({ isStalled: true });
  const socket = await of.open();
  socket.write(head("deferred"));
  while (of.server.active === 0) await new Promise((resolve) => setImmediate(resolve));
  of.server.destroy();
  const lines = await of.logged("request_unanswered");
  assert.deepEqual(summary(lines), [["deferred", "deferred_by_stall", "process_end"]]);
});

// Guards against counting callers that left as requests that the gateway lost.
test("a caller that leaves in the middle of its body is told apart from a closed connection", async () => {
  for (const leave of [(s: Socket) => s.end(), (s: Socket) => s.resetAndDestroy()]) {
    const of = await makeServer();
    const socket = await of.open();
    socket.write(`${head("gone", "Content-Length: 10\r\n")}123`);
    await readSoFar(of);
    leave(socket);
    const lines = await of.logged("request_unanswered");
    assert.deepEqual(summary(lines), [["gone", "reading_body", "caller_left"]]);
  }
});

test("a response that the gateway cuts is logged as cut, and a complete one is not", async () => {
  const of = await makeServer();
  const [first, second] = [await of.open(), await of.open()];
  first.write(head("cut"));
  await of.handled(1);
  of.responders[0]!.writeHead(200, [], null);
  of.responders[0]!.abort();
  second.write(head("answered"));
  await of.handled(2);
  of.responders[1]!.writeHead(200, [], 0);
  of.responders[1]!.end();
  second.end();
  await Promise.all([closed(first), closed(second)]);
  const lines = await of.logged("request_unanswered");
  assert.deepEqual(summary(lines), [["cut", "responding", "response_cut"]]);
});

// Guards against requests that were read and dropped without a line, as their connection is about to close.
test("requests behind one that was refused are logged as dropped", async () => {
  const of = await makeServer();
  const socket = await of.open();
  const tooLong = `${head("too-long", "Content-Length: 100\r\n")}${"x".repeat(100)}`;
  socket.write(tooLong + head("behind"));
  await closed(socket);
  assert.equal(of.responders.length, 0);
  const [refusal] = await of.logged("request_refused");
  assert.deepEqual([refusal!.req, refusal!.status], ["too-long", 413]);
  const lines = await of.logged("request_unanswered");
  assert.deepEqual(summary(lines), [["behind", "dropped", "connection_closing"]]);
});

/** What follows a request on its connection and cannot be read, and how the server answers it. */
const UNREADABLE: Readonly<Record<string, { readonly bytes: string; readonly status: number }>> = {
  "bytes that cannot be parsed": { bytes: "\x00\x01\r\n\r\n", status: 400 },
  "a head that does not end": { bytes: "POST /orders HTTP/1.1\r\nHost:", status: 408 },
  "a bad body": { bytes: `${head("bad", "Transfer-Encoding: chunked\r\n")}zz\r\n`, status: 400 },
};

// Guards against a request at an endpoint whose connection is closed without an answer for bytes behind it (LOST).
for (const [what, { bytes, status }] of Object.entries(UNREADABLE)) {
  for (const hasBegun of [false, true]) {
    const phase = hasBegun ? "whose response has begun" : "that is not answered yet";
    test(`a request ${phase} gets its whole response before ${what} behind it`, async () => {
      const of = await makeServer({ headerTimeoutMs: 300 });
      const socket = await of.open();
      let seen = "";
      socket.on("data", (chunk) => seen += chunk.toString("latin1"));
      socket.write(head("before"));
      await of.handled(1);
      const [responder] = of.responders;
      if (hasBegun) {
        responder!.writeHead(200, [], 8);
        responder!.write(Buffer.from("half"));
      }
      socket.write(bytes);
      await of.logged("connection_refused");
      // Nothing that follows is served.
      socket.write(head("behind"));
      await readSoFar(of);
      if (!hasBegun) {
        responder!.writeHead(200, [], 8);
        responder!.write(Buffer.from("half"));
      }
      responder!.write(Buffer.from("half"));
      responder!.end();
      await closed(socket);
      const [first, second, ...others] = seen.split("HTTP/1.1 ").slice(1);
      assert.match(first!, /^200 OK\r\n.*\r\n\r\nhalfhalf$/s);
      assert.match(second!, new RegExp(`^${status} .*\r\nConnection: close\r\n`, "s"));
      assert.deepEqual(others, []);
      // The other one is that of `readSoFar`.
      assert.equal(of.responders.length, 2);
      assert.equal(of.log.count("connection_refused"), 1);
      const unanswered = of.log.events.filter(({ event }) => event === "request_unanswered");
      assert.ok(unanswered.every(({ fields }) => fields.req === "behind"));
    });
  }
}

// Guards against work that goes on for a caller that has left (GONE).
for (const how of ["fin", "reset"] as const) {
  test(`a caller that leaves behind bytes that cannot be parsed (${how}) is noticed`, async () => {
    const of = await makeServer();
    const socket = await of.open();
    socket.write(head("before"));
    await of.handled(1);
    socket.write("\x00\x01\r\n\r\n");
    await of.logged("connection_refused");
    const hasLeft = new Promise<void>((resolve) => of.responders[0]!.registerClose(resolve));
    if (how === "fin") socket.end();
    else socket.resetAndDestroy();
    await hasLeft;
  });
}

/** Holds up this process, and with it the server. */
const stall = (ms: number) => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);

const answer = (responder: HttpResponder) => {
  responder.writeHead(200, [], 0);
  responder.end();
};

// Guards against connections closed after a stall with requests in them that came in time: timers run before sockets
// are read.
test("a request that came during a stall longer than the idle timeout is served", async () => {
  const of = await makeServer({ idleTimeoutMs: 100 });
  const socket = await of.open();
  socket.write(head("first"));
  await of.handled(1);
  const answered = new Promise((resolve) => socket.once("data", resolve));
  answer(of.responders[0]!);
  await answered;
  socket.write(head("second"));
  // Node.js waits for up to a second longer than the timeout.
  stall(1_500);
  const ended = closed(socket).then(() => Promise.reject(new Error("closed unanswered")));
  await Promise.race([of.handled(2), ended]);
  const answeredToo = new Promise((resolve) => socket.once("data", resolve));
  answer(of.responders[1]!);
  await answeredToo;
  // An idle connection is still closed in the end.
  await assert.rejects(ended, /closed unanswered/);
});

test("a head whose rest came during a stall longer than its timeout is served", async () => {
  const of = await makeServer({ headerTimeoutMs: 300 });
  const socket = await of.open();
  const bytes = head("whole");
  socket.write(bytes.slice(0, 20));
  await readSoFar(of);
  socket.write(bytes.slice(20));
  stall(1_200);
  const seen = new Promise((resolve) => socket.once("data", (b) => resolve(b.toString("latin1"))));
  await Promise.race([of.handled(2), seen.then((text) => assert.fail(`${text}`))]);
  answer(of.responders[1]!);
  assert.match(`${await seen}`, /^HTTP\/1\.1 200 /);
});

// Guards against heads without end, whose timeout Node.js reports only once.
test("a head that goes on after a stall but does not end is refused", async () => {
  const of = await makeServer({ headerTimeoutMs: 300 });
  const socket = await of.open();
  const bytes = head("half");
  socket.write(bytes.slice(0, 20));
  await readSoFar(of);
  socket.write(bytes.slice(20, 30));
  stall(1_200);
  const seen = new Promise((resolve) => socket.once("data", (b) => resolve(b.toString("latin1"))));
  assert.match(`${await seen}`, /^HTTP\/1\.1 408 /);
});

// Guards against a caller that keeps a connection busy with bytes that nothing reads (FAULT).
test("bytes behind one that cannot be parsed are neither kept nor logged one by one", async () => {
  const of = await makeServer();
  const socket = await of.open();
  socket.write(head("before"));
  await of.handled(1);
  socket.write("\x00\x01\r\n\r\n");
  await of.logged("connection_refused");
  for (let i = 0; i < 200; i++) {
    const isTaken = socket.write("x".repeat(65_536));
    if (!isTaken) await new Promise((resolve) => setImmediate(resolve));
  }
  await readSoFar(of);
  of.responders[0]!.writeHead(200, [], 0);
  of.responders[0]!.end();
  await closed(socket);
  assert.equal(of.log.count("connection_refused"), 1);
});

// Guards against a request at an endpoint whose caller asks for a tunnel behind it (LOST).
test("a request before one for a tunnel is answered, and the connection then closes", async () => {
  const of = await makeServer();
  const socket = await of.open();
  let seen = "";
  socket.on("data", (chunk) => seen += chunk.toString("latin1"));
  socket.write(head("before"));
  await of.handled(1);
  socket.write("CONNECT shop.example:443 HTTP/1.1\r\nHost: shop.example:443\r\n\r\n");
  await of.logged("connection_refused");
  of.responders[0]!.writeHead(200, [], 4);
  of.responders[0]!.write(Buffer.from("done"));
  of.responders[0]!.end();
  await closed(socket);
  assert.match(seen, /^HTTP\/1\.1 200 OK\r\n.*\r\n\r\ndone$/s);
  assert.equal(of.log.count("request_unanswered"), 0);
});

test("a request whose body cannot be parsed is answered, and its refusal has its id", async () => {
  const of = await makeServer();
  const socket = await of.open();
  socket.write(head("bad-chunk", "Transfer-Encoding: chunked\r\n"));
  await readSoFar(of);
  socket.write("zz\r\n");
  await closed(socket);
  const [line] = await of.logged("connection_refused");
  assert.deepEqual([line!.req, line!.status], ["bad-chunk", 400]);
  assert.equal(of.log.count("request_unanswered"), 0);
});

// Guards against work for a caller that has left (GONE), and against memory that its requests hold for ever.
for (const how of ["fin", "reset"] as const) {
  test(`pipelined requests whose connection ends before their turn are given up (${how})`, async () => {
    const of = await makeServer();
    const socket = await of.open();
    const body = "x".repeat(40);
    const lengthField = `Content-Length: ${body.length}\r\n`;
    for (const id of ["first", "second", "third"]) socket.write(head(id, lengthField) + body);
    await of.handled(3);
    const [, second, third] = of.responders;
    second!.writeHead(200, [], 2_000);
    second!.write(Buffer.alloc(1_000));
    assert.equal(of.budget.bodyBytes, 3 * body.length);
    assert.equal(of.budget.responseBytes, 1_000);
    const haveLeft = [second, third].map((responder) =>
      new Promise<void>((resolve) => responder!.registerClose(resolve))
    );
    if (how === "fin") socket.destroy();
    else socket.resetAndDestroy();
    await Promise.all(haveLeft);
    assert.equal(of.budget.bodyBytes, 0);
    assert.equal(of.budget.responseBytes, 0);
    assert.equal(of.server.active, 0);
  });
}
