/**
 * Tells peers what this gateway's runs occupy, and takes over what theirs do.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import type { RunRegistry } from "../relay/run_registry.ts";
import type { PeerGroup } from "./peer_group.ts";

/**
 * Time for which the runs of a peer that was lost still count, in milliseconds: a peer that is only cut off goes on
 * with its runs, and the engines of one that died take as long to notice.
 */
const KEEP_LOST_MS = 3_000;

/** Connects a board to the network. The undo disconnects it. */
export function shareOccupancy(board: RunRegistry, network: PeerGroup, clock: Clock): Undo {
  const undos: Undo[] = [
    board.registerListener(({ changed, ended }) =>
      network.broadcast({ kind: "occupancy", full: false, changed, ended })
    ),
    network.registerUp((peer) =>
      void network.send(peer, {
        kind: "occupancy",
        full: true,
        changed: board.ownOccupancies(),
        ended: [],
      })
    ),
    network.registerDown((peer) => {
      clock.setTimer(KEEP_LOST_MS, () => {
        if (!network.isLinked(peer)) board.removePeer(peer);
      });
    }),
    network.registerHandler("occupancy", (peer, { full, changed, ended }) => {
      board.updatePeer(peer, { changed, ended }, { full, nowMs: clock.now() });
    }),
  ];
  return () => {
    for (const undo of undos) undo();
  };
}
