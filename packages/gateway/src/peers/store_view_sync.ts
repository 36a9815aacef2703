/**
 * Synchronises store views within a region: one gateway reads the store and broadcasts each change, and that nothing
 * changed. Another gateway reads for itself as soon as its view is no longer fresh, so that it misses its freshness
 * bounds only while it cannot read.
 *
 * Load pattern: the number of store calls, idle watches included, grows with the number of gateways, while the rates
 * that the store allows do not.
 *
 * @module
 */
import type { Clock, DataCentreId, RegionId, Undo } from "@wisteriapick/core";
import { Decoder, Encoder } from "cbor-x";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { StoreOutage } from "../state/fleet.ts";
import type { StoreFollower } from "../state/store_follower.ts";
import {
  FOLLOWED_KINDS,
  type FollowedKind,
  type StoreView,
  type ViewEvent,
  type ViewItem,
} from "../state/store_view.ts";
import type { PeerGroup } from "./peer_group.ts";

/** Options of {@link StoreViewSync}. */
export interface StoreViewSyncOptions {
  readonly view: StoreView;
  readonly follower: StoreFollower;
  readonly network: PeerGroup;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly dataCentre: DataCentreId;
  readonly regionOf: (dataCentre: DataCentreId) => RegionId | null;
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
/** Interval at which a gateway that has no current view and cannot read requests the views of its peers. */
const PULL_INTERVAL_MS = 200;

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Decides whether this gateway reads the store, and exchanges store views with peers. */
export class StoreViewSync {
  readonly #options: StoreViewSyncOptions;
  readonly #freshAtMs = new Map<FollowedKind, number>();
  readonly #undos: Undo[];
  #lastPullMs = -Infinity;
  #uninformedSinceMs: number | null = null;
  #outageEndedAtMs = -Infinity;

  constructor(options: StoreViewSyncOptions) {
    this.#options = options;
    const { follower, network } = options;
    this.#undos = [
      follower.registerListener((kind, from) => this.#onRead(kind, from)),
      network.registerHandler("view_changes", (peer, msg) => {
        const kind = kindOf(msg.view);
        if (kind !== null) this.#onChanges(peer, kind, msg.from, msg.revision, msg.events);
      }),
      network.registerHandler("view_pull", (peer, { revisions }) => {
        for (const { view, revision } of revisions) {
          const kind = kindOf(view);
          if (kind !== null) this.#onPull(peer, kind, revision);
        }
      }),
      network.registerHandler("view_state", (peer, { view, revision, items }) => {
        const kind = kindOf(view);
        if (kind !== null) this.#onState(peer, kind, revision, items);
      }),
    ];
  }

  /** Decides whether this gateway reads the store for itself. Called each tick. */
  tick(): void {
    const { follower, clock } = this.#options;
    const now = clock.now();
    const isFresh = this.#isFresh(now);
    follower.setSuspended(isFresh && this.#rank() > 0);
    this.#trackInformed(isFresh || follower.reachable, now);
    if (this.isInformed || now - this.#lastPullMs < PULL_INTERVAL_MS) return;
    this.#lastPullMs = now;
    this.#pull();
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
    for (const undo of this.#undos) undo();
  }

  #trackInformed(isInformed: boolean, now: number): void {
    const since = this.#uninformedSinceMs;
    if (isInformed === (since === null)) return;
    this.#uninformedSinceMs = isInformed ? null : now;
    if (since !== null && now - since >= MIN_OUTAGE_MS) this.#outageEndedAtMs = now;
    this.#options.log.state(isInformed ? "store_content_known" : "store_content_unknown", {});
  }

  /** Whether peers have confirmed every kind recently. */
  #isFresh(now: number): boolean {
    const rankDelayMs = RANK_DELAY_MS * Math.min(this.#rank(), MAX_DELAYED_RANK);
    return FOLLOWED_KINDS.every((kind) => {
      const age = now - (this.#freshAtMs.get(kind) ?? -Infinity);
      return age < MAX_AGE_MS[kind] + rankDelayMs;
    });
  }

  /** This gateway's rank among the gateways of its region; rank 0 reads the store. */
  #rank(): number {
    const { network, dataCentre, regionOf } = this.#options;
    const region = regionOf(dataCentre);
    return network.rankOf(`store/${region}`, (dc) => regionOf(dc) === region);
  }

  /** Broadcasts what was read. A message without changes confirms that nothing changed. */
  #onRead(kind: FollowedKind, from: number): void {
    const { view, network } = this.#options;
    const { revision, changedAt, snapshot } = view.kinds[kind];
    const events = changedAt <= from
      ? []
      : [...snapshot.items].filter(([, item]) => item.revision > from);
    const removed = view.kinds[kind].removedSince(from);
    network.broadcast({
      kind: "view_changes",
      view: kind,
      from,
      revision,
      events: encoder.encode([events, removed]),
    });
  }

  #onChanges(
    peer: string,
    kind: FollowedKind,
    from: number,
    revision: number,
    encoded: Uint8Array,
  ): void {
    const { view, clock } = this.#options;
    const current = view.kinds[kind];
    if (!current.known || current.revision < from) {
      // Changes in between were missed; the full state of the kind contains them.
      this.#options.network.send(peer, {
        kind: "view_pull",
        revisions: [{ view: kind, revision: current.known ? current.revision : 0 }],
      });
      return;
    }
    const [items, removed] = decoder.decode(encoded) as [[string, ViewItem<never>][], string[]];
    const events: ViewEvent<never>[] = [
      ...removed.map((name) => ({ name, item: null })),
      ...items.map(([name, item]) => ({ name, item })),
    ];
    current.apply({ revision, events }, "peer");
    this.#freshAtMs.set(kind, clock.now());
  }

  #pull(): void {
    const { view, network } = this.#options;
    const revisions = FOLLOWED_KINDS.map((kind) => ({
      view: kind,
      revision: view.kinds[kind].revision,
    }));
    network.broadcast({ kind: "view_pull", revisions });
  }

  #onPull(peer: string, kind: FollowedKind, revision: number): void {
    const { view, network } = this.#options;
    const { changedAt, snapshot, known } = view.kinds[kind];
    if (!known || (changedAt <= revision && revision > 0)) return;
    network.send(peer, {
      kind: "view_state",
      view: kind,
      revision: snapshot.revision,
      items: encoder.encode([...snapshot.items]),
    });
  }

  #onState(peer: string, kind: FollowedKind, revision: number, encoded: Uint8Array): void {
    const { view, log } = this.#options;
    const current = view.kinds[kind];
    if (current.known && revision <= current.revision) return;
    const items = new Map(decoder.decode(encoded) as [string, ViewItem<never>][]);
    current.replace({ revision, items }, "peer");
    log.state("view_from_peer", { peer, kind, revision });
  }
}

function kindOf(name: string): FollowedKind | null {
  return FOLLOWED_KINDS.find((kind) => kind === name) ?? null;
}
