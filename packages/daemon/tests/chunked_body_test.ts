import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, get } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { text } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import { ChunkedBody } from "../src/chunked_body.ts";

const PARTS = ["id: 1\ndata: été\n\n", "", "data: [DONE]\n\n"];

async function serveParts(t: TestContext): Promise<number> {
  const server = createServer((_req, res) => {
    res.writeHead(200, { "content-type": "text/event-stream" });
    const body = new ChunkedBody(res);
    for (const part of PARTS) body.write(part);
    body.end();
  });
  server.listen({ host: "127.0.0.1", port: 0 });
  await once(server, "listening");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

test("chunks that are framed here reach an HTTP/1.1 caller whole, and the connection is reusable", async (t) => {
  const port = await serveParts(t);
  for (let i = 0; i < 2; i++) {
    const req = get({ host: "127.0.0.1", port });
    const [res] = await once(req, "response");
    assert.equal(await text(res), PARTS.join(""));
    assert.equal(res.complete, true);
    assert.equal(res.headers["transfer-encoding"], "chunked");
  }
});

test("an HTTP/1.0 caller gets the text without chunk framing", async (t) => {
  const socket = connect({ host: "127.0.0.1", port: await serveParts(t) });
  socket.write("GET / HTTP/1.0\r\n\r\n");
  const answer = await text(socket);
  assert.equal(answer.slice(answer.indexOf("\r\n\r\n") + 4), PARTS.join(""));
});
