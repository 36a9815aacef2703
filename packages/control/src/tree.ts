/**
 * Who pulls the configuration from whom: a tree of degree 8 by rendezvous hashing in each data centre.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { DataCentreId } from "@wisteriapick/core";

/** Watchers per data centre: the top of its tree. */
export const WATCHERS_PER_DATA_CENTRE = 3;
/** Processes per data centre that compete for the watcher leases. */
export const WATCHER_CANDIDATES = 6;
/** Mean number of children of one process. */
export const TREE_DEGREE = 8;

/** A process as the spread of configuration sees it. `key` stays the same over restarts. */
export interface PropagationMember {
  readonly key: string;
  readonly dataCentre: DataCentreId;
  /** Link address as `ip:port`. */
  readonly address: string;
}

const weights = new Map<string, number>();
/** Weights are kept for the present members; far more than the design size means churn. */
const MAX_WEIGHTS = 100_000;

function weight(text: string): number {
  const known = weights.get(text);
  if (known !== undefined) return known;
  if (weights.size >= MAX_WEIGHTS) weights.clear();
  const value = createHash("sha256").update(text).digest().readUInt32BE(0);
  weights.set(text, value);
  return value;
}

/** Members by rendezvous hashing: each salt gives its own order, and one member more or less moves few. */
export function orderMembers(
  members: readonly PropagationMember[],
  salt: string,
): PropagationMember[] {
  const keyed = members.map((m) => ({ m, w: weight(`${salt}/${m.key}`) }));
  keyed.sort((a, b) => b.w - a.w || (a.m.key < b.m.key ? -1 : 1));
  return keyed.map((k) => k.m);
}

/** Members of one data centre in the order that decides their level. */
export function rankMembers(
  members: readonly PropagationMember[],
  dataCentre: DataCentreId,
): PropagationMember[] {
  return orderMembers(members.filter((m) => m.dataCentre === dataCentre), "rank");
}

/** First rank of the level of `rank`, and of the level above it. */
export function levelBounds(rank: number): { level: number; from: number; aboveFrom: number } {
  let level = 0;
  let from = 0;
  let aboveFrom = 0;
  let size = WATCHERS_PER_DATA_CENTRE;
  while (rank >= from + size) {
    aboveFrom = from;
    from += size;
    size *= TREE_DEGREE;
    level++;
  }
  return { level, from, aboveFrom };
}

/**
 * Peers that `self` may pull from, best first: parents in the level above, the top of the data centre, any
 * peer there, the tops of other data centres. One member more or less moves few others.
 */
export function parentCandidates(
  members: readonly PropagationMember[],
  self: PropagationMember,
): PropagationMember[] {
  const ranked = rankMembers(members, self.dataCentre);
  const rank = ranked.findIndex((m) => m.key === self.key);
  const { level, from, aboveFrom } = levelBounds(rank < 0 ? ranked.length : rank);
  const above = level === 0 ? [] : ranked.slice(aboveFrom, from);
  const top = ranked.slice(0, WATCHER_CANDIDATES);
  const parts = [
    orderMembers(above, self.key).slice(0, 3),
    orderMembers(top, self.key),
    orderMembers(ranked, self.key).slice(0, 4),
    otherTops(members, self),
  ];
  const unique = new Map(parts.flat().map((m) => [m.key, m]));
  unique.delete(self.key);
  return [...unique.values()];
}

function otherTops(
  members: readonly PropagationMember[],
  self: PropagationMember,
): PropagationMember[] {
  const centres = new Set(members.map((m) => m.dataCentre));
  centres.delete(self.dataCentre);
  const tops = [...centres].flatMap((dc) =>
    rankMembers(members, dc).slice(0, WATCHERS_PER_DATA_CENTRE)
  );
  return orderMembers(tops, self.key).slice(0, 4);
}
