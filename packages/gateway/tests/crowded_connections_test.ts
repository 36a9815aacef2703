import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { ConnectionAccounts } from "@wisteriapick/http";
import { MemoryBudget } from "@wisteriapick/policy";
import { LoopMonitor } from "../src/observe/loop_monitor.ts";
import type { InboundHead } from "../src/relay/inbound.ts";
import type { CallerDialect } from "../src/surface/caller_dialect.ts";
import type { HttpResponder } from "../src/surface/http_responder.ts";
import { ProxyServer } from "../src/surface/proxy_server.ts";
import { MemoryLog } from "./fixtures.ts";

/** Descriptors with which six connections of callers may be open. */
const DESCRIPTORS = 8;
const MAX_OPEN = 6;
const WAIT_MS = 2_000;
/** Connections of a crowd, and the requests that each sends ahead. */
const CROWD = 40;
const REQUESTS_AHEAD = 500;
const LARGE_BYTES = 200_000;

interface ServerOptions {
  readonly maxDescriptors?: number;
  readonly budget?: MemoryBudget;
}

/**
 * Starts a server that responds to all requests but those to `/held`, with {@link LARGE_BYTES} to those to `/large`, and
 * refuses those to `/stranger` for their key.
 */
async function startServer(
  t: TestContext,
  { maxDescriptors = DESCRIPTORS, budget = new MemoryBudget({ memoryMb: null }) }: ServerOptions =
    {},
) {
  const probe = createServer().listen(0, "127.0.0.1");
  await once(probe, "listening");
  const { port } = probe.address() as AddressInfo;
  probe.close();
  await once(probe, "close");
  const clock = new ManualClock();
  const log = new MemoryLog();
  let heads = 0;
  /** Descriptors that are open for something else. */
  const others = { count: 0 };
  const dialect = {
    readHead: ({ target }: { target: string }) => ({ requestId: "r-1", target }) as InboundHead,
  };
  const server = new ProxyServer({
    address: { host: "127.0.0.1", port },
    dialect: dialect as unknown as CallerDialect,
    handler: {
      isReady: () => true,
      shouldLeave: () => false,
      limits: () => ({
        maxHeaderBytes: 8_192,
        maxBodyBytes: 65_536,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      }),
      accept: ({ target }, responder) => {
        heads++;
        if (target === "/stranger") responder.reject({ reason: "unauthenticated", notRun: true });
        return target !== "/stranger";
      },
      handle: ({ target }, _body, _arrival, responder: HttpResponder) => {
        if (target === "/large") {
          responder.writeHead(200, [], LARGE_BYTES);
          responder.write(Buffer.alloc(LARGE_BYTES));
          return responder.end();
        }
        if (target !== "/held") responder.reject({ reason: "draining", notRun: true });
      },
    },
    clock,
    log,
    loop: new LoopMonitor(clock, log),
    budget,
    maxDescriptors,
    otherDescriptors: (requests) => requests + others.count,
  });
  await server.listen();
  const sockets: Socket[] = [];
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.destroy();
  });
  const open = async (): Promise<Socket> => {
    const { accepted } = server;
    const socket = connect(port, "127.0.0.1");
    sockets.push(socket);
    socket.on("error", () => {});
    await once(socket, "connect");
    await until(() => server.accepted > accepted);
    return socket;
  };
  return { clock, log, others, server, open, heads: () => heads };
}

async function until(condition: () => boolean): Promise<void> {
  const endsAtMs = performance.now() + WAIT_MS;
  while (!condition() && performance.now() < endsAtMs) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
  assert.ok(condition(), `the condition does not hold after ${WAIT_MS} ms`);
}

/** Sends a request. Resolves with whether a response came before the connection closed. */
async function request(socket: Socket, path = "/"): Promise<boolean> {
  socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
  for await (const _ of socket.iterator({ destroyOnReturn: false })) return true;
  return false;
}

