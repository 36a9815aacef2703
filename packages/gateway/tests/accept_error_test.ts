import assert from "node:assert/strict";
import { Server } from "node:net";
import { test, type TestContext } from "node:test";
import { SystemClock } from "@wisteriapick/core";
import { MemoryBudget } from "@wisteriapick/policy";
import { ErrorBoundary } from "../src/observe/error_boundary.ts";
import { LoopMonitor } from "../src/observe/loop_monitor.ts";
import type { CallerDialect } from "../src/surface/caller_dialect.ts";
import { PlainServer } from "../src/surface/plain_server.ts";
import { type ProxyHandler, ProxyServer } from "../src/surface/proxy_server.ts";
import { MemoryLog } from "./fixtures.ts";

const ADDRESS = { host: "127.0.0.1", port: 0 };

/** The servers of Node.js that listen from now on. */
function watchServers(t: TestContext): Server[] {
  const servers: Server[] = [];
  const listen = Server.prototype.listen;
  t.mock.method(Server.prototype, "listen", function (this: Server, ...args: never[]) {
    servers.push(this);
    return (listen as (...args: unknown[]) => Server).apply(this, args);
  });
  return servers;
}

/** Does what Node.js does when the operating system fails to accept a connection. */
function assertOutlivesErrors([server]: readonly Server[]): void {
  for (let i = 0; i < 2; i++) {
    assert.doesNotThrow(() => server!.emit("error", new Error("accept ENFILE")));
  }
}

// Guards against a connection that cannot be accepted, as without a free descriptor, which ends the process (LOST).
test("errors of accepting connections of callers are not raised", async (t) => {
  const servers = watchServers(t);
  const clock = new SystemClock();
  const log = new MemoryLog();
  const limits = {
    maxHeaderBytes: 8_192,
    maxBodyBytes: 64,
    headerTimeoutMs: 30_000,
    idleTimeoutMs: 30_000,
  };
  const server = new ProxyServer({
    address: ADDRESS,
    dialect: {} as CallerDialect,
    handler: { limits: () => limits } as unknown as ProxyHandler,
    clock,
    log,
    loop: new LoopMonitor(clock, log),
    budget: new MemoryBudget({ memoryMb: null }),
  });
  t.after(() => server.destroy());
  await server.listen();
  assertOutlivesErrors(servers);
});

test("errors of accepting connections for readiness and metrics are not raised", async (t) => {
  const servers = watchServers(t);
  const clock = new SystemClock();
  const server = new PlainServer({
    address: ADDRESS,
    routes: new Map(),
    clock,
    budget: new MemoryBudget({ memoryMb: null }),
    errors: new ErrorBoundary({ clock, log: new MemoryLog() }),
  });
  t.after(() => server.close());
  await server.listen();
  assertOutlivesErrors(servers);
});
