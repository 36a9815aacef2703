/**
 * A plain service whose answers a test controls.
 *
 * @module
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** One request that arrived whole. */
export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
}

/** A plain service; `POST /orders` counts orders, everything else echoes. */
export class TestService {
  readonly requests: ReceivedRequest[] = [];
  /** Replaces the answer to a request whose body has arrived. */
  onRequest: ((req: ReceivedRequest, res: ServerResponse) => void) | null = null;
  readonly #server = createServer((req, res) => void this.#handle(req, res));

  /** Starts it and resolves with its origin. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** How often a path was requested. */
  count(path: string): number {
    return this.requests.filter((req) => req.url === path).length;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.url === "/healthz") return void res.end("ok");
    if (req.url === "/echo") {
      res.writeHead(200, { "content-type": "application/octet-stream", connection: "x-hop" });
      return void req.pipe(res);
    }
    let body = "";
    req.setEncoding("utf8");
    for await (const chunk of req) body += chunk;
    const { method, url, headers } = req;
    const seen: ReceivedRequest = { method: method!, url: url!, headers, body };
    this.requests.push(seen);
    if (this.onRequest !== null) return this.onRequest(seen, res);
    res.writeHead(201, { "content-type": "application/json", "x-hop": "1", connection: "x-hop" });
    res.end(JSON.stringify({ path: url, body, n: this.requests.length }));
  }
}

/** Fails a request by closing its connection without an answer. */
export function dropConnection(_req: ReceivedRequest, res: ServerResponse): void {
  res.destroy();
}
