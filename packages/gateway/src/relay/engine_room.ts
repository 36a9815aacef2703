/**
 * Tells the dispatcher what room there is for generations: when one that no engine has room for can start, whether it
 * waits or is refused, how much memory is kept free for runs that leave their engines, and in which order generations
 * of several accounts are served.
 *
 * Load pattern: more generations arrive than engines have memory for, while engines leave and join.
 *
 * @module
 */
import type { RegionId, ServiceId } from "@wisteriapick/core";
import {
  collectingEngines,
  DecayingSum,
  decideStart,
  divideReserve,
  expectedStartMs,
  freePlaces,
  LATE_LEVEL,
  latestLateStart,
  levelOf,
  LevelShares,
  type QueuedGeneration as QueuedTimes,
  type QueueOrder,
  SHARED_PREFILL_TOKENS_PER_MS,
  type StartDecision,
  StartDelays,
} from "@wisteriapick/policy";
import type { QueuedDemand, RunLength } from "@wisteriapick/wire";
import type { EngineConfig } from "../config/types.ts";
import type { EndpointRow } from "../state/fleet.ts";
import type { RelayContext } from "./context.ts";
import { DemandBoard, type PeerQueue } from "./demand_board.ts";
import type { InboundRequest } from "./inbound.ts";
import { accountOf, digestOf } from "./request_digest.ts";
import {
  type ExpectedNeed,
  FORECAST_Z,
  type RoomSnapshot,
  RoomSnapshots,
} from "./room_snapshots.ts";
import type { RunRegistry } from "./run_registry.ts";
import type { StreamRun } from "./stream_run.ts";

/** Which of its decisions a deployment uses. */
export interface EngineRoomOptions {
  /** Whether generations for which no engine has room may start after their latest start on time. */
  readonly allowsLateStarts: boolean;
  /** Whether generations are refused as soon as no start in time is in sight. */
  readonly refusesEarly: boolean;
  /** Whether memory is kept free for runs that leave their engines. */
  readonly reservesForDepartures: boolean;
  /** Whether accounts share room evenly, and levels keep a minimum share. */
  readonly sharesFairly: boolean;
}

const DEFAULT_OPTIONS: EngineRoomOptions = {
  allowsLateStarts: false,
  refusesEarly: true,
  reservesForDepartures: true,
  sharesFairly: true,
};

/** A generation in the queue, as far as room for it is concerned. */
export interface QueuedNeed extends QueuedTimes {
  readonly run: StreamRun;
  readonly service: ServiceId;
  readonly engine: EngineConfig;
  readonly need: ExpectedNeed;
  /** Put off once it may start late. */
  dropAtMs: number;
  /** Whether engines were usable at the last attempt to place it, but none had room. */
  isBlockedByRoom: boolean;
}

/** A decision, with what it follows from. */
export interface RoomDecision {
  readonly decision: StartDecision;
  readonly startInMs: number | null;
  readonly lateStartInMs: number | null;
  readonly freeShare: number;
  readonly ahead: number;
}

/** Fraction of the target of the first event within which a start counts as on time, whatever the delays. */
const MIN_START_FRACTION = 0.25;
/** Fraction of the mean work below which a generation is not put off, whatever the share of its account. */
const SMALL_WORK_FRACTION = 0.25;
/** Weight of one generation in the mean work. */
const MEAN_WORK_WEIGHT = 0.02;
/** Time in which half of the evidence that room is scarce is forgotten, in milliseconds. */
const SCARCITY_HALF_LIFE_MS = 1_000;
/** Evidence of one generation that found no room, though it may still start on time. */
const SCARCE = 0.01;
/** Decisions against a start on time from which room counts as scarce; a forecast of one generation may be wrong. */
const MIN_SCARCITY = 10;
/** Shortest time over which queued generations are converted into places, in milliseconds. */
const MIN_SPAN_MS = 200;
/** Fraction of the time until its latest start after which a large generation is not overtaken by smaller ones. */
const AGED_FRACTION = 0.5;
/** Multiple of the mean memory of generations from which on one is large: room for it must be collected. */
const LARGE_FACTOR = 2;
/** Fraction of the memory of runs whose lengths are known from which on the forecast of their ends is used. */
const MIN_KNOWN_SHARE = 0.8;
/** Steps of the excess of accounts that are told apart between gateways. */
const EXCESS_STEPS = 8;
/** Forecasts room at engines, and decides who gets it. */
export class EngineRoom implements QueueOrder<QueuedNeed> {
  readonly demand: DemandBoard;
  readonly #ctx: RelayContext;
  readonly #registry: RunRegistry;
  readonly #options: EngineRoomOptions;
  readonly #queued: () => Iterable<QueuedNeed>;
  readonly #levels = new LevelShares();
  readonly #delays = new StartDelays();
  readonly #snapshots: RoomSnapshots;
  /** Recent decisions about generations that were not expected to start on time for want of room. */
  readonly #scarcity = new DecayingSum();
  /** Mean work of the generations that started recently. */
  #meanWork = 0;
  /** Mean memory of the generations that started recently, in tokens. */
  #meanTokens = 0;
  #starts = 0;
  #loggedReserve = false;

