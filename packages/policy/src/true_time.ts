/**
 * Estimates the true time of day from the clocks of several hosts. Load pattern: reports of fixed windows of time, which
 * hosts whose clocks may step count together.
 *
 * @module
 */

/** One reading of another clock, as its distance from this process's monotonic clock. */
interface ClockSample {
  readonly offsetMs: number;
  readonly atMs: number;
}

/** Age from which a reading no longer counts: a few times the interval at which clocks are read. */
const MAX_SAMPLE_AGE_MS = 15_000;
/** Readings of one clock that are kept. The one that was under way for the shortest time shows the greatest distance. */
const MAX_SAMPLES = 4;
/** Distance from the last estimate of several clocks up to which a clock alone has not stepped: drift of some minutes. */
const MAX_DRIFT_MS = 1_000;
/**
 * Age up to which an estimate of several clocks tells more than this host's clock alone: that up to which gateways that
 * are not reached count as serving. A host that was suspended would otherwise never trust its clock again.
 */
const CONFIRMED_TTL_MS = 600_000;

/**
 * The median of the clocks that are known, this host's own among them. A clock that steps changes the estimate only if
 * half of the clocks do.
 *
 * @example
 * ```ts
 * const time = new TrueTime();
 * time.record("entry-2", { wallMs: msg.wallMs, nowMs: clock.now() });
 * const unixMs = time.at({ nowMs: clock.now(), wallMs: clock.wall() });
 * ```
 */
export class TrueTime {
  readonly #samples = new Map<string, ClockSample[]>();
  #offsetMs: number | null = null;
  /** The last estimate that several clocks have led to; `null` if it is too old. */
  #confirmed: ClockSample | null = null;

  /** Records a reading of another clock that has arrived at `nowMs` of this process's monotonic clock. */
  record(
    clock: string,
    { wallMs, nowMs }: { readonly wallMs: number; readonly nowMs: number },
  ): void {
    const samples = this.#samples.get(clock) ?? [];
    samples.push({ offsetMs: wallMs - nowMs, atMs: nowMs });
    this.#samples.set(clock, samples.slice(-MAX_SAMPLES));
  }

  /** Forgets a clock. */
  forget(clock: string): void {
    this.#samples.delete(clock);
  }

  /** The estimated true time in Unix milliseconds, at a reading of the monotonic clock and of the host's time of day. */
  at({ nowMs, wallMs }: { readonly nowMs: number; readonly wallMs: number }): number {
    const offsets = [wallMs - nowMs];
    for (const [clock, samples] of this.#samples) {
      const recent = samples.filter(({ atMs }) => nowMs - atMs <= MAX_SAMPLE_AGE_MS);
      if (recent.length === 0) this.#samples.delete(clock);
      else offsets.push(Math.max(...recent.map(({ offsetMs }) => offsetMs)));
    }
    if (nowMs - (this.#confirmed?.atMs ?? nowMs) > CONFIRMED_TTL_MS) this.#confirmed = null;
    const offsetMs = medianNearest(offsets, this.#confirmed?.offsetMs ?? this.#offsetMs);
    if (offsets.length > 1) this.#confirmed = { offsetMs, atMs: nowMs };
    this.#offsetMs = offsetMs;
    return nowMs + offsetMs;
  }

  /** Whether the last estimate is that of this host's clock alone, which has stepped since others have confirmed it. */
  get hasStepped(): boolean {
    if (this.#offsetMs === null || this.#confirmed === null) return false;
    return Math.abs(this.#offsetMs - this.#confirmed.offsetMs) > MAX_DRIFT_MS;
  }
}

/** The median; of two middle values the one nearer to `previous`, as two clocks cannot show which of them stepped. */
function medianNearest(values: readonly number[], previous: number | null): number {
  const sorted = [...values].sort((a, b) => a - b);
  const high = sorted[Math.floor(sorted.length / 2)]!;
  if (sorted.length % 2 === 1) return high;
  const low = sorted[sorted.length / 2 - 1]!;
  const target = previous ?? values[0]!;
  return Math.abs(low - target) <= Math.abs(high - target) ? low : high;
}
