/**
 * The HTTP/1.1 server for callers. It validates requests, enforces their limits and passes them to the relay unchanged.
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
import { Server as NetServer, type Socket } from "node:net";
import type { Clock } from "@wisteriapick/core";
import type { CallerLimitEvent } from "@wisteriapick/http";
import type { Arrival, MemoryBudget } from "@wisteriapick/policy";
import { type Address, formatAddress } from "@wisteriapick/wire";
import type { CallerLimits } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import { ErrorBoundary } from "../observe/error_boundary.ts";
import type { LoopMonitor } from "../observe/loop_monitor.ts";
import type { InboundHead } from "../relay/inbound.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import { BodyReader, type BodyRequest } from "./body_reader.ts";
import { CallerConnections } from "./caller_connections.ts";
import { ConnectionRefusals } from "./connection_refusals.ts";
import { HttpResponder } from "./http_responder.ts";
import { headerBytes, isForwardable, isUnambiguous } from "./request_grammar.ts";
import { Exchange } from "./unanswered.ts";

/** Handles requests that the server has read. */
export interface ProxyHandler {
  /** Whether a configuration is known, so that requests can be handled. */
  isReady(): boolean;
  /** Whether callers should connect to another gateway, so that each connection closes with its next response. */
  shouldLeave(): boolean;
  /** Limits in force. */
  limits(): CallerLimits;
  /** Checks a head before the body is read. Returns false if it has rejected the request. */
  accept(head: InboundHead, responder: HttpResponder): boolean;
  handle(
    head: InboundHead,
    body: Buffer | null,
    arrival: Arrival,
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
  /** Contains errors in the handling of one request or connection; one that only logs by default. */
  readonly errors?: ErrorBoundary;
  readonly loop: LoopMonitor;
  readonly budget: MemoryBudget;
  /** Number of open connections from which on each closes with its next response; without a limit by default. */
  readonly maxKept?: number;
  /** Descriptors that the process may have open; without a limit by default. */
  readonly maxDescriptors?: number;
  /**
   * Descriptors that the process has open besides those of callers, where so many requests may each have a connection to
   * an endpoint; that number by default.
   */
  readonly otherDescriptors?: (requests: number) => number;
  /** Counts connections that were paused or closed, and bodies that were refused, as their callers observe no limits. */
  readonly onCallerLimit?: (event: CallerLimitEvent) => void;
  /** Called as bytes of bodies arrive, with their number. */
  readonly onBytes?: (bytes: number) => void;
}

/** Largest header section that the parser accepts. The configured limit is checked after parsing. */
const MAX_PARSED_HEADER_BYTES = 131_072;
/** Longest timeout that Node.js takes as it is: it adds a second to it, and counts with 31 bits. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1_001;
/** Interval at which the server checks for connections that are too slow. */
const SLOW_CONNECTION_CHECK_INTERVAL_MS = 250;
/** Longest time for which a request waits for the first configuration. A store responds in a few milliseconds. */
const MAX_CONFIG_WAIT_MS = 700;
/** Interval at which a waiting request checks for the first configuration. */
const CONFIG_CHECK_INTERVAL_MS = 10;
/** Retry delay given to callers while there is no memory or descriptor for their request, in milliseconds. */
const RETRY_AFTER_NO_ROOM_MS = 1_000;

/** A request that is being read. */
interface Incoming {
  readonly exchange: Exchange;
  readonly arrival: Arrival;
}

/** The HTTP server for callers. */
export class ProxyServer {
  readonly #options: ProxyServerOptions;
  readonly #errors: ErrorBoundary;
  readonly #server: Server;
  readonly #connections: CallerConnections;
  /** Requests that have not been passed to the handler, by their responses. */
  readonly #unread = new Map<ServerResponse, IncomingMessage>();
  #draining = false;
  #isHolding = false;
  readonly #bodies: BodyReader;
  readonly #refusals: ConnectionRefusals;

