/**
 * Maintains proactive copies of running generations at other engines, so that a run whose engine crashes can be resumed
 * there, and a run whose engine leaves has little left to copy.
 *
 * Load pattern: engines crash without notice or leave with short notice, while other engines have memory to spare.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import { shouldReleaseBackup } from "@wisteriapick/policy";
import { runInBackground } from "../observe/background_task.ts";
import type { CopyCoordinator, PendingCopyGrant } from "../peers/copy_coordinator.ts";
import type { EndpointRow } from "../state/fleet.ts";
import type { RunMemory } from "../upstream/dialect.ts";
import type { RelayContext } from "./context.ts";
import { type HeldCopy, makeCopyRequest } from "./copy_targets.ts";
import type { EngineDispatcher } from "./engine_dispatcher.ts";
import { copyRun, dropCopy } from "./run_copy.ts";
import type { StreamRun } from "./stream_run.ts";

/** Remaining output time below which a run gets no copy, in milliseconds: an engine's drain notice is about as long. */
const MIN_REMAINING_MS = 2_500;
/** Fraction of the time for which an engine keeps an unused copy after which the copy is updated. */
const REFRESH_FRACTION = 0.5;
/** Interval of checks whether a run's copy is due, in milliseconds; making a copy takes a few hundred. */
const POLL_INTERVAL_MS = 200;
/** Delay after one copy request of a run before the next, in milliseconds. */
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
  /** Time for which the target keeps an unused copy, in milliseconds. */
  readonly ttlMs: number;
}

/** Options of {@link ProactiveCopies}. */
export interface ProactiveCopiesOptions {
  readonly ctx: RelayContext;
  readonly dispatcher: EngineDispatcher;
  readonly coordinator: CopyCoordinator;
}

/** Makes, updates and frees the proactive copies of this gateway's runs. */
export class ProactiveCopies {
  readonly #options: ProactiveCopiesOptions;
  readonly #copies = new Map<StreamRun, ProactiveCopy>();
  /** Runs whose copy is being made or updated. */
  readonly #copying = new Set<StreamRun>();
  /** Copy requests that have not been granted yet. */
  readonly #pendingGrants = new Map<StreamRun, PendingCopyGrant>();
  readonly #nextPollMs = new WeakMap<StreamRun, number>();

  constructor(options: ProactiveCopiesOptions) {
    this.#options = options;
  }

  /** Whether a copy of a run is being made or updated now. */
  isCopying(run: StreamRun): boolean {
    return this.#copying.has(run);
  }

  /** Withdraws the request for a copy that has not been granted yet, as the run has to leave its engine. */
  cancelPending(run: StreamRun): void {
    this.#pendingGrants.get(run)?.release();
  }

  /** The engine that holds a usable copy of a run, and the tokens in the copy; `null` where there is none. */
  heldCopy(run: StreamRun): HeldCopy | null {
    const copy = this.#usable(run);
    if (copy === null) return null;
    const tokens = run.promptTokens + copy.producedTokens;
    return { endpoint: copy.target.record.id, tokens };
  }

  /** Removes and returns a run's copy, from which the run is to be resumed; `null` where there is no usable one. */
  take(run: StreamRun): { row: EndpointRow; memory: Omit<RunMemory, "lastEventId"> } | null {
    const copy = this.#usable(run);
    if (copy === null) return null;
    this.#copies.delete(run);
    const memory = { source: copy.source.record.address, handle: copy.handle };
    return { row: copy.target, memory };
  }

  /** Makes the next copy of a run as soon as its new engine has sent an event, as it has no copy any more. */
  expedite(run: StreamRun): void {
    this.#nextPollMs.delete(run);
  }

  /** Forgets a run that has ended, and frees its copy. */
  forget(run: StreamRun): void {
    this.#pendingGrants.get(run)?.release();
    this.drop(run);
  }

