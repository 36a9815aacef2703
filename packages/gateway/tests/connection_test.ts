import assert from "node:assert/strict";
import { test } from "node:test";
import type { UpstreamSink } from "../src/upstream/connection.ts";
import { ConnectionPool } from "../src/upstream/connection_pool.ts";
import { makeGet, makeSink, stallFor, startRawServer } from "./upstream_fixtures.ts";

// Guards against passing on a truncated response as complete: the client treats a reset as the end of a response
// without length.
test("a response without length that ends with a reset is not complete", async () => {
  const server = await startRawServer((socket) => {
    socket.write("HTTP/1.1 200 OK\r\n\r\nfirst half");
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const pool = new ConnectionPool({ address: server.address });
  const { sink, ended } = makeSink();
  pool.send(makeGet(), sink);
  const res = await ended;
  assert.equal(res.ended, false);
  assert.equal(res.failure?.type, "connection_lost");
  pool.destroy();
  await server.close();
});

// Guards against the same failure when libuv reports the reset as an ordinary end.
test("a response without length that is reset right after its last bytes is not complete", async () => {
  const server = await startRawServer((socket) => {
    socket.write("HTTP/1.1 200 OK\r\n\r\nfirst half", () => socket.resetAndDestroy());
  });
  const pool = new ConnectionPool({ address: server.address });
  const { sink, ended } = makeSink();
  pool.send(makeGet(), sink);
  const res = await ended;
  assert.equal(res.ended, false);
  pool.destroy();
  await server.close();
});

// Guards against rejecting complete responses whose end is the end of the connection.
test("a response without length that ends with its connection is complete", async () => {
  const server = await startRawServer((socket) => socket.end("HTTP/1.1 200 OK\r\n\r\nall of it"));
  const pool = new ConnectionPool({ address: server.address });
  const { sink, ended } = makeSink();
  pool.send(makeGet(), sink);
  const res = await ended;
  assert.equal(res.ended, true);
  assert.equal(res.body, "all of it");
  pool.destroy();
  await server.close();
});

// Guards against a request that is written when its connection opens although its permission has ended meanwhile.
test("a request that is withdrawn while its connection opens is not written", async () => {
  const seen: string[] = [];
  const server = await startRawServer((_socket, request) => void seen.push(request));
  const pool = new ConnectionPool({ address: server.address });
  const { sink, ended } = makeSink();
  let isAllowed = true;
  pool.send({ ...makeGet(), mayStillSend: () => isAllowed }, sink);
  isAllowed = false;
  const { failure } = await ended;
  assert.equal(failure?.type, "withdrawn");
  assert.equal(failure.sent, false);
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.deepEqual(seen, []);
  pool.destroy();
  await server.close();
});

// Guards against a 502 for a request that no endpoint can have run, as its end never left this process.
test("a request that is not written in full counts as not sent", async () => {
  const server = await startRawServer((socket) => {
    socket.pause();
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  const pool = new ConnectionPool({ address: server.address });
  const { sink, ended } = makeSink();
  const body = Buffer.alloc(33_554_432);
  const headers = ["Host", "shop.example", "Content-Length", String(body.length)];
  pool.send({ method: "POST", target: "/orders/7", headers, body }, sink);
  const { failure } = await ended;
  assert.equal(failure?.sent, false, failure?.message);
  pool.destroy();
  await server.close();
});

// Guards against a request that is taken for unsent although all of it has left this process.
test("a request that is written in full and gets no response counts as sent", async () => {
  const server = await startRawServer((socket) => socket.resetAndDestroy());
  const pool = new ConnectionPool({ address: server.address });
  const { sink, ended } = makeSink();
  const call = pool.send(makeGet(), sink);
  assert.equal(call.hasBeenSent, false);
  const { failure } = await ended;
  assert.equal(failure?.sent, true);
  assert.equal(call.hasBeenSent, true);
  pool.destroy();
  await server.close();
});

// Guards against a request that is rejected after a stall of this process, although its connection opened during it.
test("a connection that opened during a stall is not taken for one that did not open in time", async (t) => {
  const server = await startRawServer((socket) =>
    socket.end("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
  );
  const pool = new ConnectionPool({ address: server.address, connectTimeoutMs: 100 });
  t.after(() => {
    pool.destroy();
    return server.close();
  });
  const { sink, ended } = makeSink();
  pool.send(makeGet(), sink);
  stallFor(300);
  const { status, body, failure } = await ended;
  assert.deepEqual([status, body, failure], [200, "ok", null]);
});

// Guards against an error in a stream whose caller reads again while a part of another one's response is being handled,
// as where the responses to requests on one connection wait for each other.
test("a response is resumed while another one is being parsed", async () => {
  const server = await startRawServer((socket, request) => {
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst");
    if (request.startsWith("GET /paused")) setTimeout(() => socket.write("later"), 20);
    else socket.write("later");
  });
  const pool = new ConnectionPool({ address: server.address });
  const [paused, other] = [makeSink(), makeSink()];
  let raised: unknown = null;
  const call = pool.send(makeGet("/paused"), {
    ...paused.sink,
    onData: (chunk) => {
      paused.sink.onData(chunk);
      if (chunk.toString() !== "first") return true;
      pool.send(makeGet("/other"), {
        ...other.sink,
        onData: (part) => {
          try {
            call.resume();
          } catch (e) {
            raised ??= e;
          }
          return other.sink.onData(part);
        },
      });
      return false;
    },
  });
  const [first, second] = await Promise.all([paused.ended, other.ended]);
  assert.equal(raised, null);
  assert.deepEqual([first.body, second.body], ["firstlater", "firstlater"]);
  pool.destroy();
  await server.close();
});

/** A sink that asks for one chunk at a time, after a while each. */
function makeSlowSink(resume: () => void) {
  const { sink, ended } = makeSink();
  const slow: UpstreamSink = {
    ...sink,
    onData: (chunk) => {
      sink.onData(chunk);
      setTimeout(resume, 50);
      return false;
    },
  };
  return { sink: slow, ended };
}

// Guards against an error outside any request, which ends the process: the client does not expect the end of a response
// that it has paused.
for (
  const [what, end, more] of [
    ["reset", "resetAndDestroy", "second"],
    ["end", "destroySoon", "second"],
    ["end", "destroySoon", ""],
  ] as const
) {
  const name = `a response without length may ${what} after "first${more}" that is read slowly`;
  test(name, async (t) => {
    const server = await startRawServer((socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\nfirst");
      setTimeout(() => socket.write(more, () => setTimeout(() => socket[end](), 20)), 20);
    });
    const pool = new ConnectionPool({ address: server.address });
    t.after(() => {
      pool.destroy();
      return server.close();
    });
    const { sink, ended } = makeSlowSink(() => call.resume());
    const call = pool.send(makeGet(), sink);
    const { body, ended: isComplete, failure } = await ended;
    if (what === "end") assert.deepEqual([body, isComplete], [`first${more}`, true]);
    else assert.deepEqual([isComplete, failure?.type], [false, "connection_lost"]);
  });
}

// Guards against an error where the end of a paused response lets the parser run within its own call.
test("a paused response is aborted while another one is being parsed", async (t) => {
  const server = await startRawServer((socket) => {
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst");
    setTimeout(() => socket.write("later"), 20);
  });
  const pool = new ConnectionPool({ address: server.address });
  t.after(() => {
    pool.destroy();
    return server.close();
  });
  const [paused, other] = [makeSink(), makeSink()];
  const call = pool.send(makeGet(), { ...paused.sink, onData: () => false });
  pool.send(makeGet(), {
    ...other.sink,
    onData: (chunk) => {
      if (chunk.toString() === "later") call.abort();
      return other.sink.onData(chunk);
    },
  });
  const [first, second] = await Promise.all([paused.ended, other.ended]);
  assert.equal(first.failure?.type, "aborted");
  assert.deepEqual([second.body, second.ended], ["firstlater", true]);
});

// Guards against chunks that come in one packet and overtake a pause, and against an end before the last of them.
test("a slow reader gets one chunk at a time, and the end after the last one", async (t) => {
  const chunks = ["one", "two", "six"];
  const body = chunks.map((chunk) => `3\r\n${chunk}\r\n`).join("");
  const server = await startRawServer((socket) =>
    socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${body}0\r\n\r\n`)
  );
  const pool = new ConnectionPool({ address: server.address });
  t.after(() => {
    pool.destroy();
    return server.close();
  });
  for (let i = 0; i < 2; i++) {
    const received: string[] = [];
    const { sink, ended } = makeSlowSink(() => {
      received.push("resume");
      call.resume();
    });
    const call = pool.send(makeGet(), {
      ...sink,
      onData: (chunk) => {
        received.push(chunk.toString());
        return sink.onData(chunk);
      },
    });
    await ended;
    assert.deepEqual(received, chunks.flatMap((chunk) => [chunk, "resume"]));
  }
  assert.equal(server.connections(), 1);
});
