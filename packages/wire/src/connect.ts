/**
 * Opening and accepting links.
 *
 * @module
 */
import {
  type AddressInfo,
  connect as connectTcp,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import {
  connect as connectTls,
  type ConnectionOptions,
  createServer as createTlsServer,
  type TlsOptions,
  TLSSocket,
} from "node:tls";
import {
  type Clock,
  type Logger,
  type Metrics,
  toWpError,
  type Undo,
  WpFailure,
} from "@wisteriapick/core";
import type { Address } from "./address.ts";
import { FrameSocket, type LinkError, linkError } from "./frame_socket.ts";
import { type End, type Established, Handshake, type VersionRange } from "./handshake.ts";
import type { Identity, LinkAcceptor } from "./link.ts";
import { PROTOCOL_VERSIONS } from "./messages.ts";
import { SocketLink } from "./socket_link.ts";

/** Time within which a connection must be authenticated. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;

/** Options common to both ends. */
export interface LinkOptions {
  readonly identity: Identity;
  /** Shared secret of all processes of one system. */
  readonly clusterKey: Uint8Array | string;
  readonly acceptor: LinkAcceptor;
  readonly clock: Clock;
  readonly metrics?: Metrics;
  readonly log?: Logger;
  /** Protocol versions to offer; all that this build speaks by default. */
  readonly versions?: VersionRange;
}

/** Options of {@link listenLinks}. */
export interface ListenOptions extends LinkOptions {
  /** Port 0 lets the system choose. */
  readonly address: Address;
  readonly tls?: TlsOptions;
}

/** Options of {@link connectLink}. */
export interface ConnectOptions extends LinkOptions {
  readonly address: Address;
  readonly tls?: ConnectionOptions;
}

/** A listener for links. */
export interface LinkListener {
  readonly address: Address;
  /** Links open at present. */
  readonly links: ReadonlySet<SocketLink>;
  /** Number of connections that are not authenticated yet. */
  readonly pending: number;
  /** Stops accepting and closes all links. */
  close(): Promise<void>;
}

/**
 * Listens for links.
 *
 * @throws WpFailure of type `unreachable` where the address cannot be bound.
 *
 * @example
 * ```ts
 * const listener = await listenLinks({
 *   address: { host: "127.0.0.1", port: 0 }, identity, clusterKey, acceptor, clock, metrics, log,
 * });
 * ```
 */
export async function listenLinks(options: ListenOptions): Promise<LinkListener> {
  const links = new Set<SocketLink>();
  const handshakes = new Set<FrameSocket>();
  const onSocket = (socket: Socket) => {
    const frames = startHandshake(socket, "acceptor", options, {
      onOpen: (link) => {
        handshakes.delete(frames);
        links.add(link);
        link.registerCloseListener(() => links.delete(link));
      },
      onClose: () => handshakes.delete(frames),
    });
    handshakes.add(frames);
  };
  const server = options.tls === undefined
    ? createServer(onSocket)
    : createTlsServer(options.tls, onSocket);
  server.on("tlsClientError", (e) => countClosed(options, linkError("connect_failed", e.message)));
  const address = await listen(server, options.address);
  const close = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      for (const link of links) link.close();
      for (const frames of handshakes) frames.close(linkError("closed", "listener closed"));
    });
  return {
    address,
    links,
    close,
    get pending() {
      return handshakes.size;
    },
  };
}

/**
 * Opens a link.
 *
 * @throws WpFailure of type `link` with the reason for which it could not be opened.
 *
 * @example
 * ```ts
 * const link = await connectLink({ address, identity, clusterKey, acceptor, clock });
 * ```
 */
export function connectLink(options: ConnectOptions): Promise<SocketLink> {
  const { address, tls } = options;
  const socket = tls === undefined
    ? connectTcp({ ...address })
    : connectTls({ ...tls, ...address });
  return new Promise((resolve, reject) => {
    startHandshake(socket, "connector", options, {
      onOpen: resolve,
      onClose: (err) => reject(new WpFailure(err)),
    });
  });
}

interface HandshakeEvents {
  onOpen(link: SocketLink): void;
  onClose(err: LinkError): void;
}

/** Runs the handshake on a socket and makes it a link. */
function startHandshake(
  socket: Socket,
  end: End,
  options: LinkOptions,
  events: HandshakeEvents,
): FrameSocket {
  let stopTimer: Undo = () => {};
  let connected = end === "acceptor";
  socket.once(socket instanceof TLSSocket ? "secureConnect" : "connect", () => connected = true);
  const frames = new FrameSocket(socket, {
    onFrame: (frame) => handshake.onFrame(frame),
    onDrain: () => {},
    onClose: (closed) => {
      stopTimer();
      const err = connected ? closed : linkError("connect_failed", closed.message);
      countClosed(options, err);
      events.onClose(err);
    },
  });
  const { identity, clusterKey, versions = PROTOCOL_VERSIONS } = options;
  const handshake = new Handshake({ end, identity, clusterKey, versions }, frames, (est) => {
    stopTimer();
    openLink(frames, end, est, options, events);
  });
  stopTimer = options.clock.setTimer(HANDSHAKE_TIMEOUT_MS, () => {
    frames.fail(linkError("handshake_timeout", `not open after ${HANDSHAKE_TIMEOUT_MS} ms`));
  });
  return frames;
}

function openLink(
  frames: FrameSocket,
  end: End,
  established: Established,
  options: LinkOptions,
  events: HandshakeEvents,
): void {
  const { acceptor, clock, log } = options;
  const link = new SocketLink(frames, { end, established, acceptor, clock, log });
  link.registerCloseListener((err) => countClosed(options, err as LinkError));
  events.onOpen(link);
  try {
    acceptor.onLink?.(link);
  } catch (e) {
    log?.error({ err: toWpError(e) }, "link handler failed");
  }
}

function countClosed({ metrics, log }: LinkOptions, err: LinkError): void {
  metrics?.countLinkClosed(err.reason);
  log?.info({ reason: err.reason, detail: err.message }, "link closed");
}

function listen(server: Server, { host, port }: Address): Promise<Address> {
  return new Promise((resolve, reject) => {
    server.on("error", (e) => {
      const message = `cannot listen on ${host}:${port}: ${e.message}`;
      reject(new WpFailure({ type: "unreachable", message }));
    });
    server.listen({ host, port }, () => {
      resolve({ host, port: (server.address() as AddressInfo).port });
    });
  });
}
