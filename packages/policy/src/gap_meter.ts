/**
 * Measures the gaps between the events of a stream, and decides which of them say something of its engine.
 *
 * Load pattern: engines whose events come late for part of the time, read by a gateway that is delayed itself, for
 * callers that read slowly.
 *
 * @module
 */

/** Gaps between consecutive events of one segment. */
export interface MeasuredGaps {
  readonly gapMs: number;
  /** Time over which they were measured, in milliseconds. */
  readonly spanMs: number;
}

/** What else may have held up events. */
export interface GapConditions {
  /** Whether the caller does not take more bytes now. */
  readonly isStalled: boolean;
  /** Whether the engine has been requested to stop the run. */
  readonly isStopping: boolean;
  /** Whether a time of so many milliseconds that ends now says more of this process than of the engine. */
  readonly isDisturbed: (spanMs: number) => boolean;
}

/**
 * Time over which gaps are averaged, in milliseconds: several events, so that a gateway that reads them in batches
 * measures them too, and shorter than the slow periods of engines.
 */
const GAP_SPAN_MS = 200;
/** Shortest span at the end of a run that counts, in milliseconds. */
const MIN_GAP_SPAN_MS = 20;
/** Longest span, in milliseconds: a slow period of an engine fills most of one. */
const MAX_GAP_SPAN_MS = 1_000;

/**
 * Measures the gaps of one segment of a run.
 *
 * @example
 * ```ts
 * const gaps = meter.recordEvents(batch.count, nowMs, conditions);
 * if (gaps !== null) speeds.recordGap(endpoint, gaps);
 * ```
 */
export class GapMeter {
  /** Beginning of the span over which gaps are measured; `null` before the first event. */
  #sinceMs: number | null = null;
  /** Number of gaps in the span. */
  #count = 0;
  /** Whether the caller has held up events in the span. */
  #wasStalled = false;

  /** Records that the caller takes no more bytes for now. */
  recordStall(): void {
    this.#wasStalled = true;
  }

  /** Records events that arrived together. Returns the gaps of a span that they end, if it counts. */
  recordEvents(count: number, nowMs: number, conditions: GapConditions): MeasuredGaps | null {
    if (this.#sinceMs === null) {
      this.#begin(nowMs, conditions);
      return null;
    }
    this.#count += count;
    return nowMs - this.#sinceMs < GAP_SPAN_MS ? null : this.endSpan(nowMs, conditions);
  }

  /**
   * Ends a span of gaps, and returns them if the span counts. One in which the caller or a migration held up events is
   * left out. One in which this process was delayed goes on until the delay is a small part of it.
   */
  endSpan(nowMs: number, conditions: GapConditions): MeasuredGaps | null {
    if (this.#sinceMs === null) return null;
    const spanMs = nowMs - this.#sinceMs;
    const count = this.#count;
    const wasHeldUp = this.#wasStalled || conditions.isStalled || conditions.isStopping;
    const isShort = count === 0 || spanMs < MIN_GAP_SPAN_MS;
    const isUsable = !wasHeldUp && !isShort && !conditions.isDisturbed(spanMs);
    if (!isUsable && !wasHeldUp && !isShort && spanMs < MAX_GAP_SPAN_MS) return null;
    this.#begin(nowMs, conditions);
    return isUsable ? { gapMs: spanMs / count, spanMs } : null;
  }

  #begin(nowMs: number, { isStalled }: GapConditions): void {
    this.#sinceMs = nowMs;
    this.#count = 0;
    this.#wasStalled = isStalled;
  }
}
