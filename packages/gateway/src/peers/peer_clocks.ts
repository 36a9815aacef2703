/**
 * Bounds when a message of another gateway was sent, on this gateway's clock.
 *
 * A message may wait in a queue, on a link or in a receiver that is paused, and its receiver cannot tell for how long. The
 * distance between the two clocks is bounded by a question and its answer: the other clock cannot have been further ahead
 * than its reading in the answer, minus the moment of the question.
 *
 * @module
 */

/** A reading of another gateway's clock. */
export interface ClockReading {
  readonly ms: number;
  /** Changes when the clock was put forward, as after a suspension. */
  readonly epoch: number;
}

interface ClockDistance {
  /** The largest amount by which the other clock can be ahead of this one, in milliseconds. */
  readonly aheadMs: number;
  readonly ownEpoch: number;
  readonly peerEpoch: number;
  readonly measuredAtMs: number;
  /** Time between question and answer, in milliseconds, by which `aheadMs` may be too large. */
  readonly roundTripMs: number;
}

/** Fastest drift between two clocks that is expected, as a fraction of the time. */
const MAX_DRIFT = 0.001;
/** Round trip from which a measurement is repeated soon, in milliseconds. */
const COARSE_ROUND_TRIP_MS = 100;
/** Age from which a distance is measured again, as clocks drift. */
const REMEASURE_AFTER_MS = 5_000;

/**
 * The distances between this gateway's clock and those of its peers.
 *
 * @example
 * ```ts
 * clocks.record("entry-2", { askedAtMs, answer: { ms, epoch }, own: { ms: nowMs, epoch: 0 } });
 * const sentAtMs = clocks.sentAtMs("entry-2", reading, { ms: nowMs, epoch: 0 });
 * ```
 */
export class PeerClocks {
  readonly #distances = new Map<string, ClockDistance>();

  /** Records an answer to a question that was sent at `askedAtMs`. */
  record(
    peer: string,
    { askedAtMs, answer, own }: {
      readonly askedAtMs: number;
      readonly answer: ClockReading;
      readonly own: ClockReading;
    },
  ): void {
    const before = this.#distanceOf(peer, answer, own);
    const drift = before === null ? 0 : MAX_DRIFT * (own.ms - before.measuredAtMs);
    const beforeMs = before === null ? Infinity : before.aheadMs + drift;
    this.#distances.set(peer, {
      aheadMs: Math.min(answer.ms - askedAtMs, beforeMs),
      ownEpoch: own.epoch,
      peerEpoch: answer.epoch,
      measuredAtMs: own.ms,
      roundTripMs: own.ms - askedAtMs,
    });
  }

  /**
   * The latest moment, on this gateway's clock, of which it is certain that a message with the given reading was sent
   * then or later. `null` if the distance of the clocks is unknown.
   */
  sentAtMs(peer: string, reading: ClockReading, own: ClockReading): number | null {
    const distance = this.#distanceOf(peer, reading, own);
    if (distance === null) return null;
    return Math.min(own.ms, reading.ms - distance.aheadMs);
  }

  /** Whether the distance to a peer's clock should be measured. */
  needsMeasurement(peer: string, reading: ClockReading, own: ClockReading): boolean {
    const distance = this.#distanceOf(peer, reading, own);
    return distance === null || distance.roundTripMs >= COARSE_ROUND_TRIP_MS ||
      own.ms - distance.measuredAtMs >= REMEASURE_AFTER_MS;
  }

  forget(peer: string): void {
    this.#distances.delete(peer);
  }

  #distanceOf(peer: string, reading: ClockReading, own: ClockReading): ClockDistance | null {
    const distance = this.#distances.get(peer);
    const isValid = distance?.ownEpoch === own.epoch && distance.peerEpoch === reading.epoch;
    return isValid ? distance : null;
  }
}
