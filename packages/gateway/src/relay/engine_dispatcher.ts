/**
 * Places generations on engines, and queues those for which no engine has room.
 *
 * @module
 */
import type { EndpointId, RegionId, ServiceId } from "@wisteriapick/core";
import {
  chooseEngine,
  type EngineChoice,
  type EnginePlacementOptions,
  EngineQueue,
  fitsEmptyEngine,
  type ForecastItem,
  LATE_LEVEL,
  levelOf,
  type MemoryForecast,
  OutlierEjection,
  PrefixDirectory,
  SHARED_PREFILL_TOKENS_PER_MS,
  shouldAwaitOther,
} from "@wisteriapick/policy";
import type { EndpointRecord, EngineConfig } from "../config/types.ts";
import type { EngineRefusalCause } from "../observe/metrics.ts";
import { runAll } from "../observe/run_all.ts";
import { ANOTHER_AT_ADDRESS, type EndpointRow } from "../state/fleet.ts";
import { isWithinColdLimit } from "./cold_limit.ts";
import type { RelayContext } from "./context.ts";
import type { InboundRequest, PromptSegment, Responder } from "./inbound.ts";
import {
  EngineRoom,
  type EngineRoomOptions,
  type QueuedNeed,
  type RoomDecision,
} from "./engine_room.ts";
import { GapPlacement } from "./gap_placement.ts";
import { isEndPlanned } from "./planned_end.ts";
import { RunLengths } from "./run_lengths.ts";
import { RunRegistry } from "./run_registry.ts";
import { type RunLoss, StreamRun } from "./stream_run.ts";
import { chooseService } from "./service_choice.ts";

/** An engine as a candidate for one generation, with its load. */
export interface EngineWithLoad {
  readonly row: EndpointRow;
  readonly forecast: MemoryForecast;
  readonly reservedTokens: number;
  readonly memoryTokens: number;
  readonly running: number;
  readonly slots: number;
  readonly pendingPrefillTokens: number;
  readonly cachedPromptTokens: number;
  readonly isLocal: boolean;
  /** Speed relative to the other engines of the service; 1 unless it differs measurably. */
  readonly speed: number;
}

/** Selects the engines that are candidates. */
export interface CandidateFilter {
  readonly regions: readonly RegionId[];
  /** Segments of the prompt, which some engines may have cached. */
  readonly promptSegments?: readonly PromptSegment[];
  readonly excluded?: ReadonlySet<EndpointId>;
  /** Id of the request, where a move between versions decides which engines it may go to. */
  readonly requestId?: string;
}

/** Callbacks of the dispatcher. */
export interface DispatcherEvents {
  onEnd(run: StreamRun): void;
  /** An engine did not take a run, or lost it. Returns whether the run was resumed at an engine. */
  onLost(run: StreamRun, loss: RunLoss): boolean;
}

const NO_EXCLUSIONS: ReadonlySet<EndpointId> = new Set();
/** Retry delay given to callers for which there was no room, in milliseconds: about the time until some run ends. */
const RETRY_AFTER_FULL_MS = 600;
/** Bound of the sends of one run, for services whose engines all fail before anything is sent. */
const MAX_SENDS = 32;
/** Largest number of engines whose permits are asked for at once for one generation. */
const MAX_PERMIT_TURNS = 4;
/** Retry delay given to callers while no engine is usable, in milliseconds. */
const RETRY_AFTER_NO_ENDPOINT_MS = 500;
/** Time to the first event in addition to the prefill of the prompt, in milliseconds. */
const FIRST_EVENT_OVERHEAD_MS = 150;
/**
 * Time for which a stream whose engine crashed before its response began is kept back, in milliseconds: such a request
 * is reported to all gateways 150 ms after the crash, and until then nothing keeps it from crashing a second engine.
 */
const CRASH_REPORT_MS = 160;
/** Assumed output rate of one run, in tokens per millisecond. */
const OUTPUT_TOKENS_PER_MS = 0.1;
/** Engine priority of requests with rank 0 at the gateway; further ranks follow it. */
const ENGINE_PRIORITY_BASE = 3;
const ENGINE_PRIORITY_MAX = 9;

