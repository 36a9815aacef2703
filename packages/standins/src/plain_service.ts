/**
 * A plain service's stand-in, with stock checks that may be retried and reprint orders that may not.
 *
 * Routes: `GET /stock/{item}`, `POST /orders` (JSON with `order`), `POST /echo` (streams the body back),
 * `GET /blob?bytes=N`, `GET /health`, `GET /standin/runs`, `POST /standin/switches`.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type Server, type ServerResponse } from "node:http";
import { type Clock, raise, SystemClock, type Undo } from "@wisteriapick/core";
import {
  createBoundedServer,
  listen,
  type ListenOptions,
  readJson,
  type RunningServer,
  sendJson,
  type StandinHandler,
  StandinRoutes,
} from "./http_server.ts";

/** Options of {@link PlainServiceStandin}. Times are milliseconds. */
export interface PlainServiceOptions {
  readonly clock?: Clock;
  /** Name sent in each response, so that a test can tell which instance responded. */
  readonly name?: string;
  readonly version?: string;
  /** Processing time of one call. */
  readonly workMs?: number;
  /** Maximum number of concurrent calls; further ones receive 503. */
  readonly maxConcurrency?: number;
  readonly restartAfterMs?: number | null;
}

/** Faults of {@link PlainServiceStandin}. */
export interface PlainServiceSwitches {
  /** Breaks all connections and accepts none until restarted. */
  readonly crash?: boolean;
  readonly restart?: boolean;
  /** Factor on the processing time of each call. */
  readonly slowFactor?: number;
  /** Accepts calls but doesn't process them until this time has passed. */
  readonly stallMs?: number;
  /** Every n-th call receives 500; zero disables the fault. */
  readonly failEvery?: number;
  /** This many further orders run, and their responses are lost. */
  readonly loseOrderAnswers?: number;
}

const DEFAULTS = {
  name: "counter",
  version: "v1",
  workMs: 4,
  maxConcurrency: 64,
  restartAfterMs: 2_000 as number | null,
};
const BLOB_CHUNK_BYTES = 16 * 1024;
const MAX_BLOB_BYTES = 64 * 1024 * 1024;
const MAX_STOCK = 500;

/** Stock of an item, derived from its name and so the same on every instance. */
export function stockOf(item: string): number {
  return createHash("sha256").update(item).digest().readUInt16BE(0) % MAX_STOCK;
}

/**
 * One instance of a plain service. Instances of the same service share `orders`.
 *
 * @example
 * ```ts
 * const counter = new PlainServiceStandin({ name: "counter-1" });
 * const server = await counter.listen();
 * ```
 */
export class PlainServiceStandin {
  readonly #cfg: typeof DEFAULTS;
  readonly #clock: Clock;
  readonly #orders: Map<string, number>;
  readonly #undos: Undo[] = [];
  #server: Server | null = null;
  #isAlive = true;
  #slowFactor = 1;
  #stalledUntilMs = 0;
  #failEvery = 0;
  #loseOrderAnswers = 0;
  #openCalls = 0;
  #calls = 0;

  constructor(
    { clock = new SystemClock(), ...options }: PlainServiceOptions = {},
    orders: Map<string, number> = new Map(),
  ) {
    this.#cfg = { ...DEFAULTS, ...options };
    this.#clock = clock;
    this.#orders = orders;
  }

  /** Number of runs by order id. */
  get orderRuns(): ReadonlyMap<string, number> {
    return this.#orders;
  }

  get calls(): number {
    return this.#calls;
  }

  /** Turns faults on or off. */
  switch(s: PlainServiceSwitches): void {
    if (s.slowFactor !== undefined) this.#slowFactor = s.slowFactor;
    if (s.stallMs !== undefined) this.#stalledUntilMs = this.#clock.now() + s.stallMs;
    if (s.failEvery !== undefined) this.#failEvery = s.failEvery;
    if (s.loseOrderAnswers !== undefined) this.#loseOrderAnswers = s.loseOrderAnswers;
    if (s.crash) this.#crash();
    if (s.restart) this.#isAlive = true;
  }

