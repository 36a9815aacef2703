/**
 * The open connections of one server, and which of them is closed when there are too many.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock } from "@wisteriapick/core";
import { chooseEviction } from "@wisteriapick/policy";
import type {
  AccountedConnection,
  ConnectionAccounts,
  OnCallerLimit,
} from "./connection_accounts.ts";
import type { RequestGate } from "./request_gate.ts";

/** What the table needs to know of a connection. */
export interface TrackedConnection {
  /** Passes its bytes to the parser. */
  readonly gate: RequestGate;
  /** Requests that are being read or answered. */
  readonly exchanges: { readonly size: number };
  /** Number of bytes that belong to requests whose heads have been read. */
  requestBytes: number;
  /** When it was opened, or last had a request in progress. */
  usedAtMs: number;
  /** When it was seen to have a part of a head after other requests, while there were too many; `null` if not. */
  partSeenAtMs: number | null;
}

/** Options of {@link ConnectionTable}. */
export interface ConnectionTableOptions {
  readonly clock: Clock;
  readonly accounts: ConnectionAccounts;
  /** Number of connections that may be open now. */
  readonly maxOpen: () => number;
  readonly onLimit: OnCallerLimit;
  /** Called when a connection is closed as all others have a request in progress, so that one of those ends. */
  readonly onFull?: () => void;
}

/**
 * Keeps the state of each open connection.
 *
 * @example
 * ```ts
 * table.open(socket, { unanswered, endAfterResponses }, (gate) => ({ gate, exchanges, … }));
 * table.of(socket)?.exchanges.add(exchange);
 * ```
 */
export class ConnectionTable<C extends TrackedConnection> {
  readonly #options: ConnectionTableOptions;
  readonly #open = new Map<Socket, C>();
  #accepted = 0;

  constructor(options: ConnectionTableOptions) {
    this.#options = options;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#open.size;
  }

  /** Number of connections that were accepted so far. */
  get accepted(): number {
    return this.#accepted;
  }

  /** The state of a connection; `undefined` once it is closed or about to be. */
  of(socket: Socket): C | undefined {
    return this.#open.get(socket);
  }

  /** All open connections. */
  all(): IterableIterator<[Socket, C]> {
    return this.#open.entries();
  }

  /** Takes a new connection, to which the HTTP server listens already. May close others, or this one. */
  open(socket: Socket, account: AccountedConnection, makeState: (gate: RequestGate) => C): void {
    this.#accepted++;
    const gate = this.#options.accounts.open(socket, account);
    this.#open.set(socket, makeState(gate));
    socket.once("close", () => this.#open.delete(socket));
    this.evictSurplus(socket);
  }

  /**
   * Closes connections without a request in progress until there are not too many. If all have one, closes `newest`, and
   * the one that has sent the most ahead ends with its responses, so that others find room later. Returns whether there
   * are not too many now.
   */
  evictSurplus(newest?: Socket): boolean {
    while (this.#open.size > this.#options.maxOpen()) {
      const evicted = this.#chooseEvicted() ?? newest;
      if (evicted === newest) {
        this.#options.accounts.dropMostHeld();
        this.#options.onFull?.();
      }
      if (evicted === undefined || !this.#open.has(evicted)) return false;
      this.#options.onLimit("evicted", { open: this.#open.size, remote: evicted.remoteAddress });
      // The event of its end comes later, and more connections may be accepted before.
      this.#open.delete(evicted);
      evicted.destroy();
    }
    return true;
  }

  #chooseEvicted(): Socket | undefined {
    const now = this.#options.clock.now();
    const open = [...this.#open].map(([socket, connection]) => {
      const hasHadRequest = connection.requestBytes > 0;
      const hasPartOfHead = socket.bytesRead > connection.requestBytes;
      if (hasHadRequest && hasPartOfHead) connection.partSeenAtMs ??= now;
      return {
        socket,
        unanswered: connection.exchanges.size,
        hasPartOfHead,
        hasHadRequest,
        usedAtMs: connection.partSeenAtMs ?? connection.usedAtMs,
      };
    });
    return chooseEviction(open, now)?.socket;
  }
}
