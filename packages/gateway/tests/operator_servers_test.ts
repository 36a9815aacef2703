import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer } from "node:net";
import { once } from "node:events";
import { test } from "node:test";
import { ManualClock } from "@wisteriapick/core";
import { MemoryBudget } from "@wisteriapick/policy";
import type { Address } from "@wisteriapick/wire";
import { ErrorBoundary } from "../src/observe/error_boundary.ts";
import { GatewayMetrics } from "../src/observe/metrics.ts";
import { OperatorServers } from "../src/surface/operator_servers.ts";
import { MemoryLog } from "./fixtures.ts";

async function freeAddress(): Promise<Address> {
  const probe = createServer().listen(0, "127.0.0.1");
  await once(probe, "listening");
  const { port } = probe.address() as AddressInfo;
  probe.close();
  await once(probe, "close");
  return { host: "127.0.0.1", port };
}

// Guards against metrics that are rendered for each request of a crowd, while nothing else is done.
test("metrics are rendered once for all who ask at the same time, and anew later", async (t) => {
  const clock = new ManualClock();
  const log = new MemoryLog();
  const registry = new GatewayMetrics();
  let rendered = 0;
  registry.text = () => Promise.resolve(`rendered ${++rendered}\n`);
  const metrics = { address: await freeAddress(), path: "/metrics" };
  const servers = new OperatorServers({
    readiness: { address: await freeAddress(), path: "/ready" },
    metrics,
    registry,
    clock,
    budget: new MemoryBudget({ memoryMb: null }),
    log,
    errors: new ErrorBoundary({ clock, log }),
    isReady: () => true,
    bind: (_what, listen) => listen(),
  });
  await servers.listenForMetrics();
  t.after(() => servers.close());
  const ask = async (count: number) => {
    const socket = connect(metrics.address.port, metrics.address.host);
    t.after(() => socket.destroy());
    socket.write("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n".repeat(count));
    let text = "";
    while ((text.match(/rendered \d+/g)?.length ?? 0) < count) {
      text += (await once(socket, "data"))[0];
    }
    return text.match(/rendered \d+/g);
  };
  assert.deepEqual(
    new Set([...await ask(20) ?? [], ...await ask(20) ?? []]),
    new Set(["rendered 1"]),
  );
  clock.advance(1_000);
  assert.deepEqual(await ask(1), ["rendered 2"]);
});
