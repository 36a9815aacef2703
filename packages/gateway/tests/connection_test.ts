import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionPool } from "../src/upstream/connection_pool.ts";
import { makeGet, makeSink, startRawServer } from "./upstream_fixtures.ts";

test("an answer without length that ends with a reset is not taken for whole", async () => {
  const server = await startRawServer((socket) => {
    socket.write("HTTP/1.1 200 OK\r\n\r\nfirst half");
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const pool = new ConnectionPool({ address: server.address });
  const { sink, over } = makeSink();
  pool.send(makeGet(), sink);
  const answer = await over;
  assert.equal(answer.ended, false);
  assert.equal(answer.failure?.type, "connection_lost");
  pool.destroy();
  await server.close();
});

test("an answer without length that is reset right behind its bytes is not taken for whole", async () => {
  const server = await startRawServer((socket) => {
    socket.write("HTTP/1.1 200 OK\r\n\r\nfirst half", () => socket.resetAndDestroy());
  });
  const pool = new ConnectionPool({ address: server.address });
  const { sink, over } = makeSink();
  pool.send(makeGet(), sink);
  const answer = await over;
  assert.equal(answer.ended, false);
  pool.destroy();
  await server.close();
});

test("an answer without length that ends with its connection is whole", async () => {
  const server = await startRawServer((socket) => socket.end("HTTP/1.1 200 OK\r\n\r\nall of it"));
  const pool = new ConnectionPool({ address: server.address });
  const { sink, over } = makeSink();
  pool.send(makeGet(), sink);
  const answer = await over;
  assert.equal(answer.ended, true);
  assert.equal(answer.body, "all of it");
  pool.destroy();
  await server.close();
});
