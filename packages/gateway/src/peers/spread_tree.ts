/**
 * The tree along which a gateway's news reaches all others. Every gateway computes it from the same order, so no message
 * is needed to agree on it.
 *
 * Load pattern: a change that one gateway has read and hundreds need. Each gateway passes it to a bounded number of
 * others, so what it costs the smallest link does not grow with the number of gateways.
 *
 * @module
 */

/** Number of gateways to which one passes on what it receives. */
export const SPREAD_DEGREE = 8;
/** Longest path on which news is passed on, which ends any cycle between gateways whose orders differ. */
export const MAX_SPREAD_HOPS = 6;

/** The gateway from which the one at `rank` receives the news of the first in the order; `null` for that one. */
export function parentOf(order: readonly string[], rank: number): string | null {
  return rank <= 0 ? null : order[Math.floor((rank - 1) / SPREAD_DEGREE)]!;
}

/**
 * Returns the gateways to which `self` passes on the news of `root`.
 *
 * @param order All gateways. Those at its beginning pass on the most.
 *
 * @example
 * ```ts
 * childrenOf({ order: ["a", "b", "c"], root: "b", self: "b" }); // ["a", "c"]
 * ```
 */
export function childrenOf(
  { order, root, self, degree = SPREAD_DEGREE }: {
    readonly order: readonly string[];
    readonly root: string;
    readonly self: string;
    readonly degree?: number;
  },
): string[] {
  const others = order.filter((name) => name !== root);
  // The root has position 0, and the others follow.
  const position = self === root ? 0 : others.indexOf(self) + 1;
  if (position === 0 && self !== root) return [];
  return others.slice(position * degree, (position + 1) * degree);
}
