/**
 * The room at the engines of each service as of now, and when more becomes free.
 *
 * @module
 */
import type { EndpointId, RegionId, RouteId, ServiceId } from "@wisteriapick/core";
import {
  DepartureForecast,
  type EngineRoom as FreeRoom,
  placeTimes,
  reserveTokens,
  SHARED_PREFILL_TOKENS_PER_MS,
} from "@wisteriapick/policy";
import type { RunLength } from "@wisteriapick/wire";
import type { EngineConfig } from "../config/types.ts";
import type { EndpointChange } from "../state/fleet.ts";
import type { RelayContext } from "./context.ts";
import type { RunRegistry } from "./run_registry.ts";

/** What a generation is expected to need. */
export interface ExpectedNeed {
  /** Memory at its end, in tokens. */
  readonly tokens: number;
  /** Time from its start to its end, in milliseconds. */
  readonly holdMs: number;
}

/** The room at the engines of a service. */
export interface RoomSnapshot {
  readonly atMs: number;
  readonly rooms: readonly FreeRoom[];
  readonly cap: number;
  readonly slots: number;
  readonly engines: number;
  readonly totalTokens: number;
  readonly reservedTokens: number;
  readonly unitTokens: number;
  readonly places: Map<string, readonly number[]>;
  /** Runs at the engines by route. */
  readonly routes: ReadonlyMap<RouteId, RouteRuns>;
  /** Fraction of the memory of the runs whose lengths are known, by the time that they must have lasted. */
  readonly knownShares: Map<number, number>;
}

/** Runs of a route at engines. */
interface RouteRuns {
  tokens: number;
  /** Times for which they have produced output, in milliseconds. */
  readonly streamingMs: number[];
}

/** Time for which a forecast is reused, in milliseconds; runs end every few tens of milliseconds in a large fleet. */
const SNAPSHOT_TTL_MS = 100;
/** Times beyond it are not forecast: the generations that will start until then are not known yet. */
const FORECAST_MS = 20_000;
/** Fraction of the memory that generations may use, as in placement. */
const USABLE_FRACTION = 0.97;
/** Standard deviations above the mean that must fit, as in placement. */
export const FORECAST_Z = 1;
/** Output rate of one run until some have ended here, in tokens per millisecond. */
const DEFAULT_OUTPUT_TOKENS_PER_MS = 0.1;
/** Weight of one run in the observed output rate. */
const OUTPUT_RATE_WEIGHT = 0.1;
/** Output rates beyond these are no engine's, in tokens per millisecond: peers announce some. */
const MIN_OUTPUT_RATE = 0.001;
const MAX_OUTPUT_RATE = 2;
/** Output in tokens below which a run says little of the rate. */
const MIN_RATE_TOKENS = 64;
/** Time after the notice of a departure for which runs may still move off the engine, in milliseconds. */
const LEAVING_MS = 4_000;
/**
 * Ended runs from which on the lengths of a route are known, as a multiple of those that the prior of the lengths counts
 * as. With as many as it, streams of 40 tokens were expected to produce 208, with four times as many 66.
 */
const MIN_EVIDENCE = 4;
/** Runs in progress that have to outlast a wait before ends are known, to show that a route's runs take longer than it. */
const MIN_OUTLASTING = 12;
/** Needs and times that differ by less share a forecast. */
const NEED_STEP_TOKENS = 256;
const HOLD_STEP_MS = 500;

/** Computes the room at engines from the runs of all gateways, and from engines that leave and join. */
export class RoomSnapshots {
  readonly #ctx: RelayContext;
  readonly #registry: RunRegistry;
  readonly #reserves: boolean;
  readonly #departures = new Map<ServiceId, DepartureForecast>();
  readonly #snapshots = new Map<string, RoomSnapshot>();
  #outputTokensPerMs = DEFAULT_OUTPUT_TOKENS_PER_MS;

