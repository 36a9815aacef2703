/**
 * A small HTTP server for the platform's readiness checks and for metrics.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
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

const INTERNAL_ERROR = 500;

/** Serves `GET` requests by path. */
export class PlainServer {
  readonly #server: Server;
  readonly #address: Address;
  readonly #errors: ErrorBoundary | undefined;

  /** `errors` is told of routes that fail, whose requests are responded to with status 500. */
  constructor(
    address: Address,
    routes: ReadonlyMap<string, PlainRoute>,
    errors?: ErrorBoundary,
  ) {
    this.#address = address;
    this.#errors = errors;
    this.#server = createServer(async (req, res) => {
      try {
        await respond(routes, req, res);
      } catch (e) {
        errors?.report("plain_request", e);
        if (res.headersSent) return void res.destroy();
        res.writeHead(INTERNAL_ERROR, { "Content-Length": 0 }).end();
      }
    });
  }

  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#address, () => {
        this.#server.off("error", reject);
        this.#server.on("error", (e) => this.#errors?.report("accept", e));
        resolve();
      });
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

async function respond(
  routes: ReadonlyMap<string, PlainRoute>,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const path = (req.url ?? "").split("?")[0]!;
  const route = req.method === "GET" ? routes.get(path) : undefined;
  const { status, contentType, body = "" }: PlainResponse = route === undefined
    ? { status: 404 }
    : await route();
  if (contentType !== undefined) res.setHeader("Content-Type", contentType);
  res.writeHead(status, { "Content-Length": Buffer.byteLength(body) });
  res.end(body);
}
