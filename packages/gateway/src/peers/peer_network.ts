/**
 * Links between gateways. Each gateway keeps a link to every other gateway that it knows from its settings, from the
 * store or from its peers.
 *
 * @module
 */
import {
  type Clock,
  type DataCentreId,
  hostId,
  processId,
  type Rng,
  toWpError,
  type Undo,
} from "@wisteriapick/core";
import { GatewayCensus, OverloadedHosts } from "@wisteriapick/policy";
import {
  type Address,
  formatAddress,
  type GatewayAddress,
  type Identity,
  type Link,
  type LinkAcceptor,
  type LinkListener,
  LinkPool,
  listenLinks,
  type Message,
  parseRemoteAddress,
} from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import { ErrorBoundary } from "../observe/error_boundary.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import { PeerTraffic } from "../observe/peer_traffic.ts";
import { GatewayExchange } from "./gateway_exchange.ts";
import { type LinkedPeer, PeerGroup, type PeerHandler } from "./peer_group.ts";

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions {
  readonly name: string;
  /** Address to listen on; `address` unless given. */
  readonly listenAddress?: Address;
  /** Address under which other gateways reach this one. */
  readonly address: Address;
  readonly dataCentre: DataCentreId;
  /** Processor cores that this gateway may use. */
  readonly processorShare: number;
  /** Bandwidth of this gateway's link; `null` if unknown. */
  readonly linkMbps: number | null;
  /** Connections from peers whose handshake is not complete; as without a limit of descriptors by default. */
  readonly maxPendingHandshakes?: number;
  /** Secret shared by all gateways of a deployment. */
  readonly clusterKey: string;
  readonly seeds: readonly Address[];
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Contains errors in the handling of one message or link; one with the log and the metrics above by default. */
  readonly errors?: ErrorBoundary;
}

/** Longest pause between connection attempts, so that a peer that returns is found within a second. */
const RECONNECT_MAX_MS = 1_000;
/** Time after which the gateway with the greater address dials, if the other one has not connected by then. */
const DIAL_FALLBACK_DELAY_MS = 600;
/** Bytes waiting on a link from which messages with state wait. At 10 Mbit/s, this much is sent in 50 ms. */
const CONGESTED_BYTES = 65_536;
/** Time without a link after which a peer no longer counts as one that this gateway reaches. */
const MEMBER_TTL_MS = 20_000;

/** Largest number of gateways with an unusable name or address that are logged. */
const MAX_UNUSABLE_LOGGED = 64;

/** Protocol version from which on gateways exchange digests instead of whole lists. */
const DIGESTS_SINCE_VERSION = 2;
/** Protocol version from which on gateways announce that they take new streams, not only that they do not. */
const LOADS_SINCE_VERSION = 6;

interface Peer {
  readonly links: Set<Link>;
  address: string | null;
  lastLinkedMs: number;
}

/** A peer group over links between gateway processes. */
export class PeerNetwork extends PeerGroup {
  readonly #options: PeerNetworkOptions;
  readonly #errors: ErrorBoundary;
  readonly #pool: LinkPool;
  readonly #acceptor: LinkAcceptor;
  readonly #identity: Identity;
  readonly #traffic: PeerTraffic;
  readonly #exchange: GatewayExchange;
  readonly #peers = new Map<string, Peer>();
  /** Addresses that this gateway dials now or will dial after the fallback delay, with how to stop. */
  readonly #dialled = new Map<string, Undo>();
  readonly #stopping = new Set<string>();
  readonly #census = new GatewayCensus();
  readonly #overloaded = new OverloadedHosts();
  readonly #known = new Map<string, GatewayAddress>();
  readonly #handlers = new Map<string, PeerHandler<Message["kind"]>>();
  readonly #roomListeners = new Set<(peer: string) => void>();
  /** Names of gateways that cannot exist, which were logged. */
  readonly #unusable = new Set<string>();
  #upListeners: readonly ((peer: string) => void)[] = [];
  #downListeners: readonly ((peer: string) => void)[] = [];
  #listener: LinkListener | null = null;
  #closed = false;
  #isStopping = false;
  /** Whether this gateway is too slow for new streams; `null` until it has announced that. */
  #isOverloaded: boolean | null = null;
  #membershipVersion = 0;
  readonly #stops: Undo[] = [];