  constructor(options: ProxyServerOptions) {
    this.#options = options;
    const { budget, clock, log, errors = new ErrorBoundary({ clock, log }) } = options;
    this.#errors = errors;
    this.#connections = new CallerConnections({
      clock,
      errors,
      log,
      budget,
      maxKept: options.maxKept ?? Infinity,
      maxDescriptors: options.maxDescriptors ?? null,
      otherDescriptors: options.otherDescriptors ?? ((requests) => requests),
      onFull: () => this.#bodies.refuseLongestStalled(),
      onLimit: (event) => options.onCallerLimit?.(event),
    });
    this.#bodies = new BodyReader({
      budget,
      clock,
      log,
      connections: this.#connections,
      onBytes: (bytes) => options.onBytes?.(bytes),
      onLimit: (event) => options.onCallerLimit?.(event),
      isUnread: (res) => this.#unread.has(res),
      contain: (req, res, work) => this.#contain(req, res, work),
      onTooLarge: (req, res) => this.#refuse(req, res, 413),
      onNoRoom: (req, res, body) => this.#refuseForRoom(req, res, body, "memory_pressure"),
    });
    const { loop } = options;
    this.#refusals = new ConnectionRefusals({ connections: this.#connections, loop, log });
    const serverOptions: ServerOptions = {
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      requestTimeout: 0,
      connectionsCheckingInterval: SLOW_CONNECTION_CHECK_INTERVAL_MS,
      noDelay: true,
      // `isUnambiguous` refuses HTTP/1.1 requests without a host, and those with several.
      requireHostHeader: false,
    };
    this.#server = createServer(serverOptions, (req, res) => this.#onRequest(req, res));
    this.applyLimits(options.handler.limits());
    const contain = (socket: Socket, work: () => void) =>
      errors.run("connection", work, () => socket.destroy());
    this.#server.on("connection", (socket) => contain(socket, () => this.#onConnection(socket)));
    this.#server.on("timeout", (socket) => contain(socket, () => this.#onIdle(socket)));
    this.#server.on("clientError", (err: NodeJS.ErrnoException, socket) => {
      contain(socket as Socket, () => {
        this.#refusals.refuseUnreadable(err, socket as Socket);
      });
    });
    // A body is always read, so a caller that expects 100 (Continue) gets it at once.
    this.#server.on("checkContinue", (req, res) => {
      res.writeContinue();
      this.#onRequest(req, res);
    });
    this.#server.on("connect", (req, socket) => {
      contain(socket as Socket, () => this.#refusals.refuseTunnel(req, socket as Socket));
    });
    this.#server.on("checkExpectation", (req, res) => this.#onRequest(req, res));
  }

  listen(): Promise<void> {
    const { host, port } = this.#options.address;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port, backlog: 1_024 }, () => {
        this.#server.off("error", reject);
        // Accepting a connection may fail, as without a free descriptor; the next one may be accepted.
        this.#server.on("error", (e) => this.#errors.report("accept", e));
        resolve();
      });
    });
  }

  /** Applies the limits of a new configuration. */
  applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#server.headersTimeout = Math.min(MAX_TIMEOUT_MS, headerTimeoutMs);
    this.#server.keepAliveTimeout = Math.min(MAX_TIMEOUT_MS, idleTimeoutMs);
  }

  /** Number of requests in progress. */
  get active(): number {
    return this.#connections.active;
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Number of connections with a request in progress, or with one read or responded to of late. */
  get busyConnectionCount(): number {
    return this.#connections.busyCount;
  }

  /** Number of requests that wait for room for their bodies. */
  get waitingForRoom(): number {
    return this.#bodies.waiting;
  }

  /** Number of connections that were accepted so far. */
  get accepted(): number {
    return this.#connections.accepted;
  }

  /** Closes each connection after its next response. New connections are still served. */
  drain(): void {
    this.#draining = true;
  }

  /**
   * Passes on no more requests: what is read waits for {@link refuseUnread}. A caller that has no response yet does not
   * connect again, so that the queue of connections to be accepted comes to an end.
   */
  hold(): void {
    this.#isHolding = true;
  }

  /** Accepts no more connections. Those that are open stay so, as their requests may not have been read yet. */
  stopListening(): void {
    // The method of the HTTP server closes idle connections besides, unread requests included.
    NetServer.prototype.close.call(this.#server);
  }

  /**
   * Refuses requests that have not been passed on, as they have not been read whole, wait for a configuration or are
   * held. Their callers may try elsewhere after `retryAfterMs`. Returns how many. Called as the process ends.
   */
  refuseUnread(retryAfterMs: number): number {
    const unread = [...this.#unread];
    this.#unread.clear();
    const headers = { "retry-after": (retryAfterMs / 1_000).toFixed(3) };
    for (const [res, req] of unread) this.#refuse(req, res, 503, headers);
    return unread.length;
  }

  /** Stops accepting connections and closes idle ones. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Closes every connection at once. Requests in progress are logged, as the process may end before they close. */
  destroy(): void {
    this.#options.log.state("connections_closed", {
      open: this.#connections.size,
      unanswered: this.active,
    });
    for (const [socket, { exchanges, requestBytes }] of this.#connections.all()) {
      for (const exchange of exchanges) exchange.endUnanswered("process_end");
      if (exchanges.size > 0 || socket.bytesRead <= requestBytes) continue;
      this.#options.log.request("request_unanswered", {
        stage: "reading_head",
        cause: "process_end",
        headBytes: socket.bytesRead - requestBytes,
        remote: socket.remoteAddress,
      });
    }
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Whether a response that is about to be written ends its connection. A request that was read behind it must get its
   * response too, and none is taken afterwards.
   */
  #closesAfter(socket: Socket): boolean {
    if (!this.#draining && !this.#connections.areMany && !this.#options.handler.shouldLeave()) {
      return false;
    }
    const connection = this.#connections.of(socket);
    if (connection === undefined) return true;
    if (connection.exchanges.size > 1 || connection.gate.isHolding) return false;
    connection.isRefused = true;
    return true;
  }

  #onConnection(socket: Socket): void {
    this.#options.loop.recordConnection();
    this.#connections.open(socket);
  }

  /** Closes an idle connection, unless a request came during a stall: timers may run before it is read. */
  #onIdle(socket: Socket): void {
    const { bytesRead } = socket;
    this.#options.loop.afterNextPoll(() => {
      if (this.#connections.of(socket)?.gate.isHolding === true) return;
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  }

  #onRequest(req: IncomingMessage, res: ServerResponse): void {
    this.#contain(req, res, () => this.#receive(req, res));
  }

  /** Does something for one request. An error ends that request only. */
  #contain(req: IncomingMessage, res: ServerResponse, work: () => void): void {
    this.#errors.run("request", work, () => this.#endAfterError(req, res));
  }

  /** Ends a request after an unexpected error. Whether one that was passed on has run is not known. */
  #endAfterError(req: IncomingMessage, res: ServerResponse): void {
    if (res.writableEnded || res.destroyed) return;
    const isUnread = this.#unread.delete(res);
    if (res.headersSent) return void res.destroy();
    this.#bodies.drop(req);
    res.writeHead(isUnread ? 503 : 502, { connection: "close", "content-length": "0" });
    res.end();
  }

  #receive(req: IncomingMessage, res: ServerResponse): void {
    const { handler, clock, loop } = this.#options;
    const connection = this.#connections.of(req.socket);
    // A stall that holds up the request later, as while its body is read, passes on the clock.
    const latestMs = clock.now();
    const stallMs = loop.stallMs({ isFirst: connection?.requestBytes === 0 });
    const arrival: Arrival = { earliestMs: latestMs - stallMs, latestMs };
    const exchange = this.#createExchange(req, res);
    // The parser may deliver requests that followed a refused one before the connection is closed.
    if (connection === undefined || connection.isRefused) {
      exchange.stage = "dropped";
      exchange.endUnanswered("connection_closing");
      // Each further one would stay in memory until the connection closes.
      connection?.gate.discard();
      return void req.resume();
    }
    connection.gate.begin(req);
    const recordBytes = () => connection.requestBytes = req.socket.bytesRead;
    recordBytes();
    req.once("end", recordBytes);
    this.#unread.set(res, req);
    const headBytes = headerBytes(req);
    const endExchange = this.#connections.beginExchange(req.socket, connection, {
      exchange,
      headBytes,
    });
    res.once("close", () => {
      this.#unread.delete(res);
      endExchange();
    });
    if (handler.isReady()) this.#read(req, res, { exchange, arrival });
    else this.#waitForConfig(req, res, { exchange, arrival });
  }

  #createExchange(req: IncomingMessage, res: ServerResponse): Exchange {
    const { clock, log } = this.#options;
    return new Exchange(req, res, { clock, log, requestId: () => this.#requestIdOf(req) });
  }

  #requestIdOf({ method = "", url: target = "", rawHeaders }: IncomingMessage): string | null {
    return this.#options.dialect.readHead({ method, target, rawHeaders })?.requestId ?? null;
  }

  /** Delays a request until the first configuration is known, as callers rarely retry more than once. */
  #waitForConfig(req: IncomingMessage, res: ServerResponse, incoming: Incoming): void {
    const { handler, clock } = this.#options;
    const { exchange } = incoming;
    exchange.stage = "waiting_for_config";
    const waitsUntilMs = clock.now() + MAX_CONFIG_WAIT_MS;
    const undo = clock.setRepeating(CONFIG_CHECK_INTERVAL_MS, () => {
      const hasTimedOut = clock.now() >= waitsUntilMs;
      if (this.#unread.has(res) && !handler.isReady() && !hasTimedOut) return;
      undo();
      if (this.#unread.has(res)) this.#contain(req, res, () => this.#read(req, res, incoming));
    });
  }

  #read(req: IncomingMessage, res: ServerResponse, { exchange, arrival }: Incoming): void {
    const { dialect, handler } = this.#options;
    exchange.stage = "head_read";
    const responder = new HttpResponder(res, {
      closeAfter: () => this.#closesAfter(req.socket),
      onAbort: () => exchange.recordClose("response_cut"),
      budget: this.#options.budget,
    });
    exchange.unreadBytes = () => responder.unreadBytes;
    const { maxHeaderBytes, maxBodyBytes } = handler.limits();
    if (headerBytes(req) > maxHeaderBytes) return this.#refuse(req, res, 431);
    if (!isUnambiguous(req)) return this.#refuse(req, res, 400);
    const { method = "", url: target = "", rawHeaders } = req;
    if (!isForwardable({ method, target, rawHeaders })) return this.#refuse(req, res, 400);
    const head = dialect.readHead({ method, target, rawHeaders });
    if (head === null) return this.#refuse(req, res, 400);
    const { budget } = this.#options;
    budget.allowBodies(maxBodyBytes);
    if (Number(req.headers["content-length"] ?? 0) > maxBodyBytes) {
      return this.#refuse(req, res, 413);
    }
    if (!handler.accept(head, responder)) {
      this.#unread.delete(res);
      return this.#bodies.drop(req);
    }
    this.#connections.closeStalledReaders();
    if (!this.#options.budget.hasRoomForResponses) {
      this.#bodies.drop(req);
      return this.#refuseForRoom(req, res, { head, responder }, "memory_pressure");
    }
    const options = { exchange, head, responder, maxBytes: maxBodyBytes };
    const pass = (body: Buffer | null) => {
      const releaseDescriptor = this.#connections.takeDescriptor();
      if (releaseDescriptor === null) {
        return this.#refuseForRoom(req, res, { head, responder }, "descriptor_pressure");
      }
      res.once("close", releaseDescriptor);
      this.#unread.delete(res);
      exchange.stage = "with_relay";
      handler.handle(head, body, arrival, responder);
    };
    this.#bodies.read(req, res, options, (body) => {
      const { loop, log } = this.#options;
      if (this.#isHolding) return;
      if (!loop.mayHaveLeft) {
        // It may have been refused while its body was read.
        if (this.#unread.has(res)) pass(body);
        return;
      }
      exchange.stage = "deferred_by_stall";
      const stallMs = loop.stallMs();
      loop.afterNextPoll(() =>
        this.#contain(req, res, () => {
          if (this.#isHolding || !this.#unread.has(res)) return;
          if (!hasDisconnected(req, res)) return pass(body);
          this.#unread.delete(res);
          log.request("caller_left_unread", {
            req: head.requestId,
            stallMs: Math.round(stallMs),
          });
          res.destroy();
        })
      );
    });
  }

  /**
   * Refuses a request for which there is no memory or no descriptor now. The connection stays open, and the rest of the body is read and
   * dropped: closing a connection with unread bytes would reset it, and the caller might lose the response.
   */
  #refuseForRoom(
    req: IncomingMessage,
    res: ServerResponse,
    { head, responder }: Pick<BodyRequest, "head" | "responder">,
    reason: "memory_pressure" | "descriptor_pressure",
  ): void {
    if (!this.#unread.delete(res)) return;
    const { budget, log } = this.#options;
    log.request("request_rejected", {
      req: head.requestId,
      reason,
      retryAfterMs: RETRY_AFTER_NO_ROOM_MS,
      length: req.headers["content-length"],
      bodyBytes: budget.bodyBytes,
      responseBytes: budget.responseBytes,
    });
    responder.reject({
      reason,
      notRun: true,
      retryAfterMs: RETRY_AFTER_NO_ROOM_MS,
    });
  }

  /** Refuses a request that cannot be forwarded, and closes the connection, as the data after it is not trusted. */
  #refuse(
    req: IncomingMessage,
    res: ServerResponse,
    status: number,
    headers: Readonly<Record<string, string>> = {},
  ): void {
    const { log } = this.#options;
    const connection = this.#connections.of(req.socket);
    if (connection !== undefined) connection.isRefused = true;
    this.#unread.delete(res);
    log.request("request_refused", {
      req: this.#requestIdOf(req) ?? undefined,
      status,
      method: req.method,
      host: req.headers.host,
      remote: req.socket.remoteAddress,
    });
    this.#bodies.drop(req);
    if (res.headersSent || res.destroyed) return void res.destroy();
    res.writeHead(status, { ...headers, connection: "close", "content-length": "0" });
    res.end();
  }

  /** The address that the server listens on, for logs. */
  get address(): string {
    return formatAddress(this.#options.address);
  }
}

/** Whether the caller has closed its connection. */
function hasDisconnected(req: IncomingMessage, res: ServerResponse): boolean {
  return res.destroyed || req.socket.destroyed || req.socket.readableEnded;
}
