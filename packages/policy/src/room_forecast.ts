/**
 * Forecasts when memory and slots become free for a generation over all engines of a service, from
 * what the runs of all gateways occupy and when they are expected to end.
 *
 * Load pattern: a burst of long generations that fills the memory of all engines, while some engines
 * leave and others join, so that a generation has to wait for the end of runs elsewhere.
 *
 * @module
 */

/** An expected end of a run, and the memory that it frees. */
export interface ExpectedEnd {
  readonly inMs: number;
  readonly tokens: number;
}

/** What is free at one engine, now and later. */
export interface EngineRoom {
  /** Memory that new runs may use now, in tokens; negative where the runs are forecast to outgrow it. */
  readonly freeTokens: number;
  readonly freeSlots: number;
  /** Time until the engine takes runs; 0 for one that serves, more for one that is expected to join. */
  readonly availableInMs: number;
  /** Expected ends of the runs at the engine, in any order. */
  readonly ends: readonly ExpectedEnd[];
}

/** Options of {@link placeTimes}. */
export interface PlaceTimesOptions {
  /** Memory that one generation needs at its peak, in tokens. */
  readonly needTokens: number;
  /** Time for which one generation occupies its place, in milliseconds. */
  readonly holdMs: number;
  /** Times beyond it are left out, in milliseconds. */
  readonly untilMs: number;
}

/** Largest number of places that are listed; a queue that is longer than this has no place within a useful time. */
const MAX_PLACES = 2_048;
/** Shortest time for which a place counts as occupied, so that a list of very short generations stays bounded. */
const MIN_HOLD_MS = 100;

/**
 * Times at which there is a place for one more generation, in ascending order; 0 stands for a place
 * that is free now. A place that is taken becomes free again after the time that a generation holds it.
 *
 * Memory is divided by engine, as a generation cannot use remainders of several engines.
 *
 * @example
 * ```ts
 * const engine = { freeTokens: 0, freeSlots: 2, availableInMs: 0, ends: [{ inMs: 400, tokens: 4_000 }] };
 * placeTimes([engine], { needTokens: 3_800, holdMs: 9_000, untilMs: 5_000 }); // [400]
 * ```
 */
export function placeTimes(
  engines: readonly EngineRoom[],
  { needTokens, holdMs, untilMs }: PlaceTimesOptions,
): number[] {
  const times: number[] = [];
  const need = Math.max(1, needTokens);
  const add = (atMs: number, count: number) => {
    for (let i = 0; i < count && times.length < MAX_PLACES; i++) times.push(atMs);
  };
  for (const { freeTokens, freeSlots, availableInMs, ends } of engines) {
    if (availableInMs > untilMs) continue;
    let tokens = freeTokens;
    let slots = freeSlots;
    let places = Math.max(0, Math.min(Math.floor(tokens / need), slots));
    add(availableInMs, places);
    for (const end of [...ends].sort((a, b) => a.inMs - b.inMs)) {
      if (end.inMs > untilMs) break;
      tokens += end.tokens;
      slots++;
      const placesNow = Math.max(0, Math.min(Math.floor(tokens / need), slots));
      add(Math.max(availableInMs, end.inMs), placesNow - places);
      places = Math.max(places, placesNow);
    }
  }
  times.sort((a, b) => a - b);
  return withReuse(times, Math.max(MIN_HOLD_MS, holdMs), untilMs);
}

/** Number of places that are free now. */
export function freePlaces(engines: readonly EngineRoom[], needTokens: number): number {
  return engines.reduce((sum, { freeTokens, freeSlots, availableInMs }) => {
    if (availableInMs > 0) return sum;
    return sum + Math.max(0, Math.min(Math.floor(freeTokens / Math.max(1, needTokens)), freeSlots));
  }, 0);
}

/** What competes with a generation for places. */
export interface Competition {
  /** Generations that are served before it, in places of its own size and duration. */
  readonly ahead: number;
  /** Rate at which further ones arrive that are served before it, in places per millisecond. */
  readonly arrivalsPerMs: number;
}

/**
 * Time until a generation is expected to start; `null` if there is no place for it within the times
 * that are listed.
 */
export function expectedStartMs(
  places: readonly number[],
  { ahead, arrivalsPerMs }: Competition,
): number | null {
  for (let i = Math.max(0, Math.ceil(ahead)); i < places.length; i++) {
    if (i >= ahead + arrivalsPerMs * places[i]!) return places[i]!;
  }
  return null;
}

/** Adds the times at which places become free again. */
function withReuse(times: readonly number[], holdMs: number, untilMs: number): number[] {
  const all: number[] = [...times];
  for (let i = 0; i < all.length && all.length < MAX_PLACES; i++) {
    const again = all[i]! + holdMs;
    if (again <= untilMs) all.push(again);
  }
  return all.sort((a, b) => a - b);
}