  /** Starts the HTTP server. */
  async listen(options: ListenOptions = {}): Promise<RunningServer> {
    const routes = this.#routes();
    const server = createBoundedServer((req, res) => routes.lookup(req, res));
    server.on("connection", (socket) => {
      if (!this.#isAlive) socket.destroy();
    });
    this.#server = server;
    const running = await listen(server, options);
    const close = async () => {
      for (const undo of this.#undos.splice(0)) undo();
      await running.close();
    };
    return { ...running, close };
  }

  #routes(): StandinRoutes {
    return new StandinRoutes()
      .on(
        "GET",
        "/stock/:item",
        this.#asCall(({ res, params }) => {
          this.#send(res, 200, { item: params.item, stock: stockOf(params.item!) });
        }),
      )
      .on(
        "POST",
        "/orders",
        this.#asCall(async ({ req, res }) => {
          const { order } = await readJson<{ order?: unknown }>(req);
          if (typeof order !== "string" || order === "") {
            raise({ type: "engine", message: "order: expected a name", status: 400 });
          }
          this.#runOrder(order, res);
        }),
      )
      .on(
        "POST",
        "/echo",
        this.#asCall(({ req, res }) => {
          const type = req.headers["content-type"] ?? "application/octet-stream";
          res.writeHead(200, { "content-type": type, "x-instance": this.#cfg.name });
          req.pipe(res);
        }),
      )
      .on(
        "GET",
        "/blob",
        this.#asCall(async ({ res, query }) => {
          const size = Math.min(MAX_BLOB_BYTES, Number(query.get("bytes") ?? 0));
          await this.#sendBlob(res, size);
        }),
      )
      .on("GET", "/health", ({ res }) => {
        this.#send(res, 200, { version: this.#cfg.version, open: this.#openCalls });
      })
      .on("GET", "/standin/runs", ({ res }) => {
        sendJson(res, 200, Object.fromEntries(this.#orders));
      })
      .on("POST", "/standin/switches", async ({ req, res }) => {
        const switches = await readJson<PlainServiceSwitches>(req);
        sendJson(res, 200, {});
        this.switch(switches);
      });
  }

  #runOrder(order: string, res: ServerResponse): void {
    const runs = (this.#orders.get(order) ?? 0) + 1;
    this.#orders.set(order, runs);
    if (this.#loseOrderAnswers > 0) {
      this.#loseOrderAnswers--;
      res.destroy();
      return;
    }
    this.#send(res, 201, { order, runs });
  }

  async #sendBlob(res: ServerResponse, size: number): Promise<void> {
    res.writeHead(200, {
      "content-type": "application/octet-stream",
      "x-instance": this.#cfg.name,
    });
    for (let sent = 0; sent < size && !res.destroyed; sent += BLOB_CHUNK_BYTES) {
      const chunk = Buffer.alloc(Math.min(BLOB_CHUNK_BYTES, size - sent), sent / BLOB_CHUNK_BYTES);
      if (res.write(chunk)) continue;
      await new Promise<void>((resolve) => {
        res.once("drain", resolve);
        res.once("close", resolve);
      });
    }
    res.end();
  }

  #send(res: ServerResponse, status: number, body: unknown): void {
    sendJson(res, status, body, { "x-instance": this.#cfg.name });
  }

  /** Wraps a handler with the concurrency limit, the processing time and the enabled faults. */
  #asCall(handler: StandinHandler): StandinHandler {
    return async (call) => {
      const nth = ++this.#calls;
      if (this.#openCalls >= this.#cfg.maxConcurrency) {
        return this.#send(call.res, 503, { message: "too many concurrent calls" });
      }
      this.#openCalls++;
      call.res.once("close", () => this.#openCalls--);
      const stall = Math.max(0, this.#stalledUntilMs - this.#clock.now());
      await this.#clock.sleep(this.#cfg.workMs * this.#slowFactor + stall);
      if (!this.#isAlive) return;
      if (this.#failEvery > 0 && nth % this.#failEvery === 0) {
        return this.#send(call.res, 500, { message: "the call failed" });
      }
      await handler(call);
    };
  }

  #crash(): void {
    this.#isAlive = false;
    this.#server?.closeAllConnections();
    const { restartAfterMs } = this.#cfg;
    if (restartAfterMs === null) return;
    this.#undos.push(this.#clock.setTimer(restartAfterMs, () => {
      this.#isAlive = true;
    }));
  }
}
