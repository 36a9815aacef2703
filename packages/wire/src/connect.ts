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
import { type Established, Handshake, type LinkEnd, type VersionRange } from "./handshake.ts";
import type { Identity, LinkAcceptor, LinkTrafficObserver } from "./link.ts";
import { PROTOCOL_VERSIONS } from "./messages.ts";
import { PendingConnections, pendingHandshakeLimit } from "./pending_connections.ts";
import { MAX_QUEUED_BYTES, SocketLink } from "./socket_link.ts";

/** Time in which a connection must complete the handshake. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;
/** Open links of one process. Beyond it, its oldest one is closed: two ends that connect at once have two. */
export const MAX_LINKS_PER_PROCESS = 8;

/** Options common to {@link listenLinks} and {@link connectLink}. */
export interface LinkOptions {
  readonly identity: Identity;
  /** Secret shared by all processes of one system. */
  readonly clusterKey: Uint8Array | string;
  readonly acceptor: LinkAcceptor;
  readonly clock: Clock;
  readonly metrics?: Metrics;
  readonly log?: Logger;
  readonly traffic?: LinkTrafficObserver;
  /** Bytes that may wait to be sent on a link before it is closed; {@link MAX_QUEUED_BYTES} by default. */
  readonly maxQueuedBytes?: number;
  /** Protocol versions to offer; by default all that this build supports. */
  readonly versions?: VersionRange;
}

/** Options of {@link listenLinks}. */
export interface ListenOptions extends LinkOptions {
  /** With port 0, the operating system chooses a free port. */
  readonly address: Address;
  readonly tls?: TlsOptions;
  /** Connections whose handshake is not complete; those of {@link pendingHandshakeLimit} without a limit by default. */
  readonly maxPendingHandshakes?: number;
}

/** Options of {@link connectLink}. */
export interface ConnectOptions extends LinkOptions {
  readonly address: Address;
  readonly tls?: ConnectionOptions;
}

/** A listening socket that accepts links. */
export interface LinkListener {
  readonly address: Address;
  /** Links that are open at present. */
  readonly links: ReadonlySet<SocketLink>;
  /** Number of connections whose handshake is not complete. */
  readonly pending: number;
  /** Stops accepting and closes all links. */
  close(): Promise<void>;
}

/**
 * Listens for links.
 *
 * @throws WpFailure of type `unreachable` if the address cannot be bound.
 *
 * @example
 * ```ts
 * const listener = await listenLinks({
 *   address: { host: "127.0.0.1", port: 0 }, identity, clusterKey, acceptor, clock, metrics, log,
 * });
 * ```
 */
export async function listenLinks(options: ListenOptions): Promise<LinkListener> {
  const links = new LinkSet();
  const { maxPendingHandshakes = pendingHandshakeLimit(null) } = options;
  const pending = new PendingConnections(maxPendingHandshakes);
  const acceptSocket = (socket: Socket) => {
    const frames = startHandshake(socket, "acceptor", options, {
      onOpen: (link) => {
        pending.complete(socket);
        links.add(link);
      },
      onClose: () => pending.complete(socket),
    });
    pending.setClose(socket, () => {
      frames.fail(linkError("too_many", "too many handshakes are not complete"));
    });
  };
  const server = options.tls === undefined
    ? createServer()
    : createTlsServer({ handshakeTimeout: HANDSHAKE_TIMEOUT_MS, ...options.tls });
  // A TLS server emits this event for a socket whose TLS handshake has not begun.
  server.on("connection", (socket: Socket) => pending.add(socket));
  server.on(options.tls === undefined ? "connection" : "secureConnection", acceptSocket);
  server.on("tlsClientError", (e) => recordClosed(options, linkError("connect_failed", e.message)));
  const address = await listen(server, options.address);
  const close = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      for (const link of links.all) link.close();
      pending.closeAll();
    });
  return {
    address,
    links: links.all,
    close,
    get pending() {
      return pending.size;
    },
  };
}

/** Open links of a listener, few of each process. */
class LinkSet {
  readonly all = new Set<SocketLink>();

  add(link: SocketLink): void {
    this.all.add(link);
    link.registerCloseListener(() => this.all.delete(link));
    const ofProcess = [...this.all].filter(({ peer }) => peer.process === link.peer.process);
    const surplus = ofProcess.length - MAX_LINKS_PER_PROCESS;
    for (const oldest of ofProcess.slice(0, Math.max(0, surplus))) oldest.close();
  }
}

/**
 * Opens a link.
 *
 * @throws WpFailure of type `link` with the reason if the link could not be opened.
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

/** Runs the handshake on a socket, then opens a link over it. */
function startHandshake(
  socket: Socket,
  end: LinkEnd,
  options: LinkOptions,
  events: HandshakeEvents,
): FrameSocket {
  let stopTimer: Undo = () => {};
  let connected = end === "acceptor";
  socket.once(socket instanceof TLSSocket ? "secureConnect" : "connect", () => connected = true);
  const { identity, clusterKey, maxQueuedBytes = MAX_QUEUED_BYTES, versions = PROTOCOL_VERSIONS } =
    options;
  const frames = new FrameSocket(socket, {
    onFrame: (frame) => handshake.onFrame(frame),
    onDrain: () => {},
    onClose: (closed) => {
      stopTimer();
      const err = connected ? closed : linkError("connect_failed", closed.message);
      recordClosed(options, err);
      events.onClose(err);
    },
  }, { maxQueuedBytes });
  const handshake = new Handshake(
    { end, identity, clusterKey, versions },
    frames,
    (established) => {
      stopTimer();
      openLink(frames, end, established, options, events);
    },
  );
  stopTimer = options.clock.setTimer(HANDSHAKE_TIMEOUT_MS, () => {
    frames.fail(
      linkError("handshake_timeout", `handshake not completed within ${HANDSHAKE_TIMEOUT_MS} ms`),
    );
  });
  return frames;
}

function openLink(
  frames: FrameSocket,
  end: LinkEnd,
  established: Established,
  options: LinkOptions,
  events: HandshakeEvents,
): void {
  const { acceptor, clock, log, traffic } = options;
  const link = new SocketLink(frames, { end, established, acceptor, clock, log, traffic });
  link.registerCloseListener((err) => recordClosed(options, err as LinkError));
  events.onOpen(link);
  try {
    acceptor.onLink?.(link);
  } catch (e) {
    log?.error({ err: toWpError(e) }, "link open handler failed");
  }
}

function recordClosed({ metrics, log }: LinkOptions, err: LinkError): void {
  metrics?.countLinkClosed(err.reason);
  log?.info({ reason: err.reason, detail: err.message }, "link closed");
}

function listen(server: Server, { host, port }: Address): Promise<Address> {
  return new Promise((resolve, reject) => {
    server.on("error", (e) => {
      const message = `cannot listen on ${host}:${port}: ${e.message}`;
      reject(new WpFailure({ type: "unreachable", message }, { cause: e }));
    });
    server.listen({ host, port }, () => {
      resolve({ host, port: (server.address() as AddressInfo).port });
    });
  });
}
