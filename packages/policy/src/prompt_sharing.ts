/**
 * Learns which share of prompt tokens takes memory of its own. The rest lies in prefixes that generations
 * share; the engine reports only the total, late.
 *
 * @module
 */

interface Snapshot {
  readonly atMs: number;
  readonly running: number;
  readonly prompts: number;
  readonly produced: number;
}

const KEPT = 32;
const SMOOTHING = 0.05;
const MIN_RUNNING = 4;

/** Compares the engine's late reports with what ran at that time. */
export class PromptSharing {
  /** Share of prompt tokens with memory of their own. */
  share = 1;
  #snapshots: Snapshot[] = [];

  /** Remembers what runs now. */
  record(
    running: Iterable<
      { readonly req: { readonly promptTokens: number }; readonly produced: number }
    >,
    nowMs: number,
  ): void {
    let n = 0;
    let prompts = 0;
    let produced = 0;
    for (const run of running) {
      n++;
      prompts += run.req.promptTokens;
      produced += run.produced;
    }
    this.#snapshots.push({ atMs: nowMs, running: n, prompts, produced });
    if (this.#snapshots.length > KEPT) this.#snapshots.shift();
  }

  /** Takes in a report about the time `atMs`. */
  compare(load: { readonly running: number; readonly kvUsedTokens: number }, atMs: number): void {
    const then = this.#nearest(atMs);
    // With a preempted generation the report does not cover everything that runs here.
    if (then === null || then.running < MIN_RUNNING || then.running !== load.running) return;
    const share = (load.kvUsedTokens - then.produced) / then.prompts;
    this.share += SMOOTHING * (Math.min(1, Math.max(0, share)) - this.share);
  }

  #nearest(atMs: number): Snapshot | null {
    let best: Snapshot | null = null;
    for (const snapshot of this.#snapshots) {
      const d = Math.abs(snapshot.atMs - atMs);
      if (best === null || d < Math.abs(best.atMs - atMs)) best = snapshot;
    }
    return best;
  }
}
