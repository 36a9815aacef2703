/**
 * Learns the fraction of prompt tokens that occupy KV memory of their own. The others lie in
 * prefixes that generations share. The engine reports only the total memory in use, and late, so
 * reports are compared with past snapshots.
 *
 * @module
 */

interface Snapshot {
  readonly atMs: number;
  readonly running: number;
  readonly promptTokens: number;
  readonly produced: number;
}

const MAX_SNAPSHOTS = 32;
const SMOOTHING = 0.05;
const MIN_RUNNING = 4;

/** Estimates sharing by comparing each late report of the engine with what ran at the time of the report. */
export class PromptSharing {
  /** Fraction of prompt tokens with memory of their own. */
  unsharedFraction = 1;
  #snapshots: Snapshot[] = [];

  /** Takes a snapshot of the generations that run now. */
  record(
    running: Iterable<
      { readonly req: { readonly promptTokens: number }; readonly produced: number }
    >,
    nowMs: number,
  ): void {
    let count = 0;
    let promptTokens = 0;
    let produced = 0;
    for (const run of running) {
      count++;
      promptTokens += run.req.promptTokens;
      produced += run.produced;
    }
    this.#snapshots.push({ atMs: nowMs, running: count, promptTokens, produced });
    if (this.#snapshots.length > MAX_SNAPSHOTS) this.#snapshots.shift();
  }

  /** Updates the estimate from a load report about the time `atMs`. */
  compare(load: { readonly running: number; readonly kvUsedTokens: number }, atMs: number): void {
    const past = this.#nearest(atMs);
    // The counts differ where a generation is preempted: the report does not cover all that run here.
    if (past === null || past.running < MIN_RUNNING || past.running !== load.running) return;
    const unsharedFraction = (load.kvUsedTokens - past.produced) / past.promptTokens;
    this.unsharedFraction += SMOOTHING *
      (Math.min(1, Math.max(0, unsharedFraction)) - this.unsharedFraction);
  }

  #nearest(atMs: number): Snapshot | null {
    let best: Snapshot | null = null;
    for (const snapshot of this.#snapshots) {
      const distanceMs = Math.abs(snapshot.atMs - atMs);
      if (best === null || distanceMs < Math.abs(best.atMs - atMs)) best = snapshot;
    }
    return best;
  }
}
