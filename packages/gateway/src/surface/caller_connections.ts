/**
 * The open connections of callers, with the requests that each has in progress, and which of them are closed.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock, Undo } from "@wisteriapick/core";
import {
  type CallerLimitDetails,
  type CallerLimitEvent,
  ConnectionAccounts,
  ConnectionTable,
  type TrackedConnection,
} from "@wisteriapick/http";
import {
  type MemoryBudget,
  openConnectionLimit,
  type ReadersRoom,
  StalledReaders,
} from "@wisteriapick/policy";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { ErrorBoundary } from "../observe/error_boundary.ts";
import type { Exchange } from "./unanswered.ts";

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
  readonly clock: Clock;
  readonly errors: ErrorBoundary;
  readonly log: DecisionLog;
  readonly budget: MemoryBudget;
  /** Number of open connections from which on each closes with its next response. */
  readonly maxKept: number;
  /** Descriptors that the process may have open; `null` without a limit. */
  readonly maxDescriptors: number | null;
  /**
   * Descriptors that the process has open besides those of callers, where so many requests may each have a connection to
   * an endpoint.
   */
  readonly otherDescriptors: (requests: number) => number;
  readonly onLimit: (event: CallerLimitEvent) => void;
  /** Called when a connection is closed as all others have a request in progress. */
  readonly onFull: () => void;
}

/** State of one connection. */
export interface CallerConnection extends TrackedConnection {
  /** Requests that are being read or answered. */
  readonly exchanges: Set<Exchange>;
  /** The newest request, while its body is being read. */
  reading: Exchange | null;
  /** Whether nothing more is taken from it: a request was refused, or the last response ends it. */
  isRefused: boolean;
  /** Ends it for bytes that cannot be served, once the requests before them are answered; `null` if there are none. */
  endsWith: (() => void) | null;
}

/** A connection with what its caller has not read. */
interface UnreadConnection {
  readonly socket: Socket;
  readonly exchanges: Set<Exchange>;
  readonly unreadBytes: number;
  readonly sentBytes: number;
}

/** Time for which a connection counts as in use after its last request or response, in milliseconds. */
const BUSY_MS = 1_000;

/** Fraction of the limit of kept connections below which an end of the crowd is logged, so that lines stay few. */
const FEW_CONNECTIONS_FRACTION = 0.8;

