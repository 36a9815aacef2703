/**
 * Copies of running generations that are made ahead at other engines and kept up to date, so that a run whose engine
 * crashes goes on there, and one whose engine leaves has little left to copy.
 *
 * Load pattern: engines that crash without notice or leave with little, while others have memory to spare.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import { shouldReleaseBackup } from "@wisteriapick/policy";
import type { CopyCoordinator, PendingCopyGrant } from "../peers/copy_coordinator.ts";
import type { EndpointRow } from "../state/fleet.ts";
import type { RunMemory } from "../upstream/dialect.ts";
import type { RelayContext } from "./context.ts";
import { type HeldPart, requestOf } from "./copy_targets.ts";
import type { EngineDispatcher } from "./engine_dispatcher.ts";
import { copyRun, dropCopy } from "./run_copy.ts";
import type { StreamRun } from "./stream_run.ts";

/** Output time below which a copy is not made ahead, in milliseconds; an engine's notice is about as long. */
const NOT_WORTH_A_COPY_MS = 2_500;
/** Part of the time for which an engine keeps an unused copy after which the copy is brought up to date. */
const REFRESH_PART = 0.5;
/** Time between looks at whether a run's copy is due, in milliseconds; a copy takes a few hundred. */
const LOOK_MS = 200;
/** Pause before a copy is asked for again, in milliseconds. */
const RETRY_MS = 500;

/** A copy of a run at another engine. */
interface HeldCopy {
  /** The engine that has the run. */
  readonly source: EndpointRow;
  /** The engine that holds the copy. */
  readonly target: EndpointRow;
  readonly handle: string;
  /** Output tokens in the copy. */
  readonly producedTokens: number;
  readonly madeAtMs: number;
  /** Time for which the holder keeps it. */
  readonly ttlMs: number;
}

/** Options of {@link ProactiveCopies}. */
export interface ProactiveCopiesOptions {
  readonly ctx: RelayContext;
  readonly dispatcher: EngineDispatcher;
  readonly keeper: CopyCoordinator;
}

/** See the module comment. */
export class ProactiveCopies {
  readonly #options: ProactiveCopiesOptions;
  readonly #copies = new Map<StreamRun, HeldCopy>();
  /** Runs whose copy is being made or brought up to date. */
  readonly #busy = new Set<StreamRun>();
  /** Leave that is waited for. */
  readonly #asked = new Map<StreamRun, PendingCopyGrant>();
  readonly #nextLookMs = new WeakMap<StreamRun, number>();

  constructor(options: ProactiveCopiesOptions) {
    this.#options = options;
  }

  /** Whether a copy of a run is being made now. */
  isBusy(run: StreamRun): boolean {
    return this.#busy.has(run);
  }

  /** Gives up a copy that has not begun: the run must leave. */
  giveWay(run: StreamRun): void {
    this.#asked.get(run)?.release();
  }

  /** The engine that holds a copy of a run, and how much of it; `null` where none can be used. */
  heldPart(run: StreamRun): HeldPart | null {
    const copy = this.#usable(run);
    if (copy === null) return null;
    const tokens = run.promptTokens + copy.producedTokens;
    return { endpoint: copy.target.record.id, tokens };
  }

  /** Takes a run's copy out, for the run to go on there; `null` where none can be used. */
  take(run: StreamRun): { row: EndpointRow; memory: Omit<RunMemory, "lastEventId"> } | null {
    const copy = this.#usable(run);
    if (copy === null) return null;
    this.#copies.delete(run);
    const memory = { source: copy.source.record.address, handle: copy.handle };
    return { row: copy.target, memory };
  }

  /** Forgets a run that is over, and frees its copy. */
  forget(run: StreamRun): void {
    this.#asked.get(run)?.release();
    this.drop(run);
  }

