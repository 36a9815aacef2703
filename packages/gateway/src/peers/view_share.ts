/**
 * Has a gateway that cannot reach the store read on from its peers, so that changes are in force there as well.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import { Decoder, Encoder } from "cbor-x";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { StoreFollower } from "../state/store_follower.ts";
import {
  FOLLOWED_KINDS,
  type FollowedKind,
  type StoreView,
  type ViewItem,
} from "../state/store_view.ts";
import type { PeerNetwork } from "./peer_network.ts";

/** Interval at which a gateway without the store asks its peers, in milliseconds. */
const PULL_MS = 200;

/** Options of {@link shareView}. */
export interface ViewShareOptions {
  readonly view: StoreView;
  readonly follower: StoreFollower;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Connects a view to the network. The undo disconnects it. */
export function shareView({ view, follower, network, clock, log }: ViewShareOptions): Undo {
  const undos: Undo[] = [
    clock.setRepeating(PULL_MS, () => {
      if (follower.reachable) return;
      const revisions = FOLLOWED_KINDS.map((kind) => ({
        view: kind,
        revision: view.kinds[kind].revision,
      }));
      network.broadcast({ kind: "view_pull", revisions });
    }),
    network.registerHandler("view_pull", (peer, { revisions }) => {
      for (const { view: name, revision } of revisions) {
        const kind = FOLLOWED_KINDS.find((k) => k === name);
        if (kind === undefined) continue;
        const { changedAt, snapshot, known } = view.kinds[kind];
        if (!known || changedAt <= revision) continue;
        network.send(peer, {
          kind: "view_state",
          view: kind,
          revision: snapshot.revision,
          items: encoder.encode([...snapshot.items]),
        });
      }
    }),
    network.registerHandler("view_state", (peer, { view: name, revision, items }) => {
      const kind = FOLLOWED_KINDS.find((k) => k === name);
      if (kind === undefined || follower.reachable) return;
      const taken = replace(view, kind, revision, items);
      if (taken) log.state("view_from_peer", { peer, kind, revision });
    }),
  ];
  return () => {
    for (const undo of undos) undo();
  };
}

function replace(
  view: StoreView,
  kind: FollowedKind,
  revision: number,
  encoded: Uint8Array,
): boolean {
  const current = view.kinds[kind];
  if (current.known && revision <= current.revision) return false;
  const items = new Map(decoder.decode(encoded) as [string, ViewItem<never>][]);
  return current.replace({ revision, items }, "peer");
}
