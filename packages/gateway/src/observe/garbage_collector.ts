/**
 * Collects garbage when the buffers of requests and responses have left much of it. V8 counts buffers outside of its
 * heap late: tens of MiB may wait for a collection that the heap alone does not need.
 *
 * @module
 */
import { getHeapStatistics, setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { MemoryBudget } from "@wisteriapick/policy";

/** Collects recently allocated garbage, or all. */
export type CollectGarbage = (options?: { readonly type: "minor" }) => void;

/** V8's own collection, which a script gets only with a flag. The flag makes no code cache that is loaded invalid. */
function garbageCollection(): CollectGarbage {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as CollectGarbage;
}

/** Bytes of buffers outside of the heap, garbage included. */
function bufferBytes(): number {
  return getHeapStatistics().external_memory;
}

/**
 * Collects what the budget says, as bytes arrive and buffers are released.
 *
 * @example
 * ```ts
 * const collector = new GarbageCollector(budget);
 * collector.recordArrived(chunk.length);
 * ```
 */
export class GarbageCollector {
  readonly #budget: MemoryBudget;
  #collect: CollectGarbage | null;

  /** `collect` is V8's by default, which is prepared when it is first needed. */
  constructor(budget: MemoryBudget, collect: CollectGarbage | null = null) {
    this.#budget = budget;
    this.#collect = collect;
  }

  /** Records bytes for which a buffer was allocated, and collects garbage if it is time. */
  recordArrived(bytes: number): void {
    if (!this.#budget.recordAllocated(bytes)) return;
    this.#collect ??= garbageCollection();
    this.#collect({ type: "minor" });
    if (!this.#budget.needsFullCollection(bufferBytes())) return;
    this.#collect();
    this.#budget.recordCollected(bufferBytes());
  }
}
