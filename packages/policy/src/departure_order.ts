/**
 * Learns whether engines leave in the order of their ages, and which ones are therefore likely to stay. Load pattern:
 * every few seconds a sixth of the engines leave at once, so that a run can lose its engine and then the engine that
 * holds the copy of its memory.
 *
 * @module
 */

/** An engine as its registration describes it. */
export interface EngineStart {
  /** Unix time of its start; `null` if not reported. */
  readonly startedAtUnixMs: number | null;
}

/** Options of {@link DepartureOrder}. */
export interface DepartureOrderOptions {
  /** Time after which a departure counts half, in milliseconds. */
  readonly halfLifeMs?: number;
}

/** Long enough for several batches of departures, and short enough to follow an operator who changes the order. */
const DEFAULT_HALF_LIFE_MS = 20_000;
/** Departures needed before an order is assumed. */
const MIN_DEPARTURES = 6;
/** Standard deviation of a rank between 0 and 1 where each engine is as likely to leave as any other. */
const RANDOM_RANK_DEVIATION = Math.sqrt(1 / 12);
/** Distance of the mean rank from one half, in standard deviations of that mean, from which an order is assumed. */
const MIN_DEVIATIONS = 2.5;

/**
 * Records the departures of one service's engines.
 *
 * @example
 * ```ts
 * order.recordDeparture(engine, others, nowMs);
 * const safer = order.likelyToStay(candidates, (c) => c.row.record, nowMs);
 * ```
 */
export class DepartureOrder {
  readonly #halfLifeMs: number;
  #weight = 0;
  /** Sum of the squared weights, for the deviation of the weighted mean. */
  #squares = 0;
  #rankSum = 0;
  #atMs = -Infinity;

  constructor({ halfLifeMs = DEFAULT_HALF_LIFE_MS }: DepartureOrderOptions = {}) {
    this.#halfLifeMs = halfLifeMs;
  }

  /** Records that an engine leaves; `others` are those that were in service beside it. */
  recordDeparture(engine: EngineStart, others: readonly EngineStart[], nowMs: number): void {
    const startedAtMs = engine.startedAtUnixMs;
    const starts = others.map((o) => o.startedAtUnixMs).filter((ms) => ms !== null);
    if (startedAtMs === null || starts.length === 0) return;
    const older = starts.filter((ms) => ms < startedAtMs).length;
    const sameAge = starts.filter((ms) => ms === startedAtMs).length;
    this.#decay(nowMs);
    this.#weight++;
    this.#squares++;
    this.#rankSum += (older + sameAge / 2) / starts.length;
  }

  /** Which engines tend to leave first; `none` while no order shows. */
  first(nowMs: number): "oldest" | "youngest" | "none" {
    this.#decay(nowMs);
    if (this.#weight === 0) return "none";
    const departures = this.#weight ** 2 / this.#squares;
    if (departures < MIN_DEPARTURES || this.#weight < 1) return "none";
    const excess = this.#rankSum / this.#weight - 0.5;
    const deviations = Math.abs(excess) * Math.sqrt(departures) / RANDOM_RANK_DEVIATION;
    if (deviations < MIN_DEVIATIONS) return "none";
    return excess < 0 ? "oldest" : "youngest";
  }

  /**
   * The half of some engines that is likely to stay longer; all of them while no order shows, as then none is safer than
   * another.
   */
  likelyToStay<T>(engines: readonly T[], startOf: (engine: T) => EngineStart, nowMs: number): T[] {
    const first = this.first(nowMs);
    if (first === "none" || engines.length < 2) return [...engines];
    const sign = first === "oldest" ? -1 : 1;
    const known = engines.filter((e) => startOf(e).startedAtUnixMs !== null);
    const sorted = known.sort((a, b) =>
      sign * (startOf(a).startedAtUnixMs! - startOf(b).startedAtUnixMs!)
    );
    return sorted.slice(0, Math.ceil(engines.length / 2));
  }

  #decay(nowMs: number): void {
    if (this.#atMs !== -Infinity) {
      const factor = 0.5 ** (Math.max(0, nowMs - this.#atMs) / this.#halfLifeMs);
      this.#weight *= factor;
      this.#squares *= factor ** 2;
      this.#rankSum *= factor;
    }
    this.#atMs = nowMs;
  }
}
