/**
 * The surface that forwards requests as they are: HTTP/1.1 from callers, checked and bounded, to the relay.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "@wisteriapick/core";
import { type Address, formatAddress } from "@wisteriapick/wire";
import type { CallerLimits } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { LoopMonitor } from "../observe/loop_monitor.ts";
import type { InboundHead } from "../relay/inbound.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import { HttpResponder } from "./http_responder.ts";

/** Takes requests that were read. */
export interface ProxyHandler {
  /** Whether requests can be answered yet. */
  isReady(): boolean;
  /** Limits in force. */
  limits(): CallerLimits;
  /** Looks at a head before its body is read. Returns false after it has rejected the request. */
  accept(head: InboundHead, responder: HttpResponder): boolean;
  handle(
    head: InboundHead,
    body: Buffer | null,
    arrivedAtMs: number,
    responder: HttpResponder,
  ): void;
}

/** Options of {@link ProxyServer}. */
export interface ProxyServerOptions {
  readonly address: Address;
  readonly dialect: CallerDialect;
  readonly handler: ProxyHandler;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly loop: LoopMonitor;
}

/** Bytes of a header section that the parser takes; the limit in force is checked against what was read. */
const MAX_PARSED_HEADER_BYTES = 131_072;
/** How often the server looks for connections that are too slow, in milliseconds. */
const SLOW_CHECK_MS = 250;
/** Longest time a request waits for the first configuration, in milliseconds; a store answers in a few. */
const HOLD_MS = 700;
/** How often a request that waits is looked at, in milliseconds. */
const HOLD_CHECK_MS = 10;
/** Bytes of bodies held for all requests together; a gateway has 178 MB or more. */
const MAX_HELD_BODY_BYTES = 33_554_432;

/** What is under way on one connection. */
interface Connection {
  /** Requests that are being read or answered. */
  requests: number;
  /** Whether the body of the newest request is being read. */
  isReading: boolean;
  /** Whether a request was refused: what follows it is not trusted. */
  isRefused: boolean;
}

/** Serves callers. */
export class ProxyServer {
  readonly #options: ProxyServerOptions;
  readonly #server: Server;
  readonly #connections = new Map<Socket, Connection>();
  #draining = false;
  #heldBytes = 0;

