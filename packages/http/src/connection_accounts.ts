/**
 * Keeps an account of what callers' connections hold, and has them read accordingly.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock, Undo } from "@wisteriapick/core";
import {
  type CallerBounds,
  type CallerTotals,
  chooseMostHeld,
  mayReadRequest,
  mustDropHeld,
  requestBytesOf,
} from "@wisteriapick/policy";
import { RequestGate } from "./request_gate.ts";
import { type ContainWork, TurnQueue } from "./turn_queue.ts";

/**
 * What happened to a caller that observes no limits: its connection was paused until responses are written and read;
 * it was closed after its responses, as the bytes that waited on all connections had no room; it was closed, as there
 * were too many connections; it was closed, as it read no response and others needed the room; its request was refused,
 * as its body was stalled and others needed the room.
 */
export type CallerLimitEvent =
  | "paused"
  | "held_dropped"
  | "evicted"
  | "unread_closed"
  | "body_refused";

/** What is known of a connection at a {@link CallerLimitEvent}, for logs. */
export interface CallerLimitDetails {
  readonly remote?: string;
  /** Requests without a whole response. */
  readonly unanswered?: number;
  /** Bytes that wait on all connections. */
  readonly heldBytes?: number;
  /** Bytes of responses that the connection has not taken. */
  readonly unreadBytes?: number;
  /** Number of open connections. */
  readonly open?: number;
}

/** Receives what happens to callers that observe no limits. */
export type OnCallerLimit = (event: CallerLimitEvent, details: CallerLimitDetails) => void;

/** Options of {@link ConnectionAccounts}. */
export interface ConnectionAccountsOptions {
  readonly clock: Clock;
  readonly contain: ContainWork;
  /** What the host has room for. */
  readonly bounds: CallerBounds;
  readonly onLimit: OnCallerLimit;
}

/** What the accounts need to know of a connection. */
export interface AccountedConnection {
  /** Requests that were read and have no whole response yet. */
  readonly unanswered: () => number;
  /** Takes nothing more from the connection, and closes it when its requests are answered. */
  readonly endAfterResponses: () => void;
}

/** A connection on which bytes wait. */
interface HoldingConnection {
  heldBytes: number;
  /** Drops the bytes, and closes the connection after its responses. */
  readonly drop: () => void;
}

/**
 * The accounts of all callers' connections.
 *
 * @example
 * ```ts
 * const gate = accounts.open(socket, { unanswered: () => exchanges.size, endAfterResponses });
 * const release = accounts.takeRequest(headBytes);
 * ```
 */
export class ConnectionAccounts implements CallerTotals {
  readonly #options: ConnectionAccountsOptions;
  readonly #turns: TurnQueue;
  #requests = 0;
  #requestBytes = 0;
  #heldBytes = 0;
  readonly #holding = new Set<HoldingConnection>();

  constructor(options: ConnectionAccountsOptions) {
    this.#options = options;
    this.#turns = new TurnQueue(options.clock, options.contain);
  }

  get requests(): number {
    return this.#requests;
  }

  get requestBytes(): number {
    return this.#requestBytes;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Opens the account of a connection, to which the HTTP server listens already. */
  open(socket: Socket, { unanswered, endAfterResponses }: AccountedConnection): RequestGate {
    const { bounds, onLimit } = this.#options;
    const holding: HoldingConnection = {
      heldBytes: 0,
      drop: () => {
        onLimit("held_dropped", {
          unanswered: unanswered(),
          heldBytes: this.#heldBytes,
          remote: socket.remoteAddress,
        });
        gate.discard();
        endAfterResponses();
      },
    };
    const gate: RequestGate = new RequestGate({
      socket,
      turns: this.#turns,
      mayReadRequest: () =>
        mayReadRequest(
          { unanswered: unanswered(), hasUnreadResponses: socket.writableNeedDrain },
          this,
          bounds,
        ),
      onHeld: (bytes) => {
        this.#recordHeld(holding, bytes);
        if (bytes > 0 && mustDropHeld(this, bounds)) this.dropMostHeld();
      },
      onPaused: () => {
        onLimit("paused", {
          unanswered: unanswered(),
          unreadBytes: socket.writableLength,
          remote: socket.remoteAddress,
        });
      },
    });
    return gate;
  }

  /**
   * Drops the bytes of the connection on which the most wait, and closes it after its responses. These bytes were not
   * parsed, so no request among them runs.
   */
  dropMostHeld(): void {
    chooseMostHeld(this.#holding)?.drop();
  }

  #recordHeld(holding: HoldingConnection, bytes: number): void {
    this.#heldBytes += bytes;
    holding.heldBytes += bytes;
    if (holding.heldBytes > 0) this.#holding.add(holding);
    else this.#holding.delete(holding);
  }

  /** Counts a request that was read until the returned function is called. */
  takeRequest(headBytes: number): Undo {
    const bytes = requestBytesOf(headBytes);
    this.#requests++;
    this.#requestBytes += bytes;
    return () => {
      this.#requests--;
      this.#requestBytes -= bytes;
    };
  }
}
