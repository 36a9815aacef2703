/**
 * Decides how much memory is kept free for runs that are about to move off leaving engines.
 *
 * Load pattern: every few seconds a sixth of the engines leave with about two seconds of notice,
 * while a burst of new long generations takes every place that becomes free. The runs of the leaving
 * engines then find no memory and are cut, which costs a caller far more than a refusal does.
 *
 * @module
 */

/** Options of {@link DepartureForecast}. */
export interface DepartureForecastOptions {
  /** Time for which a departure counts towards the rate of departures, in milliseconds. */
  readonly windowMs?: number;
  /** Time within which the runs of leaving engines must have moved, in milliseconds. */
  readonly noticeMs?: number;
}

/** Twice the time between two groups of departures, 3.3 s, so that the rate does not drop between them. */
const DEFAULT_WINDOW_MS = 7_000;
/** Notices are of 1.5 to 2.1 s. */
const DEFAULT_NOTICE_MS = 2_000;
/** One departure is a planned change of one engine; more within the window are expected to go on. */
const MIN_DEPARTURES = 2;
/** Delay of joins that is assumed until some were observed, in milliseconds. */
const DEFAULT_JOIN_DELAY_MS = 4_000;
const JOIN_DELAY_WEIGHT = 0.3;
/** A join later than this after a departure does not replace the engine that left. */
const MAX_JOIN_DELAY_MS = 20_000;

/** Observes which engines of one service leave and join, and forecasts how many will. */
export class DepartureForecast {
  readonly #windowMs: number;
  readonly #noticeMs: number;
  #departuresMs: number[] = [];
  /** Departures whose engine has not been replaced. */
  #pendingMs: number[] = [];
  #joinDelayMs = DEFAULT_JOIN_DELAY_MS;
  #hasJoined = false;

  constructor({ windowMs, noticeMs }: DepartureForecastOptions = {}) {
    this.#windowMs = windowMs ?? DEFAULT_WINDOW_MS;
    this.#noticeMs = noticeMs ?? DEFAULT_NOTICE_MS;
  }

  /** Time within which the runs of leaving engines must have moved, in milliseconds. */
  get noticeMs(): number {
    return this.#noticeMs;
  }

  recordDeparture(nowMs: number): void {
    this.#departuresMs.push(nowMs);
    this.#pendingMs.push(nowMs);
  }

  recordJoin(nowMs: number): void {
    this.#forget(nowMs);
    const departedMs = this.#pendingMs.shift();
    if (departedMs === undefined) return;
    this.#hasJoined = true;
    this.#joinDelayMs += JOIN_DELAY_WEIGHT * (nowMs - departedMs - this.#joinDelayMs);
  }

  /** Number of engines that are expected to leave within the time of a notice. */
  expectedDepartures(nowMs: number): number {
    this.#forget(nowMs);
    const count = this.#departuresMs.length;
    return count < MIN_DEPARTURES ? 0 : count * this.#noticeMs / this.#windowMs;
  }

  /** Times until engines join in place of those that left; none until such a join was observed. */
  expectedJoinsInMs(nowMs: number): number[] {
    this.#forget(nowMs);
    if (!this.#hasJoined) return [];
    return this.#pendingMs
      .map((departedMs) => departedMs + this.#joinDelayMs - nowMs)
      // One that is overdue by as much as it was expected to take does not come.
      .filter((inMs) => inMs > -this.#joinDelayMs)
      .map((inMs) => Math.max(0, inMs));
  }

  #forget(nowMs: number): void {
    this.#departuresMs = this.#departuresMs.filter((atMs) => nowMs - atMs < this.#windowMs);
    this.#pendingMs = this.#pendingMs.filter((atMs) => nowMs - atMs < MAX_JOIN_DELAY_MS);
  }
}

/** What is known of the engines of a service when memory is reserved. */
export interface ReserveNeed {
  /** Engines that are expected to leave within the time of a notice. */
  readonly expectedDepartures: number;
  /** Mean memory of the runs at one engine that will not end within that time, in tokens. */
  readonly movingTokensPerEngine: number;
  /** Memory of the runs that are still at engines that leave, in tokens. */
  readonly leavingTokens: number;
  /** Memory of all engines that serve, in tokens. */
  readonly totalTokens: number;
}

/** Largest fraction of the memory that is reserved: beyond it, refusals cost more than cut runs. */
const MAX_RESERVED_FRACTION = 0.25;

/**
 * Memory to keep free over all engines, in tokens: for the runs of the engines that leave now, or of
 * those that are expected to leave next.
 */
export function reserveTokens(need: ReserveNeed): number {
  const expected = need.expectedDepartures * need.movingTokensPerEngine;
  return Math.min(
    MAX_RESERVED_FRACTION * need.totalTokens,
    Math.max(expected, need.leavingTokens),
  );
}

/** An engine on which memory may be reserved. */
export interface ReservableEngine {
  readonly id: string;
  readonly freeTokens: number;
  readonly freeSlots: number;
}

/** Fraction of the engines on which room is collected for generations that have waited long. */
const MAX_COLLECTING_FRACTION = 0.1;

/**
 * The engines with the most free memory, at which all of it is held back, so that room for `count`
 * large generations collects there instead of being taken by smaller ones as soon as it becomes free.
 */
export function collectingEngines<T extends ReservableEngine>(
  engines: readonly T[],
  count: number,
): T[] {
  const most = Math.max(1, Math.floor(MAX_COLLECTING_FRACTION * engines.length));
  return byFreeMemory(engines).slice(0, Math.min(count, most));
}

function byFreeMemory<T extends ReservableEngine>(engines: readonly T[]): T[] {
  return [...engines].sort((a, b) => b.freeTokens - a.freeTokens || (a.id < b.id ? -1 : 1));
}

/**
 * Divides a reserve among engines in units of one run, as a run that moves needs all its memory at
 * one engine. Engines with the most free memory come first. Where less is free than is to be
 * reserved, all that is free is reserved. Returns tokens by engine id.
 *
 * @example
 * ```ts
 * divideReserve(engines, { tokens: 12_000, unitTokens: 3_800 }).get("scribe-1"); // 3_800
 * ```
 */
export function divideReserve(
  engines: readonly ReservableEngine[],
  { tokens, unitTokens }: { readonly tokens: number; readonly unitTokens: number },
): Map<string, number> {
  const reserved = new Map<string, number>();
  if (tokens <= 0 || unitTokens <= 0) return reserved;
  let units = Math.ceil(tokens / unitTokens);
  const sorted = byFreeMemory(engines);
  for (let round = 1; units > 0; round++) {
    let hasAdded = false;
    for (const { id, freeTokens, freeSlots } of sorted) {
      if (units === 0) break;
      if (freeSlots < round || freeTokens < round * unitTokens) continue;
      reserved.set(id, round * unitTokens);
      units--;
      hasAdded = true;
    }
    if (!hasAdded) break;
  }
  return reserved;
}
