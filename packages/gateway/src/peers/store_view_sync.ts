/**
 * Synchronises store views within a region: one gateway reads the store, and passes each change, and that nothing
 * changed, on along a tree of gateways. Another gateway reads for itself as soon as its view is no longer fresh, so
 * that it misses its freshness bounds only while it cannot read.
 *
 * Load pattern: the number of store calls, idle watches included, grows with the number of gateways, while the rates
 * that the store allows do not.
 *
 * @module
 */
import type {
  Clock,
  DataCentreId,
  RegionId,
  SuspendAwareClock,
  Undo,
  WpError,
} from "@wisteriapick/core";
import type { ViewUpdate } from "@wisteriapick/wire";
import type { DecisionLog } from "../observe/decision_log.ts";
import { UnreadableObjects } from "../observe/unreadable_objects.ts";
import type { StoreOutage } from "../state/store_outage.ts";
import type { ReadMoment, StoreFollower } from "../state/store_follower.ts";
import type { KeyLease } from "../state/key_lease.ts";
import { isBefore, NO_POSITION, UNNAMED_ERA } from "../state/store_position.ts";
import {
  FOLLOWED_KINDS,
  type FollowedKind,
  type StoreView,
  type ViewUpdateReport,
} from "../state/store_view.ts";
import { ConfirmationExchange } from "./confirmation_exchange.ts";
import type { LinkedPeer, PeerGroup } from "./peer_group.ts";
import { childrenOf, MAX_SPREAD_HOPS, parentOf } from "./spread_tree.ts";
import type { ReceivedItemsOptions } from "./received_items.ts";
import { adoptEncodedConfigs, applyEncodedChanges } from "./view_changes.ts";
import { ViewPuller } from "./view_puller.ts";
import { ViewSender } from "./view_sender.ts";

/** Options of {@link StoreViewSync}. */
export interface StoreViewSyncOptions {
  readonly view: StoreView;
  readonly follower: StoreFollower;
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly dataCentre: DataCentreId;
  readonly regionOf: (dataCentre: DataCentreId) => RegionId | null;
  readonly elapsed: SuspendAwareClock;
  readonly keys: KeyLease;
}

/**
 * Time since a peer last confirmed a kind after which a gateway reads for itself. The reader's watch, its slack and a
 * read by this gateway must fit into the shortest freshness bound of the deployments: two seconds, for endpoints that
 * are leaving.
 */
const MAX_AGE_MS: Readonly<Record<FollowedKind, number>> = {
  config: 1_200,
  endpoints: 1_200,
  evacuations: 3_000,
  moves: 3_000,
};
/** Extra age per rank, so that the gateway with the lowest rank starts to read before the others do. */
const RANK_DELAY_MS = 100;
/** Highest rank that adds extra age; all gateways from this rank on start to read at the same age. */
const MAX_DELAYED_RANK = 5;
/** Shorter interruptions do not count as outages, as registrations outlive them. */
const MIN_OUTAGE_MS = 1_000;
/** Age up to which a read shows that this gateway reads the store now, in milliseconds. */
const OWN_READ_MS = 1_000;
/** Shortest time between two requests for what the parent in the tree has read, in milliseconds. */
const PARENT_REQUEST_INTERVAL_MS = 400;
/** Shortest time between two requests for a later version of the configuration, in milliseconds. */
const VERSION_REQUEST_INTERVAL_MS = 400;
/** Protocol version from which on gateways exchange views as updates along a tree. */
const UPDATES_SINCE_VERSION = 2;
/** Protocol version from which on gateways name the store's era, without which a restored store has no order. */
const ERAS_SINCE_VERSION = 5;
/** A confirmation is passed on if it is newer than the last one by more than the time it may have spent on links. */
const MIN_CONFIRMATION_STEP_MS = 100;

/** Most names of objects in one line of the log. */
const MAX_LOGGED_NAMES = 20;

/** What is known of how current a view is. */
interface Freshness {
  /** Name of the gateway that read it from the store. */
  readonly origin: string;
  /** Number of gateways that passed it on before it came here. */
  readonly hops: number;
  /** When the origin read it, by this gateway's monotonic clock. */
  readonly readAtMs: number;
}

