import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { createDecisionLog } from "../src/observe/decision_log.ts";
import {
  CONNECT_FAILURE_INTERVAL_MS,
  ConnectFailureLog,
} from "../src/upstream/connect_failure_log.ts";
import { UpstreamEndpoint } from "../src/upstream/endpoint.ts";
import { makeEndpoint } from "./fixtures.ts";
import { makeGet, makeSink, startRawServer } from "./upstream_fixtures.ts";

function makeLog() {
  const clock = new ManualClock();
  const lines: Record<string, unknown>[] = [];
  const sink = {
    write: (line: string) => {
      lines.push(JSON.parse(line) as Record<string, unknown>);
      return true;
    },
  };
  const log = createDecisionLog({ name: "entry", clock, sink });
  return { clock, lines, failures: new ConnectFailureLog({ clock, log }) };
}

// Guards against calls that fail without a line that says which endpoint and address they could not be sent to.
test("a connection that cannot be opened is logged with its endpoint, address and cause", async () => {
  const server = await startRawServer(() => {});
  await server.close();
  const { lines, failures } = makeLog();
  const endpoint = new UpstreamEndpoint(
    makeEndpoint("scribe-1", { address: server.address }),
    { failures },
  );
  const { sink, ended } = makeSink();
  endpoint.pool.send(makeGet(), sink);
  assert.equal((await ended).failure?.type, "connect");
  const address = `127.0.0.1:${server.address.port}`;
  assert.deepEqual(
    lines.map(({ msg, endpoint, service, address, failures }) => [
      msg,
      endpoint,
      service,
      address,
      failures,
    ]),
    [["endpoint_connect_failed", "scribe-1", "scribe", address, 1]],
  );
  assert.match(String(lines[0]!.message), /ECONNREFUSED/);
  endpoint.close();
});

// Guards against a log that an endpoint fills that refuses every connection.
test("further failures at an endpoint are counted, and logged once per interval", () => {
  const { clock, lines, failures } = makeLog();
  const record = makeEndpoint("scribe-1");
  for (let i = 0; i < 100; i++) failures.record(record, "refused");
  failures.record(makeEndpoint("scribe-2"), "refused");
  assert.deepEqual(lines.map((l) => [l.endpoint, l.failures]), [["scribe-1", 1], ["scribe-2", 1]]);
  clock.advance(CONNECT_FAILURE_INTERVAL_MS);
  failures.record(record, "refused");
  assert.deepEqual([lines.at(-1)!.endpoint, lines.at(-1)!.failures], ["scribe-1", 100]);
  failures.forget(record.id);
  failures.record(record, "refused");
  assert.deepEqual([lines.length, lines.at(-1)!.failures], [4, 1]);
});
