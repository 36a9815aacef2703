/**
 * Bounds what callers may hold of an HTTP server: connections, requests sent ahead, and responses that are not read.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "@wisteriapick/core";
import { type CallerBounds, StalledReaders } from "@wisteriapick/policy";
import { ConnectionAccounts, type OnCallerLimit } from "./connection_accounts.ts";
import { ConnectionTable, type TrackedConnection } from "./connection_table.ts";
import type { ContainWork } from "./turn_queue.ts";

/** Options of {@link BoundedConnections}. */
export interface BoundedConnectionsOptions {
  readonly clock: Clock;
  /** What the host has room for. */
  readonly bounds: CallerBounds;
  /** Number of connections that may be open now. */
  readonly maxConnections: () => number;
  readonly contain: ContainWork;
  readonly onLimit?: OnCallerLimit;
  /** Called when a connection is closed as all others have a request in progress, so that one of those ends. */
  readonly onFull?: () => void;
}

interface BoundedConnection extends TrackedConnection {
  /** Responses of requests that were read, and that are not closed yet. */
  readonly exchanges: Set<ServerResponse>;
  /** Whether the connection ends when its requests are answered. */
  isEnding: boolean;
  /** Whether the rest of its bytes was dropped, so that a request whose body is not complete is never answered. */
  isCut: boolean;
}

/** What a connection has not taken of its responses. */
interface UnreadConnection {
  readonly socket: Socket;
  readonly unreadBytes: number;
  readonly sentBytes: number;
}

/**
 * The connections of one HTTP server.
 *
 * @example
 * ```ts
 * const connections = new BoundedConnections({ clock, bounds, maxConnections: () => 32, contain });
 * const server = createServer((req, res) => connections.begin(req, res) && respond(req, res));
 * connections.guard(server);
 * ```
 */
export class BoundedConnections {
  readonly #accounts: ConnectionAccounts;
  readonly #table: ConnectionTable<BoundedConnection>;
  readonly #options: BoundedConnectionsOptions;
  /** Each connection takes one of those that may be open. */
  readonly #stalledReaders = new StalledReaders<UnreadConnection>(({ socket }) => socket, () => 1);

  constructor(options: BoundedConnectionsOptions) {
    const { bounds, clock, contain, maxConnections, onLimit = () => {} } = options;
    this.#options = options;
    this.#accounts = new ConnectionAccounts({ clock, contain, bounds, onLimit });
    this.#table = new ConnectionTable({
      clock,
      accounts: this.#accounts,
      maxOpen: maxConnections,
      onLimit,
      onFull: options.onFull,
    });
  }

  /** Number of open connections. */
  get size(): number {
    return this.#table.size;
  }

  /** Number of requests in progress. */
  get requests(): number {
    return this.#accounts.requests;
  }

  /** Guards each connection that a server accepts from now on. */
  guard(server: Server): void {
    // The TLS server of Node.js emits `connection` for a socket whose handshake has not begun.
    const event = "setSecureContext" in server ? "secureConnection" : "connection";
    server.on(event, (socket: Socket) => this.#options.contain(() => this.#open(socket)));
    server.on("connect", (_req, socket) => this.#closeTunnel(socket as Socket));
  }

  /**
   * Records a request. Returns false if it must not be handled, as its connection is about to end. Its listener has to
   * call this first.
   */
  begin(req: IncomingMessage, res: ServerResponse): boolean {
    const connection = this.#table.of(req.socket);
    if (connection === undefined || connection.isEnding) {
      // Each further one would stay in memory until the connection closes.
      connection?.gate.discard();
      req.resume();
      return false;
    }
    const { gate, exchanges } = connection;
    gate.begin(req);
    connection.requestBytes = req.socket.bytesRead;
    req.once("end", () => connection.requestBytes = req.socket.bytesRead);
    connection.partSeenAtMs = null;
    const release = this.#accounts.takeRequest(headBytesOf(req));
    exchanges.add(res);
    res.once("close", () => {
      exchanges.delete(res);
      release();
      connection.usedAtMs = this.#options.clock.now();
      gate.continue();
      if (connection.isEnding && !isAnyAwaited(connection)) closeSoon(req.socket);
    });
    return true;
  }

  /** Records a chunk of a request's body, which uses up a part of its connection's turn. */
  recordChunk(req: IncomingMessage): void {
    this.#table.of(req.socket)?.gate.recordChunk();
  }

  /** Reads nothing more from the connection of a request. It ends with the responses to what was read. */
  endConnection(req: IncomingMessage): void {
    const connection = this.#table.of(req.socket);
    if (connection !== undefined) this.#end(req.socket, connection);
  }

  /** Closes connections whose callers do not read their responses, while no more connections may be open. */
  #closeStalledReaders(): void {
    const { clock, maxConnections, onLimit } = this.#options;
    const connections = () =>
      [...this.#table.all()].map(([socket]) => ({
        socket,
        unreadBytes: socket.writableLength,
        sentBytes: socket.bytesWritten - socket.writableLength,
      }));
    const room = { used: this.#table.size, share: maxConnections() };
    const stalled = this.#stalledReaders.check(connections, room, clock.now());
    for (const { socket, unreadBytes } of stalled) {
      onLimit?.("unread_closed", { unreadBytes, remote: socket.remoteAddress });
      socket.destroy();
    }
  }

  #open(socket: Socket): void {
    this.#closeStalledReaders();
    const exchanges = new Set<ServerResponse>();
    const account = {
      unanswered: () => exchanges.size,
      endAfterResponses: () => {
        const connection = this.#table.of(socket);
        if (connection === undefined) return closeSoon(socket);
        connection.isCut = true;
        this.#end(socket, connection);
      },
    };
    this.#table.open(socket, account, (gate) => ({
      gate,
      exchanges,
      requestBytes: 0,
      usedAtMs: this.#options.clock.now(),
      partSeenAtMs: null,
      isEnding: false,
      isCut: false,
    }));
    socket.once("close", () => {
      for (const res of [...exchanges.keys()]) closeUnsent(res);
    });
  }

  /** Closes the connection of a request for a tunnel. The server has given up its parser, which must get no more. */
  #closeTunnel(socket: Socket): void {
    this.#table.of(socket)?.gate.detach();
    socket.destroy();
  }

  #end(socket: Socket, connection: BoundedConnection): void {
    connection.isEnding = true;
    connection.gate.discard();
    if (!isAnyAwaited(connection)) closeSoon(socket);
  }
}

/** Whether a request of the connection may still be answered. */
function isAnyAwaited({ exchanges, isCut }: BoundedConnection): boolean {
  for (const res of exchanges) if (!isCut || res.req.complete || res.headersSent) return true;
  return false;
}

/**
 * Closes a response whose turn on the connection has not come when the connection ends. Node.js reports the end only to
 * the response whose turn it is, and the work on the others would go on.
 */
export function closeUnsent(res: ServerResponse): void {
  if (res.socket !== null) return;
  res.destroy();
  res.emit("close");
}

/** Closes a connection once what was written is sent. One that is no socket has no such method. */
function closeSoon(socket: Partial<Pick<Socket, "destroySoon">> & Pick<Socket, "destroy">): void {
  if (socket.destroySoon === undefined) socket.destroy();
  else socket.destroySoon();
}

/** Approximate size of a request's head, in bytes. */
function headBytesOf({ rawHeaders, url = "" }: IncomingMessage): number {
  return rawHeaders.reduce((sum, { length }) => sum + length, url.length);
}
