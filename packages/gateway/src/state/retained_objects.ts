/**
 * Keeps operators' orders in force that a restored store does not show, until they are written again or their time is
 * over. The store's copy is older than the orders, which their owners have not taken back.
 *
 * Load pattern: a store that comes back from a copy some seconds old, once or several times in a row, while orders are
 * in force that were written in those seconds.
 *
 * @module
 */
import type { StoreOutage } from "./store_outage.ts";
import type { KindView, ViewItem } from "./store_view.ts";

type Items<T> = ReadonlyMap<string, ViewItem<T>>;

/** Options of {@link RetainedObjects}. */
export interface RetainedObjectsOptions<T> {
  readonly view: KindView<T>;
  /** Whether two values are the same order; by default, any two values of one name are. */
  readonly isSameOrder?: (a: T, b: T) => boolean;
  /** Time after a restore for which lost orders stay in force, in milliseconds. */
  readonly retainMs?: number;
}

/** Why a retained order ended. */
export type RetainedEnd = "written_again" | "not_written_again";

/** Owners write lost orders again within a few seconds; one that is not written again counts as taken back. */
export const RETAIN_ORDERS_MS = 5_000;

/**
 * The objects of a kind that are in force.
 *
 * @example
 * ```ts
 * const retained = new RetainedObjects({ view: view.kinds.evacuations });
 * view.kinds.evacuations.registerListener(({ isRestored }) => {
 *   retained.update(isRestored, clock.now());
 *   apply(retained.inForce);
 * });
 * ```
 */
export class RetainedObjects<T> {
  readonly #options: Required<RetainedObjectsOptions<T>>;
  readonly #held = new Map<string, ViewItem<T>>();
  #items: Items<T>;
  #restoredAtMs = -Infinity;

  constructor(options: RetainedObjectsOptions<T>) {
    this.#options = { isSameOrder: () => true, retainMs: RETAIN_ORDERS_MS, ...options };
    this.#items = options.view.snapshot.items;
  }

  /** The store's objects, with the retained ones in place of what the restored store shows. */
  get inForce(): Items<T> {
    return this.#held.size === 0 ? this.#items : new Map([...this.#items, ...this.#held]);
  }

  /** Names of the objects that are retained. */
  get names(): readonly string[] {
    return [...this.#held.keys()];
  }

  /** Takes over the view's new content. Returns why retained orders ended, by name. */
  update(isRestored: boolean, nowMs: number): ReadonlyMap<string, RetainedEnd> {
    const before = isRestored ? this.inForce : this.#items;
    const { items } = this.#options.view.snapshot;
    this.#items = items;
    const ended = new Map<string, RetainedEnd>();
    if (isRestored) {
      this.#restoredAtMs = nowMs;
      this.#retainLost(before, ended);
      return ended;
    }
    // In the same era, each change was written after the restore.
    for (const name of this.names) {
      if (before.get(name)?.revision === items.get(name)?.revision) continue;
      this.#held.delete(name);
      ended.set(name, "written_again");
    }
    return ended;
  }

  /** Ends what was not written again in time, by name. The time does not run while the store is away. */
  expire(nowMs: number, { isDown, endedAtMs }: StoreOutage): ReadonlyMap<string, RetainedEnd> {
    const ended = new Map<string, RetainedEnd>();
    const untilMs = Math.max(this.#restoredAtMs, endedAtMs) + this.#options.retainMs;
    if (this.#held.size === 0 || isDown || nowMs < untilMs) return ended;
    for (const name of this.names) ended.set(name, "not_written_again");
    this.#held.clear();
    return ended;
  }

  #retainLost(before: Items<T>, ended: Map<string, RetainedEnd>): void {
    for (const [name, item] of before) {
      const restored = this.#items.get(name);
      if (restored === undefined || !this.#options.isSameOrder(restored.value, item.value)) {
        this.#held.set(name, item);
      } else if (this.#held.delete(name)) {
        ended.set(name, "written_again");
      }
    }
  }
}