/** Decides whether this gateway reads the store, and exchanges store views with peers. */
export class StoreViewSync {
  readonly #options: StoreViewSyncOptions;
  readonly #sender: ViewSender;
  readonly #puller: ViewPuller;
  readonly #confirmations: ConfirmationExchange;
  readonly #unreadable: UnreadableObjects;
  /** The most recent read of each kind, by this gateway or by a peer. */
  readonly #freshness = new Map<FollowedKind, Freshness>();
  /** When peers last read each kind. */
  readonly #peerReadAtMs = new Map<FollowedKind, number>();
  /** Stops the timers after which what was read is passed on. */
  readonly #stopPassing = new Map<FollowedKind, Undo>();
  readonly #undos: Undo[];
  #withoutEras: { readonly membershipVersion: number; readonly names: ReadonlySet<string> } | null =
    null;
  #parentAskedAtMs = -Infinity;
  #versionAskedAtMs = -Infinity;
  /** The peer whose update was applied last. */
  #updatingPeer: string | null = null;
  #uninformedSinceMs: number | null = null;
  #outageEndedAtMs = -Infinity;

  constructor(options: StoreViewSyncOptions) {
    this.#options = options;
    const { follower, network, view, clock, log } = options;
    this.#unreadable = new UnreadableObjects(log);
    this.#sender = new ViewSender({ view, network, originOf: (kind) => this.#originOf(kind) });
    this.#puller = new ViewPuller({
      network,
      clock,
      sources: () => this.#sources(),
      revisions: () => FOLLOWED_KINDS.map((kind) => ({ view: kind, ...view.kinds[kind].position })),
    });
    this.#confirmations = new ConfirmationExchange({
      view,
      network,
      elapsed: options.elapsed,
      lease: options.keys,
      order: () => this.#order(),
    });
    this.#undos = [
      follower.registerListener((kind, moment) => this.#onRead(kind, moment)),
      network.registerHandler("view_update", (peer, update) => this.#onUpdate(peer, update)),
      network.registerHandler("view_request", (peer, { revisions }) => {
        for (const { view: name, revision, era = UNNAMED_ERA } of revisions) {
          const kind = kindOf(name);
          if (kind === null) continue;
          this.#sender.answer(peer, kind, { era, revision });
          if (kind === "config") this.#confirmations.sendTo(peer);
        }
      }),
      ...FOLLOWED_KINDS.map((kind) =>
        view.kinds[kind].registerListener((change) => {
          if (change.isRestored) this.#logRestored(kind, change);
          if (change.retained.length > 0) this.#logRetained(kind, change);
        })
      ),
      () => this.#sender.close(),
      () => this.#confirmations.close(),
    ];
  }

  /** Decides whether this gateway reads the store for itself. Called each tick. */
  tick(): void {
    const { follower, clock, network } = this.#options;
    const now = clock.now();
    const order = this.#order();
    const rank = order.indexOf(network.name);
    const { needsRenewal } = this.#options.keys;
    const isFresh = this.#isFresh(now, rank) && !needsRenewal;
    follower.setSuspended(isFresh && rank > 0);
    this.#trackInformed(isFresh || follower.reachable, now);
    if (!this.isInformed || needsRenewal) return this.#puller.tick();
    this.#puller.reset();
    if (!isFresh && this.#hasReadRecently(now)) this.#askParent(parentOf(order, rank), now);
  }

  /** Whether the content of the store is known here, from this gateway's own reads or from peers. */
  get isInformed(): boolean {
    return this.#uninformedSinceMs === null;
  }

  /** Whether the content of the store has been unknown long enough for an outage, and when the last outage ended. */
  get outage(): StoreOutage {
    const isDown = this.#uninformedSinceMs !== null &&
      this.#options.clock.now() - this.#uninformedSinceMs >= MIN_OUTAGE_MS;
    return { isDown, endedAtMs: this.#outageEndedAtMs };
  }

  close(): void {
    for (const undo of [...this.#undos, ...this.#stopPassing.values()]) undo();
  }

  #logRestored(kind: FollowedKind, { source, removed }: ViewUpdateReport): void {
    const { view, log } = this.#options;
    log.state("store_restored", {
      kind,
      ...view.kinds[kind].position,
      source: source === "peer" ? this.#updatingPeer : source,
      removed: removed.slice(0, MAX_LOGGED_NAMES),
    });
  }

  /** The store, or a peer, has an earlier version of the configuration than the one in force. */
  #logRetained(kind: FollowedKind, { source, retained }: ViewUpdateReport): void {
    const { view, log } = this.#options;
    log.state("config_older_than_in_force", {
      ...view.kinds[kind].position,
      version: view.configVersion,
      source: source === "peer" ? this.#updatingPeer : source,
      names: retained.slice(0, MAX_LOGGED_NAMES),
    });
  }

  #trackInformed(isInformed: boolean, now: number): void {
    const since = this.#uninformedSinceMs;
    if (isInformed === (since === null)) return;
    this.#uninformedSinceMs = isInformed ? null : now;
    if (since !== null && now - since >= MIN_OUTAGE_MS) this.#outageEndedAtMs = now;
    this.#options.log.state(isInformed ? "store_content_known" : "store_content_unknown", {});
  }

  /** Whether this gateway has read some kind for itself in the last moment. */
  #hasReadRecently(now: number): boolean {
    const { name } = this.#options.network;
    return [...this.#freshness.values()].some(({ origin, readAtMs }) =>
      origin === name && now - readAtMs < OWN_READ_MS
    );
  }

  /** Whether peers have confirmed every kind recently. */
  #isFresh(now: number, rank: number): boolean {
    const rankDelayMs = RANK_DELAY_MS * Math.min(rank, MAX_DELAYED_RANK);
    const { intervalFactor } = this.#options.keys;
    return FOLLOWED_KINDS.every((kind) => {
      const age = now - (this.#peerReadAtMs.get(kind) ?? -Infinity);
      const factor = kind === "config" ? intervalFactor : 1;
      return age < factor * (MAX_AGE_MS[kind] + rankDelayMs);
    });
  }

  /**
   * Asks the gateway from which confirmations will come for what it has read, rather than read for as long as the reader's
   * longest watch takes. After a start or an outage, all gateways read at once.
   */
  #askParent(parent: string | null, now: number): void {
    if (parent === null || now - this.#parentAskedAtMs < PARENT_REQUEST_INTERVAL_MS) return;
    this.#parentAskedAtMs = now;
    const { network, view } = this.#options;
    const revisions = FOLLOWED_KINDS
      .filter((kind) => view.kinds[kind].known)
      .map((kind) => ({ view: kind, ...view.kinds[kind].position }));
    network.send(parent, { kind: "view_request", revisions });
  }

  /** The gateways of this region that exchange updates; the first one reads the store. */
  #order(): readonly string[] {
    const { network, dataCentre, regionOf, view } = this.#options;
    const region = regionOf(dataCentre);
    const among = (peer: LinkedPeer) =>
      regionOf(peer.dataCentre) === region && peer.protocolVersion >= UPDATES_SINCE_VERSION;
    const order = network.orderOf(`store/${region}`, among);
    if (view.kinds.config.era === UNNAMED_ERA) return order;
    const unable = this.#gatewaysWithoutEras();
    return unable.size === 0 ? order : order.filter((name) => !unable.has(name));
  }

  /** Linked gateways of earlier releases, whose updates name no era. */
  #gatewaysWithoutEras(): ReadonlySet<string> {
    const { network } = this.#options;
    if (this.#withoutEras?.membershipVersion !== network.membershipVersion) {
      const unable = network.linked().filter((peer) => peer.protocolVersion < ERAS_SINCE_VERSION);
      this.#withoutEras = {
        membershipVersion: network.membershipVersion,
        names: new Set(unable.map(({ name }) => name)),
      };
    }
    return this.#withoutEras.names;
  }

  /** The other gateways, beginning with the next one in the order, so that gateways do not all ask the same one. */
  #sources(): string[] {
    const order = this.#order();
    const own = order.indexOf(this.#options.network.name);
    return [...order.slice(own + 1), ...order.slice(0, own)];
  }

  #originOf(kind: FollowedKind) {
    const { clock, network } = this.#options;
    const freshness = this.#freshness.get(kind);
    if (freshness === undefined) return { origin: network.name, hops: 0, ageMs: null };
    const { origin, hops, readAtMs } = freshness;
    return { origin, hops, ageMs: clock.now() - readAtMs };
  }

  #onRead(kind: FollowedKind, { askedAtMs, isComplete }: ReadMoment): void {
    const { clock, network } = this.#options;
    if (!isComplete) return;
    if (kind === "config") this.#confirmations.recordRead(askedAtMs);
    this.#freshness.set(kind, { origin: network.name, hops: 0, readAtMs: clock.now() });
    // Encoding a large change takes as long as decoding it, so streams get a turn in between.
    this.#stopPassing.get(kind)?.();
    this.#stopPassing.set(kind, clock.setTimer(0, () => this.#passOn(kind)));
  }

  /** Passes a view on to the gateways below this one. */
  #passOn(kind: FollowedKind): void {
    const { network } = this.#options;
    const { origin, hops } = this.#originOf(kind);
    if (hops >= MAX_SPREAD_HOPS) return;
    const children = childrenOf({ order: this.#order(), root: origin, self: network.name });
    for (const child of children) this.#sender.offer(child, kind);
  }

  #onUpdate(peer: string, update: Omit<ViewUpdate, "kind">): void {
    const { view, network, log } = this.#options;
    const { era = UNNAMED_ERA, revision, from } = update;
    const kind = kindOf(update.view);
    if (kind === null) return;
    if (kind === "config") this.#announceLaterConfig(peer, update);
    const current = view.kinds[kind];
    const position = { era, revision };
    const before = current.known ? current.position : NO_POSITION;
    const isNewer = isBefore(before, position);
    this.#puller.recordAnswer(peer, isNewer);
    // An older view does not confirm this one, and a peer without a view has nothing to say.
    if (isBefore(position, before) || revision === 0) {
      if (kind === "config") this.#adoptConfig(peer, update);
      return;
    }
    const isSameEra = era === before.era;
    this.#updatingPeer = peer;
    const versionBefore = view.configVersion;
    const hasBase = from === 0 || (isSameEra && from <= before.revision);
    const isApplied = hasBase &&
      applyEncodedChanges(current as never, position, update, this.#receivedItems(kind, peer));
    if (!isApplied) {
      // Without the base of a patch, only the whole content helps.
      const known = hasBase || !isSameEra ? 0 : before.revision;
      network.send(peer, {
        kind: "view_request",
        revisions: [{ view: kind, era, revision: known }],
      });
      log.state("view_requested", { peer, kind, from, ...position, known: before });
      return;
    }
    const isConfigLater = view.configVersion !== versionBefore;
    if (this.#recordFreshness(kind, update) || isNewer || isConfigLater) this.#passOn(kind);
    if (kind !== "config") return;
    this.#requestLaterConfig(peer, update);
    this.#confirmations.onViewChanged();
  }

  /** Takes a later version of the configuration from a peer whose view is of an earlier position. */
  #adoptConfig(peer: string, update: Omit<ViewUpdate, "kind">): void {
    const { view } = this.#options;
    const known = view.configVersion;
    if (update.from === 0) {
      adoptEncodedConfigs(view.kinds.config, update, this.#receivedItems("config", peer));
    }
    if (view.configVersion !== known) this.#passOn("config");
    else this.#requestLaterConfig(peer, update);
  }

  /**
   * Asks a peer for its whole configuration if its version is later than the one here. A gateway that has read the
   * restored store alone lacks what the store lost, at the same position as those that knew it before.
   */
  #requestLaterConfig(
    peer: string,
    { version, era = UNNAMED_ERA }: Omit<ViewUpdate, "kind">,
  ): void {
    const { view, network, log, clock } = this.#options;
    const known = view.configVersion;
    if (version === undefined || known === null || version <= known) return;
    const now = clock.now();
    if (now - this.#versionAskedAtMs < VERSION_REQUEST_INTERVAL_MS) return;
    this.#versionAskedAtMs = now;
    network.send(peer, { kind: "view_request", revisions: [{ view: "config", era, revision: 0 }] });
    log.state("config_requested", { peer, version, known });
  }

  /**
   * Tells a peer that the configuration here is of a later version, so that it asks for it. The gateway that reads for
   * all gets no updates, and may have read the restored store alone.
   */
  #announceLaterConfig(peer: string, { version }: Omit<ViewUpdate, "kind">): void {
    const known = this.#options.view.configVersion;
    if (version !== undefined && known !== null && version < known) {
      this.#sender.offer(peer, "config");
    }
  }

  /** How the objects in a peer's update are read. */
  #receivedItems<K extends FollowedKind>(kind: K, peer: string): ReceivedItemsOptions<K> {
    const onUnreadable = (name: string, err: WpError) =>
      this.#unreadable.record({ kind, name, peer, err });
    return { kind, onUnreadable };
  }

  /** Records who has confirmed a view and when. Returns whether the confirmation is newer than the last one. */
  #recordFreshness(
    kind: FollowedKind,
    { origin, hops, ageMs }: Pick<ViewUpdate, "origin" | "hops" | "ageMs">,
  ): boolean {
    if (ageMs === null) return false;
    const readAtMs = this.#options.clock.now() - ageMs;
    this.#peerReadAtMs.set(kind, Math.max(readAtMs, this.#peerReadAtMs.get(kind) ?? -Infinity));
    const last = this.#freshness.get(kind)?.readAtMs ?? -Infinity;
    if (readAtMs <= last + MIN_CONFIRMATION_STEP_MS) return false;
    this.#freshness.set(kind, { origin, hops: hops + 1, readAtMs });
    return true;
  }
}

function kindOf(name: string): FollowedKind | null {
  return FOLLOWED_KINDS.find((kind) => kind === name) ?? null;
}
