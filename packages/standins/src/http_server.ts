/**
 * Routing, listening and JSON handling shared by the stand-ins' HTTP servers.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { raise, SystemClock, toWpError, type WpError } from "@wisteriapick/core";
import { BoundedConnections } from "@wisteriapick/http";
import { sharesOf } from "@wisteriapick/policy";
import findMyWay from "find-my-way";

/** The address on which a server listens. With port 0, the system chooses the port. */
export interface ListenOptions {
  readonly host?: string;
  readonly port?: number;
}

/** A listening server. */
export interface RunningServer {
  /** `ip:port`. */
  readonly address: string;
  readonly origin: string;
  /** Breaks all open connections and stops listening. */
  close(): Promise<void>;
}

/** One request to a stand-in, with its route parameters and query. */
export interface StandinCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly params: Record<string, string | undefined>;
  readonly query: URLSearchParams;
}

/** Responds to a call. Errors that it throws become error responses. */
export type StandinHandler = (call: StandinCall) => void | Promise<void>;

/** Open connections of one stand-in. A deployment of hundreds of processes has fewer. */
const MAX_CONNECTIONS = 1_024;
const MAX_JSON_BYTES = 16 * 1024 * 1024;

/** Creates a server whose connections are bounded, as a crowd at a stand-in must not end the processes beside it. */
export function createBoundedServer(listener: RequestListener): Server {
  const connections = new BoundedConnections({
    clock: new SystemClock(),
    bounds: { shares: sharesOf(null), maxDescriptors: null },
    maxConnections: () => MAX_CONNECTIONS,
    contain: (work) => work(),
  });
  const server = createServer((req, res) => {
    if (connections.begin(req, res)) listener(req, res);
  });
  connections.guard(server);
  return server;
}

/** Routes of one stand-in. */
export class StandinRoutes {
  readonly #router = findMyWay({
    maxParamLength: 2_048,
    defaultRoute: (_req, res) => sendJson(res as ServerResponse, 404, { message: "no such route" }),
  });

  on(method: "GET" | "PUT" | "POST" | "DELETE", path: string, handler: StandinHandler): this {
    this.#router.on(method, path, (req, res, params) => {
      const call = {
        req: req as IncomingMessage,
        res: res as ServerResponse,
        params,
        query: new URL(req.url ?? "/", "http://standin").searchParams,
      };
      void handle(call, handler);
    });
    return this;
  }

  /** Routes one request to its handler. */
  lookup(req: IncomingMessage, res: ServerResponse): void {
    this.#router.lookup(req, res);
  }

  /** Starts listening. */
  async listen(options: ListenOptions = {}): Promise<RunningServer> {
    const server = createBoundedServer((req, res) => this.lookup(req, res));
    return listen(server, options);
  }
}

async function handle(call: StandinCall, handler: StandinHandler): Promise<void> {
  try {
    await handler(call);
  } catch (e) {
    sendError(call, toWpError(e));
  }
}

/** Binds a server to an address; rejects when the address can't be bound. */
export async function listen(
  server: Server,
  { host = "127.0.0.1", port = 0 }: ListenOptions = {},
): Promise<RunningServer> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  const address = `${host}:${bound.port}`;
  return {
    address,
    origin: `http://${address}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Sends a JSON response, unless a response has begun or the connection is gone. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  if (res.headersSent || res.destroyed) return;
  const bytes = Buffer.from(JSON.stringify(body));
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(bytes.byteLength),
    ...headers,
  });
  res.end(bytes);
}

/** Reads a complete body; raises `store_value_too_large` beyond `maxBytes`. */
export async function readBody(req: IncomingMessage, maxBytes = MAX_JSON_BYTES): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req) {
    size += chunk.length;
    if (size > maxBytes) {
      raise({ type: "store_value_too_large", message: `body exceeds ${maxBytes} bytes` });
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Reads a JSON body; raises an `engine` error with status 400 when it isn't JSON. */
export async function readJson<T>(req: IncomingMessage): Promise<T> {
  const body = await readBody(req);
  try {
    return JSON.parse(body.toString("utf8")) as T;
  } catch {
    return raise({ type: "engine", message: "body is not JSON", status: 400 });
  }
}

function sendError({ res }: StandinCall, err: WpError): void {
  const { message } = err;
  switch (err.type) {
    case "store_outcome_unknown":
      // The outcome is unknown to a client whose connection breaks before the response.
      res.destroy();
      return;
    case "store_conflict":
      return sendJson(res, 409, { message, currentVersion: err.currentVersion });
    case "store_value_too_large":
      return sendJson(res, 413, { message });
    case "rate_limited":
      return sendJson(res, 429, { message }, { "retry-after": String(err.retryAfterMs / 1_000) });
    case "store_unavailable":
    case "unreachable":
      return sendJson(res, 503, { message });
    case "not_found":
      return sendJson(res, 404, { message });
    case "fenced":
      return sendJson(res, 412, { message, highest: err.highest });
    case "engine":
      return sendJson(res, err.status, { message });
    default:
      return sendJson(res, 500, { message });
  }
}