  constructor(options: ProxyServerOptions) {
    this.#options = options;
    const limits = options.handler.limits();
    const serverOptions: ServerOptions = {
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      headersTimeout: limits.headerTimeoutMs,
      keepAliveTimeout: limits.idleTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: SLOW_CHECK_MS,
      noDelay: true,
      // An HTTP/1.1 request without a host is refused below, with several of them.
      requireHostHeader: false,
    };
    this.#server = createServer(serverOptions, (req, res) => this.#onRequest(req, res));
    this.#server.on("connection", (socket) => this.#onConnection(socket));
    this.#server.on("clientError", (err, socket) => this.#onClientError(err, socket as Socket));
    // Bodies are read whether or not the caller waits for leave to send them.
    this.#server.on("checkContinue", (req, res) => {
      res.writeContinue();
      this.#onRequest(req, res);
    });
    this.#server.on("checkExpectation", (req, res) => this.#onRequest(req, res));
  }

  listen(): Promise<void> {
    const { host, port } = this.#options.address;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port, backlog: 1_024 }, resolve);
    });
  }

  /** Takes over limits of a new configuration. */
  applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Requests that are being answered. */
  get active(): number {
    let active = 0;
    for (const { requests } of this.#connections.values()) active += requests;
    return active;
  }

  /** Closes each connection after its next answer; new ones are served all the same. */
  drain(): void {
    this.#draining = true;
  }

  /** Stops taking connections and closes those that carry no request. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Drops every connection. */
  destroy(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #onConnection(socket: Socket): void {
    this.#connections.set(socket, { requests: 0, isReading: false, isRefused: false });
    socket.once("close", () => this.#connections.delete(socket));
  }

  #onRequest(req: IncomingMessage, res: ServerResponse): void {
    const { handler, clock } = this.#options;
    const arrivedAtMs = clock.now();
    const connection = this.#connections.get(req.socket);
    // The parser hands over what came behind a refused request before the connection is closed.
    if (connection === undefined || connection.isRefused) return void req.resume();
    connection.requests++;
    res.once("close", () => connection.requests--);
    if (handler.isReady()) this.#read(req, res, arrivedAtMs);
    else this.#hold(req, res, arrivedAtMs);
  }

  /** Keeps a request that came before the configuration: callers rarely try more than once more. */
  #hold(req: IncomingMessage, res: ServerResponse, arrivedAtMs: number): void {
    const { handler, clock } = this.#options;
    const undo = clock.setRepeating(HOLD_CHECK_MS, () => {
      const isOver = clock.now() >= arrivedAtMs + HOLD_MS;
      if (!res.destroyed && !handler.isReady() && !isOver) return;
      undo();
      if (!res.destroyed) this.#read(req, res, arrivedAtMs);
    });
  }

  #read(req: IncomingMessage, res: ServerResponse, arrivedAtMs: number): void {
    const { dialect, handler } = this.#options;
    const responder = new HttpResponder(res, { closeAfter: () => this.#draining });
    const { maxHeaderBytes, maxBodyBytes } = handler.limits();
    if (headerBytes(req) > maxHeaderBytes) return this.#refuse(req, res, 431);
    if (!isUnambiguous(req)) return this.#refuse(req, res, 400);
    const head = dialect.readHead({
      method: req.method ?? "",
      target: req.url ?? "",
      rawHeaders: req.rawHeaders,
    });
    if (head === null) return this.#refuse(req, res, 400);
    if (Number(req.headers["content-length"] ?? 0) > maxBodyBytes) {
      return this.#refuse(req, res, 413);
    }
    if (!handler.accept(head, responder)) return void req.resume();
    this.#readBody(req, res, maxBodyBytes, (body) => {
      const stallMs = this.#options.loop.stallMs();
      if (stallMs === 0) return handler.handle(head, body, arrivedAtMs, responder);
      this.#options.loop.afterNextPoll(() => {
        if (!hasLeft(req, res)) {
          return handler.handle(head, body, arrivedAtMs - stallMs, responder);
        }
        this.#options.log.request("caller_left_unread", {
          req: head.requestId,
          stallMs: Math.round(stallMs),
        });
        res.destroy();
      });
    });
  }

  /** Reads the whole body: only whole requests are passed on, and a run can go on elsewhere with the same body. */
  #readBody(
    req: IncomingMessage,
    res: ServerResponse,
    maxBytes: number,
    done: (body: Buffer | null) => void,
  ): void {
    const hasBody = req.headers["content-length"] !== undefined ||
      req.headers["transfer-encoding"] !== undefined;
    if (!hasBody) {
      req.resume();
      return done(null);
    }
    const connection = this.#connections.get(req.socket);
    if (connection !== undefined) connection.isReading = true;
    const chunks: Buffer[] = [];
    let size = 0;
    let over = false;
    const release = () => {
      this.#heldBytes -= size;
      size = 0;
    };
    res.once("close", release);
    req.on("data", (chunk: Buffer) => {
      if (over) return;
      size += chunk.length;
      this.#heldBytes += chunk.length;
      if (size <= maxBytes && this.#heldBytes <= MAX_HELD_BODY_BYTES) {
        return void chunks.push(chunk);
      }
      over = true;
      chunks.length = 0;
      this.#refuse(req, res, size > maxBytes ? 413 : 503);
    });
    req.on("end", () => {
      if (connection !== undefined) connection.isReading = false;
      if (!over) done(Buffer.concat(chunks));
    });
    // The caller's own failure; its connection closes by itself.
    req.on("error", () => over = true);
  }

  /** Refuses a request that cannot be passed on, and closes its connection: the rest of it is not trusted. */
  #refuse(req: IncomingMessage, res: ServerResponse, status: number): void {
    const { log } = this.#options;
    const connection = this.#connections.get(req.socket);
    if (connection !== undefined) connection.isRefused = true;
    log.request("request_refused", {
      status,
      method: req.method,
      host: req.headers.host,
      remote: req.socket.remoteAddress,
    });
    req.resume();
    if (res.headersSent || res.destroyed) return void res.destroy();
    res.writeHead(status, { connection: "close", "content-length": "0" });
    res.end();
  }

  /** Answers what could not be parsed, unless an answer to an earlier request is under way. */
  #onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    const { log } = this.#options;
    log.request("connection_refused", { code: err.code, remote: socket.remoteAddress });
    const connection = this.#connections.get(socket);
    // A request whose body is broken has no answer yet; one before it may have.
    const unanswered = (connection?.requests ?? 0) - (connection?.isReading ? 1 : 0);
    if (unanswered > 0 || !socket.writable || err.code === "ECONNRESET") {
      return void socket.destroy();
    }
    const status = statusOfParserError(err.code);
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    socket.destroySoon();
  }

  /** Address served, for logs. */
  get address(): string {
    return formatAddress(this.#options.address);
  }
}

/** Whether a caller has closed its connection. */
function hasLeft(req: IncomingMessage, res: ServerResponse): boolean {
  return res.destroyed || req.socket.destroyed || req.socket.readableEnded;
}

function statusOfParserError(code: string | undefined): string {
  if (code === "HPE_HEADER_OVERFLOW") return "431 Request Header Fields Too Large";
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") return "408 Request Timeout";
  return "400 Bad Request";
}

/** Size of the header section as it was sent, without white space around values. */
function headerBytes(req: IncomingMessage): number {
  let bytes = (req.method?.length ?? 0) + (req.url?.length ?? 0) + 12;
  for (let i = 0; i < req.rawHeaders.length; i++) bytes += req.rawHeaders[i]!.length + 2;
  return bytes;
}

/**
 * Whether every recipient reads the request alike. The parser refuses double and conflicting lengths, folded fields
 * and bare line feeds; this refuses what it lets pass.
 */
function isUnambiguous(req: IncomingMessage): boolean {
  if (!req.url?.startsWith("/")) return false;
  let hosts = 0;
  for (let i = 0; i < req.rawHeaders.length; i += 2) {
    const name = req.rawHeaders[i]!.toLowerCase();
    if (name === "host") hosts++;
    if (name !== "transfer-encoding") continue;
    if (req.httpVersion !== "1.1" || req.rawHeaders[i + 1]!.toLowerCase() !== "chunked") {
      return false;
    }
  }
  return hosts === 1;
}
