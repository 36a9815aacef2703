/**
 * HTTP servers of the platform's stand-ins. They speak the protocols of the clients in the platform package; routes
 * under `/standin/` control the stand-in and exist in stand-ins only.
 *
 * @module
 */
import { hostId } from "@wisteriapick/core";
import type { HostRecord } from "@wisteriapick/clients";
import type { MemoryHostList } from "./host_list.ts";
import {
  type ListenOptions,
  readBody,
  readJson,
  type RunningServer,
  sendJson,
  type StandinCall,
  StandinRoutes,
} from "./http_server.ts";
import type { MemoryObjectStore, StoreFaults } from "./object_store.ts";
import type { MemoryWeightStore } from "./weight_store.ts";

// Slightly above the maximum value size, so that the store itself rejects values that are too large.
const MAX_BODY_BYTES = 1_100_000;

const base64 = (value: Uint8Array): string => Buffer.from(value).toString("base64");

/**
 * Serves an object store.
 *
 * @example
 * ```ts
 * const server = await serveObjectStore(new MemoryObjectStore());
 * const store = new HttpObjectStore(server.origin);
 * ```
 */
export function serveObjectStore(
  store: MemoryObjectStore,
  options: ListenOptions = {},
): Promise<RunningServer> {
  const ifVersion = (call: StandinCall) => Number(call.req.headers["if-version"]);
  return new StandinRoutes()
    .on("GET", "/v1/objects/:key", async ({ res, params }) => {
      const object = await store.get(params.key!);
      if (object === null) return sendJson(res, 404, { message: "no such object" });
      res.writeHead(200, { "x-version": String(object.version) });
      res.end(object.value);
    })
    .on("PUT", "/v1/objects/:key", async (call) => {
      const value = await readBody(call.req, MAX_BODY_BYTES);
      const version = await store.put(call.params.key!, value, { ifVersion: ifVersion(call) });
      sendJson(call.res, 200, { version });
    })
    .on("DELETE", "/v1/objects/:key", async (call) => {
      await store.delete(call.params.key!, { ifVersion: ifVersion(call) });
      sendJson(call.res, 200, {});
    })
    .on("GET", "/v1/objects", async ({ res, query }) => {
      const limit = Number(query.get("limit") ?? 1_000);
      const after = query.get("after") ?? "";
      const page = await store.list(query.get("prefix") ?? "", { after, limit });
      const objects = page.objects.map((o) => ({ ...o, value: base64(o.value) }));
      sendJson(res, 200, { index: page.index, objects });
    })
    .on("GET", "/v1/watch", (call) => serveWatch(store, call))
    .on("POST", "/standin/faults", async ({ req, res }) => {
      store.setFaults(await readJson<Partial<StoreFaults>>(req));
      sendJson(res, 200, store.faults);
    })
    .on("GET", "/standin/counters", ({ res }) => sendJson(res, 200, store.counters()))
    .listen(options);
}

async function serveWatch(store: MemoryObjectStore, call: StandinCall): Promise<void> {
  const disconnected = new AbortController();
  call.res.once("close", () => disconnected.abort());
  const page = await store.watch(call.query.get("prefix") ?? "", {
    index: Number(call.query.get("index") ?? 0),
    waitMs: Number(call.query.get("wait_ms") ?? 0),
    signal: disconnected.signal,
  });
  const events = page.events.map((e) => ({
    ...e,
    value: e.value === null ? null : base64(e.value),
  }));
  sendJson(call.res, 200, { index: page.index, events, gap: page.gap });
}

/** Serves a host list. `POST /standin/hosts` sets a host, `DELETE /standin/hosts/{host}` removes one. */
export function serveHostList(
  list: MemoryHostList,
  options: ListenOptions = {},
): Promise<RunningServer> {
  return new StandinRoutes()
    .on("GET", "/v1/hosts", async ({ res }) => sendJson(res, 200, await list.read()))
    .on("POST", "/standin/hosts", async ({ req, res }) => {
      list.set(await readJson<HostRecord>(req));
      sendJson(res, 200, {});
    })
    .on("DELETE", "/standin/hosts/:host", ({ res, params }) => {
      list.remove(hostId(params.host!));
      sendJson(res, 200, {});
    })
    .listen(options);
}

/** Serves a weight store. */
export function serveWeightStore(
  weights: MemoryWeightStore,
  options: ListenOptions = {},
): Promise<RunningServer> {
  return new StandinRoutes()
    .on("GET", "/v1/weights/:name", async ({ res, params }) => {
      const info = await weights.stat(params.name!);
      sendJson(res, info === null ? 404 : 200, info ?? { message: "no such weights" });
    })
    .on("POST", "/v1/weights/:name/grants", async ({ res, params }) => {
      sendJson(res, 200, await weights.reserve(params.name!));
    })
    .listen(options);
}
