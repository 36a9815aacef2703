import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { Agent, request } from "undici";
import { guardedConnector } from "../src/mod.ts";

const PART_BYTES = 70_000;

/** Starts a server that sends two parts of a response without length, and then ends the connection. */
async function startServer(end: (socket: Socket) => void) {
  const part = Buffer.alloc(PART_BYTES, "x");
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      socket.write(part);
      setTimeout(() => socket.write(part, () => setTimeout(() => end(socket), 20)), 50);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/` };
}

// Guards against an error outside any request that ends the process, as the parser of the response is paused.
for (const end of ["end", "resetAndDestroy"] as const) {
  test(`a response without length that is read slowly may end with ${end}`, async (t) => {
    const { server, url } = await startServer((socket) => socket[end]());
    const dispatcher = new Agent({ connect: guardedConnector({ timeout: 1_000 }) });
    t.after(async () => {
      await dispatcher.destroy();
      server.close();
    });
    const { body } = await request(url, { dispatcher });
    let bytes = 0;
    const reader = setInterval(
      () => bytes += body.read(20_000)?.length ?? body.read()?.length ?? 0,
      100,
    );
    const outcome = await new Promise((resolve) => {
      body.once("end", () => resolve("end"));
      body.once("error", () => resolve("error"));
    });
    clearInterval(reader);
    if (end === "end") assert.deepEqual([outcome, bytes], ["end", 2 * PART_BYTES]);
    else assert.equal(outcome, "error", "a part of a response looks complete");
  });
}