/** Queues generations, places them on engines, and handles the end and the loss of their runs. */
export class EngineDispatcher {
  readonly registry: RunRegistry;
  readonly gaps: GapPlacement;
  /** Forecast of the room at engines, and what gateways tell each other of their demand for it. */
  readonly room: EngineRoom;
  /** Output lengths of the runs of all gateways. */
  readonly lengths: RunLengths;
  readonly #ctx: RelayContext;
  readonly #events: DispatcherEvents;
  readonly #queue: EngineQueue<QueuedNeed>;
  readonly #prefixes = new PrefixDirectory();
  readonly #ejection = new OutlierEjection();
  readonly #runs = new Set<StreamRun>();
  /** The engine for which a queued generation has asked for a permit. */
  readonly #awaitedPermits = new WeakMap<QueuedNeed, EndpointId>();
  readonly #services = new Map<StreamRun, { service: ServiceId; engine: EngineConfig }>();
  #tokensPerMs = OUTPUT_TOKENS_PER_MS;

  constructor(
    ctx: RelayContext,
    events: DispatcherEvents,
    roomOptions: Partial<EngineRoomOptions> = {},
  ) {
    this.#ctx = ctx;
    this.#events = events;
    this.gaps = new GapPlacement({
      ctx,
      loadOf: (endpoint, nowMs) => this.registry.load(endpoint, nowMs),
    });
    this.lengths = new RunLengths({
      routes: () => ctx.fleet.routes,
      onEnd: (length) => this.room.recordEnd(length),
    });
    this.registry = new RunRegistry({
      lengths: this.lengths.estimator,
      tokensPerMs: () => this.#tokensPerMs,
      speedOf: (endpoint, nowMs) => ctx.speeds.effectiveSpeed(endpoint, nowMs),
      queuesPrefill: (endpoint, nowMs) => this.gaps.hasDifferences(endpoint, nowMs),
      gapTargetOf: (route) => this.gaps.targetOf(route),
    });
    this.room = new EngineRoom(ctx, this.registry, () => this.#queue.all(), roomOptions);
    this.#queue = new EngineQueue(this.room);
    ctx.crashes.registerListener(() => this.#refuseRunning());
    ctx.limits.registerListener(0, () => {
      if (this.#queue.size > 0) this.#dispatchQueue(ctx.clock.now());
    });
    ctx.fleet.registerEndpointListener(({ id, after, restarted }) => {
      if (after === null || restarted) this.#prefixes.forgetEndpoint(id);
    });
  }

  /** Number of queued generations. */
  get queueLength(): number {
    return this.#queue.size;
  }

  /** Generations in progress, queued ones included. */
  get runs(): ReadonlySet<StreamRun> {
    return this.#runs;
  }

  /** Takes a new generation: places it, queues it, or fails it where its route has no engine. */
  submit(req: InboundRequest, responder: Responder): void {
    const { fleet, rng, clock } = this.#ctx;
    const service = chooseService(fleet, req.route, rng);
    const engine = service === null ? null : fleet.routes?.service(service)?.engine ?? null;
    const run = new StreamRun({
      ctx: this.#ctx,
      req,
      responder,
      tokensPerEvent: engine?.tokensPerEvent ?? 1,
      events: {
        onLoss: (r, loss) => this.#onRunLoss(r, loss),
        onEnd: (r) => this.#onRunEnd(r),
        onProgress: (r) => this.#onRunProgress(r),
        onGaps: (r, gaps) => this.gaps.recordGaps(r, gaps),
      },
    });
    this.#runs.add(run);
    this.#contain(run, () => {
      run.start();
      if (service === null || engine === null) {
        return run.fail({
          reason: "no_endpoint",
          notRun: true,
          retryAfterMs: RETRY_AFTER_NO_ENDPOINT_MS,
        });
      }
      this.#enqueue(run, service, engine);
      this.#dispatchQueue(clock.now());
    });
  }

  /** Does something for one run. An error ends that run only, so that those behind it in the queue are placed. */
  #contain(run: StreamRun, work: () => void): void {
    this.#ctx.errors.run("queued_stream", work, () => run.failInternally());
  }

