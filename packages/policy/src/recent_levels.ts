/**
 * For how long an endpoint has been slow without interruption.
 *
 * Load pattern: engines of equal speed are slow for half a second now and then, and a new one of which nothing else is
 * known then looks like one of half the speed. That one is never as fast as the others, not even for half a second.
 *
 * @module
 */

interface LevelEntry {
  readonly level: number;
  readonly spanMs: number;
  readonly atMs: number;
}

interface Sample {
  readonly level: number;
  readonly weight: number;
  readonly atMs: number;
}

/** Number of spans that are kept. */
const MAX_ENTRIES = 16;
/** Age from which on a span says nothing any more, in milliseconds. */
const MAX_AGE_MS = 5_000;
/** Time of which the latest level tells, in milliseconds: the usual interval between reports. */
export const RECENT_MS = 400;
/** Time in which measurements of one gateway count together, in milliseconds: a third of a slow period. */
const SPAN_MS = 200;
/** Number of measurements that are kept. */
const MAX_SAMPLES = 64;

/** The levels of an endpoint in its last spans of time, each of which counts alone. */
export class RecentLevels {
  #entries: LevelEntry[] = [];

  /** Adds what was measured within a span. */
  record(level: number, spanMs: number, nowMs: number): void {
    this.#entries = [...this.#entries, { level, spanMs, atMs: nowMs }].slice(-MAX_ENTRIES);
  }

  /** Total of the last spans of which all are above, or all below, a level by a margin, in milliseconds. */
  differentForMs(usual: number, margin: number, nowMs: number): number {
    let ms = 0;
    let sign = 0;
    for (const { level, spanMs, atMs } of this.#entries.toReversed()) {
      const difference = level - usual;
      if (Math.abs(difference) <= margin || nowMs - atMs > MAX_AGE_MS) break;
      if (sign !== 0 && Math.sign(difference) !== sign) break;
      sign = Math.sign(difference);
      ms += spanMs;
    }
    return ms;
  }
}

/** The measurements of one gateway, weighed by the time over which they were made. */
export class RecentSamples {
  #samples: Sample[] = [];
  #span: Sample[] = [];
  #spanEndMs = -Infinity;
  readonly #spans = new RecentLevels();

  /** Adds a measurement. */
  record(level: number, weight: number, nowMs: number): void {
    const sample = { level, weight, atMs: nowMs };
    this.#samples.push(sample);
    // Dropped in bulk, as each drop copies the rest.
    if (this.#samples.length >= 2 * MAX_SAMPLES) this.#samples = this.#samples.slice(-MAX_SAMPLES);
    if (nowMs >= this.#spanEndMs) {
      this.#endSpan();
      this.#spanEndMs = (Math.floor(nowMs / SPAN_MS) + 1) * SPAN_MS;
    }
    if (this.#span.length < MAX_SAMPLES) this.#span.push(sample);
  }

  /** The median of the last {@link RECENT_MS}, with the weight of all; `null` if there is none. */
  latest(nowMs: number): { readonly level: number; readonly weight: number } | null {
    const samples = this.#since(nowMs - RECENT_MS);
    const weight = samples.reduce((sum, s) => sum + s.weight, 0);
    return weight > 0 ? { level: medianOf(samples), weight } : null;
  }

  /** As {@link RecentLevels.differentForMs}, of the measurements themselves. */
  differentForMs(usual: number, margin: number, nowMs: number): number {
    if (nowMs >= this.#spanEndMs) this.#endSpan();
    return this.#spans.differentForMs(usual, margin, nowMs);
  }

  #endSpan(): void {
    if (this.#span.length === 0) return;
    this.#spans.record(medianOf(this.#span), SPAN_MS, this.#spanEndMs);
    this.#span = [];
  }

  #since(fromMs: number): Sample[] {
    return this.#samples.slice(-MAX_SAMPLES).filter(({ atMs }) => atMs >= fromMs);
  }
}

function medianOf(samples: readonly Sample[]): number {
  return weightedMedian(samples.map(({ level, weight }) => ({ value: level, weight })));
}

/** The value at which half of the weight is reached. */
export function weightedMedian(
  items: readonly { readonly value: number; readonly weight: number }[],
): number {
  const sorted = [...items].sort((a, b) => a.value - b.value);
  const half = sorted.reduce((sum, { weight }) => sum + weight, 0) / 2;
  let sum = 0;
  for (const { value, weight } of sorted) {
    sum += weight;
    if (sum >= half) return value;
  }
  return 0;
}