  /** Sees to it that a run has a copy that is up to date, where that is worth it. */
  keep(run: StreamRun, nowMs: number): void {
    if (run.phase !== "streaming" || this.#busy.has(run)) return;
    if (nowMs < (this.#nextLookMs.get(run) ?? -Infinity)) return;
    this.#nextLookMs.set(run, nowMs + LOOK_MS);
    const { ctx, dispatcher } = this.#options;
    const placed = dispatcher.serviceOf(run);
    const source = run.endpoint === null ? undefined : ctx.fleet.endpoints.get(run.endpoint.id);
    if (placed === null || !placed.engine.canCopyRuns || source === undefined) return;
    if (source.phase === "leaving") return;
    const held = this.#copies.get(run);
    if (held === undefined) {
      if (run.remainingMs >= NOT_WORTH_A_COPY_MS) void this.#make(run, source, null);
      return;
    }
    if (this.#usable(run) === null || this.#isInTheWay(held, nowMs)) return this.drop(run);
    const isDue = nowMs - held.madeAtMs >= REFRESH_PART * placed.engine.copyTtlMs;
    if (isDue) void this.#make(run, source, this.heldPart(run));
  }

  /** The copy of a run, if it is of the run's present engine and its holder can take the run over. */
  #usable(run: StreamRun): HeldCopy | null {
    const copy = this.#copies.get(run);
    if (copy === undefined || run.endpoint?.id !== copy.source.record.id) return null;
    const { fleet, upstreams, clock } = this.#options.ctx;
    const { target } = copy;
    if (clock.now() - copy.madeAtMs > copy.ttlMs) return null;
    const now = fleet.endpoints.get(target.record.id as EndpointId);
    // A process that started anew has lost what the one before it held.
    if (now === undefined || now.record.startedAtUnixMs !== target.record.startedAtUnixMs) {
      return null;
    }
    const isHealthy = fleet.isUsable(now.record.id) && upstreams.of(now).isHealthy(clock.now());
    return isHealthy ? copy : null;
  }

  /** Whether new runs need the memory of a copy. */
  #isInTheWay({ target }: HeldCopy, nowMs: number): boolean {
    const { ctx, dispatcher } = this.#options;
    const engine = ctx.fleet.routes?.service(target.record.service)?.engine ?? null;
    if (engine === null) return false;
    const { forecast } = dispatcher.registry.load(target.record.id, nowMs);
    return shouldReleaseBackup(forecast.peakTokens(1), engine.memoryTokens);
  }

  /** Makes a copy, or brings the one that is held up to date. */
  async #make(run: StreamRun, source: EndpointRow, held: HeldPart | null): Promise<void> {
    this.#busy.add(run);
    const { ctx: { clock, fleet }, keeper, dispatcher } = this.#options;
    const leave = keeper.request(requestOf(run, source, { held, refused: [], isAhead: true }));
    this.#asked.set(run, leave);
    try {
      const granted = await leave.target;
      this.#asked.delete(run);
      const target = granted === null ? undefined : fleet.endpoints.get(granted);
      if (target === undefined || !fleet.isUsable(target.record.id)) return;
      if (run.phase !== "streaming" || run.endpoint?.id !== source.record.id) return;
      if (held?.endpoint !== target.record.id) {
        this.drop(run);
        dispatcher.registry.addCopy(run, target.record.id);
      }
      await this.#copy(run, source, target);
    } finally {
      leave.release();
      this.#busy.delete(run);
      this.#nextLookMs.set(run, clock.now() + RETRY_MS);
    }
  }

  /** Copies a run that goes on, and keeps the copy where the run is still there then. */
  async #copy(run: StreamRun, source: EndpointRow, target: EndpointRow): Promise<void> {
    const { ctx, dispatcher } = this.#options;
    const { producedTokens } = run;
    const result = await copyRun(ctx, run, { source, target, stop: false });
    const isStill = run.phase === "streaming" && run.endpoint?.id === source.record.id;
    const handle = result.type === "copied" ? result.handle : null;
    if (handle !== null && isStill) {
      const madeAtMs = ctx.clock.now();
      const ttlMs = dispatcher.serviceOf(run)?.engine.copyTtlMs ?? 0;
      this.#copies.set(run, { source, target, handle, producedTokens, madeAtMs, ttlMs });
      return;
    }
    if (handle !== null) dropCopy(ctx, target.record.id, handle);
    if (this.#copies.has(run)) return this.drop(run);
    dispatcher.registry.removeCopy(run, target.record.id);
  }

  /** Gives up a run's copy and frees its memory. */
  drop(run: StreamRun): void {
    const held = this.#copies.get(run);
    if (held === undefined) return;
    const { ctx, dispatcher } = this.#options;
    this.#copies.delete(run);
    dispatcher.registry.removeCopy(run, held.target.record.id);
    dropCopy(ctx, held.target.record.id, held.handle);
  }
}
