/**
 * A pool of the gateway's connections to one endpoint.
 *
 * @module
 */
import type { Address } from "@wisteriapick/wire";
import {
  type UpstreamCall,
  UpstreamConnection,
  type UpstreamRequest,
  type UpstreamSink,
} from "./connection.ts";

/** Options of {@link ConnectionPool}. */
export interface ConnectionPoolOptions {
  readonly address: Address;
  /** Time to establish a connection, in milliseconds. It takes endpoints a few round trips of at most 10 ms. */
  readonly connectTimeoutMs?: number;
  /** Idle time of a connection if its endpoint announces none, in milliseconds. */
  readonly idleTimeoutMs?: number;
  /** Called when a call fails because no connection could be opened. */
  readonly onConnectFailed?: (message: string) => void;
}

/** Covers one retransmission, within about half a second. Waiting longer costs more than trying another endpoint. */
export const CONNECT_TIMEOUT_MS = 400;
/** Below the shortest idle time in common use (5 s), so that no request is sent while the endpoint closes. */
const IDLE_TIMEOUT_MS = 4_000;

/** Connections to one endpoint. The most recently used one goes first, so that surplus ones reach their idle time. */
export class ConnectionPool {
  readonly #options: Required<ConnectionPoolOptions>;
  readonly #idle: UpstreamConnection[] = [];
  readonly #all = new Set<UpstreamConnection>();
  #opened = 0;
  #closed = false;

  constructor(options: ConnectionPoolOptions) {
    this.#options = {
      address: options.address,
      connectTimeoutMs: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
      idleTimeoutMs: options.idleTimeoutMs ?? IDLE_TIMEOUT_MS,
      onConnectFailed: options.onConnectFailed ?? (() => {}),
    };
  }

  /** Number of connections that are open or being opened. */
  get size(): number {
    return this.#all.size;
  }

  /** Number of connections without a request. */
  get idleCount(): number {
    return this.#idle.length;
  }

  /** Number of connections opened so far. */
  get opened(): number {
    return this.#opened;
  }

  /** Whether a request can be sent without opening a connection. */
  get hasIdle(): boolean {
    return this.#idle.length > 0;
  }

  /**
   * Sends a request on an idle connection, or on a new one if none is idle.
   *
   * With `usesOwnConnection`, the connection is a new one, on which nothing is sent afterwards.
   */
  send(
    req: UpstreamRequest,
    sink: UpstreamSink,
    { usesOwnConnection = false }: { readonly usesOwnConnection?: boolean } = {},
  ): UpstreamCall {
    const connection = (usesOwnConnection ? null : this.#takeIdle()) ?? this.#open();
    const release = () => usesOwnConnection ? connection.destroy() : this.#release(connection);
    return connection.send(req, {
      onHead: (status, headers) => sink.onHead(status, headers),
      onData: (chunk) => sink.onData(chunk),
      onEnd: () => {
        release();
        sink.onEnd();
      },
      onFailure: (failure) => {
        if (failure.type === "connect") this.#options.onConnectFailed(failure.message);
        sink.onFailure(failure);
      },
    });
  }

  /** Closes idle connections now and the others when their call ends. */
  retire(): void {
    for (const connection of this.#idle.splice(0)) connection.destroy();
    this.#closed = true;
  }

  /** Closes every connection. */
  destroy(): void {
    this.retire();
    for (const connection of [...this.#all]) connection.destroy();
  }

  #takeIdle(): UpstreamConnection | null {
    for (;;) {
      const connection = this.#idle.pop();
      if (connection === undefined) return null;
      if (!connection.closed) return connection;
    }
  }

  #open(): UpstreamConnection {
    const { address, connectTimeoutMs, idleTimeoutMs } = this.#options;
    const connection: UpstreamConnection = new UpstreamConnection({
      address,
      connectTimeoutMs,
      idleTimeoutMs,
      onClosed: () => this.#forget(connection),
    });
    this.#all.add(connection);
    this.#opened++;
    return connection;
  }

  #release(connection: UpstreamConnection): void {
    if (connection.closed) return;
    if (this.#closed) connection.destroy();
    else this.#idle.push(connection);
  }

  #forget(connection: UpstreamConnection): void {
    this.#all.delete(connection);
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
  }
}
