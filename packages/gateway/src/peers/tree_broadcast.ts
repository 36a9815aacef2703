/**
 * Tells all gateways something along the spread tree, at a bounded rate.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";
import type { Message } from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { LinkedPeer, PeerGroup } from "./peer_group.ts";
import { childrenOf, MAX_SPREAD_HOPS } from "./spread_tree.ts";

/** A message that gateways pass on. */
type SpreadMessage = Extract<Message, { readonly origin: string; readonly hops: number }>;

/** Options of {@link TreeBroadcast}. */
export interface TreeBroadcastOptions {
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Names the news, so that each kind has its own order of gateways. */
  readonly subject: string;
  /** Protocol version from which on gateways understand the messages. */
  readonly sinceVersion: number;
  /** Largest number of messages that this gateway sends or passes on in a second, each to a few peers. */
  readonly maxPerSecond?: number;
}

const MAX_MESSAGES_PER_SECOND = 50;
/** Interval at which dropped messages are logged, in milliseconds. */
const DROP_LOG_INTERVAL_MS = 1_000;

/** Sends and passes on the messages of one subject. */
export class TreeBroadcast {
  readonly #options: Required<TreeBroadcastOptions>;
  #budget: number;
  #budgetAtMs: number;
  #dropped = 0;

  constructor(options: TreeBroadcastOptions) {
    const maxPerSecond = options.maxPerSecond ?? MAX_MESSAGES_PER_SECOND;
    this.#options = { ...options, maxPerSecond };
    this.#budget = maxPerSecond;
    this.#budgetAtMs = options.clock.now();
  }

  /** Whether a peer understands the messages. */
  understands({ protocolVersion }: LinkedPeer): boolean {
    return protocolVersion >= this.#options.sinceVersion;
  }

  /** Sends a message of this gateway, or passes on one that it has received, to those below it in the tree. */
  send(msg: SpreadMessage): void {
    const { network, subject } = this.#options;
    if (msg.hops > MAX_SPREAD_HOPS || !this.#takeBudget()) return;
    const order = network.orderOf(subject, (peer) => this.understands(peer));
    for (const child of childrenOf({ order, root: msg.origin, self: network.name })) {
      if (!network.isCongested(child)) network.send(child, msg);
    }
  }

  #takeBudget(): boolean {
    const { clock, maxPerSecond } = this.#options;
    const now = clock.now();
    const refill = (now - this.#budgetAtMs) * maxPerSecond / 1_000;
    this.#budget = Math.min(maxPerSecond, this.#budget + refill);
    this.#budgetAtMs = now;
    if (this.#budget >= 1) {
      this.#budget--;
      return true;
    }
    if (this.#dropped++ === 0) clock.setTimer(DROP_LOG_INTERVAL_MS, () => this.#logDropped());
    return false;
  }

  #logDropped(): void {
    const { log, subject } = this.#options;
    log.state("broadcast_dropped", { subject, messages: this.#dropped });
    this.#dropped = 0;
  }
}
