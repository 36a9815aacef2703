/**
 * HTTP client of the object API.
 *
 * Protocol: `GET|PUT|DELETE /v1/objects/{key}` with the version in the header `x-version` or `if-version`,
 * `GET /v1/objects?prefix=&after=&limit=` and `GET /v1/watch?prefix=&index=&wait_ms=`. Values are raw bytes in
 * single-object calls and base64 in lists and watches.
 *
 * @module
 */
import { WpFailure } from "@wisteriapick/core";
import {
  type HttpCall,
  HttpCaller,
  type HttpClientOptions,
  type HttpResponse,
  parseJson,
  retryAfterMs,
} from "./http_caller.ts";
import {
  ObjectStore,
  requireValueSize,
  type StoredObject,
  type StoreListing,
  type WatchResult,
} from "./object_store.ts";

interface WireObject {
  readonly key: string;
  readonly version: number;
  readonly value: string;
}

interface WireEvent {
  readonly index: number;
  readonly key: string;
  readonly version: number;
  readonly value: string | null;
}

const DEFAULT_RETRY_DELAY_MS = 1_000;
const DEFAULT_WATCH_WAIT_MS = 30_000;

const decodeBase64 = (base64: string): Uint8Array => new Uint8Array(Buffer.from(base64, "base64"));

function objectPath(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}

/**
 * HTTP client of the object API.
 *
 * @example
 * ```ts
 * const store = new HttpObjectStore("http://127.0.0.1:9000");
 * await store.put("config/log/1", bytes, { ifVersion: 0 });
 * ```
 */
export class HttpObjectStore extends ObjectStore {
  readonly #caller: HttpCaller;

  constructor(origin: string, options: HttpClientOptions = {}) {
    super();
    this.#caller = new HttpCaller(origin, options);
  }

  async get(key: string): Promise<StoredObject | null> {
    const res = await this.#read({ method: "GET", path: objectPath(key) });
    if (res.status === 404) return null;
    const version = Number(res.headers["x-version"]);
    return { key, version, value: new Uint8Array(res.body) };
  }

  async list(
    prefix: string,
    { after = "", limit = 1_000 }: { after?: string; limit?: number } = {},
  ): Promise<StoreListing> {
    const query = new URLSearchParams({ prefix, after, limit: String(limit) });
    const res = await this.#read({ method: "GET", path: `/v1/objects?${query}` });
    const page = parseJson<{ index: number; objects: WireObject[] }>(res.body, res.status);
    return {
      index: page.index,
      objects: page.objects.map((o) => ({ ...o, value: decodeBase64(o.value) })),
    };
  }

  async put(
    key: string,
    value: Uint8Array,
    { ifVersion }: { ifVersion: number },
  ): Promise<number> {
    requireValueSize(key, value);
    const headers = { "if-version": String(ifVersion), "content-type": "application/octet-stream" };
    const res = await this.#write({ method: "PUT", path: objectPath(key), headers, body: value });
    return parseJson<{ version: number }>(res.body, res.status).version;
  }

  async delete(key: string, { ifVersion }: { ifVersion: number }): Promise<void> {
    const headers = { "if-version": String(ifVersion) };
    await this.#write({ method: "DELETE", path: objectPath(key), headers });
  }

  async watch(
    prefix: string,
    { index, waitMs = DEFAULT_WATCH_WAIT_MS, signal }: {
      index: number;
      waitMs?: number;
      signal?: AbortSignal;
    },
  ): Promise<WatchResult> {
    const query = new URLSearchParams({ prefix, index: String(index), wait_ms: String(waitMs) });
    const path = `/v1/watch?${query}`;
    const timeoutMs = waitMs + this.#caller.callTimeoutMs;
    const res = await this.#read({ method: "GET", path, signal, timeoutMs });
    const page = parseJson<{ index: number; events: WireEvent[]; gap: boolean }>(
      res.body,
      res.status,
    );
    const events = page.events.map((e) => ({
      ...e,
      value: e.value === null ? null : decodeBase64(e.value),
    }));
    return { index: page.index, events, gap: page.gap };
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    await this.#caller.close();
  }

  async #read(call: HttpCall): Promise<HttpResponse> {
    let res: HttpResponse;
    try {
      res = await this.#caller.call(call);
    } catch (e) {
      // A read has no effect, so any failed read is `store_unavailable`, which states that the call had no effect.
      throw toUnavailable(e);
    }
    if (res.status === 200 || res.status === 404) return res;
    throw toFailure(res, false);
  }

  async #write(call: HttpCall): Promise<HttpResponse> {
    let res: HttpResponse;
    try {
      res = await this.#caller.call(call);
    } catch (e) {
      const err = e instanceof WpFailure ? e.err : null;
      if (err?.type === "unreachable" && err.sent === false) throw toUnavailable(e);
      const message = `outcome unknown: ${(e as Error).message}`;
      throw new WpFailure({ type: "store_outcome_unknown", message }, { cause: e });
    }
    if (res.status === 200) return res;
    throw toFailure(res, true);
  }
}

function toUnavailable(e: unknown): WpFailure {
  const message = (e as Error).message;
  return new WpFailure({ type: "store_unavailable", message }, { cause: e });
}

// With 503, the store states that the call had no effect. After any other 5xx, the outcome of a write is unknown.
function toFailure(res: HttpResponse, isWrite: boolean): WpFailure {
  const message = `object API responded with status ${res.status}`;
  switch (res.status) {
    case 409: {
      const body = parseJson<{ currentVersion: number | null }>(res.body, res.status);
      return new WpFailure({
        type: "store_conflict",
        message: "current version differs",
        currentVersion: body.currentVersion,
      });
    }
    case 413:
      return new WpFailure({ type: "store_value_too_large", message });
    case 429:
      return new WpFailure({
        type: "rate_limited",
        message,
        retryAfterMs: retryAfterMs(res.headers, DEFAULT_RETRY_DELAY_MS),
      });
    case 503:
      return new WpFailure({ type: "store_unavailable", message });
    default:
      return new WpFailure({
        type: isWrite && res.status >= 500 ? "store_outcome_unknown" : "store_unavailable",
        message,
      });
  }
}
