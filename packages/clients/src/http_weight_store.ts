/**
 * HTTP client of the weight store: `GET /v1/weights/{name}` and `POST /v1/weights/{name}/grants`.
 *
 * @module
 */
import { raise } from "@wisteriapick/core";
import { HttpCaller, type HttpClientOptions, parseJson, retryAfterMs } from "./http_caller.ts";
import { type WeightInfo, WeightStore } from "./weight_store.ts";

const DEFAULT_RETRY_DELAY_MS = 1_000;

/** HTTP client of the weight store. */
export class HttpWeightStore extends WeightStore {
  readonly #caller: HttpCaller;

  constructor(origin: string, options: HttpClientOptions = {}) {
    super();
    this.#caller = new HttpCaller(origin, options);
  }

  async stat(name: string): Promise<WeightInfo | null> {
    const res = await this.#caller.call({ method: "GET", path: weightPath(name) });
    if (res.status === 404) return null;
    if (res.status !== 200) {
      raise({ type: "unreachable", message: `weight store responded with status ${res.status}` });
    }
    return parseJson<WeightInfo>(res.body, res.status);
  }

  async reserve(name: string): Promise<{ readonly grant: string }> {
    const res = await this.#caller.call({ method: "POST", path: `${weightPath(name)}/grants` });
    if (res.status === 200) return parseJson<{ grant: string }>(res.body, res.status);
    if (res.status === 404) raise({ type: "not_found", message: `no weights ${name}` });
    if (res.status !== 429) {
      raise({ type: "unreachable", message: `weight store responded with status ${res.status}` });
    }
    return raise({
      type: "rate_limited",
      message: "weight store is at its rate limit",
      retryAfterMs: retryAfterMs(res.headers, DEFAULT_RETRY_DELAY_MS),
    });
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    await this.#caller.close();
  }
}

function weightPath(name: string): string {
  return `/v1/weights/${encodeURIComponent(name)}`;
}
