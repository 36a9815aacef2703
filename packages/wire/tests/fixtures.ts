/**
 * Fixtures for tests of links.
 *
 * @module
 */
import {
  accountId,
  createMetrics,
  dataCentreId,
  generationId,
  hostId,
  ManualClock,
  type Metrics,
  processId,
  type WpError,
} from "@wisteriapick/core";
import {
  type ConnectOptions,
  type Identity,
  type Link,
  type LinkAcceptor,
  type LinkStream,
  type ListenOptions,
  type Message,
  type Role,
  type StreamHandler,
} from "../src/mod.ts";

export const CLUSTER_KEY = "test-cluster-key";
export const LOOPBACK = { host: "127.0.0.1", port: 0 } as const;

/** An identity named by its role. */
export function makeIdentity(role: Role): Identity {
  return {
    role,
    process: processId(`${role}-1`),
    host: hostId("host-1"),
    dataCentre: dataCentreId("dc-1"),
  };
}

/** An acceptor that ignores everything, with parts replaced. */
export function makeAcceptor(parts: Partial<LinkAcceptor> = {}): LinkAcceptor {
  return {
    onStream: () => ({ onMessage: () => {}, onClose: () => {} }),
    onNotify: () => {},
    ...parts,
  };
}

/** An acceptor that keeps the streams opened by the peer. */
export function makeRecorder() {
  const streams: RecordedStream[] = [];
  const notes: Message[] = [];
  const acceptor = makeAcceptor({
    onStream: (_link, msg, stream) => {
      const recorded = recordStream(stream);
      recorded.messages.push(msg);
      streams.push(recorded);
      return recorded.handler;
    },
    onNotify: (_link, msg) => notes.push(msg),
  });
  return { acceptor, streams, notes };
}

/** What one end of a stream has seen. */
export interface RecordedStream {
  readonly stream: LinkStream | null;
  readonly messages: Message[];
  readonly closes: (WpError | null)[];
  readonly handler: StreamHandler;
  drains: number;
}

/** Records what arrives on a stream. */
export function recordStream(stream: LinkStream | null = null): RecordedStream {
  const recorded: RecordedStream = {
    stream,
    messages: [],
    closes: [],
    drains: 0,
    handler: {
      onMessage: (msg) => recorded.messages.push(msg),
      onClose: (err) => recorded.closes.push(err),
      onDrain: () => recorded.drains++,
    },
  };
  return recorded;
}

/** Options of a listener at a port chosen by the system. */
export function listenOptions(
  parts: Partial<ListenOptions> = {},
): ListenOptions & { metrics: Metrics } {
  return {
    address: LOOPBACK,
    identity: makeIdentity("side"),
    clusterKey: CLUSTER_KEY,
    acceptor: makeAcceptor(),
    clock: new ManualClock(),
    ...parts,
    metrics: parts.metrics ?? createMetrics(),
  };
}

/** Options of a connection to `address`. */
export function connectOptions(
  address: ConnectOptions["address"],
  parts: Partial<ConnectOptions> = {},
): ConnectOptions & { metrics: Metrics } {
  return {
    address,
    identity: makeIdentity("entry"),
    clusterKey: CLUSTER_KEY,
    acceptor: makeAcceptor(),
    clock: new ManualClock(),
    ...parts,
    metrics: parts.metrics ?? createMetrics(),
  };
}

/** A message that opens a stream. */
export function makeResume(gen = "g-1"): Message {
  return { kind: "resume", gen: generationId(gen), account: accountId("a-1"), offset: 0 };
}

/** One token. */
export function makeTokens(offset: number, item = " word"): Message {
  return { kind: "tokens", offset, items: [item] };
}

/** Waits until `test` holds; the test runner's own limit ends a wait that never does. */
export async function until(test: () => boolean): Promise<void> {
  while (!test()) await new Promise((resolve) => setImmediate(resolve));
}

/** Resolves with the error of a link when it closes. */
export function closed(link: Link): Promise<WpError> {
  return new Promise((resolve) => link.registerCloseListener(resolve));
}

/** The count of closed links by reason, without reasons at 0. */
export async function closeCounts(metrics: Metrics): Promise<Record<string, number>> {
  const { values } = await metrics.linksClosed.get();
  const counted = values.filter((v) => v.value > 0);
  return Object.fromEntries(counted.map((v) => [v.labels.reason, v.value]));
}