  constructor(
    ctx: RelayContext,
    registry: RunRegistry,
    /** Finds the generations in the queue. */
    queued: () => Iterable<QueuedNeed>,
    options: Partial<EngineRoomOptions> = {},
  ) {
    this.#queued = queued;
    this.#ctx = ctx;
    this.#registry = registry;
    this.#options = { ...DEFAULT_OPTIONS, ...options };
    this.demand = new DemandBoard(ctx.clock);
    this.demand.setQueueSource(() => this.#summarize(queued()));
    this.#snapshots = new RoomSnapshots(ctx, registry, this.#options.reservesForDepartures);
  }

  /** Whether generations without room are judged at all, rather than dropped at their latest start. */
  get judges(): boolean {
    return this.#options.refusesEarly || this.#options.allowsLateStarts;
  }

  /** Whether generations may start after their latest start on time. */
  get allowsLateStarts(): boolean {
    return this.#options.allowsLateStarts;
  }

  /** Whether decisions follow the forecast as soon as a generation finds no room. */
  get refusesEarly(): boolean {
    return this.#options.refusesEarly;
  }

  /** Whether generations found no room recently, so that several start together wherever some becomes free. */
  get isScarce(): boolean {
    return this.#options.refusesEarly &&
      this.#scarcity.at(this.#ctx.clock.now(), SCARCITY_HALF_LIFE_MS) >= SCARCE;
  }

  /** What a generation of a route is expected to need. */
  needOf(run: StreamRun): ExpectedNeed {
    const output = this.#registry.expectedRemaining(run.req.route.id, 0, run.maxTokens);
    return {
      tokens: run.promptTokens + output,
      holdMs: run.promptTokens / SHARED_PREFILL_TOKENS_PER_MS +
        output / this.#snapshots.outputTokensPerMs,
    };
  }

  /** Observes how long the first event of a run took that has just arrived. */
  recordFirstEvent(run: StreamRun): void {
    if (run.sends === 1) this.#delays.record(run.req.route.id, run.atEngineMs);
  }

  /**
   * Latest start of a request on time, by the delays of first events on its route; no later than `byMs`, which follows
   * from its prompt alone.
   */
  startBy({ route, arrivedAtMs }: InboundRequest, byMs: number): number {
    const delayMs = this.#delays.high(route.id);
    if (delayMs === null || !this.#options.refusesEarly) return byMs;
    const { targetLatencyMs } = route;
    const shortest = MIN_START_FRACTION * targetLatencyMs;
    return Math.min(byMs, arrivedAtMs + Math.max(shortest, targetLatencyMs - delayMs));
  }

  /** Observes how fast engines produce output, from a run that has ended at any gateway. */
  recordEnd(length: RunLength): void {
    this.#snapshots.recordEnd(length);
  }

  /** Records a generation that starts at an engine. */
  recordStart({ run, service, need, ...times }: QueuedNeed, nowMs: number): void {
    const level = levelOf(times, nowMs);
    this.#starts++;
    const weight = Math.max(MEAN_WORK_WEIGHT, 1 / this.#starts);
    this.#meanTokens += weight * (need.tokens - this.#meanTokens);
    this.#meanWork += weight * (workOf(need) - this.#meanWork);
    this.#levels.record(level, need.tokens, nowMs);
    this.demand.recordStart({
      service,
      account: accountOf(run.req),
      ...need,
      isOnTime: level < LATE_LEVEL,
    });
  }

  /** By how much the account of a generation is over its fair share of recent work. */
  excessOf({ run, need }: QueuedNeed): number {
    if (!this.#options.sharesFairly) return 0;
    // Where all can start on time, an order by shares would only make some of them late.
    if (this.#scarcity.at(this.#ctx.clock.now(), SCARCITY_HALF_LIFE_MS) < MIN_SCARCITY) return 0;
    // To put off a small one would make it late, and leave hardly any room to the others.
    if (workOf(need) < SMALL_WORK_FRACTION * this.#meanWork) return 0;
    return this.demand.work.excess(accountOf(run.req), this.#ctx.clock.now());
  }

  isStarved(level: number): boolean {
    // Late generations get what those on time leave over, as they are worth a fraction of these.
    if (!this.#options.sharesFairly || level >= LATE_LEVEL) return false;
    return this.#levels.isStarved(level, this.#ctx.clock.now());
  }

  /**
   * The latest start on time of a request that was refused before, here or at another gateway, and whose caller has come
   * back as told; `null` for any other.
   */
  takeReturn(req: InboundRequest): number | null {
    const { returning } = this.demand;
    return returning.size === 0 || !this.judges
      ? null
      : returning.take(digestOf(req), this.#ctx.clock.now());
  }

  /** Records that a request was refused for want of room, and that its caller is expected back. */
  recordRefusal(
    { run, service, need, startByMs, dueAtMs }: QueuedNeed,
    retryAfterMs: number,
  ): void {
    const now = this.#ctx.clock.now();
    if (now + retryAfterMs >= dueAtMs) return;
    this.demand.recordRefusal({
      digest: digestOf(run.req),
      inMs: Math.round(retryAfterMs),
      tokens: Math.round(need.tokens),
      startByInMs: Math.round(startByMs - now),
      service,
    });
  }

  /**
   * Memory to keep free at each of some engines against a generation, in tokens: for runs of leaving engines, unless it
   * ends before they need it, and for generations at other gateways that have waited longer or are more urgent.
   */
  reserved(
    queued: QueuedNeed,
    candidates: readonly {
      readonly row: EndpointRow;
      readonly running: number;
      readonly slots: number;
    }[],
  ): ReadonlyMap<string, number> | null {
    const { run, service, engine, need } = queued;
    const now = this.#ctx.clock.now();
    const yieldsToMoves = this.#snapshots.yieldsToMoves(service, need);
    const urgent = this.isAged(queued, now) ? [] : this.#urgentAtPeers(queued, now);
    const aged = this.#agedBefore(queued, now);
    if (!yieldsToMoves && urgent.length === 0 && aged === 0) return null;
    const snapshot = this.#snapshots.of(service, engine, run.req.route.regions);
    const { cap, unitTokens } = snapshot;
    const movingTokens = yieldsToMoves ? snapshot.reservedTokens : 0;
    if (movingTokens <= 0 && urgent.length === 0 && aged === 0) return null;
    const engines = candidates.map(({ row: { record: { id } }, running, slots }) => ({
      id: id as string,
      freeTokens: cap - this.#registry.load(id, now).forecast.peakTokens(FORECAST_Z),
      freeSlots: slots - running,
    }));
    const unit = unitTokens > 0 ? unitTokens : need.tokens;
    const collecting = new Set(aged === 0 ? [] : collectingEngines(engines, aged));
    const others = engines.filter((candidate) => !collecting.has(candidate));
    const anywhere = urgent.filter(({ regions = [] }) => regions.length === 0);
    const tokens = anywhere.reduce((sum, other) => sum + other.tokens, movingTokens);
    const reserved = divideReserve(others, { tokens, unitTokens: unit });
    for (const { regions = [], tokens } of urgent) {
      if (regions.length === 0) continue;
      const usable = new Set<string>(
        this.#ctx.fleet.usable(service, regions).map(({ record }) => record.id),
      );
      const within = others.filter(({ id }) => usable.has(id));
      for (const [id, held] of divideReserve(within, { tokens, unitTokens: unit })) {
        reserved.set(id, (reserved.get(id) ?? 0) + held);
      }
    }
    for (const { id } of collecting) reserved.set(id, engine.memoryTokens);
    return reserved;
  }

  /**
   * Decides about a queued generation that no engine has room for, behind those `before` it in the queue; `null` where
   * room is not the cause, or too little is known of the runs in its way, so that it is not judged by it.
   */
  decide(queued: QueuedNeed, before: readonly QueuedNeed[]): RoomDecision | null {
    const { run, service, engine, need, startByMs, dueAtMs } = queued;
    const { clock, rng } = this.#ctx;
    const now = clock.now();
    const snapshot = this.#snapshots.of(service, engine, run.req.route.regions);
    const total = snapshot.engines *
      Math.min(Math.floor(snapshot.cap / need.tokens), snapshot.slots);
    if (total <= 0) return null;
    if (!this.#isForecastKnown(snapshot, queued)) return null;
    const hasReturned = queued.hasReturned === true;
    const lateByMs = latestLateStart({ startByMs, dueAtMs, hasReturned, runMs: need.holdMs });
    const places = this.#snapshots.placesFor(snapshot, need);
    const reserved = this.#snapshots.yieldsToMoves(service, need)
      ? snapshot.reservedTokens / need.tokens
      : 0;
    const spanMs = Math.max(MIN_SPAN_MS, startByMs - now);
    const ahead = reserved + this.#placesAhead(queued, before, { spanMs, nowMs: now });
    const startInMs = expectedStartMs(places, { ahead, arrivalsPerMs: 0 });
    const lateSpanMs = Math.max(MIN_SPAN_MS, lateByMs - now);
    const lateStartInMs = expectedStartMs(places, {
      ahead: reserved + this.#placesAhead(queued, before, { spanMs: lateSpanMs, nowMs: now }),
      // Room for large ones is collected, so that arrivals do not take it.
      arrivalsPerMs: this.#isLarge(need)
        ? 0
        : this.demand.occupiedByArrivals(service) / (need.tokens * need.holdMs),
    });
    const freeShare = freePlaces(snapshot.rooms, need.tokens) / total;
    const { allowsLateStarts, refusesEarly } = this.#options;
    const decision = decideStart(
      {
        startByMs,
        lateByMs,
        dueAtMs,
        startInMs: refusesEarly ? startInMs : 0,
        lateStartInMs: refusesEarly ? lateStartInMs : 0,
        freeShare,
        hasReturned,
      },
      { allowsLate: allowsLateStarts, random: rng.next() },
      now,
    );
    this.#scarcity.add(SCARCE, now, SCARCITY_HALF_LIFE_MS);
    if (decision.type !== "wait") this.#scarcity.add(1, now, SCARCITY_HALF_LIFE_MS);
    this.#ctx.metrics.setStartForecast(startInMs);
    if (decision.type === "wait_late") queued.dropAtMs = Math.max(startByMs, lateByMs);
    return { decision, startInMs, lateStartInMs, freeShare, ahead };
  }

  /** Whether a forecast rests on runs that were observed, rather than on the lengths that are assumed before. */
  #isForecastKnown(snapshot: RoomSnapshot, { run, startByMs }: QueuedNeed): boolean {
    if (!this.#options.refusesEarly) return true;
    const { route, arrivedAtMs } = run.req;
    const waitMs = Math.max(route.targetLatencyMs, startByMs - arrivedAtMs);
    return this.#snapshots.knownShare(snapshot, waitMs) >= MIN_KNOWN_SHARE;
  }

  /** Announces what waits in the queue, and shows the forecast to operators. Called each tick. */
  tick(): void {
    this.demand.tick();
    const reserved = this.#snapshots.reservedTokens;
    this.#ctx.metrics.setReservedTokens(reserved);
    if (![...this.#queued()].some((queued) => queued.isBlockedByRoom)) {
      this.#ctx.metrics.setStartForecast(0);
    }
    if (reserved > 0 !== this.#loggedReserve) {
      this.#loggedReserve = reserved > 0;
      this.#ctx.log.state("engine_reserve", { reservedTokens: Math.round(reserved) });
    }
  }

  /** Whether a large generation has waited for so long that smaller ones must not take the room that it needs. */
  isAged({ need, arrivedAtMs, startByMs }: QueuedNeed, nowMs: number): boolean {
    return this.#options.sharesFairly && this.#isLarge(need) &&
      nowMs - arrivedAtMs > AGED_FRACTION * Math.max(0, startByMs - arrivedAtMs);
  }

  #isLarge({ tokens }: ExpectedNeed): boolean {
    return this.#starts > 0 && tokens > LARGE_FACTOR * this.#meanTokens;
  }

  /** Larger generations that have waited long, here and at peers, which one must not overtake. */
  #agedBefore(queued: QueuedNeed, nowMs: number): number {
    if (!this.#options.sharesFairly || this.#isLarge(queued.need)) return 0;
    let aged = 0;
    for (const other of this.#queued()) {
      if (competes(other, queued) && other.isBlockedByRoom && this.isAged(other, nowMs)) aged++;
    }
    for (const other of this.#competingAtPeers(queued)) aged += other.aged;
    return aged;
  }

  /** What waits in the queues of peers for engines that a generation may use. */
  #competingAtPeers({ service, run }: QueuedNeed): readonly PeerQueue[] {
    const all = this.demand.queuedAtPeers(service);
    const { regions } = run.req.route;
    return regions.length === 0 ? all : all.filter((other) => overlap(other.regions, regions));
  }

  /** What waits in the queues of peers and is to be served before a generation. */
  #urgentAtPeers(queued: QueuedNeed, nowMs: number): readonly PeerQueue[] {
    if (!this.#options.refusesEarly) return [];
    const others = this.#competingAtPeers(queued);
    if (others.length === 0) return others;
    const key = { precedence: this.#precedenceOf(queued, nowMs), startByMs: queued.startByMs };
    const urgent = others.filter((other) => isBefore(other, key));
    return urgent.length === 0 || this.isStarved(levelOf(queued, nowMs)) ? [] : urgent;
  }

  /** Place of a generation in the order of all gateways: its level, then the excess of its account. */
  #precedenceOf(queued: QueuedNeed, nowMs: number): number {
    const level = Math.max(0, levelOf(queued, nowMs));
    return level * EXCESS_STEPS + Math.min(EXCESS_STEPS - 1, this.excessOf(queued));
  }

  /** Generations that are served before one, in places of its size and duration. */
  #placesAhead(
    queued: QueuedNeed,
    before: readonly QueuedNeed[],
    { spanMs, nowMs }: { readonly spanMs: number; readonly nowMs: number },
  ): number {
    const { service, need } = queued;
    const level = levelOf(queued, nowMs);
    const precedence = this.#precedenceOf(queued, nowMs);
    let tokens = 0;
    for (const other of before) {
      if (!competes(other, queued) || !other.isBlockedByRoom) continue;
      tokens += other.need.tokens * Math.min(1, other.need.holdMs / spanMs);
    }
    for (const other of this.#competingAtPeers(queued)) {
      if (!isBefore(other, { precedence, startByMs: queued.startByMs })) continue;
      tokens += Math.min(other.tokens, other.tokenMs / spanMs);
    }
    // Callers that were told to come back have been promised the room until then.
    if (!queued.hasReturned) {
      const options = { service, includesLate: level >= LATE_LEVEL, nowMs };
      tokens += this.demand.returning.tokensDueWithin(spanMs, options);
    }
    return tokens / Math.max(1, need.tokens);
  }

  #summarize(queued: Iterable<QueuedNeed>): QueuedDemand[] {
    const now = this.#ctx.clock.now();
    const sums = new Map<string, { -readonly [K in keyof QueuedDemand]: QueuedDemand[K] }>();
    for (const generation of queued) {
      if (!generation.isBlockedByRoom || generation.need.tokens <= 0) continue;
      const { service, need, run: { req: { route: { regions } } } } = generation;
      const precedence = this.#precedenceOf(generation, now);
      const key = `${precedence}/${service}/${regions.join("+")}`;
      let sum = sums.get(key);
      if (sum === undefined) {
        sum = { service, precedence, startByInMs: 0, tokens: 0, tokenMs: 0, aged: 0 };
        if (regions.length > 0) sum.regions = regions;
        sums.set(key, sum);
      }
      sum.startByInMs += (generation.startByMs - now) * need.tokens;
      sum.tokens += need.tokens;
      sum.tokenMs += need.tokens * need.holdMs;
      if (this.isAged(generation, now)) sum.aged++;
    }
    return [...sums.values()].map((sum) => ({ ...sum, startByInMs: sum.startByInMs / sum.tokens }));
  }
}

/** Place of generations in the order of all gateways. */
interface OrderKey {
  readonly precedence: number;
  readonly startByMs: number;
}

/** Whether two generations in the queue may use the same engines. */
function competes(a: QueuedNeed, b: QueuedNeed): boolean {
  return a.service === b.service && overlap(a.run.req.route.regions, b.run.req.route.regions);
}

/** Whether some engines are in both lists of regions; without any region a list stands for all. */
function overlap(a: readonly RegionId[] = [], b: readonly RegionId[] = []): boolean {
  return a.length === 0 || b.length === 0 || a.some((region) => b.includes(region));
}

function isBefore(a: OrderKey, b: OrderKey): boolean {
  return a.precedence < b.precedence ||
    (a.precedence === b.precedence && a.startByMs < b.startByMs);
}

/** Memory that a generation occupies, over the time for which it does. */
function workOf({ tokens, holdMs }: ExpectedNeed): number {
  return tokens * holdMs;
}
