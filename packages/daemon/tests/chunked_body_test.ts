import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, get } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { text } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import { ChunkedBody } from "../src/chunked_body.ts";

const EVENTS = ["id: 1\ndata: été\n\n", "", "data: [DONE]\n\n"];

async function serveEvents(t: TestContext): Promise<number> {
  const server = createServer((_req, res) => {
    res.writeHead(200, { "content-type": "text/event-stream" });
    const body = new ChunkedBody(res);
    for (const event of EVENTS) body.write(event);
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

// Guards against wrong chunk framing, which truncates a response or corrupts the next one on the connection.
test("chunks reach an HTTP/1.1 caller complete, and the connection is reusable", async (t) => {
  const port = await serveEvents(t);
  for (let i = 0; i < 2; i++) {
    const req = get({ host: "127.0.0.1", port });
    const [res] = await once(req, "response");
    assert.equal(await text(res), EVENTS.join(""));
    assert.equal(res.complete, true);
    assert.equal(res.headers["transfer-encoding"], "chunked");
  }
});

// Guards against chunk sizes in the text that an HTTP/1.0 caller reads.
test("an HTTP/1.0 caller gets the text without chunk framing", async (t) => {
  const socket = connect({ host: "127.0.0.1", port: await serveEvents(t) });
  socket.write("GET / HTTP/1.0\r\n\r\n");
  const response = await text(socket);
  assert.equal(response.slice(response.indexOf("\r\n\r\n") + 4), EVENTS.join(""));
});
