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

/** What the adapter needs of a node; set by {@link PropagationLinks.connect}. */
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
  closed: boolean;
  readonly release: Undo;
}

/**
 * Ports over links. The daemon passes streams that open with `config_pull` to {@link accept}.
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
  /** Payload bytes of log entries and snapshots taken in, for the benchmark. */
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
    const sub: Subscription = { stream: null, closed: false, release: this.#pool.keep(address) };
    this.#subscriptions.set(peer.key, sub);
    this.#pool.ready(address).then(
      (link) => this.#open(peer.key, sub, link, from),
      () => {
        this.#membership.recordUnreachable(peer.key);
        this.#lost(peer.key, sub);
      },
    );
  }

  unsubscribe(peer: string): void {
    const sub = this.#subscriptions.get(peer);
    if (sub === undefined) return;
    this.#subscriptions.delete(peer);
    sub.closed = true;
    sub.stream?.abort();
    sub.release();
  }

  push(child: number, msg: ConfigPush): boolean {
    const stream = this.#children.get(child);
    if (stream === undefined) return true;
    return stream.send(msg);
  }

  /** Offers just accepted entries to peers, without waiting for the store to tell them. */
  offer(peers: readonly PropagationMember[], push: ConfigPush): void {
    for (const peer of peers) {
      const address = parseAddress(peer.address);
      const release = this.#pool.keep(address);
      this.#pool.ready(address).then((link) => link.notify(push)).catch(() => {}).finally(release);
    }
  }

  /** Takes in an offer that came outside of a stream. */
  acceptOffer(push: ConfigPush): void {
    this.#node?.onOffer(push);
  }

  /** Handles a stream that a child opened. */
  accept(msg: ConfigPull, stream: LinkStream): StreamHandler {
    const child = this.#nextChild++;
    this.#children.set(child, stream);
    // The stream takes messages only after its handler is in place.
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

  #open(peer: string, sub: Subscription, link: Link, from: Revision): void {
    if (sub.closed) return;
    this.#membership.recordReachable(peer);
    sub.stream = link.openStream({ kind: "config_pull", from }, {
      onMessage: (msg) => this.#onMessage(peer, sub, msg),
      onClose: () => this.#lost(peer, sub),
    });
  }

  #onMessage(peer: string, sub: Subscription, msg: Message): void {
    if (sub.closed || msg.kind !== "config_push") return;
    this.receivedBytes += (msg.snapshot?.length ?? 0) +
      msg.entries.reduce((sum, e) => sum + e.length, 0);
    this.#node?.onPush(peer, msg);
  }

  #lost(peer: string, sub: Subscription): void {
    if (sub.closed) return;
    sub.closed = true;
    if (this.#subscriptions.get(peer) === sub) this.#subscriptions.delete(peer);
    sub.release();
    this.#node?.onPeerLost(peer);
  }
}
