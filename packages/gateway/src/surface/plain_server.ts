/**
 * A small HTTP server for the platform's readiness checks and for metrics.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import type { Address } from "@wisteriapick/wire";

/** A response of a {@link PlainServer}. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly body?: string;
}

/** Makes the response to a request. */
export type PlainRoute = () => PlainResponse | Promise<PlainResponse>;

/** Serves `GET` requests by path. */
export class PlainServer {
  readonly #server: Server;
  readonly #address: Address;

  constructor(address: Address, routes: ReadonlyMap<string, PlainRoute>) {
    this.#address = address;
    this.#server = createServer(async (req, res) => {
      const path = (req.url ?? "").split("?")[0]!;
      const route = req.method === "GET" ? routes.get(path) : undefined;
      const { status, contentType, body = "" }: PlainResponse = route === undefined
        ? { status: 404 }
        : await route();
      if (contentType !== undefined) res.setHeader("Content-Type", contentType);
      res.writeHead(status, { "Content-Length": Buffer.byteLength(body) });
      res.end(body);
    });
  }

  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#address, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
