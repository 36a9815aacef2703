/**
 * Places generations on engines, and keeps those that find no room waiting.
 *
 * @module
 */
import type { EndpointId, RegionId, ServiceId } from "@wisteriapick/core";
import {
  chooseEngine,
  type EngineChoice,
  EngineQueue,
  LengthEstimator,
  type MemoryForecast,
  OutlierEjection,
  PrefixDirectory,
  SHARED_PREFILL_TOKENS_PER_MS,
} from "@wisteriapick/policy";
import type { EndpointRecord, EngineConfig } from "../config/types.ts";
import type { EndpointRow } from "../state/fleet.ts";
import type { RelayContext } from "./context.ts";
import type { InboundRequest, PromptSegment, Responder } from "./inbound.ts";
import { ALL_ACCOUNTS, lengthKey, RunRegistry } from "./run_registry.ts";
import { type RunLoss, StreamRun } from "./stream_run.ts";
import { chooseService } from "./service_choice.ts";

/** A generation that waits for an engine. */
interface Waiting {
  readonly run: StreamRun;
  readonly service: ServiceId;
  readonly engine: EngineConfig;
  readonly rank: number;
  readonly arrivedAtMs: number;
  readonly startByMs: number;
  readonly dueAtMs: number;
}

/** An engine as a candidate for one generation. */
export interface EngineRow {
  readonly row: EndpointRow;
  readonly forecast: MemoryForecast;
  readonly reservedTokens: number;
  readonly memoryTokens: number;
  readonly running: number;
  readonly slots: number;
  readonly pendingPrefillTokens: number;
  readonly cachedPromptTokens: number;
  readonly isLocal: boolean;
}

/** Which engines are candidates. */
export interface CandidateFilter {
  readonly regions: readonly RegionId[];
  /** Parts of the prompt, which some engines may keep. */
  readonly parts?: readonly PromptSegment[];
  readonly excluded?: ReadonlySet<EndpointId>;
  /** The request, where moves between versions decide which engines it may go to. */
  readonly requestId?: string;
}

/** What the dispatcher tells others. */
export interface DispatcherEvents {
  onEnd(run: StreamRun): void;
  /** A run lost its engine after it had begun. Returns whether it goes on elsewhere. */
  onLost(run: StreamRun, loss: RunLoss): boolean;
}

const NONE_EXCLUDED: ReadonlySet<EndpointId> = new Set();
/** When a caller should come back after it found no room, in milliseconds: about when some run ends. */
const RETRY_FULL_MS = 600;
/** When a caller should come back where no engine can be used, in milliseconds. */
const RETRY_NO_ENDPOINT_MS = 500;
/** Time from an engine's start on a prompt to its first event beyond the reading, in milliseconds. */
const FIRST_EVENT_MS = 150;
/** Output tokens per millisecond of one run until events tell. */
const TOKENS_PER_MS = 0.1;
/** Rank at the engine of requests with rank 0; lower ranks of the gateway follow it. */
const ENGINE_PRIORITY_BASE = 3;
const ENGINE_PRIORITY_MAX = 9;

/** See the module comment. */
export class EngineDispatcher {
  readonly registry: RunRegistry;
  readonly #ctx: RelayContext;
  readonly #events: DispatcherEvents;
  readonly #queue = new EngineQueue<Waiting>();
  readonly #lengths = new LengthEstimator();
  readonly #kept = new PrefixDirectory();
  readonly #ejection = new OutlierEjection();
  readonly #runs = new Set<StreamRun>();
  readonly #services = new Map<StreamRun, { service: ServiceId; engine: EngineConfig }>();
  #tokensPerMs = TOKENS_PER_MS;

  constructor(ctx: RelayContext, events: DispatcherEvents) {
    this.#ctx = ctx;
    this.#events = events;
    this.registry = new RunRegistry({
      lengths: this.#lengths,
      tokensPerMs: () => this.#tokensPerMs,
    });
    ctx.fleet.registerEndpointListener(({ id, after, restarted }) => {
      if (after === null || restarted) this.#kept.forgetEndpoint(id);
    });
  }

