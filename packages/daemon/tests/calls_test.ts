import assert from "node:assert/strict";
import { once } from "node:events";
import { type IncomingMessage, request as httpRequest } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { Readable } from "node:stream";
import { after, test } from "node:test";
import { request } from "undici";
import { CLIENT_KEY, Fleet, waitUntil } from "./fixtures.ts";
import { dropConnection, TestService } from "./plain_service.ts";
import { type Script, ScriptedSide } from "./scripted_side.ts";

const AUTH = { authorization: `Bearer ${CLIENT_KEY}` };

async function startCounter(sides = 1) {
  const fleet = new Fleet();
  after(() => fleet.close());
  const service = new TestService();
  const origin = await service.listen();
  after(() => service.close());
  for (let i = 1; i <= sides; i++) {
    await fleet.startSide(`counter-${i}`, null, { service: "counter", origin });
  }
  const { url, entry } = await fleet.startEntry("1");
  return { fleet, service, entry, url: `${url}/services/counter` };
}

/** Starts a fleet with two scripted sides that share a script. */
async function startScriptedSides(script: (side: () => ScriptedSide) => Script) {
  const fleet = new Fleet();
  after(() => fleet.close());
  const sides: ScriptedSide[] = [];
  for (let i = 0; i < 2; i++) {
    sides.push(new ScriptedSide(`counter-${i}`, script(() => sides[i]!), { service: "counter" }));
  }
  for (const side of sides) await side.join(fleet);
  const { url } = await fleet.startEntry("1");
  const calls = () => sides.flatMap((side) => side.calls);
  return { sides, calls, url: `${url}/services/counter` };
}

// Guards against hop-by-hop headers or the caller's bearer key reaching the service.
test("a call forwards method, path, body and end-to-end headers, but not the caller's key", async () => {
  const { service, url } = await startCounter();
  // undici does not let a caller set the Connection field, so node:http sends this request.
  const req = httpRequest(`${url}/orders?print=2`, {
    method: "PUT",
    headers: { ...AUTH, "x-till": "3", connection: "x-secret-hop", "x-secret-hop": "1" },
  });
  req.end("bowl");
  const [res] = await once(req, "response") as [IncomingMessage];
  let text = "";
  for await (const chunk of res) text += chunk;
  assert.equal(res.statusCode, 201);
  assert.equal(res.headers["x-hop"], undefined);
  assert.equal(JSON.parse(text).body, "bowl");
  const { method, url: path, headers } = service.requests[0]!;
  assert.deepEqual([method, path], ["PUT", "/orders?print=2"]);
  assert.equal(headers["x-till"], "3");
  assert.equal(headers["x-secret-hop"], undefined);
  assert.equal(headers.authorization, undefined);
  assert.equal(headers["x-client-account"], "shop");
});

// Guards against bytes lost, repeated or reordered where a body is split into link messages.
test("a large body is streamed unchanged in both directions", async () => {
  const { url } = await startCounter();
  const body = Buffer.alloc(3 << 20, "0123456789abcdef");
  const res = await request(`${url}/echo`, { method: "POST", headers: AUTH, body });
  assert.ok(body.equals(Buffer.from(await res.body.arrayBuffer())));
});

// Guards against a body being dropped because the request has no Content-Length.
test("a chunked body without a length is streamed through", async () => {
  const { url } = await startCounter();
  const body = Readable.from(Array.from({ length: 50 }, (_, i) => Buffer.alloc(1_000, i)));
  const res = await request(`${url}/echo`, { method: "POST", headers: AUTH, body });
  assert.equal((await res.body.arrayBuffer()).byteLength, 50_000);
});

/** Starts a service whose responses are raw bytes, and an entry in front of it. */
async function startRawService(respond: (socket: Socket) => void) {
  const fleet = new Fleet();
  after(() => fleet.close());
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", (head) => {
      if (head.includes("/healthz")) return socket.end("HTTP/1.1 200 OK\r\n\r\nok");
      respond(socket);
    });
  });
  after(() => server.close());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  await fleet.startSide("counter-1", null, { service: "counter", origin });
  const { url } = await fleet.startEntry("1");
  return `${url}/services/counter`;
}

