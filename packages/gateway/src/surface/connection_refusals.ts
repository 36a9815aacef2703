/**
 * Refuses connections on which something other than a request arrives: bytes that cannot be parsed, a head that does not
 * end in its time, or a request for a tunnel.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { LoopMonitor } from "../observe/loop_monitor.ts";
import { type CallerConnections, countUnanswered } from "./caller_connections.ts";
import type { CloseCause, Exchange } from "./unanswered.ts";

/** Options of {@link ConnectionRefusals}. */
export interface ConnectionRefusalsOptions {
  readonly connections: CallerConnections;
  readonly loop: LoopMonitor;
  readonly log: DecisionLog;
}

/** Code of the error for a head that has not ended in its time. Node.js reports it once for a connection. */
const LATE_HEAD_CODE = "ERR_HTTP_REQUEST_TIMEOUT";
/** Codes of errors that say that the caller closed its connection. */
const LEFT_CODES: ReadonlySet<string> = new Set(["ECONNRESET", "HPE_INVALID_EOF_STATE"]);

const NO_EXCHANGES: ReadonlySet<Exchange> = new Set();

/**
 * Refuses connections, after the responses to the requests that were read from them.
 *
 * @example
 * ```ts
 * server.on("clientError", (err, socket) => refusals.refuseUnreadable(err, socket));
 * ```
 */
export class ConnectionRefusals {
  readonly #options: ConnectionRefusalsOptions;

  constructor(options: ConnectionRefusalsOptions) {
    this.#options = options;
  }

  /** Refuses a connection with data that could not be parsed, or whose head is late. */
  refuseUnreadable(err: NodeJS.ErrnoException, socket: Socket): void {
    if (err.code === LATE_HEAD_CODE) this.#refuseLateHead(err, socket);
    else this.#refuse(err, socket);
  }

  /** Closes the connection of a request for a tunnel, which nothing here offers. */
  refuseTunnel(req: IncomingMessage, socket: Socket): void {
    const connection = this.#options.connections.of(req.socket);
    connection?.gate.detach();
    this.#options.log.request("connection_refused", {
      code: "CONNECT",
      unanswered: connection?.exchanges.size,
      remote: req.socket.remoteAddress,
    });
    // The parser no longer reads the connection, and would not notice that its caller leaves or resets it.
    socket.once("end", () => socket.destroy());
    socket.on("error", (err: NodeJS.ErrnoException) => {
      this.#options.log.request("connection_failed", { code: err.code, after: "CONNECT" });
    });
    socket.resume();
    this.#options.connections.endAfterResponses(connection, () => socket.destroySoon());
  }

  /** Refuses a connection whose head is late, unless the rest of it came during a stall. */
  #refuseLateHead(err: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#options.connections.of(socket);
    const requestBytes = connection?.requestBytes;
    this.#options.loop.afterNextPoll(() => {
      const hasHead = connection !== undefined && connection.requestBytes !== requestBytes;
      if (!hasHead && !socket.destroyed) this.#refuse(err, socket);
    });
  }

  /** Responds to data that could not be parsed, after the responses to the requests before it. */
  #refuse(err: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#options.connections.of(socket);
    const exchanges = connection?.exchanges ?? NO_EXCHANGES;
    const reading = connection?.reading ?? null;
    const cause: CloseCause = LEFT_CODES.has(err.code ?? "") ? "caller_left" : "unreadable_request";
    const isPending = connection !== undefined && countUnanswered(connection) > 0;
    const hasLeft = err.code === "ECONNRESET" || !socket.writable ||
      cause === "caller_left" && isPending;
    // The parser reports each piece of the bytes that follow.
    if (connection !== undefined && connection.endsWith !== null && !hasLeft) return;
    const status = hasLeft ? null : statusOfParserError(err.code);
    this.#options.log.request("connection_refused", {
      code: err.code,
      req: reading?.requestId ?? undefined,
      status: status === null ? undefined : Number(status.slice(0, 3)),
      unanswered: exchanges.size,
      remote: socket.remoteAddress,
    });
    if (status === null) {
      for (const exchange of exchanges) exchange.recordClose(cause, err.code);
      return void socket.destroy();
    }
    this.#options.connections.endAfterResponses(connection, () => {
      reading?.recordClose(cause, err.code);
      if (cause === "unreadable_request") reading?.recordAnswered();
      socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
      socket.destroySoon();
    });
  }
}

function statusOfParserError(code: string | undefined): string {
  if (code === "HPE_HEADER_OVERFLOW") return "431 Request Header Fields Too Large";
  if (code === LATE_HEAD_CODE) return "408 Request Timeout";
  return "400 Bad Request";
}
