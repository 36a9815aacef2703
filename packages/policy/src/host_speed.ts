/**
 * Measures by how much work takes longer here than on a whole core.
 *
 * Load pattern: a host with a quota of a core pauses the process for the rest of each 100 ms, so that no single pause is
 * long and all work takes several times as long; or other processes take turns with it. Both count as work of the event
 * loop in which no processor time passes.
 *
 * @module
 */

/** Totals since the start of the process, at one moment. */
export interface WorkSample {
  readonly nowMs: number;
  /** Time in which the event loop did not wait for events, in milliseconds. */
  readonly activeMs: number;
  /** Processor time, in milliseconds. */
  readonly cpuMs: number;
}

/** Time over which work is measured, in milliseconds: many periods of a quota, and short beside a grace period. */
const WINDOW_MS = 3_000;
/** Shortest time between samples that are kept, in milliseconds. */
const SAMPLE_INTERVAL_MS = 250;
/** Processor time below which a window says nothing, in milliseconds; hosts report it in steps of some milliseconds. */
const MIN_CPU_MS = 40;
/** Largest factor: a single long stall in the window is no measure of the work after it. */
const MAX_SLOWDOWN = 5;

/**
 * The speed of this host of late.
 *
 * @example
 * ```ts
 * const speed = new HostSpeed();
 * speed.record({ nowMs: 0, activeMs: 0, cpuMs: 0 });
 * speed.record({ nowMs: 1_000, activeMs: 800, cpuMs: 400 });
 * speed.slowdown; // 2
 * speed.utilisation; // 0.8
 * ```
 */
export class HostSpeed {
  readonly #samples: WorkSample[] = [];
  #last: WorkSample | null = null;

  record(sample: WorkSample): void {
    this.#last = sample;
    const samples = this.#samples;
    const newestMs = samples.at(-1)?.nowMs ?? -Infinity;
    if (sample.nowMs - newestMs < SAMPLE_INTERVAL_MS) return;
    samples.push(sample);
    while (samples.length > 1 && samples[1]!.nowMs <= sample.nowMs - WINDOW_MS) samples.shift();
  }

  /** Factor by which work takes longer than on a whole core, from 1 to {@link MAX_SLOWDOWN}; 1 while it is unknown. */
  get slowdown(): number {
    const { activeMs, cpuMs } = this.#window();
    if (cpuMs < MIN_CPU_MS) return 1;
    return Math.min(MAX_SLOWDOWN, Math.max(1, activeMs / cpuMs));
  }

  /** Fraction of the time in which the event loop did not wait for events. */
  get utilisation(): number {
    const { nowMs, activeMs } = this.#window();
    return nowMs === 0 ? 0 : activeMs / nowMs;
  }

  #window(): WorkSample {
    const first = this.#samples[0];
    const last = this.#last;
    if (first === undefined || last === null) return { nowMs: 0, activeMs: 0, cpuMs: 0 };
    return {
      nowMs: last.nowMs - first.nowMs,
      activeMs: last.activeMs - first.activeMs,
      cpuMs: last.cpuMs - first.cpuMs,
    };
  }
}
