import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { ManualClock, Rng } from "@wisteriapick/core";
import { RequestGate } from "../src/request_gate.ts";
import { TurnQueue } from "../src/turn_queue.ts";

interface Handling {
  readonly maxUnanswered: number;
  readonly respond: (req: IncomingMessage, res: ServerResponse, body: string) => void;
}

/** Starts an HTTP server with a gate before each connection. Returns what the gates did. */
async function startServer(t: TestContext, { maxUnanswered, respond }: Handling) {
  const turns = new TurnQueue(new ManualClock(), (work) => work());
  const gates = new Map<Socket, RequestGate>();
  const unanswered = new Map<Socket, number>();
  const seen = { most: 0, held: 0, mostHeld: 0, paused: 0, requests: 0 };
  const server = createServer({ keepAliveTimeout: 0 }, (req, res) => {
    const { socket } = req;
    const gate = gates.get(socket)!;
    gate.begin(req);
    seen.requests++;
    unanswered.set(socket, unanswered.get(socket)! + 1);
    seen.most = Math.max(seen.most, unanswered.get(socket)!);
    res.once("close", () => {
      unanswered.set(socket, unanswered.get(socket)! - 1);
      gate.continue();
    });
    let body = "";
    req.on("data", (chunk: Buffer) => {
      gate.recordChunk();
      body += chunk.toString("latin1");
    });
    req.on("end", () => respond(req, res, body));
  });
  server.on("connection", (socket) => {
    unanswered.set(socket, 0);
    const gate = new RequestGate({
      socket,
      turns,
      mayReadRequest: () => unanswered.get(socket)! < maxUnanswered && !socket.writableNeedDrain,
      onHeld: (bytes) => {
        seen.held += bytes;
        seen.mostHeld = Math.max(seen.mostHeld, seen.held);
      },
      onPaused: () => seen.paused++,
    });
    gates.set(socket, gate);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  await once(socket, "connect");
  t.after(() => {
    socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  return { socket, seen };
}

/** Reads until the text has so many occurrences of a pattern. */
async function readUntil(socket: Socket, pattern: RegExp, count: number): Promise<string> {
  let text = "";
  for await (const chunk of socket.iterator({ destroyOnReturn: false })) {
    text += (chunk as Buffer).toString("latin1");
    if ((text.match(pattern)?.length ?? 0) >= count) break;
  }
  return text;
}

/** Bodies with what looks like the ends of heads and of chunked bodies. */
const BODIES = [
  "",
  "a",
  "\r\n\r\n",
  "0\r\n\r\n",
  "0\n\n\n",
  "GET / HTTP/1.1\r\n\r\n",
  "x".repeat(3_000),
];

/** A request of one of several forms, and the body that it has. */
function makeRequest(i: number, rng: Rng): { readonly bytes: string; readonly body: string } {
  const body = BODIES[rng.int(BODIES.length)]!;
  const head = `POST /${i} HTTP/1.1\r\nHost: a\r\n`;
  switch (rng.int(4)) {
    case 0:
      return { bytes: `GET /${i} HTTP/1.1\r\nHost: a\r\n\r\n`, body: "" };
    case 1:
      return { bytes: `${head}Content-Length: ${body.length}\r\n\r\n${body}`, body };
    case 2: {
      const chunks = [...body].map((c) => `1\r\n${c}\r\n`).join("");
      return { bytes: `${head}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`, body };
    }
    default: {
      const chunk = body === "" ? "" : `${body.length.toString(16)}\r\n${body}\r\n`;
      return {
        bytes: `${head}Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\nTrailer: 0\r\n\r\n`,
        body,
      };
    }
  }
}

const REQUESTS = 60;

// Guards against requests of a caller within all limits that are lost, changed or held for ever between the socket and
// the parser.
for (let seed = 1; seed <= 20; seed++) {
  test(`requests in pieces of any size are all answered in order (seed ${seed})`, async (t) => {
    const { socket, seen } = await startServer(t, {
      maxUnanswered: 3,
      respond: (req, res, body) => {
        const text = `<${req.url} ${Buffer.from(body, "latin1").toString("base64")}>`;
        if (seed % 2 === 0) res.end(text);
        else setTimeout(() => res.end(text), seed % 3);
      },
    });
    const rng = new Rng(seed);
    const requests = Array.from({ length: REQUESTS }, (_, i) => makeRequest(i, rng));
    const bytes = Buffer.from(requests.map((r) => r.bytes).join(""), "latin1");
    const largest = seed % 4 === 0 ? bytes.length : 1 + rng.int(2_000);
    const write = async () => {
      for (let at = 0; at < bytes.length;) {
        const length = 1 + rng.int(largest);
        socket.write(bytes.subarray(at, at + length));
        at += length;
        if (rng.int(4) === 0) await new Promise((resolve) => setImmediate(resolve));
      }
    };
    const [text] = await Promise.all([readUntil(socket, /<[^>]*>/g, REQUESTS), write()]);
    const expected = requests.map(({ body }, i) =>
      `</${i} ${Buffer.from(body, "latin1").toString("base64")}>`
    );
    assert.deepEqual(text.match(/<[^>]*>/g), expected);
    assert.ok(seen.most <= 3, `${seen.most} requests were unanswered at once`);
    assert.equal(seen.held, 0);
  });
}

// Guards against requests that are begun while none before them is answered.
test("requests beyond the limit are not read until one is answered", async (t) => {
  const waiting: ServerResponse[] = [];
  const { socket, seen } = await startServer(t, {
    maxUnanswered: 4,
    respond: (_, res) => waiting.push(res),
  });
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(1_000));
  while (seen.paused === 0) await new Promise((resolve) => setImmediate(resolve));
  assert.equal(seen.requests, 4);
  assert.equal(waiting.length, 4);
  waiting[0]!.end();
  while (seen.requests < 5) await new Promise((resolve) => setImmediate(resolve));
  assert.ok(seen.mostHeld <= 2 * 65_536, `${seen.mostHeld} bytes held`);
});

// Guards against a connection whose requests keep all others from being read.
test("a request of another connection is read between those that were sent ahead on one", async (t) => {
  const order: string[] = [];
  const { socket, seen } = await startServer(t, {
    maxUnanswered: 10,
    respond: (req, res) => {
      order.push(req.url!);
      res.end();
    },
  });
  socket.resume();
  socket.write("GET /ahead HTTP/1.1\r\nHost: a\r\n\r\n".repeat(500));
  while (seen.requests === 0) await new Promise((resolve) => setImmediate(resolve));
  const other = connect(socket.remotePort!, "127.0.0.1");
  t.after(() => other.destroy());
  other.resume();
  other.write("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
  while (seen.requests < 501) await new Promise((resolve) => setImmediate(resolve));
  assert.ok(order.indexOf("/other") < 400, `after ${order.indexOf("/other")} others`);
});
