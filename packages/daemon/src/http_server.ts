/**
 * An HTTP or HTTPS server around a `find-my-way` router.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { createServer, type RequestListener, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import { PendingConnections } from "@wisteriapick/wire";

/** Address of a server. TLS is used where key and certificate files are given. */
export interface HttpListenOptions {
  readonly host: string;
  readonly port: number;
  readonly tls?: { readonly key: string; readonly cert: string };
}

/** Time for a TLS handshake. Those of callers far away take half a second. */
const TLS_HANDSHAKE_TIMEOUT_MS = 5_000;

/** What {@link makeHttpServer} needs to know. */
export interface HttpServerOptions {
  readonly tls: HttpListenOptions["tls"];
  /** TLS handshakes that may be in progress. */
  readonly maxPendingHandshakes: number;
}

/** Creates a server; the TLS files are read once. */
export function makeHttpServer(
  listener: RequestListener,
  { tls, maxPendingHandshakes }: HttpServerOptions,
): Server {
  if (tls === undefined) return createServer(listener);
  const key = readFileSync(tls.key);
  const cert = readFileSync(tls.cert);
  const options = { key, cert, handshakeTimeout: TLS_HANDSHAKE_TIMEOUT_MS };
  const server = createTlsServer(options, listener);
  const pending = new PendingConnections(maxPendingHandshakes);
  server.on("connection", (socket: Socket) => pending.add(socket));
  server.on("secureConnection", (socket: Socket) => pending.complete(socket));
  return server as unknown as Server;
}

/** Listens and resolves with the bound `ip:port`. */
export async function listenHttp(server: Server, options: HttpListenOptions): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  const { address, port, family } = server.address() as AddressInfo;
  return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}

/** Responds with JSON; a string is sent as it is. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(typeof body === "string" ? body : JSON.stringify(body));
}

/** Waits until a response's write buffer has drained or its connection closes. */
export function waitForDrainOrClose(
  res: ServerResponse,
): { promise: Promise<void>; removeListeners: () => void } {
  let resolve = () => {};
  const promise = new Promise<void>((r) => {
    resolve = r;
  });
  res.once("drain", resolve);
  res.once("close", resolve);
  const removeListeners = () => {
    res.off("drain", resolve);
    res.off("close", resolve);
  };
  return { promise, removeListeners: removeListeners };
}
