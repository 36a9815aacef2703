import assert from "node:assert/strict";
import { test } from "node:test";
import { childrenOf, MAX_SPREAD_HOPS, SPREAD_DEGREE } from "../src/peers/spread_tree.ts";

/** Follows the tree of a root. Returns how often each gateway is reached and the length of the longest path. */
function spread(order: readonly string[], root: string) {
  const reached = new Map<string, number>();
  let level = [root];
  let hops = 0;
  let largestDegree = 0;
  while (level.length > 0) {
    const next: string[] = [];
    for (const self of level) {
      const children = childrenOf({ order, root, self });
      largestDegree = Math.max(largestDegree, children.length);
      for (const child of children) reached.set(child, (reached.get(child) ?? 0) + 1);
      next.push(...children);
    }
    if (next.length > 0) hops++;
    level = next;
  }
  return { reached, hops, largestDegree };
}

const names = (count: number) => Array.from({ length: count }, (_, i) => `entry-${i}`);

test("news reaches every gateway once, from any root, over a bounded number of links each", () => {
  for (const count of [1, 2, 9, 30, 960]) {
    const order = names(count);
    for (const root of [order[0]!, order.at(-1)!, order[count >> 1]!]) {
      const { reached, hops, largestDegree } = spread(order, root);
      assert.equal(reached.size, count - 1);
      assert.ok([...reached.values()].every((times) => times === 1));
      assert.ok(!reached.has(root));
      assert.ok(hops < MAX_SPREAD_HOPS);
      assert.ok(largestDegree <= SPREAD_DEGREE);
    }
  }
});

test("a gateway that is not in the order passes nothing on", () => {
  assert.deepEqual(childrenOf({ order: ["a", "b"], root: "a", self: "c" }), []);
});

test("a root that is not in the order is the first", () => {
  assert.deepEqual(childrenOf({ order: ["a", "b"], root: "c", self: "a", degree: 1 }), ["b"]);
});
