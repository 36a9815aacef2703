import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { SystemClock } from "@wisteriapick/core";
import { ConnectionPool } from "../src/upstream/connection_pool.ts";
import { controlCall } from "../src/upstream/control_call.ts";
import type { UpstreamEndpoint } from "../src/upstream/endpoint.ts";
import { makeGet, makeSink, startRawServer } from "./upstream_fixtures.ts";

/** Bytes that a faulty endpoint may get rid of before its connection is closed; buffers of the system included. */
const MAX_ACCEPTED_BYTES = 8_388_608;
/** Bytes after which the stand-in gives up: nobody has closed the connection. */
const FLOOD_BYTES = 134_217_728;

/** Writes `first`, then `again` without end, until the connection is closed. Resolves with the bytes written. */
function flood(socket: Socket, first: string, again: string): Promise<number> {
  const block = Buffer.from(again.repeat(Math.ceil(16_384 / again.length)), "latin1");
  let written = 0;
  return new Promise((resolve) => {
    const next = () => {
      while (written < FLOOD_BYTES && !socket.destroyed) {
        written += block.length;
        if (!socket.write(block)) return void socket.once("drain", next);
      }
      socket.destroy();
    };
    socket.on("close", () => resolve(written));
    socket.write(first);
    next();
  });
}

/** Starts an endpoint that floods each caller, and a promise of what the first flood wrote. */
async function startFlood(first: string, again: string) {
  let resolve: (bytes: number) => void = () => {};
  const written = new Promise<number>((r) => {
    resolve = r;
  });
  const server = await startRawServer((socket) => void flood(socket, first, again).then(resolve));
  return { server, written };
}

const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const endlessHeads: Readonly<Record<string, readonly [string, string]>> = {
  "bytes that are no response": ["", "\x00\x01"],
  "a status text without end": ["HTTP/1.1 200 ", "x"],
  "a header field without end": ["HTTP/1.1 200 OK\r\nX-A: ", "x"],
  "header fields without end": ["HTTP/1.1 200 OK\r\n", "X-A: b\r\n"],
  "interim responses without end": ["", "HTTP/1.1 103 Early Hints\r\n\r\n"],
  "a chunk extension without end": [`${CHUNKED}5;`, "x"],
  "trailers without end": [`${CHUNKED}0\r\n`, "X-A: b\r\n"],
};

// Guards against reading a faulty endpoint's bytes until the request's deadline.
for (const [name, [first, again]] of Object.entries(endlessHeads)) {
  test(`a connection is closed that carries ${name}`, async () => {
    const { server, written } = await startFlood(first, again);
    const pool = new ConnectionPool({ address: server.address });
    const { sink, ended } = makeSink();
    pool.send(makeGet(), sink);
    const res = await ended;
    assert.equal(res.ended, false);
    assert.notEqual(res.failure, null);
    assert.ok(await written <= MAX_ACCEPTED_BYTES, `${await written} bytes`);
    pool.destroy();
    await server.close();
  });
}

test("a control call ends when its response exceeds the limit", async () => {
  const { server, written } = await startFlood(CHUNKED, "1000\r\n" + "x".repeat(4_096) + "\r\n");
  const pool = new ConnectionPool({ address: server.address });
  const endpoint = { pool } as unknown as UpstreamEndpoint;
  const clock = new SystemClock();
  const res = await controlCall(endpoint, makeGet(), { clock, timeoutMs: 30_000 });
  assert.equal(res.type, "failed");
  assert.ok(await written <= MAX_ACCEPTED_BYTES, `${await written} bytes`);
  pool.destroy();
  await server.close();
});

test("a connection is closed that carries bytes without end after a complete response", async () => {
  const { server, written } = await startFlood(
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "x",
  );
  const pool = new ConnectionPool({ address: server.address });
  const { sink, ended } = makeSink();
  pool.send(makeGet(), sink);
  await ended;
  assert.ok(await written <= MAX_ACCEPTED_BYTES, `${await written} bytes`);
  pool.destroy();
  await server.close();
});
