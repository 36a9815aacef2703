/**
 * HTTP client of a model engine. Generations are streamed as newline-delimited JSON, with blank lines as keep-alives.
 *
 * @module
 */
import { type GenerationId, raise, type WpError, WpFailure } from "@wisteriapick/core";
import {
  type HttpCall,
  HttpCaller,
  type HttpClientOptions,
  type HttpStreamingResponse,
  parseJson,
} from "./http_caller.ts";
import {
  type CacheEvent,
  type EngineEvent,
  type EngineGeneration,
  type EngineLoad,
  type EngineOrder,
  type EngineRequest,
  type EngineState,
  ModelEngine,
} from "./model_engine.ts";

/** Options of {@link HttpModelEngine}. */
export interface HttpModelEngineOptions extends HttpClientOptions {
  /** A stream that receives nothing, not even a blank line, for this long fails with `timeout`. */
  readonly idleTimeoutMs?: number;
}

/** A line of a generation stream. */
type StreamLine = EngineEvent | {
  readonly type: "error";
  readonly message: string;
  readonly status: number;
};

// Engines send a blank line every second, so ten missing ones indicate a frozen engine or a dead connection.
const DEFAULT_IDLE_TIMEOUT_MS = 10_000;
const JSON_HEADERS = { "content-type": "application/json", accept: "application/x-ndjson" };

/**
 * HTTP client of one model engine.
 *
 * @example
 * ```ts
 * const engine = new HttpModelEngine("http://127.0.0.1:9100");
 * for await (const event of engine.run(req)) console.log(event);
 * ```
 */
export class HttpModelEngine extends ModelEngine {
  readonly #caller: HttpCaller;
  readonly #idleTimeoutMs: number;

  constructor(
    origin: string,
    { idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS, ...options }: HttpModelEngineOptions = {},
  ) {
    super();
    // Each open generation holds one connection.
    this.#caller = new HttpCaller(origin, { connections: 1_024, ...options });
    this.#idleTimeoutMs = idleTimeoutMs;
  }

  run(
    req: EngineRequest,
    { signal }: { signal?: AbortSignal } = {},
  ): AsyncIterable<EngineEvent> {
    const body = JSON.stringify(req);
    const headers = JSON_HEADERS;
    return this.#events({ method: "POST", path: "/v1/generations", headers, body, signal });
  }

  resume(
    gen: GenerationId,
    { offset, signal }: { offset: number; signal?: AbortSignal },
  ): AsyncIterable<EngineEvent> {
    const path = `${generationPath(gen)}?offset=${offset}`;
    return this.#events({ method: "GET", path, headers: JSON_HEADERS, signal });
  }

  async cancel(gen: GenerationId): Promise<void> {
    const res = await this.#caller.call({ method: "DELETE", path: generationPath(gen) });
    if (res.status !== 200 && res.status !== 404) throw toEngineFailure(res.status, res.body);
  }

  generations(): Promise<readonly EngineGeneration[]> {
    return this.#json({ method: "GET", path: "/v1/generations" });
  }

  load(): Promise<EngineLoad> {
    return this.#json({ method: "GET", path: "/v1/load" });
  }

  state(): Promise<EngineState> {
    return this.#json({ method: "GET", path: "/v1/state" });
  }

  order(order: EngineOrder): Promise<EngineState> {
    const body = JSON.stringify(order);
    return this.#json({ method: "POST", path: "/v1/orders", headers: JSON_HEADERS, body });
  }

  cacheEvents(after: number): Promise<readonly CacheEvent[]> {
    return this.#json({ method: "GET", path: `/v1/cache_events?after=${after}` });
  }

  /** Closes all connections immediately; open streams fail. */
  async close(): Promise<void> {
    await this.#caller.close();
  }

  async #json<T>(call: HttpCall): Promise<T> {
    const res = await this.#caller.call(call);
    if (res.status !== 200) throw toEngineFailure(res.status, res.body);
    return parseJson<T>(res.body, res.status);
  }

  async *#events(call: HttpCall): AsyncGenerator<EngineEvent> {
    const res = await this.#caller.stream(call);
    // The iterator delivers errors of the body. Without a listener, its `error` event would end the process.
    res.body.on("error", () => {});
    try {
      if (res.status !== 200) {
        throw toEngineFailure(res.status, Buffer.from(await res.body.arrayBuffer()));
      }
      yield* this.#lines(res);
    } finally {
      res.release();
      res.body.destroy();
    }
  }

  async *#lines(res: HttpStreamingResponse): AsyncGenerator<EngineEvent> {
    let rest = "";
    const decoder = new TextDecoder();
    for await (const chunk of this.#chunks(res)) {
      const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
      rest = lines.pop()!;
      for (const line of lines) {
        if (line === "") continue;
        const event = parseLine(line);
        yield event;
        if (event.type === "end") return;
      }
    }
    raise({ type: "unreachable", message: "engine closed the stream before its end", sent: true });
  }

  async *#chunks(res: HttpStreamingResponse): AsyncGenerator<Uint8Array> {
    let timedOut = false;
    const startTimer = () =>
      this.#caller.clock.setTimer(this.#idleTimeoutMs, () => {
        timedOut = true;
        res.body.destroy();
      });
    let stopTimer = startTimer();
    try {
      for await (const chunk of res.body) {
        stopTimer();
        yield chunk;
        stopTimer = startTimer();
      }
    } catch (e) {
      if (!timedOut) throw this.#caller.bodyFailure(e);
    } finally {
      stopTimer();
    }
    if (timedOut) {
      raise({ type: "timeout", message: "engine stream was idle for too long", sent: true });
    }
  }
}

function generationPath(gen: GenerationId): string {
  return `/v1/generations/${encodeURIComponent(gen)}`;
}

function parseLine(line: string): EngineEvent {
  let event: StreamLine;
  try {
    event = JSON.parse(line) as StreamLine;
  } catch {
    return raise({ type: "engine", message: "stream line is not JSON", status: 200 });
  }
  if (event.type === "error") {
    raise({ type: "engine", message: event.message, status: event.status });
  }
  return event;
}

function toEngineFailure(status: number, body: Buffer): WpFailure {
  let info: { message?: string; highest?: number } = {};
  try {
    info = JSON.parse(body.toString("utf8"));
  } catch {
    // The body is not JSON, so the message is made from the status.
  }
  const message = info.message ?? `engine responded with status ${status}`;
  const err: WpError = status === 412
    ? { type: "fenced", message, highest: info.highest ?? 0 }
    : { type: "engine", message, status };
  return new WpFailure(err);
}
