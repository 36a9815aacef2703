/**
 * A small HTTP server for the platform's readiness checks and for metrics.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Clock } from "@wisteriapick/core";
import { BoundedConnections } from "@wisteriapick/http";
import type { MemoryBudget } from "@wisteriapick/policy";
import type { Address } from "@wisteriapick/wire";
import type { ErrorBoundary } from "../observe/error_boundary.ts";

/** A response of a {@link PlainServer}. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly body?: string;
}

/** Makes the response to a request. */
export type PlainRoute = () => PlainResponse | Promise<PlainResponse>;

/** Options of {@link PlainServer}. */
export interface PlainServerOptions {
  readonly address: Address;
  /** Routes by path. */
  readonly routes: ReadonlyMap<string, PlainRoute>;
  readonly clock: Clock;
  readonly budget: MemoryBudget;
  /** Is told of routes that fail, whose requests are responded to with status 500. */
  readonly errors: ErrorBoundary;
}

/**
 * Open connections of one server. Those who ask have one each; beyond it, one without a request is closed. A crowd shares
 * them, and with them what its responses may take of the memory.
 */
export const MAX_PLAIN_CONNECTIONS = 32;

const INTERNAL_ERROR = 500;

/** Serves `GET` requests by path, one at a time on each connection. */
export class PlainServer {
  readonly #server: Server;
  readonly #options: PlainServerOptions;
  readonly #connections: BoundedConnections;

  constructor(options: PlainServerOptions) {
    this.#options = options;
    const { budget, clock, errors } = options;
    this.#connections = new BoundedConnections({
      clock,
      contain: (work) => errors.run("connection", work),
      bounds: { shares: budget.shares, maxDescriptors: null, maxUnanswered: 1 },
      maxConnections: () => MAX_PLAIN_CONNECTIONS,
    });
    this.#server = createServer((req, res) => {
      if (this.#connections.begin(req, res)) void this.#respond(req, res);
    });
    this.#connections.guard(this.#server);
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  listen(): Promise<void> {
    const { address, errors } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(address, () => {
        this.#server.off("error", reject);
        this.#server.on("error", (e) => errors.report("accept", e));
        resolve();
      });
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #respond(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const { status, contentType, body = "" } = await this.#route(req);
      if (contentType !== undefined) res.setHeader("Content-Type", contentType);
      // No request to these routes has a body, so none is read.
      if (hasBody(req)) {
        res.setHeader("Connection", "close");
        this.#connections.endConnection(req);
      }
      res.writeHead(status, { "Content-Length": Buffer.byteLength(body) });
      res.end(body);
    } catch (e) {
      this.#options.errors.report("plain_request", e);
      if (res.headersSent) return void res.destroy();
      res.writeHead(INTERNAL_ERROR, { "Content-Length": 0 }).end();
    }
  }

  #route(req: IncomingMessage): PlainResponse | Promise<PlainResponse> {
    const path = (req.url ?? "").split("?")[0]!;
    const route = req.method === "GET" ? this.#options.routes.get(path) : undefined;
    return route === undefined ? { status: 404 } : route();
  }
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}