  constructor(options: PeerNetworkOptions) {
    super();
    this.#options = options;
    const { name, dataCentre, clusterKey, clock, rng, log, metrics } = options;
    const { errors = new ErrorBoundary({ log, clock, metrics }) } = options;
    this.#errors = errors;
    const incarnation = Math.floor(rng.next() * 2 ** 32).toString(16);
    this.#identity = {
      role: "entry",
      process: processId(`${name}.${incarnation}`),
      host: hostId(name),
      dataCentre,
    };
    this.#acceptor = {
      onStream: () => ({ onMessage: () => {}, onClose: () => {} }),
      onNotify: (link, msg) => this.#onMessage(link, msg),
      onLink: (link) => errors.run("peer_link", () => this.#onLink(link), () => link.close()),
      onDrain: (link) => this.#onDrain(link),
    };
    this.#traffic = new PeerTraffic({
      clock,
      log,
      metrics,
      queuedBytes: () => this.#links().map((link) => link.queuedBytes),
    });
    this.#pool = new LinkPool({
      identity: this.#identity,
      clusterKey,
      acceptor: this.#acceptor,
      clock,
      traffic: this.#traffic,
      rng: rng.fork("links"),
      backoffMaxMs: RECONNECT_MAX_MS,
    });
    this.#exchange = new GatewayExchange({
      clock,
      rng: rng.fork("gateways"),
      known: () => [this.#self(), ...this.#known.values()],
      peers: () =>
        this.linked()
          .filter(({ protocolVersion }) => protocolVersion >= DIGESTS_SINCE_VERSION)
          .map((peer) => peer.name),
      send: (peer, msg) => this.send(peer, msg),
    });
    this.registerHandler("gateways", (_peer, { gateways }) => this.addGateways(gateways));
    this.registerHandler(
      "gateways_digest",
      (peer, { digest }) => this.#exchange.onDigest(peer, digest),
    );
    this.registerHandler("gateways_request", (peer) => this.#exchange.onRequest(peer));
    this.registerHandler("gateway_stopping", (peer) => {
      this.#stopping.add(peer);
      this.#census.recordStop(peer, clock.now());
    });
    this.registerHandler("gateway_overload", (peer, { isOverloaded }) => {
      this.#overloaded.record(peer, isOverloaded, clock.now());
    });
  }

  async start(): Promise<void> {
    const { address, listenAddress = address, clusterKey, clock, seeds, maxPendingHandshakes } =
      this.#options;
    const listener = await listenLinks({
      address: listenAddress,
      identity: this.#identity,
      clusterKey,
      acceptor: this.#acceptor,
      clock,
      traffic: this.#traffic,
      maxPendingHandshakes,
    });
    if (this.#closed) return await listener.close();
    this.#listener = listener;
    this.#stops.push(this.#traffic.start(), this.#exchange.start());
    for (const seed of seeds) this.#dial(seed);
  }

  async stop(): Promise<void> {
    this.#closed = true;
    for (const stop of this.#stops) stop();
    for (const undo of this.#dialled.values()) undo();
    this.#pool.close();
    await this.#listener?.close();
  }

  override get name(): string {
    return this.#options.name;
  }

  override get processorShare(): number {
    return this.#options.processorShare;
  }

  override get membershipVersion(): number {
    return this.#membershipVersion;
  }

  override get linkMbps(): number | null {
    return this.#options.linkMbps;
  }

  override linked(): LinkedPeer[] {
    const linked: LinkedPeer[] = [];
    for (const [name, { links }] of this.#peers) {
      const [link] = links;
      if (link === undefined) continue;
      const { processorShare = null, linkMbps = null } = this.#known.get(name) ?? {};
      linked.push({
        name,
        dataCentre: link.peer.dataCentre,
        processorShare,
        linkMbps,
        protocolVersion: link.version,
      });
    }
    return linked;
  }

  /** Notifies peers that this gateway is stopping, those that are linked later too. */
  announceStop(): void {
    this.#isStopping = true;
    this.broadcast({ kind: "gateway_stopping" });
  }

  /** Peers that are linked and have not announced that they are stopping. */
  servingPeers(): LinkedPeer[] {
    return this.linked().filter(({ name }) => !this.#stopping.has(name));
  }

  /** Notifies peers whether this gateway is too slow for new streams, those that are linked later too. */
  announceOverload(isOverloaded: boolean): void {
    if (isOverloaded === this.#isOverloaded) return;
    this.#isOverloaded = isOverloaded;
    this.broadcast({ kind: "gateway_overload", isOverloaded });
  }

  /**
   * Number of serving peers, and how many of them are or just were too slow for new streams. One that has not announced
   * how it is counts as too slow: a link alone does not show that it has begun to serve.
   */
  overloadCounts(): { readonly total: number; readonly overloaded: number } {
    const now = this.#options.clock.now();
    const serving = this.servingPeers();
    const overloaded =
      serving.filter(({ name, protocolVersion }) =>
        this.#overloaded.has(name, now) ||
        (protocolVersion >= LOADS_SINCE_VERSION && !this.#overloaded.isKnown(name))
      ).length;
    return { total: serving.length, overloaded };
  }

  /** Number of gateways that are or were just reached, including this one. */
  memberCount(): number {
    const oldest = this.#options.clock.now() - MEMBER_TTL_MS;
    let count = 1;
    for (const peer of this.#peers.values()) {
      if (peer.links.size > 0 || peer.lastLinkedMs >= oldest) count++;
    }
    // Until the first links are open, only the seeds are known.
    return Math.max(count, this.#options.seeds.length);
  }

  /**
   * Number of gateways among which limits that must not be exceeded are divided, this one included: all that were known
   * lately, as those without a link may be serving behind a partition. `null` if no other is known yet, though the
   * settings name some.
   */
  sharingCount(): number | null {
    const { clock, seeds, address } = this.#options;
    const own = formatAddress(address);
    const hasOthers = seeds.some((seed) => formatAddress(seed) !== own);
    if (hasOthers && !this.#census.hasSeenAny) return null;
    const now = clock.now();
    for (const [name, { links }] of this.#peers) {
      if (links.size > 0 && !this.#stopping.has(name)) this.#census.recordSeen(name, now);
    }
    return Math.max(this.#census.count(now) + 1, seeds.length);
  }

  /** Adds or updates gateways that peers or the store know, and dials them. */
  addGateways(gateways: readonly GatewayAddress[]): void {
    const details = { part: "gateways" };
    for (const gateway of gateways) {
      this.#errors.run("peer_link", () => this.#addGateway(gateway), undefined, details);
    }
  }

  #addGateway(gateway: GatewayAddress): void {
    if (gateway.name === this.#options.name || !this.#isUsable(gateway)) return;
    this.#census.recordNamed(gateway.name, this.#options.clock.now());
    this.#membershipVersion++;
    const known = this.#known.get(gateway.name);
    this.#known.set(gateway.name, {
      ...gateway,
      processorShare: gateway.processorShare ?? known?.processorShare ?? null,
      linkMbps: gateway.linkMbps ?? known?.linkMbps ?? null,
    });
    const peer = this.#peers.get(gateway.name);
    if (peer !== undefined) peer.address = formatAddress(gateway);
    this.#dial(gateway);
  }

  /** Whether another gateway can have a name and an address. */
  #isUsable(gateway: GatewayAddress): boolean {
    try {
      hostId(gateway.name);
      parseRemoteAddress(formatAddress(gateway));
      return true;
    } catch (e) {
      // Peers repeat what they know in each list.
      if (this.#unusable.size < MAX_UNUSABLE_LOGGED && !this.#unusable.has(gateway.name)) {
        this.#unusable.add(gateway.name);
        this.#options.log.state("gateway_unusable", { err: toWpError(e) });
      }
      return false;
    }
  }

  override send(peer: string, msg: Message): boolean {
    const link = this.#linkTo(peer);
    if (link === undefined) return false;
    let isSent = false;
    // A message that exceeds a frame cannot be sent.
    const notify = () => {
      link.notify(msg);
      isSent = true;
    };
    this.#errors.run("peer_message", notify, undefined, {
      peer,
      message: msg.kind,
      isSending: true,
    });
    return isSent;
  }

  override isCongested(peer: string): boolean {
    return (this.#linkTo(peer)?.queuedBytes ?? 0) >= CONGESTED_BYTES;
  }

  /** Bytes that wait to be sent to other gateways. */
  get queuedBytes(): number {
    return this.#links().reduce((sum, link) => sum + link.queuedBytes, 0);
  }

  /** Number of open connections of other gateways, those whose handshake is not complete included. */
  get connectionCount(): number {
    let count = this.#listener?.pending ?? 0;
    for (const { links } of this.#peers.values()) count += links.size;
    return count;
  }

  override registerRoom(fn: (peer: string) => void): Undo {
    this.#roomListeners.add(fn);
    return () => void this.#roomListeners.delete(fn);
  }

  override registerHandler<K extends Message["kind"]>(kind: K, handler: PeerHandler<K>): Undo {
    this.#handlers.set(kind, handler as unknown as PeerHandler<Message["kind"]>);
    return () => void this.#handlers.delete(kind);
  }

  override registerUp(fn: (peer: string) => void): Undo {
    this.#upListeners = [...this.#upListeners, fn];
    return () => {
      this.#upListeners = this.#upListeners.filter((l) => l !== fn);
    };
  }

  override registerDown(fn: (peer: string) => void): Undo {
    this.#downListeners = [...this.#downListeners, fn];
    return () => {
      this.#downListeners = this.#downListeners.filter((l) => l !== fn);
    };
  }

  /** Of two gateways, the one with the smaller address dials. The other dials after a delay if it is not linked. */
  #dial(address: Address): void {
    const key = formatAddress(address);
    const own = formatAddress(this.#options.address);
    if (key === own || this.#dialled.has(key) || this.#closed) return;
    if (own < key) {
      this.#dialled.set(key, this.#pool.keep(address));
      return;
    }
    const undo = this.#options.clock.setTimer(DIAL_FALLBACK_DELAY_MS, () => {
      const isLinked = [...this.#peers.values()].some((p) => p.address === key && p.links.size > 0);
      if (isLinked) this.#dialled.delete(key);
      else this.#dialled.set(key, this.#pool.keep(address));
    });
    this.#dialled.set(key, undo);
  }

  #onLink(link: Link): void {
    const name = link.peer.host as string;
    if (name === this.#options.name) return link.close();
    const peer = this.#peerOf(name);
    const wasLinked = peer.links.size > 0;
    peer.links.add(link);
    this.#membershipVersion++;
    peer.lastLinkedMs = this.#options.clock.now();
    link.registerCloseListener((err) => this.#onLinkClosed(name, link, err.message));
    const hasDigests = link.version >= DIGESTS_SINCE_VERSION;
    const others = hasDigests ? [] : this.#known.values();
    link.notify({ kind: "gateways", gateways: [this.#self(), ...others] });
    if (hasDigests) this.#exchange.announce(name);
    if (this.#isStopping) link.notify({ kind: "gateway_stopping" });
    if (this.#isOverloaded !== null) {
      link.notify({ kind: "gateway_overload", isOverloaded: this.#isOverloaded });
    }
    if (wasLinked) return;
    // The first link after a loss may lead to a new process with the same name.
    this.#stopping.delete(name);
    this.#overloaded.forget(name);
    this.#census.recordSeen(name, this.#options.clock.now());
    this.#options.log.state("peer_linked", { peer: name, process: link.peer.process });
    this.#tell(this.#upListeners, name);
  }

  #self(): GatewayAddress {
    const { name, address, dataCentre, processorShare, linkMbps } = this.#options;
    return { name, ...address, dataCentre, processorShare, linkMbps };
  }

  #onLinkClosed(name: string, link: Link, reason: string): void {
    const peer = this.#peerOf(name);
    if (!peer.links.delete(link)) return;
    this.#membershipVersion++;
    if (peer.links.size > 0) return;
    peer.lastLinkedMs = this.#options.clock.now();
    if (this.#closed) return;
    this.#options.log.state("peer_lost", { peer: name, reason, queuedBytes: link.queuedBytes });
    this.#tell(this.#downListeners, name);
    const gateway = this.#known.get(name);
    if (gateway !== undefined) this.#dial(gateway);
  }

  #onDrain(link: Link): void {
    this.#tell([...this.#roomListeners], link.peer.host as string);
  }

  /** Calls each listener, also after one that has failed. */
  #tell(listeners: readonly ((peer: string) => void)[], peer: string): void {
    for (const listener of listeners) {
      this.#errors.run("peer_link", () => listener(peer), undefined, { peer });
    }
  }

  #linkTo(peer: string): Link | undefined {
    return [...this.#peers.get(peer)?.links ?? []].find((l) => l.open);
  }

  #onMessage(link: Link, msg: Message): void {
    const handler = this.#handlers.get(msg.kind);
    if (handler === undefined) return;
    const peer = link.peer.host as string;
    // One bad message must not close the link; the peer sends important state again.
    const details = { peer, message: msg.kind };
    this.#errors.run("peer_message", () => handler(peer, msg as never), undefined, details);
  }

  #links(): Link[] {
    return [...this.#peers.values()].flatMap(({ links }) => [...links]);
  }

  #peerOf(name: string): Peer {
    let peer = this.#peers.get(name);
    if (peer === undefined) {
      const known = this.#known.get(name);
      peer = {
        links: new Set(),
        address: known === undefined ? null : formatAddress(known),
        lastLinkedMs: this.#options.clock.now(),
      };
      this.#peers.set(name, peer);
    }
    return peer;
  }
}