// Guards against a part of a response that is passed on as a whole one.
for (const delayMs of [0, 20]) {
  test(`a response without length that is reset after ${delayMs} ms is not a whole one`, async () => {
    const url = await startRawService((socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\nfirst half", () => {
        setTimeout(() => socket.resetAndDestroy(), delayMs);
      });
    });
    const res = await request(`${url}/report`, { method: "POST", headers: AUTH }).catch(() => null);
    const body = res === null || res.statusCode !== 200
      ? null
      : await res.body.text().catch(() => null);
    assert.equal(body, null);
  });
}

// Guards against an error that ends the side's process, as the response ends while its caller has paused it.
test("a response without length to a caller that reads slowly is delivered whole", async () => {
  const body = Buffer.alloc(4 << 20, "0123456789abcdef");
  const url = await startRawService((socket) => {
    socket.end(Buffer.concat([Buffer.from("HTTP/1.1 200 OK\r\n\r\n"), body]));
  });
  const req = httpRequest(`${url}/report`, { headers: AUTH }).end();
  const [res] = await once(req, "response") as [IncomingMessage];
  const received: Buffer[] = [];
  for await (const chunk of res) {
    received.push(chunk);
    if (received.length % 8 === 0) await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert.ok(Buffer.concat(received).equals(body));
});

// Guards against buffering a large response without bound for a caller that does not read it.
test("a caller that does not read pauses the service and later receives the whole body", async () => {
  const { service, url } = await startCounter();
  const total = 64 << 20;
  let sent = 0;
  service.onRequest = (_req, res) => {
    const push = () => {
      while (sent < total) {
        sent += 65_536;
        if (!res.write(Buffer.alloc(65_536))) return void res.once("drain", push);
      }
      res.end();
    };
    push();
  };
  const req = httpRequest(`${url}/blob`, { headers: AUTH });
  req.end();
  const [res] = await once(req, "response") as [IncomingMessage];
  let previouslySent = -1;
  // The buffers on the way fill up until the service can write no more.
  while (previouslySent !== sent) {
    previouslySent = sent;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  assert.ok(sent < total, `the service wrote ${sent} bytes`);
  let received = 0;
  for await (const chunk of res) received += chunk.length;
  assert.equal(received, total);
});

// Guards against running a call twice that may not be repeated, and against failing one that may be retried.
test("a repeatable call whose connection breaks is retried, and any other call is not", async () => {
  const { service, url } = await startCounter(2);
  let failures = 0;
  service.onRequest = (req, res) => {
    if (failures++ === 0) return dropConnection(req, res);
    res.end("ok");
  };
  const search = await request(`${url}/search`, { method: "POST", headers: AUTH, body: "bowl" });
  assert.equal(search.statusCode, 200);
  assert.equal(service.count("/search"), 2);
  service.onRequest = dropConnection;
  const order = await request(`${url}/orders`, { method: "POST", headers: AUTH, body: "bowl" });
  const problem = await order.body.json() as { type: string; not_run: unknown };
  assert.equal(order.statusCode, 502);
  assert.deepEqual([problem.type, problem.not_run], ["upstream_failed", "unknown"]);
  assert.equal(order.headers["x-should-retry"], "false");
  assert.equal(service.count("/orders"), 1);
});

// Guards against a truncated response that the caller takes for complete.
test("a response that breaks off is not ended as if it were complete", async () => {
  const { service, url } = await startCounter();
  service.onRequest = (_req, res) => {
    res.writeHead(200, { "content-length": "100" });
    res.write("half", () => res.destroy());
  };
  const res = await request(`${url}/orders`, { method: "POST", headers: AUTH, body: "x" });
  await assert.rejects(res.body.text());
});

const ORDER = { method: "POST", headers: AUTH, body: "bowl" } as const;

// Guards against failing a call that has certainly not run.
test("a call that loses its link before the side may run it goes to another side", async () => {
  const { calls, url } = await startScriptedSides((side) => ({
    onCall: (call) => {
      if (side().calls.length + call.msg.attempt === 2) call.link.close();
      else side().sendAdmitted(call);
    },
    onCallMessage: (call, msg) => {
      if (msg.kind === "body" && msg.last) side().sendResponse(call, "done");
    },
  }));
  const res = await request(`${url}/orders`, ORDER);
  assert.equal(await res.body.text(), "done");
  assert.equal(calls().length, 2);
  assert.deepEqual(calls().map((call) => call.received.length > 0).sort(), [false, true]);
});

// Guards against failing a call that an overloaded side refused without running it.
test("a call that was refused as not run goes to another side", async () => {
  const { calls, url } = await startScriptedSides((side) => ({
    onCall: (call) => {
      if (call.msg.attempt > 1) return side().sendAdmitted(call);
      const { load } = { load: side().load() };
      call.stream.send({ kind: "not_run", reason: "overloaded", load, about: call.msg.req });
      call.stream.end();
    },
    onCallMessage: (call, msg) => {
      if (msg.kind === "body" && msg.last) side().sendResponse(call, "done");
    },
  }));
  const res = await request(`${url}/orders`, ORDER);
  assert.equal(await res.body.text(), "done");
  assert.equal(calls().length, 2);
});

// Guards against running a call twice when its link is lost once the side may have run it.
for (const point of ["first body message", "last body message", "response head"] as const) {
  test(`a call that may not be repeated is not retried when its link is lost after the ${point}`, async () => {
    const { calls, url } = await startScriptedSides((side) => ({
      onCall: (call) => side().sendAdmitted(call),
      onCallMessage: (call, msg) => {
        if (msg.kind !== "body") return;
        if (point === "first body message") return call.link.close();
        if (!msg.last) return;
        if (point === "last body message") return call.link.close();
        const head = { kind: "reply_head", status: 200, headers: [], load: side().load() } as const;
        call.stream.send({ ...head, about: call.msg.req });
        setImmediate(() => call.link.close());
      },
    }));
    // After the response head was sent, the caller's connection breaks before or after the head arrives.
    const res = await request(`${url}/orders`, ORDER).catch(() => null);
    if (point === "response head") {
      if (res !== null) await assert.rejects(res.body.text());
    } else {
      const problem = await res!.body.json() as { type: string; not_run: unknown };
      assert.deepEqual([problem.type, problem.not_run], ["link_lost", "unknown"]);
    }
    assert.equal(calls().length, 1);
  });
}

// Guards against a caller receiving the response to another caller's call.
test("a response to another call on this call's stream is not delivered", async () => {
  const { calls, url } = await startScriptedSides((side) => ({
    onCall: (call) => side().sendAdmitted(call),
    onCallMessage: (call, msg) => {
      if (msg.kind === "body" && msg.last) side().sendResponse(call, "not yours", "r-other");
    },
  }));
  const res = await request(`${url}/orders`, ORDER);
  assert.equal(res.statusCode, 502);
  assert.equal(((await res.body.json()) as { not_run: unknown }).not_run, "unknown");
  assert.equal(calls().length, 1);
});

// Guards against repeated bytes when a side sends a chunk twice.
test("a duplicate chunk of a response is delivered once", async () => {
  const { url } = await startScriptedSides((side) => ({
    onCall: (call) => side().sendAdmitted(call),
    onCallMessage: ({ stream, msg: { req } }, msg) => {
      if (msg.kind !== "body" || !msg.last) return;
      const load = side().load();
      stream.send({ kind: "reply_head", status: 200, headers: [], load, about: req });
      const chunk = { kind: "body", last: false, about: req } as const;
      stream.send({ ...chunk, bytes: Buffer.from("one "), offset: 0 });
      stream.send({ ...chunk, bytes: Buffer.from("one "), offset: 0 });
      stream.send({ ...chunk, bytes: Buffer.from("two"), offset: 4 });
      stream.send({ ...chunk, bytes: Buffer.alloc(0), offset: 7, last: true });
      stream.end();
    },
  }));
  const res = await request(`${url}/orders`, ORDER);
  assert.equal(await res.body.text(), "one two");
});

// Guards against running a call twice when its messages are duplicated on the way to the side.
test("a call that a side receives twice reaches its endpoint once", async () => {
  const { fleet, service } = await startCounter();
  const opened: string[] = [];
  const { pool } = await fleet.startEntry("2");
  const address = fleet.sideAddress("counter-1");
  pool.keep(address);
  const link = await pool.ready(address);
  const call = fleet.makeCall("/orders");
  for (let i = 0; i < 2; i++) {
    const stream = link.openStream(call, {
      onMessage: (msg) => opened.push(msg.kind),
      onClose: (err) => opened.push(err === null ? "closed" : "aborted"),
    });
    const body = { kind: "body", bytes: Buffer.alloc(0), last: true, offset: 0 } as const;
    stream.send({ ...body, about: call.req });
    stream.end();
  }
  await waitUntil(() => opened.includes("aborted") && opened.includes("closed"));
  assert.equal(service.count("/orders"), 1);
});
