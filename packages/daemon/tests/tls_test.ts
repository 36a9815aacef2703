import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { connect } from "node:net";
import { MAX_PENDING_PER_ADDRESS } from "@wisteriapick/wire";
import { Agent, request } from "undici";
import { CLIENT_KEY, Fleet } from "./fixtures.ts";
import { makeSelfSigned } from "./self_signed.ts";

/** Starts an entry that serves TLS. */
async function startTlsEntry() {
  const dir = mkdtempSync(join(tmpdir(), "wp-tls-"));
  after(() => rmSync(dir, { recursive: true }));
  const { key, cert } = makeSelfSigned("localhost");
  const tls = { key: join(dir, "key.pem"), cert: join(dir, "cert.pem") };
  writeFileSync(tls.key, key);
  writeFileSync(tls.cert, cert);
  const fleet = new Fleet();
  after(() => fleet.close());
  const { url } = await fleet.startEntry("1", { listen: { host: "127.0.0.1", port: 0, tls } });
  const dispatcher = new Agent({ connect: { ca: cert, servername: "localhost" } });
  after(() => dispatcher.close());
  return { url, dispatcher };
}

// Guards against an entry that still serves plain HTTP, and so bearer keys in clear text, once TLS is set up.
test("an entry whose settings name a key and a certificate serves TLS only", async () => {
  const { url, dispatcher } = await startTlsEntry();
  const headers = { authorization: `Bearer ${CLIENT_KEY}` };
  const secure = `${url.replace("http:", "https:")}/v1/models`;
  const res = await request(secure, { headers, dispatcher });
  assert.equal(res.statusCode, 200);
  await res.body.dump();
  await assert.rejects(request(secure, { headers }), "an unknown certificate is refused");
  await assert.rejects(request(`${url}/v1/models`, { headers }), "plain HTTP is refused");
});

// Guards against TLS handshakes that stop short and take the descriptors which callers need.
test("few TLS handshakes are pending at an entry, and other callers are served", async (t) => {
  const { url, dispatcher } = await startTlsEntry();
  const { hostname, port } = new URL(url);
  const crowd = Array.from({ length: 200 }, () => connect(Number(port), hostname));
  t.after(() => crowd.forEach((socket) => socket.destroy()));
  let open = crowd.length;
  for (const socket of crowd) {
    socket.on("error", () => {});
    socket.once("close", () => open--);
    socket.resume();
    socket.write(Uint8Array.of(22, 3, 1));
  }
  while (open > MAX_PENDING_PER_ADDRESS) await new Promise((resolve) => setTimeout(resolve, 5));
  const headers = { authorization: `Bearer ${CLIENT_KEY}` };
  const secure = `${url.replace("http:", "https:")}/v1/models`;
  const res = await request(secure, { headers, dispatcher });
  assert.equal(res.statusCode, 200);
  await res.body.dump();
});
