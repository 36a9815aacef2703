/**
 * Has one gateway of a region read the store for all: it passes on each change, and how fresh what it knows is. Another
 * one reads for itself as soon as that is not fresh any more, so that no gateway falls behind its bounds while it could
 * have read.
 *
 * Load pattern: calls to the store, idle watches among them, that grow with the number of gateways while its rates do
 * not.
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
 * Age of a kind's newest proof above which a gateway reads for itself, in milliseconds: a watch of the reader, its slack
 * and a reading of one's own must fit into the shortest bound of the deployments, two seconds for endpoints that leave.
 */
const MAX_AGE_MS: Readonly<Record<FollowedKind, number>> = {
  config: 1_200,
  endpoints: 1_200,
  evacuations: 3_000,
  moves: 3_000,
};
/** Further age for each gateway that is next in line before this one, in milliseconds, so that one steps in first. */
const NEXT_IN_LINE_MS = 100;
/** Gateways in line after which all step in at the same age. */
const MAX_IN_LINE = 5;
/** An interruption shorter than this is not taken for an outage, in milliseconds: registrations outlive it. */
const OUTAGE_MS = 1_000;
/** Interval at which a gateway that cannot read asks its peers for what they have, in milliseconds. */
const PULL_MS = 200;

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** See the module comment. */
export class StoreViewSync {
  readonly #options: StoreViewSyncOptions;
  readonly #freshAtMs = new Map<FollowedKind, number>();
  readonly #undos: Undo[];
  #lastPullMs = -Infinity;
  #blindSinceMs: number | null = null;
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
          if (kind !== null) this.#answerPull(peer, kind, revision);
        }
      }),
      network.registerHandler("view_state", (peer, { view, revision, items }) => {
        const kind = kindOf(view);
        if (kind !== null) this.#onState(peer, kind, revision, items);
      }),
    ];
  }

  /** Decides whether this gateway reads for itself. Called each tick. */
  tick(): void {
    const { follower, clock } = this.#options;
    const now = clock.now();
    const isFresh = this.#isFresh(now);
    follower.setSuspended(isFresh && this.#rank() > 0);
    this.#trackBlindness(isFresh || follower.reachable, now);
    if (this.isInformed || now - this.#lastPullMs < PULL_MS) return;
    this.#lastPullMs = now;
    this.#pull();
  }

  /** Whether what the store holds is known here, by a reading of one's own or through peers. */
  get isInformed(): boolean {
    return this.#blindSinceMs === null;
  }

  /** Whether nobody could tell what the store holds, and when that last ended. */
  get outage(): StoreOutage {
    const isDown = this.#blindSinceMs !== null &&
      this.#options.clock.now() - this.#blindSinceMs >= OUTAGE_MS;
    return { isDown, endedAtMs: this.#outageEndedAtMs };
  }

  close(): void {
    for (const undo of this.#undos) undo();
  }

  #trackBlindness(isInformed: boolean, now: number): void {
    const since = this.#blindSinceMs;
    if (isInformed === (since === null)) return;
    this.#blindSinceMs = isInformed ? null : now;
    if (since !== null && now - since >= OUTAGE_MS) this.#outageEndedAtMs = now;
    this.#options.log.state(isInformed ? "store_content_known" : "store_content_unknown", {});
  }

  /** Whether peers vouch for every kind. */
  #isFresh(now: number): boolean {
    const patience = NEXT_IN_LINE_MS * Math.min(this.#rank(), MAX_IN_LINE);
    return FOLLOWED_KINDS.every((kind) => {
      const age = now - (this.#freshAtMs.get(kind) ?? -Infinity);
      return age < MAX_AGE_MS[kind] + patience;
    });
  }

  /** Place in the line of those that read for the region; 0 reads. */
  #rank(): number {
    const { network, dataCentre, regionOf } = this.#options;
    const region = regionOf(dataCentre);
    return network.rankOf(`store/${region}`, (dc) => regionOf(dc) === region);
  }

  /** Passes on what was read; without a change it still proves that nothing changed. */
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
      // Something in between was missed; the whole kind brings it.
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

  #answerPull(peer: string, kind: FollowedKind, revision: number): void {
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