// Guards against new callers that are all closed, as the other connections are kept or have requests in progress.
test("a new caller is served while kept connections and requests in progress take all descriptors", async (t) => {
  const { clock, server, open } = await startServer(t);
  for (let i = 0; i < MAX_OPEN; i++) {
    const socket = await open();
    if (i % 2 === 0) assert.ok(await request(socket));
    else socket.write("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  await until(() => server.active === MAX_OPEN / 2);
  clock.advance(5_000);
  assert.ok(await request(await open()), "the new caller got no response");
  assert.equal(server.active, MAX_OPEN / 2);
  assert.ok(server.connectionCount <= MAX_OPEN);
});

// Guards against callers that connect at the same time and close each other before their heads arrive.
test("callers that connect at once are served beside kept connections", async (t) => {
  const { clock, open } = await startServer(t);
  for (let i = 0; i < MAX_OPEN; i++) assert.ok(await request(await open()));
  clock.advance(5_000);
  const arriving = [await open(), await open(), await open()];
  const served = await Promise.all(arriving.map((socket) => request(socket)));
  assert.deepEqual(served, [true, true, true]);
});

// Guards against requests whose connections to endpoints take more descriptors than callers have left.
test("a request for whose endpoint there is no descriptor is refused, and kept callers give up theirs", async (t) => {
  const { log, others, server, open } = await startServer(t, { maxDescriptors: 16 });
  const kept = [await open(), await open()];
  for (const socket of kept) assert.ok(await request(socket));
  const sockets = await Promise.all(Array.from({ length: 7 }, () => open()));
  const bytes = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const socket of sockets) socket.write(bytes);
  await until(() => server.active === 7 && server.connectionCount === 7);
  assert.equal(log.count("request_rejected"), 0);
  sockets[0]!.destroy();
  await until(() => server.active === 6);
  const last = await open();
  others.count = 2;
  last.write(bytes);
  await until(() => log.count("request_rejected") === 1);
  const rejected = log.events.find(({ event }) => event === "request_rejected");
  assert.equal(rejected?.fields.reason, "descriptor_pressure");
});

// Guards against bodies that stop before their end and keep all connections, and with each a descriptor for an endpoint.
test("stalled bodies take no descriptors for endpoints, and give up their connections for new callers", async (t) => {
  const { clock, server, open } = await startServer(t, { maxDescriptors: 16 });
  const head = "POST /body HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const stalled: Socket[] = [];
  for (let i = 0; i < 12; i++) {
    const socket = await open();
    socket.resume();
    socket.write(`${head}1\r\nx\r\n`);
    await until(() => server.active === i + 1);
    stalled.push(socket);
  }
  assert.equal(server.connectionCount, 12);
  clock.advance(3_000);
  const early = await open();
  early.resume();
  await once(early, "close");
  await until(() => server.active < 12);
  assert.ok(await request(await open()), "the new caller got no response");
});

// Guards against the change above that would let a crowd which sends no heads close kept connections.
test("connections that send no head for a while are closed before kept ones", async (t) => {
  const { clock, open } = await startServer(t);
  const kept = [await open(), await open()];
  for (const socket of kept) assert.ok(await request(socket));
  for (let i = 0; i < 3 * MAX_OPEN; i++) {
    clock.advance(300);
    await open();
  }
  for (const socket of kept) assert.ok(await request(socket), "a kept connection was closed");
});

// Guards against requests without a valid key that wait behind the requests that others have sent ahead, or for room.
test("a request without a valid key is refused beside others that wait, and leaves nothing", async (t) => {
  const budget = new MemoryBudget({ memoryMb: null });
  const { server, open, heads } = await startServer(t, { maxDescriptors: 400, budget });
  const crowd = await Promise.all(Array.from({ length: CROWD }, () => open()));
  const held = await open();
  held.write("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
  await until(() => server.active === 1);
  const stranger = await open();
  const ahead = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(REQUESTS_AHEAD);
  for (const socket of crowd) {
    socket.resume();
    socket.write(ahead);
  }
  await until(() => heads() > CROWD);
  budget.takeResponse(budget.shares.responses);
  const head = "POST /stranger HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n";
  stranger.write(`${head}first bytes of the body`);
  const [response] = await once(stranger, "data") as [Buffer];
  const headsByThen = heads();
  assert.match(response.toString("latin1"), /^HTTP\/1\.1 401 /);
  assert.ok(headsByThen < CROWD * REQUESTS_AHEAD, "all requests that were sent ahead went first");
  for (const socket of crowd) socket.destroy();
  await until(() => server.active === 1);
  assert.equal(budget.bodyBytes, 0);
  budget.releaseResponse(budget.shares.responses);
  assert.equal(budget.responseBytes, 0);
});

// Guards against responses that wait behind one that is awaited, and keep all room for as long as it is.
test("responses that wait behind another one give up their room when others have none", async (t) => {
  const budget = new MemoryBudget({ memoryMb: 1 });
  const { clock, server, open } = await startServer(t, { maxDescriptors: 4_000, budget });
  const ahead = ["/held", "/large", "/large"].map((path) =>
    `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`
  );
  for (let i = 0; i < CROWD && budget.hasRoomForResponses; i++) {
    const { active } = server;
    (await open()).write(ahead.join(""));
    await until(() => server.active === active + ahead.length);
  }
  assert.equal(budget.hasRoomForResponses, false);
  const ordinary = await open();
  for (let ms = 0; ms <= 6_000; ms += 1_000) {
    assert.ok(await request(ordinary));
    clock.advance(1_000);
  }
  assert.ok(budget.hasRoomForResponses, `${budget.responseBytes} bytes are held`);
  assert.ok(server.connectionCount > CROWD / 4, "more connections were closed than others need");
});

// Guards against a caller within all limits that is closed for the bytes that wait on the connections of others.
test("the connection with the most bytes that wait is closed when there is no room for them", () => {
  const accounts = new ConnectionAccounts({
    clock: new ManualClock(),
    contain: (work) => work(),
    bounds: {
      shares: { bodies: 8_000, responses: 8_000, garbage: 8_000 },
      maxDescriptors: null,
    },
    onLimit: () => {},
  });
  const closed: string[] = [];
  const connection = (name: string) => {
    const socket = new Socket();
    socket.on("data", () => {});
    accounts.open(socket, {
      unanswered: () => 32,
      endAfterResponses: () => closed.push(name),
    });
    return { hold: (bytes: number) => socket.emit("data", Buffer.alloc(bytes)) };
  };
  const ordinary = connection("ordinary");
  const crowd = connection("crowd");
  crowd.hold(3_000);
  ordinary.hold(500);
  ordinary.hold(700);
  assert.deepEqual(closed, ["crowd"]);
  assert.equal(accounts.heldBytes, 1_200);
  crowd.hold(5_000);
  assert.equal(accounts.heldBytes, 1_200);
});
