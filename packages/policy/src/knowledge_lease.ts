/**
 * The lease on knowledge that others may change: it may be acted on for a limited time after it was last confirmed.
 *
 * Load pattern: a process that is cut off from the source of what it knows, or that was paused, and goes on to act on
 * what has changed meanwhile.
 *
 * @module
 */

/**
 * State of the lease: `held`; `ending`, when new work should go to others and work that was accepted may go on; `ended`,
 * when nothing may be done on this knowledge.
 */
export type LeaseState = "held" | "ending" | "ended";

/** Options of {@link KnowledgeLease}. */
export interface KnowledgeLeaseOptions {
  /** Time after its confirmation for which the knowledge may be acted on, in milliseconds. */
  readonly durationMs: number;
}

/**
 * Fraction of the lease's duration without any confirmation after which it is ending. The source may have been reachable
 * for one interval of confirmations, a fifth of the duration, after the last one came.
 */
const SILENCE_FRACTION = 0.8;
/** Fraction of its duration before its end from which a lease is ending in any case. */
const END_MARGIN_FRACTION = 0.05;
/** Fraction of its duration after which the holder should try harder to get a confirmation. */
const RENEWAL_FRACTION = 0.5;

/**
 * Decides what may be done on knowledge of a given age. All times are of one clock, which must include suspensions.
 *
 * @example
 * ```ts
 * const lease = new KnowledgeLease({ durationMs: 5_000 });
 * lease.confirm(askedAtMs, nowMs);
 * if (lease.state(nowMs) === "ended") refuse();
 * ```
 */
export class KnowledgeLease {
  #durationMs: number;
  #confirmedAtMs = -Infinity;
  #heardAtMs = -Infinity;

  constructor({ durationMs }: KnowledgeLeaseOptions) {
    this.#durationMs = durationMs;
  }

  /** Changes the duration, from the last confirmation on. */
  configure({ durationMs }: KnowledgeLeaseOptions): void {
    this.#durationMs = durationMs;
  }

  /**
   * Records, at `nowMs`, that the knowledge was current at `atMs`: the latest moment of which that is certain, as the
   * moment at which its source was asked. An earlier confirmation changes nothing. Returns whether the lease is extended.
   */
  confirm(atMs: number, nowMs: number): boolean {
    if (atMs <= this.#confirmedAtMs) return false;
    this.#confirmedAtMs = atMs;
    this.#heardAtMs = nowMs;
    return true;
  }

  /** When the knowledge was last known to be current; `-Infinity` before the first confirmation. */
  get confirmedAtMs(): number {
    return this.#confirmedAtMs;
  }

  /** Time since the last confirmation, in milliseconds; `Infinity` before the first one. */
  ageMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }

  /** Time until the lease ends, in milliseconds; not positive after its end. */
  remainingMs(nowMs: number): number {
    return this.#durationMs - this.ageMs(nowMs);
  }

  /** The lease ends by the age of what is known, and is ending by the silence of its source as well. */
  state(nowMs: number): LeaseState {
    const remainingMs = this.remainingMs(nowMs);
    if (remainingMs <= 0) return "ended";
    const isSilent = nowMs - this.#heardAtMs >= SILENCE_FRACTION * this.#durationMs;
    return isSilent || remainingMs <= END_MARGIN_FRACTION * this.#durationMs ? "ending" : "held";
  }

  /** Whether a confirmation is overdue, so that all sources should be asked. */
  needsRenewal(nowMs: number): boolean {
    return this.ageMs(nowMs) >= RENEWAL_FRACTION * this.#durationMs;
  }
}
