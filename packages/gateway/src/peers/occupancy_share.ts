/**
 * Shares with peers which engines this gateway's runs occupy, and records what the peers' runs occupy.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import type { RunRegistry } from "../relay/run_registry.ts";
import type { PeerGroup } from "./peer_group.ts";

/**
 * Time for which the runs of a lost peer still count. A peer that is only disconnected continues its runs, and the
 * engines of a peer that died take about as long to notice.
 */
const LOST_PEER_RETENTION_MS = 3_000;

/** Connects a registry of runs to the network. The returned undo disconnects it. */
export function shareOccupancy(board: RunRegistry, network: PeerGroup, clock: Clock): Undo {
  /** Peers that have missed changes while their link was congested. */
  const behind = new Set<string>();
  const sendAll = (peer: string) => {
    const changed = board.ownOccupancies();
    network.send(peer, { kind: "occupancy", full: true, changed, ended: [] });
    behind.delete(peer);
  };
  const undos: Undo[] = [
    board.registerListener(({ changed, ended }) => {
      for (const { name } of network.linked()) {
        if (behind.has(name) || network.isCongested(name)) behind.add(name);
        else network.send(name, { kind: "occupancy", full: false, changed, ended });
      }
    }),
    network.registerRoom((peer) => {
      if (behind.has(peer)) sendAll(peer);
    }),
    network.registerUp(sendAll),
    network.registerDown((peer) => {
      behind.delete(peer);
      clock.setTimer(LOST_PEER_RETENTION_MS, () => {
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