  /** Makes, updates or drops a run's copy, whichever is due. */
  maintain(run: StreamRun, nowMs: number): void {
    // An engine can copy a run once it has sent an event of it.
    if (run.phase !== "streaming" || !run.hasProgress || this.#copying.has(run)) return;
    if (nowMs < (this.#nextPollMs.get(run) ?? -Infinity)) return;
    this.#nextPollMs.set(run, nowMs + POLL_INTERVAL_MS);
    const { ctx, dispatcher } = this.#options;
    const assigned = dispatcher.serviceOf(run);
    const source = run.endpoint === null ? undefined : ctx.fleet.endpoints.get(run.endpoint.id);
    if (assigned === null || !assigned.engine.canCopyRuns || source === undefined) return;
    if (source.phase === "leaving") return;
    const held = this.#copies.get(run);
    if (held === undefined) {
      if (run.remainingMs >= MIN_REMAINING_MS) this.#startUpdate(run, source, null);
      return;
    }
    if (this.#usable(run) === null) {
      this.expedite(run);
      return this.drop(run);
    }
    if (this.#isMemoryNeeded(held, nowMs)) return this.drop(run);
    const isDue = nowMs - held.createdAtMs >= REFRESH_FRACTION * assigned.engine.copyTtlMs;
    if (isDue) this.#startUpdate(run, source, this.heldCopy(run));
  }

  #startUpdate(run: StreamRun, source: EndpointRow, held: HeldCopy | null): void {
    const { ctx } = this.#options;
    runInBackground(ctx, "proactive_copy", () => this.#updateCopy(run, source, held));
  }

  /** The copy of a run, if it was made from the run's present engine and its target can resume the run. */
  #usable(run: StreamRun): ProactiveCopy | null {
    const copy = this.#copies.get(run);
    if (copy === undefined || run.endpoint?.id !== copy.source.record.id) return null;
    const { fleet, upstreams, clock } = this.#options.ctx;
    const { target } = copy;
    if (clock.now() - copy.createdAtMs > copy.ttlMs) return null;
    const now = fleet.endpoints.get(target.record.id as EndpointId);
    // A restarted engine has lost the copies that it held.
    if (now === undefined || now.record.startedAtUnixMs !== target.record.startedAtUnixMs) {
      return null;
    }
    const isHealthy = fleet.isUsable(now.record.id) && upstreams.of(now).isHealthy(clock.now());
    return isHealthy ? copy : null;
  }

  /** Whether new runs need the memory that a copy occupies. */
  #isMemoryNeeded({ target }: ProactiveCopy, nowMs: number): boolean {
    const { ctx, dispatcher } = this.#options;
    const engine = ctx.fleet.routes?.service(target.record.service)?.engine ?? null;
    if (engine === null) return false;
    const { forecast } = dispatcher.registry.load(target.record.id, nowMs);
    return shouldReleaseBackup(forecast.peakTokens(1), engine.memoryTokens);
  }

  /** Makes a copy, or updates the existing one. */
  async #updateCopy(run: StreamRun, source: EndpointRow, held: HeldCopy | null): Promise<void> {
    this.#copying.add(run);
    const { ctx: { clock, fleet }, coordinator, dispatcher } = this.#options;
    const grant = coordinator.request(
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
      grant.release();
      this.#copying.delete(run);
      this.#nextPollMs.set(run, clock.now() + RETRY_DELAY_MS);
    }
  }

  /** Copies a run while it continues, and keeps the copy if the run is still at the same engine afterwards. */
  async #copyRunningRun(run: StreamRun, source: EndpointRow, target: EndpointRow): Promise<void> {
    const { ctx, dispatcher } = this.#options;
    const { producedTokens } = run;
    const result = await copyRun(ctx, run, { source, target, stop: false });
    const isStillThere = run.phase === "streaming" && run.endpoint?.id === source.record.id;
    const handle = result.type === "copied" ? result.handle : null;
    if (handle !== null && isStillThere) {
      const createdAtMs = ctx.clock.now();
      const ttlMs = dispatcher.serviceOf(run)?.engine.copyTtlMs ?? 0;
      this.#copies.set(run, {
        source,
        target,
        handle,
        producedTokens,
        createdAtMs,
        ttlMs,
      });
      return;
    }
    if (handle !== null) dropCopy(ctx, target.record.id, handle);
    if (this.#copies.has(run)) return this.drop(run);
    dispatcher.registry.removeCopy(run, target.record.id);
  }

  /** Drops a run's copy and frees its memory. */
  drop(run: StreamRun): void {
    const held = this.#copies.get(run);
    if (held === undefined) return;
    const { ctx, dispatcher } = this.#options;
    this.#copies.delete(run);
    dispatcher.registry.removeCopy(run, held.target.record.id);
    dropCopy(ctx, held.target.record.id, held.handle);
  }
}