  /** Places queued generations, and rejects those that can no longer start in time. Called each tick. */
  tick(): void {
    const now = this.#ctx.clock.now();
    if (this.#queue.size > 0) this.#dispatchQueue(now);
    this.room.tick();
    this.#ctx.metrics.setEngineLoad(this.#queue.size, this.#runs.size - this.#queue.size);
  }

  /** Engines of a service that may take a generation, with their load. */
  candidates(
    service: ServiceId,
    engine: EngineConfig,
    { regions, promptSegments = [], excluded = NO_EXCLUSIONS, requestId }: CandidateFilter,
  ): EngineWithLoad[] {
    const { fleet, upstreams, clock, dataCentre, speeds } = this.#ctx;
    const now = clock.now();
    this.#ejection.update(fleet.ofService(service).map((row) => upstreams.of(row)), now);
    const usable = fleet.usable(service, regions).filter((row) =>
      !excluded.has(row.record.id) && isWithinColdLimit(this.#ctx, row, now)
    );
    const rows = requestId === undefined
      ? usable
      : this.#ctx.moves.allowedEndpoints(service, usable, requestId);
    const healthy = rows.filter((row) => upstreams.of(row).isHealthy(now));
    const segmentCounts = this.#prefixes.lookup(promptSegments.map((segment) => segment.id));
    return (healthy.length > 0 ? healthy : rows).map((row) => {
      const { forecast, running, pendingPrefillTokens } = this.registry.load(
        row.record.id,
        now,
      );
      const count = segmentCounts.get(row.record.id) ?? 0;
      return {
        row,
        forecast,
        reservedTokens: 0,
        memoryTokens: engine.memoryTokens,
        running,
        slots: Math.min(engine.slots, row.record.slots),
        pendingPrefillTokens,
        cachedPromptTokens: promptSegments.slice(0, count).reduce((sum, s) => sum + s.tokens, 0),
        isLocal: row.record.dataCentre === dataCentre,
        speed: speeds.effectiveSpeed(row.record.id, now),
      };
    });
  }

  /** Priority of a run at its engine. */
  enginePriority(run: StreamRun): number {
    return Math.min(ENGINE_PRIORITY_MAX, ENGINE_PRIORITY_BASE + rankOf(run.req));
  }

  #enqueue(run: StreamRun, service: ServiceId, engine: EngineConfig): void {
    const { req } = run;
    const prefillMs = run.promptTokens / SHARED_PREFILL_TOKENS_PER_MS + FIRST_EVENT_OVERHEAD_MS;
    this.#services.set(run, { service, engine });
    // A run that has to be sent anew has missed its target; it is of use until its caller leaves.
    const onTimeByMs = run.mayHaveRun
      ? req.dueAtMs - prefillMs
      : req.arrivedAtMs + Math.max(req.route.targetLatencyMs - prefillMs, prefillMs);
    const returnedByMs = run.mayHaveRun ? null : this.room.takeReturn(req);
    const startByMs = run.mayHaveRun ? onTimeByMs : this.room.startBy(req, onTimeByMs);
    this.#queue.add({
      run,
      service,
      engine,
      rank: rankOf(req),
      arrivedAtMs: req.arrivedAtMs,
      startByMs: returnedByMs ?? startByMs,
      dropAtMs: onTimeByMs,
      dueAtMs: req.dueAtMs,
      need: this.room.needOf(run),
      hasReturned: returnedByMs !== null,
      isBlockedByRoom: false,
    });
  }

  #dispatchQueue(now: number): void {
    const order = this.#queue.inOrder(now);
    /** Smallest need for which no engine had room in this pass, by the engines that were in question. */
    const blockedTokens = new Map<string, number>();
    for (const queued of order) {
      // The end of another run dispatches the queue as well.
      if (!this.#queue.has(queued)) continue;
      const { service, run } = queued;
      const engines = `${service}/${run.req.route.regions.join("+")}`;
      const blocked = blockedTokens.get(engines) ?? Infinity;
      // Late generations may be many where they may wait. One that needs as much as another one found no room for is not
      // offered. Otherwise they have no other turn, and the other one may wait for something else.
      const isHopeless = this.room.allowsLateStarts && levelOf(queued, now) === LATE_LEVEL &&
        queued.need.tokens >= blocked &&
        !this.room.isAged(queued, now);
      if (!isHopeless) this.#contain(run, () => this.#dispatch(queued, now));
      else queued.isBlockedByRoom = true;
      if (queued.isBlockedByRoom && this.#queue.has(queued)) {
        blockedTokens.set(engines, Math.min(blocked, queued.need.tokens));
      }
    }
    if (blockedTokens.size > 0 && this.room.judges) this.#decideBlocked(order);
    for (const queued of this.#queue.expired(now)) {
      this.#queue.remove(queued);
      this.#contain(queued.run, () => this.#refuse(queued, "not_startable", RETRY_AFTER_FULL_MS));
    }
  }

  /** Refuses the generations that no engine will have room for in time. `order` is that of the queue. */
  #decideBlocked(order: readonly QueuedNeed[]): void {
    const before: QueuedNeed[] = [];
    for (const queued of order) {
      if (!this.#queue.has(queued) || !queued.isBlockedByRoom) continue;
      this.#contain(queued.run, () => {
        const decided = this.room.decide(queued, before);
        if (decided?.decision.type !== "refuse") return void before.push(queued);
        const { decision: { retryAfterMs }, ...forecast } = decided;
        this.#queue.remove(queued);
        const { run: { id }, hasReturned, rank } = queued;
        this.#ctx.log.request("no_room", { req: id, rank, hasReturned, ...rounded(forecast) });
        // A caller who is not told that its request never ran is not expected back.
        if (!queued.run.mayHaveRun) this.room.recordRefusal(queued, retryAfterMs);
        this.#refuse(queued, "no_room", retryAfterMs);
      });
    }
  }

  #refuse({ run }: QueuedNeed, cause: EngineRefusalCause, retryAfterMs: number): void {
    this.#ctx.metrics.countEngineRefusal(run.req.account?.id ?? "", cause);
    run.fail({ reason: "overloaded", notRun: true, retryAfterMs });
  }

  /** Places a queued generation, rejects it, or leaves it in the queue. */
  #dispatch(queued: QueuedNeed, now: number): void {
    queued.isBlockedByRoom = false;
    const refusal = queued.run.refusalToSend();
    if (refusal !== null) {
      this.#queue.remove(queued);
      return queued.run.fail(refusal);
    }
    const awaited = this.#awaitedPermits.get(queued);
    if (awaited !== undefined && this.#ctx.limits.isAsking(awaited)) return;
    this.#awaitedPermits.delete(queued);
    const admission = this.#ctx.crashes.admission(queued.run.req);
    if (admission.type === "wait") return;
    if (admission.type === "refused") {
      this.#queue.remove(queued);
      const { retryAfterMs, trait } = admission;
      return queued.run.fail({ reason: "quarantined", notRun: true, retryAfterMs, trait });
    }
    const choice = this.#choose(queued, { isTrial: admission.isTrial, now });
    if (choice === "limited") {
      this.#queue.remove(queued);
      const retryAfterMs = this.#permitWaitMs(queued);
      return queued.run.fail({ reason: "overloaded", notRun: true, retryAfterMs });
    }
    if (choice === null) return;
    this.#queue.remove(queued);
    this.#place(queued, choice, now);
  }

  /**
   * Chooses an engine; `limited` if all are limited and none can take the generation in its time. A trial, which may
   * crash its engine, goes to one of those with the fewest runs where these have room.
   */
  #choose(
    queued: QueuedNeed,
    { isTrial, now }: { readonly isTrial: boolean; readonly now: number },
  ): EngineChoice<EngineWithLoad> | "limited" | null {
    const { run, service, engine, rank, startByMs } = queued;
    const item = run.forecastItem(this.registry.curve(run.req.route.id));
    const { route, generation } = run.req;
    const filter = {
      regions: route.regions,
      promptSegments: generation?.promptSegments,
      excluded: run.triedEngines,
      requestId: run.id,
    };
    const subject = { route: route.id, service, tokensPerEvent: run.tokensPerEvent };
    const options = {
      firstEventTargetMs: route.targetLatencyMs,
      ...this.gaps.costs(item, { ...subject, needsPrefill: true }),
    };
    const { limits } = this.#ctx;
    const pausedForMs = this.#ctx.fleet.pausedForMs(service, route.regions);
    if (pausedForMs !== null) return now + pausedForMs > startByMs ? "limited" : null;
    const all = this.#withScarcity(queued, this.candidates(service, engine, filter));
    // Each turn without a result has asked for a permit of one engine and was refused it at once.
    for (let turn = 0; turn < MAX_PERMIT_TURNS; turn++) {
      const eligible = all.filter(({ row: { record } }) =>
        limits.mayTake(record.id) || limits.mayAsk(record.id)
      );
      if (eligible.length === 0 && all.length > 0) {
        return now + this.#permitWaitMs(queued) > startByMs ? "limited" : null;
      }
      const choice = this.#chooseAmong(item, eligible, { ...options, isTrial });
      if (choice === null) {
        queued.isBlockedByRoom = all.length > 0 && fitsEmptyEngine(item, engine.memoryTokens);
        return null;
      }
      if (!isTrial && this.#awaitsOther(queued, choice, eligible, now)) {
        queued.isBlockedByRoom = true;
        return null;
      }
      const { id } = choice.candidate.row.record;
      if (limits.mayTake(id)) return choice;
      const hasOthers = all.some(({ row }) => limits.mayTake(row.record.id));
      limits.request(id, { rank, waitMs: hasOthers ? 0 : startByMs - now });
      if (limits.mayTake(id)) return choice;
      if (limits.isAsking(id)) {
        this.#awaitedPermits.set(queued, id);
        return null;
      }
    }
    return null;
  }

  /** Whether a generation would be late at the engine with the shortest queue of prompts, and another may have room soon. */
  #awaitsOther(
    { run, startByMs }: QueuedNeed,
    { usualFirstEventMs: firstEventMs }: EngineChoice<EngineWithLoad>,
    candidates: readonly EngineWithLoad[],
    now: number,
  ): boolean {
    const { route, arrivedAtMs } = run.req;
    const targetByMs = arrivedAtMs + route.targetLatencyMs;
    if (!this.room.refusesEarly || now + firstEventMs <= targetByMs) return false;
    const item = run.forecastItem(this.registry.curve(route.id));
    const withRoom = candidates.filter((candidate) => chooseEngine(item, [candidate]) !== null);
    const roomShare = withRoom.length / candidates.length;
    return shouldAwaitOther({ firstEventMs, targetByMs, startByMs, roomShare }, now);
  }

  /** Engines as they are for a generation while room is scarce: with memory that is kept free, and all prompts. */
  #withScarcity(
    queued: QueuedNeed,
    candidates: readonly EngineWithLoad[],
  ): readonly EngineWithLoad[] {
    const reserved = this.room.reserved(queued, candidates);
    const { isScarce } = this.room;
    if (!isScarce && (reserved === null || reserved.size === 0)) return candidates;
    const now = this.#ctx.clock.now();
    return candidates.map((candidate) => {
      const { id } = candidate.row.record;
      const reservedTokens = reserved?.get(id) ?? 0;
      // Where room is scarce, those that waited start together at the engine that has some.
      const pendingPrefillTokens = isScarce
        ? this.registry.prefillBacklog(id, now)
        : candidate.pendingPrefillTokens;
      return { ...candidate, reservedTokens, pendingPrefillTokens };
    });
  }

  #chooseAmong(
    item: ForecastItem,
    candidates: readonly EngineWithLoad[],
    { isTrial, ...options }: EnginePlacementOptions<EngineWithLoad> & {
      readonly isTrial: boolean;
    },
  ): EngineChoice<EngineWithLoad> | null {
    if (isTrial) {
      const fewest = Math.min(...candidates.map(({ running }) => running));
      const quiet = candidates.filter(({ running }) => running === fewest);
      const choice = chooseEngine(item, quiet, options);
      if (choice !== null) return choice;
    }
    return chooseEngine(item, candidates, options);
  }

  /** Time until one of a service's engines ends its pause, or has a permit for a generation, in milliseconds. */
  #permitWaitMs({ run, service }: QueuedNeed): number {
    const pausedForMs = this.#ctx.fleet.pausedForMs(service, run.req.route.regions);
    if (pausedForMs !== null) return pausedForMs;
    const usable = this.#ctx.fleet.usable(service, run.req.route.regions);
    return this.#ctx.limits.expectedWaitMs(usable.map(({ record }) => record.id));
  }

  #place(queued: QueuedNeed, choice: EngineChoice<EngineWithLoad>, now: number): void {
    const { candidate, peak, firstEventMs } = choice;
    const { run, service } = queued;
    const { id } = candidate.row.record;
    const repeat = { requestId: run.id, service, reason: run.lastLoss ?? "not_run" };
    if (run.arrivals > 0 && !this.#ctx.repeats.take(repeat)) {
      return run.fail({ reason: "overloaded", notRun: true, retryAfterMs: RETRY_AFTER_FULL_MS });
    }
    this.#ctx.log.request("run_placed", {
      req: run.id,
      endpoint: id,
      waitedMs: Math.round(now - queued.arrivedAtMs),
      peak: Number(peak.toFixed(3)),
      running: candidate.running,
      unreadTokens: Math.round(candidate.pendingPrefillTokens),
      expectedFirstEventMs: Math.round(firstEventMs),
      ...this.gaps.recordPlaced(run, candidate),
    });
    this.room.recordStart(queued, now);
    this.registry.place(run, id, now, true);
    this.#prefixes.recordSent(
      id,
      (run.req.generation?.promptSegments ?? []).map((segment) => segment.id),
    );
    run.send({
      row: candidate.row,
      resumeFrom: null,
      enginePriority: this.enginePriority(run),
      reason: run.mayHaveRun ? "run anew" : "first",
    });
  }

  /** Service and engine configuration of a run, as chosen on its arrival. */
  serviceOf(run: StreamRun): { service: ServiceId; engine: EngineConfig } | null {
    return this.#services.get(run) ?? null;
  }

  #onRunProgress(run: StreamRun): void {
    this.registry.recordPrefillEnd(run);
    this.gaps.recordFirstEvent(run);
    this.room.recordFirstEvent(run);
  }

  #onRunLoss(run: StreamRun, loss: RunLoss): void {
    const endpoint = run.endpoint;
    this.registry.remove(run);
    if (loss.type === "not_run" && endpoint !== null) {
      endpoint.recordRefusal(this.#ctx.clock.now());
    }
    if (loss.type === "unsendable") {
      return run.fail({ reason: "invalid_request", notRun: true });
    }
    if (loss.type === "misdirected" && endpoint !== null) {
      this.#ctx.fleet.markLeaving(endpoint.id, ANOTHER_AT_ADDRESS);
    }
    let isReportedLater = false;
    const isFailure = loss.type === "lost" || loss.type === "failed";
    if (isFailure && endpoint !== null && !isEndPlanned(this.#ctx, endpoint.record)) {
      this.#recordVersionOutcome(run, endpoint.record, true);
      if (loss.isDisconnected === true && !run.hasBegunWell) {
        this.#ctx.crashes.recordCrash(run.req, endpoint.record, { hasBegun: run.hasBegun });
        isReportedLater = !run.hasBegun;
      }
    }
    this.#ctx.crashes.recordEnded(run.req);
    // What was recorded of the crash may have ended the run.
    if (run.phase === "ended") return;
    if (this.#events.onLost(run, loss)) return;
    const assigned = this.#services.get(run);
    const isNotRun = !run.hasDelivered && !run.mayHaveRun;
    if (
      isNotRun && run.sends < MAX_SENDS && assigned !== undefined &&
      this.#isWithinBudget(run, assigned.service, loss)
    ) {
      run.beginWait();
      this.#enqueue(run, assigned.service, assigned.engine);
      return this.#dispatchQueue(this.#ctx.clock.now());
    }
    if (isNotRun) {
      return run.fail({ reason: "overloaded", notRun: true, retryAfterMs: RETRY_AFTER_FULL_MS });
    }
    if (assigned === undefined || !this.#mayRunAnew(run, assigned, loss)) {
      return run.fail({ reason: "engine_lost", notRun: "unknown" });
    }
    run.beginWait();
    const queue = () => {
      if (run.phase !== "waiting") return;
      this.#enqueue(run, assigned.service, assigned.engine);
      this.#dispatchQueue(this.#ctx.clock.now());
    };
    if (!isReportedLater) return queue();
    this.#ctx.clock.setTimer(CRASH_REPORT_MS, () => this.#contain(run, queue));
  }

  /** Whether a run that an engine may have run is sent to another one, from its beginning. */
  #mayRunAnew(
    run: StreamRun,
    { service, engine }: { readonly service: ServiceId; readonly engine: EngineConfig },
    loss: RunLoss,
  ): boolean {
    const { route, dueAtMs } = run.req;
    if (!route.isResumable || run.sends >= MAX_SENDS) return false;
    if (run.reachedEngines >= route.maxEndpoints) return false;
    if (dueAtMs - this.#ctx.clock.now() <= run.promptTokens / SHARED_PREFILL_TOKENS_PER_MS) {
      return false;
    }
    const filter = { regions: route.regions, excluded: run.triedEngines, requestId: run.id };
    if (this.candidates(service, engine, filter).length === 0) return false;
    return this.#isWithinBudget(run, service, loss);
  }

  /** Whether a run may be queued once more. The repeat is taken from the budget when it is sent. */
  #isWithinBudget(run: StreamRun, service: ServiceId, { type }: RunLoss): boolean {
    return run.arrivals === 0 ||
      this.#ctx.repeats.check({ requestId: run.id, service, reason: type });
  }

  #recordVersionOutcome(
    run: StreamRun,
    { service, version }: EndpointRecord,
    isFailure: boolean,
  ): void {
    const { route } = run.req;
    // A run without an event has taken at least the time that its engine has had it.
    const isSlow = (run.firstEventMs ?? run.atEngineMs) > route.targetLatencyMs;
    this.#ctx.moves.record({
      service,
      version,
      route: route.id,
      isFailure: isFailure,
      isSlow: isSlow,
    });
  }

  /** Ends the runs that would now be refused, before their engines begin to respond. */
  #refuseRunning(): void {
    for (const run of [...this.#runs]) {
      if (run.phase === "waiting" || run.phase === "ended" || run.hasBegunWell) continue;
      const admission = this.#ctx.crashes.admission(run.req);
      if (admission.type !== "refused") continue;
      run.fail({ reason: "quarantined", notRun: "unknown", trait: admission.trait });
    }
  }

  #onRunEnd(run: StreamRun): void {
    const now = this.#ctx.clock.now();
    this.#services.delete(run);
    this.#runs.delete(run);
    runAll([
      // Before the removal, whose announcement carries the length.
      () => this.lengths.recordOwn(run, now),
      () => this.registry.remove(run),
      () => this.#removeFromQueue(run),
      () => this.#recordEngineOutcome(run),
      () => this.#events.onEnd(run),
      () => {
        // A run that was never sent leaves no room to others; many may end in one pass over the queue.
        if (run.sends > 0 && this.#queue.size > 0) this.#dispatchQueue(now);
      },
    ]);
  }

  #removeFromQueue(run: StreamRun): void {
    for (const queued of this.#queue.all()) {
      if (queued.run === run) return void this.#queue.remove(queued);
    }
  }

  #recordEngineOutcome(run: StreamRun): void {
    if (run.engineOutcome === null || run.endpoint === null) return;
    this.#recordVersionOutcome(run, run.endpoint.record, run.engineOutcome === "failed");
  }
}

/** Forecast values of a refusal as they are logged. */
function rounded(
  { startInMs, lateStartInMs, freeShare, ahead }: Omit<RoomDecision, "decision">,
): Record<string, unknown> {
  return {
    startInMs: startInMs === null ? null : Math.round(startInMs),
    lateStartInMs: lateStartInMs === null ? null : Math.round(lateStartInMs),
    freeShare: Number(freeShare.toFixed(3)),
    ahead: Number(ahead.toFixed(1)),
  };
}

function rankOf(req: InboundRequest): number {
  return req.account?.priority ?? req.route.priority;
}
