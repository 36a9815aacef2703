import assert from "node:assert/strict";
import { syncBuiltinESMExports } from "node:module";
import net from "node:net";
import { test, type TestContext } from "node:test";
import { ManualClock, SystemClock } from "@wisteriapick/core";
import type { Address } from "@wisteriapick/wire";
import { createDecisionLog } from "../src/observe/decision_log.ts";
import { ConnectFailureLog } from "../src/upstream/connect_failure_log.ts";
import { ConnectionPool } from "../src/upstream/connection_pool.ts";
import { controlCall } from "../src/upstream/control_call.ts";
import { UpstreamEndpoint } from "../src/upstream/endpoint.ts";
import { makeEndpoint } from "./fixtures.ts";
import { makeGet, makeSink, startRawServer } from "./upstream_fixtures.ts";

/** Addresses that no connection can be made to, as if a check of addresses had let them pass. */
const ADDRESSES: Readonly<Record<string, Address>> = {
  "a zone id": { host: "fe80::1%eth0", port: 7_301 },
  "a space": { host: "10.0.0 1", port: 7_301 },
  "no host": { host: "", port: 7_301 },
  "a port out of range": { host: "127.0.0.1", port: 70_000 },
  "a port that is no number": { host: "127.0.0.1", port: NaN },
};

/** Lets the socket's `connect` raise until the test ends. */
function breakConnect(t: TestContext): void {
  t.mock.method(net, "connect", () => {
    throw new RangeError("connect raised");
  });
  syncBuiltinESMExports();
  t.after(() => {
    t.mock.restoreAll();
    syncBuiltinESMExports();
  });
}

async function assertFailsAlone(address: Address): Promise<string> {
  const pool = new ConnectionPool({ address });
  const { sink, ended } = makeSink();
  let hasReturned = false;
  let isEarly = false;
  pool.send(makeGet(), {
    ...sink,
    onFailure: (failure) => {
      isEarly = !hasReturned;
      sink.onFailure(failure);
    },
  });
  hasReturned = true;
  const { failure } = await ended;
  assert.deepEqual([failure?.type, failure?.sent, isEarly], ["connect", false, false]);
  assert.equal(pool.size, 0);
  pool.destroy();
  return failure!.message;
}

// Guards against an error of a library while a connection is opened that ends the process (LOST, issue 44).
for (const [what, address] of Object.entries(ADDRESSES)) {
  test(`an address with ${what} fails the call that was sent there, and nothing else`, async () => {
    assert.match(await assertFailsAlone(address), /Invalid URL/);
  });
}

// Guards against the same where the socket raises, within the client's own callback.
test("a socket that raises while it connects fails the call that needed it", async (t) => {
  breakConnect(t);
  assert.match(await assertFailsAlone({ host: "127.0.0.1", port: 7_301 }), /connect raised/);
});

// Guards against a connection that reports failures in the call stack of `send` after a call that raised.
test("calls after one whose connection could not be opened are answered", async (t) => {
  const server = await startRawServer((socket) => {
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  const pool = new ConnectionPool({ address: server.address });
  await t.test("one fails", async (t) => {
    breakConnect(t);
    const { sink, ended } = makeSink();
    pool.send(makeGet(), sink);
    assert.equal((await ended).failure?.type, "connect");
  });
  const { sink, ended } = makeSink();
  pool.send(makeGet(), sink);
  assert.equal((await ended).body, "ok");
  pool.destroy();
  await server.close();
});

// Guards against an order or a report that rejects where its caller expects a result, and against a silent failure.
test("an order whose connection cannot be opened fails as not sent, and is logged", async () => {
  const clock = new ManualClock();
  const lines: string[] = [];
  const sink = { write: (line: string) => lines.push(line) > 0 };
  const log = createDecisionLog({ name: "entry", clock, sink });
  const endpoint = new UpstreamEndpoint(
    makeEndpoint("scribe-1", { address: ADDRESSES["a zone id"]! }),
    { failures: new ConnectFailureLog({ clock, log }), clock },
  );
  const result = await controlCall(endpoint, makeGet("/copy"), {
    clock: new SystemClock(),
    timeoutMs: 1_000,
    usesOwnConnection: true,
  });
  assert.deepEqual([result.type, result.type === "failed" && result.sent], ["failed", false]);
  const line = JSON.parse(lines[0]!) as Record<string, unknown>;
  assert.deepEqual([line.endpoint, line.address], ["scribe-1", "[fe80::1%eth0]:7301"]);
  assert.match(String(line.message), /TypeError.*Invalid URL/);
  endpoint.close();
});
