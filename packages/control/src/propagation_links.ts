/**
 * Connects a {@link PropagationNode} to links.
 *
 * @module
 */
import type { Revision, Undo } from "@wisteriapick/core";
import {
  type ConfigPull,
  type ConfigPush,
  type Link,
  type LinkPool,
  type LinkStream,
  type Message,
  parseAddress,
  type StreamHandler,
} from "@wisteriapick/wire";
import type { Membership } from "./membership.ts";
import type { PropagationDependencies } from "./propagation_node.ts";
import type { PropagationMember } from "./tree.ts";

/** Events that the links report to a node, which {@link PropagationLinks.connect} sets. */
export interface PropagationHandler {
  onPush(peer: string, push: ConfigPush): void;
  onPeerLost(peer: string): void;
  onPull(child: number, from: Revision): void;
  onChildLost(child: number): void;
  onChildDrained(child: number): void;
  onOffer(push: ConfigPush): void;
}

interface Subscription {
  stream: LinkStream | null;
  isClosed: boolean;
  readonly release: Undo;
}

/**
 * Subscriptions and children over links. The daemon passes each stream that opens with `config_pull` to
 * {@link accept}.
 *
 * @example
 * ```ts
 * const links = new PropagationLinks(pool, membership);
 * const node = new PropagationNode({ self, clock, rng, dependencies: links });
 * links.connect(node);
 * ```
 */
export class PropagationLinks implements PropagationDependencies {
  readonly #pool: LinkPool;
  readonly #membership: Membership;
  readonly #subscriptions = new Map<string, Subscription>();
  readonly #children = new Map<number, LinkStream>();
  #node: PropagationHandler | null = null;
  #nextChild = 1;
  /** Payload bytes of log entries and snapshots received, for the benchmark. */
  receivedBytes = 0;

  constructor(pool: LinkPool, membership: Membership) {
    this.#pool = pool;
    this.#membership = membership;
  }

  connect(node: PropagationHandler): void {
    this.#node = node;
  }

  /** Ends every subscription and stream. */
  close(): void {
    for (const key of [...this.#subscriptions.keys()]) this.unsubscribe(key);
    for (const stream of this.#children.values()) stream.abort();
    this.#children.clear();
  }

  subscribe(peer: PropagationMember, from: Revision): void {
    this.unsubscribe(peer.key);
    const address = parseAddress(peer.address);
    const subscription: Subscription = {
      stream: null,
      isClosed: false,
      release: this.#pool.keep(address),
    };
    this.#subscriptions.set(peer.key, subscription);
    this.#pool.ready(address).then(
      (link) => this.#open(peer.key, subscription, link, from),
      () => {
        this.#membership.recordUnreachable(peer.key);
        this.#lost(peer.key, subscription);
      },
    );
  }

  unsubscribe(peer: string): void {
    const subscription = this.#subscriptions.get(peer);
    if (subscription === undefined) return;
    this.#subscriptions.delete(peer);
    subscription.isClosed = true;
    subscription.stream?.abort();
    subscription.release();
  }

  push(child: number, msg: ConfigPush): boolean {
    const stream = this.#children.get(child);
    if (stream === undefined) return true;
    return stream.send(msg);
  }

  /** Sends newly accepted entries to peers, so that they need not wait for the store. */
  offer(peers: readonly PropagationMember[], push: ConfigPush): void {
    for (const peer of peers) {
      const address = parseAddress(peer.address);
      const release = this.#pool.keep(address);
      this.#pool.ready(address).then((link) => link.notify(push)).catch(() => {}).finally(release);
    }
  }

  /** Handles an offer, which arrives as a notification outside of any stream. */
  acceptOffer(push: ConfigPush): void {
    this.#node?.onOffer(push);
  }

  /** Handles a stream that a child opened. */
  accept(msg: ConfigPull, stream: LinkStream): StreamHandler {
    const child = this.#nextChild++;
    this.#children.set(child, stream);
    // The stream can send only after its handler, the return value, is installed.
    queueMicrotask(() => this.#node?.onPull(child, msg.from));
    return {
      onMessage: () => {},
      onClose: () => {
        this.#children.delete(child);
        this.#node?.onChildLost(child);
      },
      onDrain: () => this.#node?.onChildDrained(child),
    };
  }

  #open(peer: string, subscription: Subscription, link: Link, from: Revision): void {
    if (subscription.isClosed) return;
    this.#membership.recordReachable(peer);
    subscription.stream = link.openStream({ kind: "config_pull", from }, {
      onMessage: (msg) => this.#onMessage(peer, subscription, msg),
      onClose: () => this.#lost(peer, subscription),
    });
  }

  #onMessage(peer: string, subscription: Subscription, msg: Message): void {
    if (subscription.isClosed || msg.kind !== "config_push") return;
    this.receivedBytes += (msg.snapshot?.length ?? 0) +
      msg.entries.reduce((sum, e) => sum + e.length, 0);
    this.#node?.onPush(peer, msg);
  }

  #lost(peer: string, subscription: Subscription): void {
    if (subscription.isClosed) return;
    subscription.isClosed = true;
    if (this.#subscriptions.get(peer) === subscription) this.#subscriptions.delete(peer);
    subscription.release();
    this.#node?.onPeerLost(peer);
  }
}
