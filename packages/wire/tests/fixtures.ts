/**
 * Fixtures for link tests.
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

/** Creates an identity with the given role; the role is also part of the process id. */
export function makeIdentity(role: Role): Identity {
  return {
    role,
    process: processId(`${role}-1`),
    host: hostId("host-1"),
    dataCentre: dataCentreId("dc-1"),
  };
}

/** Creates an acceptor that ignores everything except for the given handlers. */
export function makeAcceptor(parts: Partial<LinkAcceptor> = {}): LinkAcceptor {
  return {
    onStream: () => ({ onMessage: () => {}, onClose: () => {} }),
    onNotify: () => {},
    ...parts,
  };
}

/** Creates an acceptor that records the streams opened and the notifications sent by peers. */
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

/** Events received at one end of a stream. */
export interface RecordedStream {
  readonly stream: LinkStream | null;
  readonly messages: Message[];
  readonly closes: (WpError | null)[];
  readonly handler: StreamHandler;
  drains: number;
}

/** Creates a handler that records the events of a stream. */
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

/** Options of a listener on a free port. */
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

/** A message with one token. */
export function makeTokens(offset: number, item = " word"): Message {
  return { kind: "tokens", offset, items: [item] };
}

/** Resolves once `test` returns true. Has no timeout of its own; the test runner's timeout applies. */
export async function until(test: () => boolean): Promise<void> {
  while (!test()) await new Promise((resolve) => setImmediate(resolve));
}

/** Resolves with the link's error when it closes. */
export function closed(link: Link): Promise<WpError> {
  return new Promise((resolve) => link.registerCloseListener(resolve));
}

/** Returns the number of closed links by reason, omitting reasons with count 0. */
export async function closeCounts(metrics: Metrics): Promise<Record<string, number>> {
  const { values } = await metrics.linksClosed.get();
  const counted = values.filter((v) => v.value > 0);
  return Object.fromEntries(counted.map((v) => [v.labels.reason, v.value]));
}