/**
 * Keeps the connections of callers.
 *
 * @example
 * ```ts
 * connections.open(socket);
 * connections.of(socket)?.exchanges.add(exchange);
 * ```
 */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions;
  readonly #accounts: ConnectionAccounts;
  readonly #table: ConnectionTable<CallerConnection>;
  readonly #stalledReaders = new StalledReaders<UnreadConnection>(({ socket }) => socket);
  /** The same for descriptors, of which each request takes one besides its connection's own. */
  readonly #stalledHolders = new StalledReaders<UnreadConnection>(
    ({ socket }) => socket,
    ({ exchanges }) => 1 + exchanges.size,
  );
  /** Requests that may have a connection to an endpoint each. */
  #forwarded = 0;
  #isCrowded = false;

  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
    const { clock, errors, budget, maxDescriptors } = options;
    const onLimit = (event: CallerLimitEvent, details: CallerLimitDetails) =>
      this.#recordLimit(event, details);
    this.#accounts = new ConnectionAccounts({
      clock,
      contain: (work) => errors.run("connection", work),
      bounds: { shares: budget.shares, maxDescriptors },
      onLimit,
    });
    this.#table = new ConnectionTable({
      clock,
      accounts: this.#accounts,
      maxOpen: () => this.#maxOpen(),
      onFull: () => options.onFull(),
      onLimit,
    });
  }

  /** Number of open connections. */
  get size(): number {
    return this.#table.size;
  }

  /** Number of connections that were accepted so far. */
  get accepted(): number {
    return this.#table.accepted;
  }

  /** Number of requests in progress. */
  get active(): number {
    let active = 0;
    for (const [, { exchanges }] of this.#table.all()) active += exchanges.size;
    return active;
  }

  /** Number of connections with a request in progress, or with one read or responded to of late. */
  get busyCount(): number {
    const sinceMs = this.#options.clock.now() - BUSY_MS;
    let busy = 0;
    for (const [, { exchanges, usedAtMs }] of this.#table.all()) {
      if (exchanges.size > 0 || usedAtMs > sinceMs) busy++;
    }
    return busy;
  }

  /** Whether there are so many that each closes with its next response. */
  get areMany(): boolean {
    return this.#table.size > this.#options.maxKept;
  }

  /** The state of a connection; `undefined` once it is closed or about to be. */
  of(socket: Socket): CallerConnection | undefined {
    return this.#table.of(socket);
  }

  /** All open connections. */
  all(): IterableIterator<[Socket, CallerConnection]> {
    return this.#table.all();
  }

  /** Takes a new connection, to which the HTTP server listens already. May close another one, or this one. */
  open(socket: Socket): void {
    const exchanges = new Set<Exchange>();
    const account = {
      unanswered: () => exchanges.size,
      endAfterResponses: () => {
        this.endAfterResponses(this.#table.of(socket), () => socket.destroySoon());
      },
    };
    // Registered before that of the table, so that the connection can still be found.
    socket.once("close", () => {
      for (const exchange of [...exchanges]) exchange.closeUnsent();
    });
    this.closeStalledReaders();
    this.#table.open(socket, account, (gate) => ({
      exchanges,
      gate,
      reading: null,
      requestBytes: 0,
      usedAtMs: this.#options.clock.now(),
      partSeenAtMs: null,
      isRefused: false,
      endsWith: null,
    }));
    socket.once("close", () => this.#reportCrowd());
    this.#reportCrowd();
  }

  /**
   * Records a request on a connection. The returned function records that its response is closed.
   *
   * @param headBytes Size of the request's header section.
   */
  beginExchange(
    socket: Socket,
    connection: CallerConnection,
    { exchange, headBytes }: { readonly exchange: Exchange; readonly headBytes: number },
  ): () => void {
    connection.exchanges.add(exchange);
    connection.partSeenAtMs = null;
    const release = this.#accounts.takeRequest(headBytes);
    return () => {
      release();
      connection.exchanges.delete(exchange);
      connection.gate.continue();
      connection.usedAtMs = this.#options.clock.now();
      if (countUnanswered(connection) === 0 && socket.writable) connection.endsWith?.();
    };
  }

  /** Takes nothing more from a connection, and ends it when the requests that were read are answered. */
  endAfterResponses(connection: CallerConnection | undefined, end: () => void): void {
    if (connection === undefined || countUnanswered(connection) === 0) return end();
    connection.isRefused = true;
    connection.endsWith = end;
  }

  /**
   * Takes a descriptor for a request's connection to an endpoint; connections without a request are closed for it.
   * Returns how to give it back, and `null` if there is none.
   */
  takeDescriptor(): Undo | null {
    this.#forwarded++;
    if (this.#table.evictSurplus()) return () => void this.#forwarded--;
    this.#forwarded--;
    return null;
  }

  #maxOpen(): number {
    const { maxDescriptors, otherDescriptors } = this.#options;
    if (maxDescriptors === null) return Infinity;
    return openConnectionLimit(maxDescriptors, otherDescriptors(this.#forwarded));
  }

  /** Closes connections whose callers do not read while there is no room for the responses to others. */
  closeStalledReaders(): void {
    const { budget } = this.#options;
    this.#closeStalled(this.#stalledReaders, {
      used: budget.responseBytes,
      share: budget.shares.responses,
    });
    this.#closeStalled(this.#stalledHolders, { used: this.#table.size, share: this.#maxOpen() });
  }

  #closeStalled(readers: StalledReaders<UnreadConnection>, room: ReadersRoom): void {
    const { clock } = this.#options;
    const connections = () =>
      [...this.#table.all()].map(([socket, { exchanges }]) => ({
        socket,
        exchanges,
        unreadBytes: unreadBytesOf(exchanges),
        sentBytes: socket.bytesWritten - socket.writableLength,
      }));
    const stalled = readers.check(connections, room, clock.now());
    for (const { socket, exchanges, unreadBytes } of stalled) {
      this.#recordLimit("unread_closed", { unreadBytes, remote: socket.remoteAddress });
      for (const exchange of exchanges) exchange.recordClose("response_cut", "unread");
      socket.destroy();
    }
  }

  #recordLimit(event: CallerLimitEvent, details: CallerLimitDetails): void {
    this.#options.onLimit(event);
    this.#options.log.request("connection_limited", { reason: event, ...details });
  }

  /** Logs when connections begin to close with their responses, and when they are kept again. */
  #reportCrowd(): void {
    const { log, maxKept } = this.#options;
    const open = this.#table.size;
    if (!this.#isCrowded && open <= maxKept) return;
    if (this.#isCrowded && open > FEW_CONNECTIONS_FRACTION * maxKept) return;
    this.#isCrowded = !this.#isCrowded;
    log.state("connections_crowded", { isCrowded: this.#isCrowded, open, maxKept });
  }
}

/** Bytes of responses that a connection has not taken yet, those that wait behind another response included. */
function unreadBytesOf(exchanges: ReadonlySet<Exchange>): number {
  let bytes = 0;
  for (const exchange of exchanges) bytes += exchange.unreadBytes();
  return bytes;
}

/** Number of requests that were read and have no whole response yet. One with an invalid body gets none. */
export function countUnanswered({ exchanges, reading }: CallerConnection): number {
  return exchanges.size - (reading !== null && exchanges.has(reading) ? 1 : 0);
}
