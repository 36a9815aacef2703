/**
 * Copies of running generations that are made ahead at other engines and kept up to date, so that a run whose engine
 * crashes goes on there, and one whose engine leaves has little left to copy.
 *
 * Load pattern: engines that crash without notice or leave with little, while others have memory to spare.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import { needsMemoryOfBackup } from "@wisteriapick/policy";
import type { AskedLeave, CopyKeeper } from "../peers/copy_keeper.ts";
import type { EndpointRow } from "../state/fleet.ts";
import type { RunMemory } from "../upstream/dialect.ts";
import type { RelayContext } from "./context.ts";
import { type HeldCopy, makeCopyRequest } from "./copy_targets.ts";
import type { EngineDispatcher } from "./engine_dispatcher.ts";
import { copyRun, dropCopy } from "./run_copy.ts";
import type { StreamRun } from "./stream_run.ts";

/** Output time below which a copy is not made ahead, in milliseconds; an engine's notice is about as long. */
const MIN_REMAINING_MS = 2_500;
/** Part of the time for which an engine keeps an unused copy after which the copy is brought up to date. */
const REFRESH_FRACTION = 0.5;
/** Time between looks at whether a run's copy is due, in milliseconds; a copy takes a few hundred. */
const POLL_INTERVAL_MS = 200;
/** Pause before a copy is asked for again, in milliseconds. */
const RETRY_DELAY_MS = 500;

/** A copy of a run at another engine. */
interface ProactiveCopy {
  /** The engine that has the run. */
  readonly source: EndpointRow;
  /** The engine that holds the copy. */
  readonly target: EndpointRow;
  readonly handle: string;
  /** Output tokens in the copy. */
  readonly producedTokens: number;
  readonly createdAtMs: number;
  /** Time for which the holder keeps it. */
  readonly ttlMs: number;
}

/** Options of {@link ProactiveCopies}. */
export interface ProactiveCopiesOptions {
  readonly ctx: RelayContext;
  readonly dispatcher: EngineDispatcher;
  readonly coordinator: CopyKeeper;
}

/** See the module comment. */
export class ProactiveCopies {
  readonly #options: ProactiveCopiesOptions;
  readonly #copies = new Map<StreamRun, ProactiveCopy>();
  /** Runs whose copy is being made or brought up to date. */
  readonly #copying = new Set<StreamRun>();
  /** Leave that is waited for. */
  readonly #pendingGrants = new Map<StreamRun, AskedLeave>();
  readonly #nextPollMs = new WeakMap<StreamRun, number>();

  constructor(options: ProactiveCopiesOptions) {
    this.#options = options;
  }

  /** Whether a copy of a run is being made now. */
  isCopying(run: StreamRun): boolean {
    return this.#copying.has(run);
  }

  /** Gives up a copy that has not begun: the run must leave. */
  cancelPending(run: StreamRun): void {
    this.#pendingGrants.get(run)?.done();
  }

  /** The engine that holds a copy of a run, and how much of it; `null` where none can be used. */
  heldCopy(run: StreamRun): HeldCopy | null {
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
    this.#pendingGrants.get(run)?.done();
    this.drop(run);
  }

  /** Sees to it that a run has a copy that is up to date, where that is worth it. */
  maintain(run: StreamRun, nowMs: number): void {
    if (run.phase !== "streaming" || this.#copying.has(run)) return;
    if (nowMs < (this.#nextPollMs.get(run) ?? -Infinity)) return;
    this.#nextPollMs.set(run, nowMs + POLL_INTERVAL_MS);
    const { ctx, dispatcher } = this.#options;
    const placed = dispatcher.serviceOf(run);
    const source = run.endpoint === null ? undefined : ctx.fleet.endpoints.get(run.endpoint.id);
    if (placed === null || !placed.engine.canCopyRuns || source === undefined) return;
    if (source.phase === "leaving") return;
    const held = this.#copies.get(run);
    if (held === undefined) {
      if (run.remainingMs >= MIN_REMAINING_MS) void this.#updateCopy(run, source, null);
      return;
    }
    if (this.#usable(run) === null || this.#isMemoryNeeded(held, nowMs)) return this.drop(run);
    const isDue = nowMs - held.createdAtMs >= REFRESH_FRACTION * placed.engine.copyTtlMs;
    if (isDue) void this.#updateCopy(run, source, this.heldCopy(run));
  }

  /** The copy of a run, if it is of the run's present engine and its holder can take the run over. */
  #usable(run: StreamRun): ProactiveCopy | null {
    const copy = this.#copies.get(run);
    if (copy === undefined || run.endpoint?.id !== copy.source.record.id) return null;
    const { fleet, upstreams, clock } = this.#options.ctx;
    const { target } = copy;
    if (clock.now() - copy.createdAtMs > copy.ttlMs) return null;
    const now = fleet.endpoints.get(target.record.id as EndpointId);
    // A process that started anew has lost what the one before it held.
    if (now === undefined || now.record.startedAtUnixMs !== target.record.startedAtUnixMs) {
      return null;
    }
    const isHealthy = fleet.isUsable(now.record.id) && upstreams.of(now).isHealthy(clock.now());
    return isHealthy ? copy : null;
  }

  /** Whether new runs need the memory of a copy. */
  #isMemoryNeeded({ target }: ProactiveCopy, nowMs: number): boolean {
    const { ctx, dispatcher } = this.#options;
    const engine = ctx.fleet.routes?.service(target.record.service)?.engine ?? null;
    if (engine === null) return false;
    const { forecast } = dispatcher.registry.load(target.record.id, nowMs);
    return needsMemoryOfBackup(forecast.peakTokens(1), engine.memoryTokens);
  }

  /** Makes a copy, or brings the one that is held up to date. */
  async #updateCopy(run: StreamRun, source: EndpointRow, held: HeldCopy | null): Promise<void> {
    this.#copying.add(run);
    const { ctx: { clock, fleet }, coordinator: keeper, dispatcher } = this.#options;
    const grant = keeper.ask(
      makeCopyRequest(run, source, { held, refused: [], isProactive: true }),
    );
    this.#pendingGrants.set(run, grant);
    try {
      const granted = await grant.target;
      this.#pendingGrants.delete(run);
      const target = granted === null ? undefined : fleet.endpoints.get(granted);
      if (target === undefined || !fleet.isUsable(target.record.id)) return;
      if (run.phase !== "streaming" || run.endpoint?.id !== source.record.id) return;
      if (held?.endpoint !== target.record.id) {
        this.drop(run);
        dispatcher.registry.addCopy(run, target.record.id);
      }
      await this.#copyRunningRun(run, source, target);
    } finally {
      grant.done();
      this.#copying.delete(run);
      this.#nextPollMs.set(run, clock.now() + RETRY_DELAY_MS);
    }
  }

  /** Copies a run that goes on, and keeps the copy where the run is still there then. */
  async #copyRunningRun(run: StreamRun, source: EndpointRow, target: EndpointRow): Promise<void> {
    const { ctx, dispatcher } = this.#options;
    const { producedTokens } = run;
    const result = await copyRun(ctx, run, { source, target, stop: false });
    const isStillThere = run.phase === "streaming" && run.endpoint?.id === source.record.id;
    const handle = result.type === "copied" ? result.handle : null;
    if (handle !== null && isStillThere) {
      const madeAtMs = ctx.clock.now();
      const ttlMs = dispatcher.serviceOf(run)?.engine.copyTtlMs ?? 0;
      this.#copies.set(run, {
        source,
        target,
        handle,
        producedTokens,
        createdAtMs: madeAtMs,
        ttlMs,
      });
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
