/**
 * Batches work within one turn of the event loop.
 *
 * @module
 */

/** Runs each added job once at the end of the turn, regardless of how often it was added. */
export class TurnBatch {
  readonly #jobs = new Set<() => void>();
  readonly #onError: (e: unknown) => void;

  /** `onError` receives an error that a job throws; the other jobs of the turn still run. */
  constructor(onError: (e: unknown) => void) {
    this.#onError = onError;
  }

  add(job: () => void): void {
    if (this.#jobs.size === 0) setImmediate(() => this.#run());
    this.#jobs.add(job);
  }

  #run(): void {
    const jobs = [...this.#jobs];
    this.#jobs.clear();
    for (const job of jobs) {
      try {
        job();
      } catch (e) {
        this.#onError(e);
      }
    }
  }
}
