import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { MemoryBudget } from "@wisteriapick/policy";
import { ManualClock } from "@wisteriapick/core";
import { LoopMonitor, POLL_INTERVAL_MS } from "../src/observe/loop_monitor.ts";
import type { InboundHead } from "../src/relay/inbound.ts";
import type { CallerDialect } from "../src/surface/caller_dialect.ts";
import type { HttpResponder } from "../src/surface/http_responder.ts";
import { ProxyServer } from "../src/surface/proxy_server.ts";
import { MemoryLog, StalledClock } from "./fixtures.ts";

const STALL_MS = 900;
/** The part of the stall that the monitor notices: less than a whole interval may have passed before. */
const NOTICED_MS = STALL_MS - POLL_INTERVAL_MS;

async function freeAddress() {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return { host: "127.0.0.1", port };
}

/** Starts a server on a clock that the test moves; a clock that has moved without a poll is a stall. */
async function startServer(t: TestContext, clock = new ManualClock()) {
  const log = new MemoryLog();
  const loop = new LoopMonitor(clock, log);
  const arrivals: number[] = [];
  const waiters = { accepted: () => {}, handled: () => {} };
  const dialect = { readHead: () => ({ requestId: "r-1" }) as InboundHead };
  const address = await freeAddress();
  const server = new ProxyServer({
    address,
    dialect: dialect as unknown as CallerDialect,
    handler: {
      isReady: () => true,
      shouldLeave: () => false,
      limits: () => ({
        maxHeaderBytes: 8_192,
        maxBodyBytes: 65_536,
        headerTimeoutMs: 2_000,
        idleTimeoutMs: 10_000,
      }),
      accept: () => {
        waiters.accepted();
        return true;
      },
      handle: (_head, _body, { earliestMs }, responder: HttpResponder) => {
        arrivals.push(earliestMs);
        responder.reject({ reason: "draining", notRun: true });
        waiters.handled();
      },
    },
    clock,
    log,
    loop,
    budget: new MemoryBudget({ memoryMb: null }),
  });
  await server.listen();
  const socket = connect(address.port, address.host);
  socket.resume();
  await once(socket, "connect");
  t.after(() => {
    socket.destroy();
    server.destroy();
  });
  const event = (name: keyof typeof waiters) =>
    new Promise<void>((resolve) => {
      waiters[name] = resolve;
    });
  return { clock, loop, arrivals, socket, event, server };
}

const HEAD = "POST /drafts/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n";

// Guards against a request that is cut as late by twice the length of a stall: on a host that was busy, a draft whose
// head was read 2.1 s before counted as having waited for 4.2 s.
test("a stall while a body is read counts once", async (t) => {
  const { clock, arrivals, socket, event } = await startServer(t);
  const accepted = event("accepted");
  socket.write(HEAD);
  await accepted;
  clock.advance(STALL_MS);
  const handled = event("handled");
  socket.write("abc");
  await handled;
  assert.deepEqual(arrivals, [0]);
});

// Its caller may have waited for as long as the stall took, and gives up that much sooner.
test("a request that is read after a stall counts as having arrived when it began", async (t) => {
  const { clock, arrivals, socket, event } = await startServer(t);
  clock.advance(STALL_MS);
  const handled = event("handled");
  socket.write(`${HEAD}abc`);
  await handled;
  assert.deepEqual(arrivals, [STALL_MS - NOTICED_MS]);
});

// Guards against refusals of requests that were sent after a stall: while new connections come one after the other, a
// request on a connection that was read from before counted as having waited for the whole stall.
test("a further request of a connection counts as having waited only in the first poll after a stall", async (t) => {
  const clock = new StalledClock();
  const { loop, arrivals, socket, event } = await startServer(t, clock);
  t.after(loop.start());
  const first = event("handled");
  socket.write(`${HEAD}abc`);
  await first;
  clock.stall(STALL_MS);
  let isBusy = true;
  const connectAgain = () => {
    if (!isBusy) return;
    loop.recordConnection();
    setImmediate(connectAgain);
  };
  connectAgain();
  for (let i = 0; i < 4; i++) await new Promise((resolve) => setImmediate(resolve));
  assert.equal(loop.stallMs(), STALL_MS, "new connections may have queued during the stall");
  const second = event("handled");
  socket.write(`${HEAD}abc`);
  await second;
  isBusy = false;
  assert.equal(arrivals[1], clock.now());
});

// Guards against a stopping process that keeps time for requests on connections that have been idle for long.
test("a connection is in use with a request in progress and shortly after it only", async (t) => {
  const { clock, socket, event, server } = await startServer(t);
  const accepted = event("accepted");
  socket.write(HEAD);
  await accepted;
  clock.advance(5_000);
  assert.equal(server.busyConnectionCount, 1, "its request is being read");
  const responded = once(socket, "data");
  socket.write("abc");
  await responded;
  clock.advance(900);
  assert.equal(server.busyConnectionCount, 1, "it had a response 0.9 s before");
  clock.advance(200);
  assert.equal(server.busyConnectionCount, 0, "it had a response 1.1 s before");
  assert.equal(server.connectionCount, 1);
});

/** Several times the interval at which Node.js looks for heads that are late, in milliseconds. */
const LATE_HEAD_MS = 700;

// Guards against a timeout of months by which each head that comes in pieces is late.
test("a head that comes in pieces is read whatever timeout a configuration names", async (t) => {
  const { socket, event, server } = await startServer(t);
  server.applyLimits({
    maxHeaderBytes: 8_192,
    maxBodyBytes: 65_536,
    headerTimeoutMs: 2 ** 32 + 1,
    idleTimeoutMs: 2 ** 32 + 1,
  });
  const handled = event("handled").then(() => "handled");
  const closed = once(socket, "close").then(() => "closed");
  socket.write(HEAD.slice(0, 9));
  await new Promise((resolve) => setTimeout(resolve, LATE_HEAD_MS));
  socket.write(`${HEAD.slice(9)}abc`);
  assert.equal(await Promise.race([handled, closed]), "handled");
});
