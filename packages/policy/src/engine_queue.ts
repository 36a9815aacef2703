/**
 * Decides in which order queued generations are offered to engines, and which of them can no longer
 * be served. Load pattern: a burst of long generations when memory is nearly full, so that for some
 * seconds more arrive than can start.
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
  /** Time from which on its caller no longer waits for a response. */
  readonly dueAtMs: number;
}

/**
 * Queue of generations, ordered by rank and then by the time by which they must start.
 *
 * @example
 * ```ts
 * const queue = new EngineQueue<QueuedGeneration>();
 * queue.add(generation);
 * for (const first of queue.inOrder()) if (place(first)) queue.remove(first);
 * ```
 */
export class EngineQueue<T extends QueuedGeneration> {
  readonly #generations = new Set<T>();

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

  /** Queued generations, the first to offer first. */
  inOrder(): T[] {
    return [...this.#generations].sort((a, b) => a.rank - b.rank || a.startByMs - b.startByMs);
  }

  /** Generations that can no longer start in time; keeping them queued would only delay those behind them. */
  expired(nowMs: number): T[] {
    return [...this.#generations].filter((g) => nowMs >= g.startByMs || nowMs >= g.dueAtMs);
  }
}
