/**
 * Decides which process pulls the configuration from which: a tree of degree 8 in each data centre, built by
 * rendezvous hashing.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { DataCentreId } from "@wisteriapick/core";

/** Watchers per data centre, which are the top level of its tree. */
export const WATCHERS_PER_DATA_CENTRE = 3;
/** Processes per data centre that compete for the watcher leases. */
export const WATCHER_CANDIDATES = 6;
/** Mean number of children of one process. */
export const TREE_DEGREE = 8;

/** A process that takes part in the propagation. `key` stays the same over restarts. */
export interface PropagationMember {
  readonly key: string;
  readonly dataCentre: DataCentreId;
  /** Link address as `ip:port`. */
  readonly address: string;
}

const weightCache = new Map<string, number>();
/** Bounds the cache: the number exceeds the design size by far, so that only churn of members reaches it. */
const MAX_CACHED_WEIGHTS = 100_000;

function weightOf(text: string): number {
  const cached = weightCache.get(text);
  if (cached !== undefined) return cached;
  if (weightCache.size >= MAX_CACHED_WEIGHTS) weightCache.clear();
  const value = createHash("sha256").update(text).digest().readUInt32BE(0);
  weightCache.set(text, value);
  return value;
}

/**
 * Sorts members by rendezvous hashing. Each salt gives its own order, and adding or removing a member leaves the
 * order of the others as it was.
 */
export function sortByRendezvousHash(
  members: readonly PropagationMember[],
  salt: string,
): PropagationMember[] {
  const weighted = members.map((m) => ({ m, w: weightOf(`${salt}/${m.key}`) }));
  weighted.sort((a, b) => b.w - a.w || (a.m.key < b.m.key ? -1 : 1));
  return weighted.map((k) => k.m);
}

/** Members of one data centre by rank, which decides their level in the tree. */
export function rankMembers(
  members: readonly PropagationMember[],
  dataCentre: DataCentreId,
): PropagationMember[] {
  return sortByRendezvousHash(members.filter((m) => m.dataCentre === dataCentre), "rank");
}

/** The level of `rank` in the tree, the first rank of that level and the first rank of the level above. */
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
 * peer there, the tops of other data centres. Adding or removing a member changes the parent of few others.
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
  const groups = [
    sortByRendezvousHash(above, self.key).slice(0, 3),
    sortByRendezvousHash(top, self.key),
    sortByRendezvousHash(ranked, self.key).slice(0, 4),
    topsOfOtherDataCentres(members, self),
  ];
  const unique = new Map(groups.flat().map((m) => [m.key, m]));
  unique.delete(self.key);
  return [...unique.values()];
}

function topsOfOtherDataCentres(
  members: readonly PropagationMember[],
  self: PropagationMember,
): PropagationMember[] {
  const centres = new Set(members.map((m) => m.dataCentre));
  centres.delete(self.dataCentre);
  const tops = [...centres].flatMap((dc) =>
    rankMembers(members, dc).slice(0, WATCHERS_PER_DATA_CENTRE)
  );
  return sortByRendezvousHash(tops, self.key).slice(0, 4);
}