  /** `reserves` says whether memory is kept free for runs that leave their engines. */
  constructor(ctx: RelayContext, registry: RunRegistry, reserves: boolean) {
    this.#ctx = ctx;
    this.#registry = registry;
    this.#reserves = reserves;
    ctx.fleet.registerEndpointListener((change) => this.#recordChange(change));
  }

  /** Output rate of one run, in tokens per millisecond. */
  get outputTokensPerMs(): number {
    return this.#outputTokensPerMs;
  }

  /** Memory that is kept free now for runs that leave their engines, in tokens. */
  get reservedTokens(): number {
    let tokens = 0;
    for (const { reservedTokens, atMs } of this.#snapshots.values()) {
      if (this.#ctx.clock.now() - atMs < 2 * SNAPSHOT_TTL_MS) tokens += reservedTokens;
    }
    return tokens;
  }

  /** Whether a generation takes longer than leaving engines wait, so that it must leave room for their runs. */
  yieldsToMoves(service: ServiceId, { holdMs }: ExpectedNeed): boolean {
    const departures = this.#departures.get(service);
    return departures !== undefined && holdMs > departures.noticeMs;
  }

  /** Observes how fast engines produce output, from a run that has ended. */
  recordEnd({ tokens, isComplete, streamingMs }: RunLength): void {
    if (!isComplete || tokens < MIN_RATE_TOKENS || streamingMs <= 0) return;
    const rate = tokens / streamingMs;
    if (rate < MIN_OUTPUT_RATE || rate > MAX_OUTPUT_RATE) return;
    this.#outputTokensPerMs += OUTPUT_RATE_WEIGHT * (rate - this.#outputTokensPerMs);
  }

  /** Times at which there is a place for a generation. */
  placesFor(snapshot: RoomSnapshot, { tokens, holdMs }: ExpectedNeed): readonly number[] {
    const needTokens = NEED_STEP_TOKENS * Math.ceil(tokens / NEED_STEP_TOKENS);
    const hold = HOLD_STEP_MS * Math.ceil(holdMs / HOLD_STEP_MS);
    const key = `${needTokens}/${hold}`;
    let places = snapshot.places.get(key);
    if (places === undefined) {
      const options = { needTokens, holdMs: hold, untilMs: FORECAST_MS };
      places = placeTimes(snapshot.rooms, options);
      snapshot.places.set(key, places);
    }
    return places;
  }

  /**
   * Fraction of the memory of all runs at engines that is of routes whose lengths are known: many runs ended, or many
   * in progress have produced output for longer than `waitMs`. 1 without runs.
   */
  knownShare({ routes, knownShares }: RoomSnapshot, waitMs: number): number {
    let share = knownShares.get(waitMs);
    if (share !== undefined) return share;
    let total = 0;
    let known = 0;
    for (const [route, { tokens, streamingMs }] of routes) {
      total += tokens;
      const outlasting = streamingMs.filter((ms) => ms >= waitMs).length;
      if (outlasting >= MIN_OUTLASTING || this.#registry.evidence(route) >= MIN_EVIDENCE) {
        known += tokens;
      }
    }
    share = total > 0 ? known / total : 1;
    knownShares.set(waitMs, share);
    return share;
  }

  /** The room at the engines of a service in some regions, at most {@link SNAPSHOT_TTL_MS} old. */
  of(service: ServiceId, engine: EngineConfig, regions: readonly RegionId[]): RoomSnapshot {
    const now = this.#ctx.clock.now();
    const key = `${service}/${regions.join("+")}`;
    const known = this.#snapshots.get(key);
    if (known !== undefined && now - known.atMs < SNAPSHOT_TTL_MS) return known;
    const snapshot = this.#computeSnapshot(service, engine, regions, now);
    this.#snapshots.set(key, snapshot);
    return snapshot;
  }

  #computeSnapshot(
    service: ServiceId,
    engine: EngineConfig,
    regions: readonly RegionId[],
    nowMs: number,
  ): RoomSnapshot {
    const { fleet } = this.#ctx;
    const cap = USABLE_FRACTION * engine.memoryTokens;
    const departures = this.#departures.get(service);
    const noticeMs = departures?.noticeMs ?? 0;
    const rooms: FreeRoom[] = [];
    const routes = new Map<RouteId, RouteRuns>();
    let movingTokens = 0;
    let movingRuns = 0;
    const usable = fleet.usable(service, regions);
    for (const { record, coldUntilMs } of usable) {
      const { forecast, running } = this.#registry.load(record.id, nowMs);
      const runs = this.#endsOf(record.id, nowMs);
      const total = runs.reduce((sum, { tokens }) => sum + tokens, 0);
      const peak = forecast.peakTokens(FORECAST_Z);
      // The peak of all runs together is less than the sum of their peaks, as they do not end at once.
      const scale = total > 0 ? Math.min(1, peak / total) : 1;
      for (const { route, streamingMs, inMs, tokens } of runs) {
        let ofRoute = routes.get(route);
        if (ofRoute === undefined) routes.set(route, ofRoute = { tokens: 0, streamingMs: [] });
        ofRoute.tokens += tokens;
        ofRoute.streamingMs.push(streamingMs);
        if (inMs <= noticeMs) continue;
        movingTokens += tokens;
        movingRuns++;
      }
      rooms.push({
        freeTokens: cap - peak,
        freeSlots: Math.min(engine.slots, record.slots) - running,
        availableInMs: this.#coldMs(service, coldUntilMs, nowMs),
        ends: runs.map(({ inMs, tokens }) => ({ inMs, tokens: scale * tokens })),
      });
    }
    for (const inMs of departures?.expectedJoinsInMs(nowMs) ?? []) {
      rooms.push({
        freeTokens: cap,
        freeSlots: engine.slots,
        // An engine that is expected now does not serve yet.
        availableInMs: Math.max(SNAPSHOT_TTL_MS, inMs),
        ends: [],
      });
    }
    const totalTokens = cap * usable.length;
    const reservedTokens = departures === undefined || !this.#reserves ? 0 : reserveTokens({
      expectedDepartures: departures.expectedDepartures(nowMs),
      movingTokensPerEngine: movingTokens / Math.max(1, usable.length),
      leavingTokens: this.#leavingTokens(service, noticeMs, nowMs),
      totalTokens,
    });
    return {
      atMs: nowMs,
      rooms,
      cap,
      slots: engine.slots,
      engines: usable.length,
      totalTokens,
      reservedTokens,
      unitTokens: movingRuns > 0 ? movingTokens / movingRuns : 0,
      places: new Map(),
      routes,
      knownShares: new Map(),
    };
  }

  /** Memory of the runs that still have to move off engines that leave, in tokens. */
  #leavingTokens(service: ServiceId, noticeMs: number, nowMs: number): number {
    let tokens = 0;
    for (const row of this.#ctx.fleet.ofService(service)) {
      if (row.phase !== "leaving" || nowMs - row.phaseSinceMs > LEAVING_MS) continue;
      const leftMs = Math.max(0, noticeMs - (nowMs - row.phaseSinceMs));
      for (const end of this.#endsOf(row.record.id, nowMs)) {
        if (end.inMs > leftMs) tokens += end.tokens;
      }
    }
    return tokens;
  }

  #endsOf(endpoint: EndpointId, nowMs: number) {
    return this.#registry.expectedRuns(endpoint, nowMs).map((run) => ({
      inMs: run.pendingPrefillTokens / SHARED_PREFILL_TOKENS_PER_MS +
        run.remainingTokens / this.#outputTokensPerMs,
      tokens: run.peakTokens,
      route: run.route,
      streamingMs: run.streamingMs,
    }));
  }

  /** Time for which the cold-start limit of an engine holds, in milliseconds. */
  #coldMs(service: ServiceId, coldUntilMs: number, nowMs: number): number {
    const perSecond = this.#ctx.fleet.routes?.service(service)?.coldPerSecond ?? 0;
    return perSecond === 0 ? 0 : Math.max(0, coldUntilMs - nowMs);
  }

  #recordChange({ before, after, restarted }: EndpointChange): void {
    const record = (after ?? before)?.record;
    if (record === undefined) return;
    this.#snapshots.clear();
    const now = this.#ctx.clock.now();
    const isServing = after !== null && after.phase !== "leaving";
    const wasServing = before !== null && before.phase !== "leaving";
    if (wasServing && !isServing) this.#departuresOf(record.service).recordDeparture(now);
    if (isServing && (!wasServing || restarted)) this.#departuresOf(record.service).recordJoin(now);
  }

  #departuresOf(service: ServiceId): DepartureForecast {
    let departures = this.#departures.get(service);
    if (departures === undefined) {
      this.#departures.set(service, departures = new DepartureForecast());
    }
    return departures;
  }
}
