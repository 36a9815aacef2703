/**
 * Shares with peers which engines this gateway's runs occupy, and records what the peers' runs occupy.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import type { DemandBoard } from "../relay/demand_board.ts";
import type { RunLengths } from "../relay/run_lengths.ts";
import type { OccupancyChange, RunRegistry } from "../relay/run_registry.ts";
import type { PeerGroup } from "./peer_group.ts";

/**
 * Time for which the runs of a lost peer still count. A peer that is only disconnected continues its runs, and the
 * engines of a peer that died take about as long to notice.
 */
const LOST_PEER_RETENTION_MS = 3_000;

const NO_CHANGE: OccupancyChange = { changed: [], ended: [] };

/** What goes with the same messages. */
export interface SharedWithOccupancy {
  /** What callers need of engines. */
  readonly demand?: DemandBoard;
  /** Output lengths of runs that have ended. Changes only carry them, so that none counts twice. */
  readonly lengths?: RunLengths;
}

/** Connects a registry of runs to the network. The returned undo disconnects it. */
export function shareOccupancy(
  board: RunRegistry,
  network: PeerGroup,
  clock: Clock,
  { demand, lengths }: SharedWithOccupancy = {},
): Undo {
  /** Peers that have missed changes while their link was congested. */
  const behind = new Set<string>();
  const sendAll = (peer: string) => {
    const changed = board.ownOccupancies();
    const all = { full: true, changed, ended: [], demand: demand?.all() };
    network.send(peer, { kind: "occupancy", ...all });
    behind.delete(peer);
  };
  const sendChange = ({ changed, ended }: OccupancyChange) => {
    const update = {
      full: false,
      changed,
      ended,
      demand: demand?.takeChanges(),
      lengths: lengths?.takePending(),
    };
    for (const { name } of network.linked()) {
      if (behind.has(name) || network.isCongested(name)) behind.add(name);
      else network.send(name, { kind: "occupancy", ...update });
    }
  };
  const undos: Undo[] = [
    board.registerListener(sendChange),
    demand?.registerListener(() => sendChange(NO_CHANGE)) ?? (() => {}),
    network.registerRoom((peer) => {
      if (behind.has(peer)) sendAll(peer);
    }),
    network.registerUp(sendAll),
    network.registerDown((peer) => {
      behind.delete(peer);
      clock.setTimer(LOST_PEER_RETENTION_MS, () => {
        if (network.isLinked(peer)) return;
        board.removePeer(peer);
        demand?.removePeer(peer);
      });
    }),
    network.registerHandler("occupancy", (peer, { full, changed, ended, ...announced }) => {
      board.updatePeer(peer, { changed, ended }, { full, nowMs: clock.now() });
      if (announced.demand !== undefined) demand?.applyPeer(peer, announced.demand);
      if (announced.lengths !== undefined && !full) lengths?.applyPeer(announced.lengths);
    }),
  ];
  return () => {
    for (const undo of undos) undo();
  };
}
