/**
 * Counts what this gateway exchanges with its peers by kind of message, for metrics and for a log line in seconds with
 * much traffic.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import type { LinkTrafficObserver, Message } from "@wisteriapick/wire";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** Options of {@link PeerTraffic}. */
export interface PeerTrafficOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Bytes that wait to be sent on each link. */
  readonly queuedBytes: () => readonly number[];
}

/** Interval of log lines. */
const LOG_INTERVAL_MS = 1_000;
/** Bytes sent and received in one interval from which a line is logged. */
const LOG_MIN_BYTES = 65_536;

type BytesByKind = Map<Message["kind"], number>;

/** Observes the notifications on all links of a gateway. */
export class PeerTraffic implements LinkTrafficObserver {
  readonly #options: PeerTrafficOptions;
  readonly #sent: BytesByKind = new Map();
  readonly #received: BytesByKind = new Map();

  constructor(options: PeerTrafficOptions) {
    this.#options = options;
  }

  /** Starts logging. */
  start(): Undo {
    return this.#options.clock.setRepeating(LOG_INTERVAL_MS, () => this.#onInterval());
  }

  recordSent(kind: Message["kind"], bytes: number): void {
    this.#options.metrics.countPeerBytes("sent", kind, bytes);
    this.#sent.set(kind, (this.#sent.get(kind) ?? 0) + bytes);
  }

  recordReceived(kind: Message["kind"], bytes: number): void {
    this.#options.metrics.countPeerBytes("received", kind, bytes);
    this.#received.set(kind, (this.#received.get(kind) ?? 0) + bytes);
  }

  #onInterval(): void {
    const { log, metrics, queuedBytes } = this.#options;
    const queued = queuedBytes();
    const queuedTotal = total(queued);
    metrics.setPeerQueue(queuedTotal);
    const exchanged = total(this.#sent.values()) + total(this.#received.values());
    if (exchanged + queuedTotal >= LOG_MIN_BYTES) {
      log.state("peer_traffic", {
        sent: Object.fromEntries(this.#sent),
        received: Object.fromEntries(this.#received),
        queuedBytes: queuedTotal,
        largestQueueBytes: Math.max(0, ...queued),
      });
    }
    this.#sent.clear();
    this.#received.clear();
  }
}

function total(values: Iterable<number>): number {
  let sum = 0;
  for (const value of values) sum += value;
  return sum;
}
