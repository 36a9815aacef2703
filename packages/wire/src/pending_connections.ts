/**
 * Connections to a listener whose handshake is not complete.
 *
 * @module
 */
import type { Socket } from "node:net";

/**
 * Connections from one address whose handshake is not complete. Beyond it, the oldest of them is closed: a peer completes
 * its handshake within a few round trips.
 */
export const MAX_PENDING_PER_ADDRESS = 64;
/** The same for all addresses of a listener, by default. */
const MAX_PENDING_HANDSHAKES = 512;
/** Part of a process's descriptors for connections whose handshake is not complete. */
const PENDING_FRACTION = 0.125;

/**
 * Connections whose handshake is not complete that a process with so many descriptors keeps; `null` if it has no limit
 * of descriptors.
 *
 * @example
 * ```ts
 * const maxPendingHandshakes = pendingHandshakeLimit(4_096);
 * ```
 */
export function pendingHandshakeLimit(maxDescriptors: number | null): number {
  if (maxDescriptors === null) return MAX_PENDING_HANDSHAKES;
  return Math.max(MAX_PENDING_PER_ADDRESS, Math.floor(PENDING_FRACTION * maxDescriptors));
}

/** A connection whose handshake is not complete. */
export interface PendingConnection {
  /** Address from which it was opened. */
  readonly remote: string;
}

/**
 * Chooses the connection to close when there are too many from all addresses: the oldest one from the address that has
 * the most. `pending` has them in the order in which they were opened.
 */
export function choosePendingToClose<C extends PendingConnection>(pending: Iterable<C>): C | null {
  const oldest = new Map<string, { readonly connection: C; count: number }>();
  let chosen: { readonly connection: C; count: number } | null = null;
  for (const connection of pending) {
    const known = oldest.get(connection.remote);
    const entry = known ?? { connection, count: 0 };
    entry.count++;
    if (known === undefined) oldest.set(connection.remote, entry);
    if (chosen === null || entry.count > chosen.count) chosen = entry;
  }
  return chosen?.connection ?? null;
}

interface Pending extends PendingConnection {
  readonly socket: Socket;
  /** Closes it; differs once its bytes are read as frames. */
  close: () => void;
}

/**
 * Keeps the connections of one listener until their handshakes are complete.
 *
 * @example
 * ```ts
 * const pending = new PendingConnections(pendingHandshakeLimit(4_096));
 * server.on("connection", (socket) => pending.add(socket));
 * pending.setClose(socket, () => frames.fail(err));
 * pending.complete(socket);
 * ```
 */
export class PendingConnections {
  /** By the address and port of the peer, which a TLS socket shares with the socket below it. */
  readonly #pending = new Map<string, Pending>();
  readonly #maxSize: number;

  constructor(maxSize: number) {
    this.#maxSize = maxSize;
  }

  get size(): number {
    return this.#pending.size;
  }

  /** Adds a connection that was accepted. May close another one. */
  add(socket: Socket): void {
    const key = keyOf(socket);
    const pending = {
      socket,
      remote: socket.remoteAddress ?? "",
      close: () => void socket.destroy(),
    };
    this.#pending.set(key, pending);
    socket.once("close", () => {
      if (this.#pending.get(key) === pending) this.#pending.delete(key);
    });
    const surplus = this.#chooseSurplus(pending.remote);
    if (surplus === null) return;
    this.complete(surplus.socket);
    surplus.close();
  }

  /** Chooses the connection to close after one from `remote` was added; `null` if there are not too many. */
  #chooseSurplus(remote: string): Pending | null {
    const ofAddress = [...this.#pending.values()].filter((pending) => pending.remote === remote);
    if (ofAddress.length > MAX_PENDING_PER_ADDRESS) return ofAddress[0]!;
    return this.size > this.#maxSize ? choosePendingToClose(this.#pending.values()) : null;
  }

  /** Sets how a connection is closed from now on. */
  setClose(socket: Socket, close: () => void): void {
    const pending = this.#pending.get(keyOf(socket));
    if (pending !== undefined) pending.close = close;
  }

  /** Removes a connection whose handshake is complete or has failed. */
  complete(socket: Socket): void {
    this.#pending.delete(keyOf(socket));
  }

  /** Closes all of them. */
  closeAll(): void {
    for (const pending of [...this.#pending.values()]) pending.close();
    this.#pending.clear();
  }
}

function keyOf({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress} ${remotePort}`;
}
