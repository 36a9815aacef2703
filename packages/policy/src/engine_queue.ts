/**
 * Orders generations that wait for an engine and says which of them cannot be served. Load pattern: a burst of long
 * generations when memory is nearly full, so that more arrives for some seconds than can start.
 *
 * @module
 */

/** A generation that waits. */
export interface QueuedGeneration {
  /** Rank of the request; 0 goes first. */
  readonly rank: number;
  readonly arrivedAtMs: number;
  /** When it must have started for its caller to count it as good. */
  readonly startByMs: number;
  /** When its caller no longer waits. */
  readonly dueAtMs: number;
}

/**
 * Generations in the order in which they are offered to engines: by rank, then by the time by which they must start.
 *
 * @example
 * ```ts
 * const queue = new EngineQueue<Waiting>();
 * queue.add(waiting);
 * for (const first of queue.inOrder()) if (place(first)) queue.remove(first);
 * ```
 */
export class EngineQueue<T extends QueuedGeneration> {
  readonly #waiting = new Set<T>();

  get size(): number {
    return this.#waiting.size;
  }

  add(generation: T): void {
    this.#waiting.add(generation);
  }

  /** Removes a generation; returns whether it was waiting. */
  remove(generation: T): boolean {
    return this.#waiting.delete(generation);
  }

  /** Waiting generations, first to be served first. */
  inOrder(): T[] {
    return [...this.#waiting].sort((a, b) => a.rank - b.rank || a.startByMs - b.startByMs);
  }

  /** Generations that can no longer start in time; waiting longer would only delay those behind them. */
  expired(nowMs: number): T[] {
    return [...this.#waiting].filter((g) => nowMs >= g.startByMs || nowMs >= g.dueAtMs);
  }
}