  /** Generations that wait. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** Generations under way, those that wait included. */
  get runs(): ReadonlySet<StreamRun> {
    return this.#runs;
  }

  /** Takes a generation in. */
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
        onLoss: (r, loss) => this.#onLoss(r, loss),
        onOver: (r) => this.#onOver(r),
        onProgress: (r) => this.#onProgress(r),
      },
    });
    this.#runs.add(run);
    run.start();
    if (service === null || engine === null) {
      return run.fail({
        reason: "no_endpoint",
        notRun: true,
        retryAfterMs: RETRY_NO_ENDPOINT_MS,
      });
    }
    this.#enqueue(run, service, engine);
    this.#drain(clock.now());
  }

  /** Places what waits, and turns away what can no longer start in time. */
  tick(): void {
    const now = this.#ctx.clock.now();
    if (this.#queue.size > 0) this.#drain(now);
    this.#ctx.metrics.setEngineLoad(this.#queue.size, this.#runs.size - this.#queue.size);
  }

  /** Engines of a service that may take a generation, with their load. */
  candidates(
    service: ServiceId,
    engine: EngineConfig,
    { regions, parts = [], excluded = NONE_EXCLUDED, requestId }: CandidateFilter,
  ): EngineRow[] {
    const { fleet, upstreams, clock, dataCentre } = this.#ctx;
    const now = clock.now();
    this.#ejection.update(fleet.ofService(service).map((row) => upstreams.of(row)), now);
    const usable = fleet.usable(service, regions).filter((row) =>
      !excluded.has(row.record.id) && this.#bears(row, now)
    );
    const rows = requestId === undefined
      ? usable
      : this.#ctx.moves.allowed(service, usable, requestId);
    const healthy = rows.filter((row) => upstreams.of(row).isHealthy(now));
    const held = this.#kept.lookup(parts.map((part) => part.id));
    return (healthy.length > 0 ? healthy : rows).map((row) => {
      const { forecast, running, unreadTokens } = this.registry.load(row.record.id, now);
      const count = held.get(row.record.id) ?? 0;
      return {
        row,
        forecast,
        reservedTokens: 0,
        memoryTokens: engine.memoryTokens,
        running,
        slots: Math.min(engine.slots, row.record.slots),
        pendingPrefillTokens: unreadTokens,
        cachedPromptTokens: parts.slice(0, count).reduce((sum, part) => sum + part.tokens, 0),
        isLocal: row.record.dataCentre === dataCentre,
      };
    });
  }

  /** Rank of a run at its engine. */
  enginePriority(run: StreamRun): number {
    return Math.min(ENGINE_PRIORITY_MAX, ENGINE_PRIORITY_BASE + rankOf(run.req));
  }

  #enqueue(run: StreamRun, service: ServiceId, engine: EngineConfig): void {
    const { req } = run;
    const readMs = run.promptTokens / SHARED_PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS;
    this.#services.set(run, { service, engine });
    this.#queue.add({
      run,
      service,
      engine,
      rank: rankOf(req),
      arrivedAtMs: req.arrivedAtMs,
      startByMs: req.arrivedAtMs + Math.max(req.route.targetLatencyMs - readMs, readMs),
      dueAtMs: req.dueAtMs,
    });
  }

  #drain(now: number): void {
    for (const waiting of this.#queue.inOrder()) {
      const choice = this.#choose(waiting);
      if (choice === null) continue;
      this.#queue.remove(waiting);
      this.#place(waiting, choice, now);
    }
    for (const waiting of this.#queue.expired(now)) {
      this.#queue.remove(waiting);
      waiting.run.fail({ reason: "overloaded", notRun: true, retryAfterMs: RETRY_FULL_MS });
    }
  }

  #choose({ run, service, engine }: Waiting): EngineChoice<EngineRow> | null {
    const item = run.forecastItem(this.registry.curve(run.req.route.id));
    const { route, generation } = run.req;
    const filter = { regions: route.regions, parts: generation?.promptSegments, requestId: run.id };
    const options = { firstEventTargetMs: route.targetLatencyMs };
    return chooseEngine(item, this.candidates(service, engine, filter), options);
  }

  #place(waiting: Waiting, choice: EngineChoice<EngineRow>, now: number): void {
    const { candidate, peak, firstEventMs } = choice;
    const { run } = waiting;
    const { id } = candidate.row.record;
    this.#ctx.log.request("run_placed", {
      req: run.id,
      endpoint: id,
      waitedMs: Math.round(now - waiting.arrivedAtMs),
      peak: Number(peak.toFixed(3)),
      running: candidate.running,
      unreadTokens: Math.round(candidate.pendingPrefillTokens),
      expectedFirstEventMs: Math.round(firstEventMs),
    });
    this.registry.place(run, id, now, true);
    this.#kept.recordSent(id, (run.req.generation?.promptSegments ?? []).map((part) => part.id));
    run.send({
      row: candidate.row,
      goOnFrom: null,
      enginePriority: this.enginePriority(run),
      why: "first",
    });
  }

  /** Whether a cold engine bears one more request. */
  #bears(row: EndpointRow, now: number): boolean {
    if (row.coldUntilMs <= now) return true;
    const perSecond = this.#ctx.fleet.routes?.service(row.record.service)?.coldPerSecond ?? 0;
    if (perSecond === 0) return true;
    return this.#ctx.coldLimiter.allows(row.record.id, perSecond, this.#ctx.gatewayCount(), now);
  }

  /** Service and engines of a run, as chosen when it came in. */
  serviceOf(run: StreamRun): { service: ServiceId; engine: EngineConfig } | null {
    return this.#services.get(run) ?? null;
  }

  #onProgress(run: StreamRun): void {
    this.registry.recordRead(run);
  }

  #onLoss(run: StreamRun, loss: RunLoss): void {
    const endpoint = run.endpoint;
    this.registry.remove(run);
    if (loss.type === "not_run") {
      return run.fail({ reason: "overloaded", notRun: true, retryAfterMs: RETRY_FULL_MS });
    }
    if (loss.type === "misdirected" && endpoint !== null) {
      this.#ctx.fleet.markLeaving(endpoint.id, "another endpoint answers at its address");
    }
    if (loss.type === "lost" && endpoint !== null && this.#ctx.fleet.isUsable(endpoint.id)) {
      this.#recordVersion(run, endpoint.record, true);
      this.#ctx.crashes.recordCrash(run.req, endpoint.record);
    }
    if (this.#events.onLost(run, loss)) return;
    const placed = this.#services.get(run);
    if (loss.type !== "lost" && !run.hasDelivered && placed !== undefined) {
      this.#enqueue(run, placed.service, placed.engine);
      return this.#drain(this.#ctx.clock.now());
    }
    run.fail({ reason: "engine_lost", notRun: "unknown" });
  }

  #recordVersion(run: StreamRun, { service, version }: EndpointRecord, failed: boolean): void {
    const { route } = run.req;
    const slow = run.firstEventMs !== null && run.firstEventMs > route.targetLatencyMs;
    this.#ctx.moves.record({ service, version, route: route.id, failed, slow });
  }

  #onOver(run: StreamRun): void {
    const now = this.#ctx.clock.now();
    this.registry.remove(run);
    this.#services.delete(run);
    this.#runs.delete(run);
    const waiting = this.#queue.inOrder().find((w) => w.run === run);
    if (waiting !== undefined) this.#queue.remove(waiting);
    this.#learnLength(run);
    if (run.isComplete && run.endpoint !== null) {
      this.#recordVersion(run, run.endpoint.record, false);
    }
    this.#events.onEnd(run);
    if (this.#queue.size > 0) this.#drain(now);
  }

  /** Runs that were cut only show how far a generation can go. */
  #learnLength(run: StreamRun): void {
    if (run.producedTokens === 0) return;
    const key = lengthKey(run.req.route.id);
    if (run.isComplete) this.#ctx.crashes.recordCompleted(run.req);
    if (run.isComplete) this.#lengths.recordEnd(key, ALL_ACCOUNTS, run.producedTokens);
    else this.#lengths.recordProgress(key, ALL_ACCOUNTS, 0, run.producedTokens);
  }
}

function rankOf(req: InboundRequest): number {
  return req.account?.priority ?? req.route.priority;
}
