/**
 * Decides in which order queued generations are offered to engines, and which of them can no longer
 * be served. Load pattern: a burst of long generations when memory is nearly full, so that for some
 * seconds more arrive than can start, most of them from a few large client accounts.
 *
 * @module
 */

/** A generation that is queued for an engine. */
export interface QueuedGeneration {
  /** Rank of the request; 0 is offered first. */
  readonly rank: number;
  readonly arrivedAtMs: number;
  /** Latest start at which the target of the time to the first event can still be met. */
  readonly startByMs: number;
  /** When it is dropped; `startByMs` if absent, and later where a late response is still worth sending. */
  readonly dropAtMs?: number;
  /** Time from which on its caller no longer waits for a response. */
  readonly dueAtMs: number;
  /** Whether it was refused before, and its caller has come back. */
  readonly hasReturned?: boolean;
}

/** Orders generations of one rank; absent where only the time by which they must start counts. */
export interface QueueOrder<T> {
  /** By how much the client account of a generation is over its fair share: 0 for one that is not. */
  excessOf(generation: T): number;
  /** Whether generations of a level are offered before those of more urgent ones, to get their minimum share. */
  isStarved(level: number): boolean;
}

/** Level of generations that can only start late: behind all that can start on time. */
export const LATE_LEVEL = 1_000;

/** The level of a generation: its rank, or {@link LATE_LEVEL} once it can no longer start on time. */
export function levelOf({ rank, startByMs }: QueuedGeneration, nowMs: number): number {
  return nowMs >= startByMs ? LATE_LEVEL : rank;
}

/**
 * Queue of generations. They are ordered by level, then by the excess of their accounts over a fair
 * share, then those that were refused before, then by the time by which they must start.
 *
 * @example
 * ```ts
 * const queue = new EngineQueue<QueuedGeneration>();
 * queue.add(generation);
 * for (const first of queue.inOrder(clock.now())) if (place(first)) queue.remove(first);
 * ```
 */
export class EngineQueue<T extends QueuedGeneration> {
  readonly #generations = new Set<T>();
  readonly #order: QueueOrder<T> | null;

  constructor(order: QueueOrder<T> | null = null) {
    this.#order = order;
  }

  get size(): number {
    return this.#generations.size;
  }

  add(generation: T): void {
    this.#generations.add(generation);
  }

  has(generation: T): boolean {
    return this.#generations.has(generation);
  }

  /** Removes a generation; returns whether it was queued. */
  remove(generation: T): boolean {
    return this.#generations.delete(generation);
  }

  /** Queued generations in no particular order. */
  all(): Iterable<T> {
    return this.#generations;
  }

  /** Queued generations, the first to offer first. */
  inOrder(nowMs = -Infinity): T[] {
    if (this.#generations.size < 2) return [...this.#generations];
    const order = this.#order;
    const keyed = [...this.#generations].map((generation) => {
      const level = levelOf(generation, nowMs);
      return {
        generation,
        level: order?.isStarved(level) === true ? -1 : level,
        excess: order?.excessOf(generation) ?? 0,
        returned: generation.hasReturned === true ? 0 : 1,
      };
    });
    keyed.sort((a, b) =>
      a.level - b.level || a.excess - b.excess || a.returned - b.returned ||
      a.generation.startByMs - b.generation.startByMs
    );
    return keyed.map(({ generation }) => generation);
  }

  /** Generations that can no longer start in time; keeping them queued would only delay those behind them. */
  expired(nowMs: number): T[] {
    return [...this.#generations].filter((g) =>
      nowMs >= (g.dropAtMs ?? g.startByMs) || nowMs >= g.dueAtMs
    );
  }
}
