/**
 * Migrates running generations between engines. A run is migrated off a leaving engine by copying its memory while it
 * continues, stopping it for a short time, copying the rest and resuming it at the other engine. A run whose engine
 * crashed is resumed from its proactive copy, where there is one.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import type { EngineConfig } from "../config/types.ts";
import { runInBackground } from "../observe/background_task.ts";
import { CopyCoordinator } from "../peers/copy_coordinator.ts";
import type { PeerGroup } from "../peers/peer_group.ts";
import type { EndpointRow } from "../state/fleet.ts";
import type { CopyResult, RunMemory } from "../upstream/dialect.ts";
import { ProactiveCopies } from "./proactive_copies.ts";
import type { RelayContext } from "./context.ts";
import { CopyTargets, makeCopyRequest } from "./copy_targets.ts";
import type { EngineDispatcher } from "./engine_dispatcher.ts";
import { copyRun } from "./run_copy.ts";
import type { RunLoss, StreamRun } from "./stream_run.ts";

/** Delay before the next attempt to migrate a run, in milliseconds. */
const RETRY_DELAY_MS = 30;
/** Remaining output time at or below which a run finishes where it is, in milliseconds. */
const MIN_REMAINING_MS = 700;
/** Time after an engine's drain notice during which a run may still return to it, in milliseconds. */
const RETURN_WINDOW_MS = 1_500;
/** Time for which a run waits for a permit of the engine at which it goes on, in milliseconds. */
const PERMIT_WAIT_MS = 300;

/** Where a run can be resumed if its new engine does not take it. */
interface Fallback {
  readonly source: EndpointRow;
  readonly memory: Omit<RunMemory, "lastEventId">;
}

/** A migration of a run in progress. */
interface Migration {
  readonly source: EndpointRow;
  readonly target: EndpointRow;
  /** Whether the target already holds a proactive copy. */
  readonly hasProactiveCopy: boolean;
}

/**
 * Result of one attempt to migrate a run: `migrated`; `ended`, where the run has ended or no longer needs to leave;
 * `refused` by the target; `failed` for any other reason.
 */
type MigrationOutcome = "migrated" | "ended" | "refused" | "failed";

/** Migrates runs off leaving engines, and resumes runs of crashed engines from their copies. */
export class RunMigrator {
  readonly #ctx: RelayContext;
  readonly #dispatcher: EngineDispatcher;
  readonly #coordinator: CopyCoordinator;
  readonly #targets: CopyTargets;
  readonly #copies: ProactiveCopies;
  readonly #migrating = new Set<StreamRun>();
  readonly #fallbacks = new Map<StreamRun, Fallback>();

  constructor(ctx: RelayContext, dispatcher: EngineDispatcher, network: PeerGroup) {
    this.#ctx = ctx;
    this.#dispatcher = dispatcher;
    this.#targets = new CopyTargets(ctx.fleet, dispatcher, ctx);
    const { clock, log } = ctx;
    this.#coordinator = new CopyCoordinator({
      network,
      clock,
      log,
      targets: (request, isBusy) => this.#targets.targetsFor(request, isBusy),
    });
    this.#copies = new ProactiveCopies({ ctx, dispatcher, coordinator: this.#coordinator });
    ctx.fleet.registerEndpointListener(({ id, after }) => {
      if (after?.phase === "leaving") this.#migrateAll(id);
    });
  }

  /** Resumes a run that its engine lost, where that is possible. Returns whether it was resumed. */
  onLost(run: StreamRun, loss: RunLoss): boolean {
    const fallback = this.#fallbacks.get(run);
    this.#fallbacks.delete(run);
    if (fallback !== undefined && loss.type !== "lost" && this.#mayReturn(fallback.source)) {
      this.#resume(run, fallback.source, fallback.memory, "new engine did not accept the run");
      return true;
    }
    if (!run.hasDelivered) return false;
    // The engine that holds the copy would probably crash as well.
    if (this.#ctx.crashes.admission(run.req).type === "refused") return false;
    const copy = this.#copies.take(run);
    if (copy === null) return false;
    const reason = "engine lost, copy goes on";
    const { service } = copy.row.record;
    this.#ctx.repeats.recordUnasked({ requestId: run.id, service, reason });
    if (this.#ctx.limits.mayTake(copy.row.record.id)) {
      this.#resume(run, copy.row, copy.memory, reason);
      return true;
    }
    runInBackground(this.#ctx, "resume_from_copy", async () => {
      const isPermitted = await this.#acquirePermit(run, copy.row);
      if (run.phase === "ended") return;
      if (isPermitted) this.#resume(run, copy.row, copy.memory, reason);
      else run.fail({ reason: "engine_lost", notRun: "unknown" });
    });
    return true;
  }

  /** Waits for a permit to send a run that has begun to an engine. */
  #acquirePermit({ req }: StreamRun, { record }: EndpointRow): Promise<boolean> {
    const rank = req.account?.priority ?? req.route.priority;
    const need = { rank, isUrgent: true, waitMs: PERMIT_WAIT_MS };
    return this.#ctx.limits.acquire(record.id, need);
  }

  /** Whether a run may still return to the engine that it left. */
  #mayReturn({ record, phaseSinceMs }: EndpointRow): boolean {
    const { fleet, clock } = this.#ctx;
    return !fleet.evacuated.has(record.dataCentre) && clock.now() - phaseSinceMs < RETURN_WINDOW_MS;
  }

  /** Forgets a run that has ended, and frees its copy. */
  forget(run: StreamRun): void {
    this.#fallbacks.delete(run);
    this.#copies.forget(run);
  }

  /** Whether another engine holds a copy from which a run can be resumed at once. */
  hasCopy(run: StreamRun): boolean {
    return this.#copies.heldCopy(run) !== null;
  }

  /** Grants copies that have become possible, and keeps proactive copies up to date. Called each tick. */
  tick(): void {
    this.#coordinator.tick();
    const now = this.#ctx.clock.now();
    for (const run of this.#dispatcher.runs) {
      if (!this.#migrating.has(run)) this.#copies.maintain(run, now);
    }
  }

  /** Starts the migration of every run of an engine. */
  #migrateAll(id: EndpointId): void {
    for (const run of this.#dispatcher.registry.ownRuns(id)) this.#startMigration(run, id);
  }

  #startMigration(run: StreamRun, source: EndpointId): void {
    if (this.#migrating.has(run)) return;
    this.#migrating.add(run);
    runInBackground(this.#ctx, "migration", async () => {
      try {
        await this.#migrate(run, source);
      } catch (e) {
        // Whether the order to stop the run has arrived is not known.
        run.cancelStop({ isRefused: false });
        throw e;
      } finally {
        this.#migrating.delete(run);
      }
      // The new engine may be leaving as well.
      const dst = run.endpoint;
      if (run.phase === "ended" || dst === null || dst.id === source) return;
      if (this.#ctx.fleet.endpoints.get(dst.id)?.phase === "leaving") {
        this.#startMigration(run, dst.id);
      }
    });
  }

  /** Migrates one run, with further attempts for as long as the run has to leave its engine. */
  async #migrate(run: StreamRun, source: EndpointId): Promise<void> {
    const refused = new Set<EndpointId>();
    while (this.#mustLeave(run, source)) {
      const row = this.#ctx.fleet.endpoints.get(source);
      const assigned = this.#dispatcher.serviceOf(run);
      if (row === undefined || assigned === null || !assigned.engine.canCopyRuns) break;
      this.#copies.cancelPending(run);
      // An engine can copy a run once it has sent the first event, and makes one copy of a run at a time.
      if (run.phase === "sent" || this.#copies.isCopying(run)) {
        await this.#ctx.clock.sleep(RETRY_DELAY_MS);
        continue;
      }
      const outcome = await this.#attemptMigration(run, row, assigned.engine, refused);
      if (outcome === "migrated" || outcome === "ended") break;
      await this.#ctx.clock.sleep(RETRY_DELAY_MS);
    }
  }

  #mustLeave(run: StreamRun, source: EndpointId): boolean {
    if (run.phase !== "streaming" && run.phase !== "sent") return false;
    if (run.endpoint?.id !== source) return false;
    if (this.#ctx.crashes.admission(run.req).type === "refused") return false;
    return run.remainingMs > MIN_REMAINING_MS;
  }

  async #attemptMigration(
    run: StreamRun,
    source: EndpointRow,
    engine: EngineConfig,
    refused: Set<EndpointId>,
  ): Promise<MigrationOutcome> {
    const held = this.#copies.heldCopy(run);
    const request = makeCopyRequest(run, source, {
      held,
      refused: [...refused],
      isProactive: false,
    });
    const grant = this.#coordinator.request(request);
    const granted = await grant.target ?? this.#targets.best(request, engine);
    try {
      if (!this.#mustLeave(run, source.record.id)) return "ended";
      const target = granted === null ? undefined : this.#ctx.fleet.endpoints.get(granted);
      if (target === undefined || !this.#ctx.fleet.isUsable(target.record.id)) return "failed";
      const outcome = await this.#copyAndSwitch(run, source, target);
      if (outcome === "refused") refused.add(target.record.id);
      return outcome;
    } finally {
      grant.release();
    }
  }

  async #copyAndSwitch(
    run: StreamRun,
    source: EndpointRow,
    target: EndpointRow,
  ): Promise<MigrationOutcome> {
    const { registry } = this.#dispatcher;
    const hasProactiveCopy = this.#copies.heldCopy(run)?.endpoint === target.record.id;
    if (!hasProactiveCopy) registry.addCopy(run, target.record.id);
    try {
      const first: CopyResult = hasProactiveCopy
        ? { type: "copied", handle: "", events: 0 }
        : await copyRun(this.#ctx, run, { source, target, stop: false });
      if (first.type === "refused") return "refused";
      if (first.type !== "copied") return "failed";
      if (run.phase !== "streaming") return "ended";
      if (!await this.#acquirePermit(run, target)) return "failed";
      if (run.phase !== "streaming") return "ended";
      return await this.#stopAndResume(run, { source, target, hasProactiveCopy });
    } finally {
      registry.removeCopy(run, target.record.id);
    }
  }

  async #stopAndResume(
    run: StreamRun,
    { source, target, hasProactiveCopy }: Migration,
  ): Promise<MigrationOutcome> {
    run.beginStop();
    const last = await copyRun(this.#ctx, run, { source, target, stop: true });
    if (!run.isStopping) return "ended";
    if (last.type === "copied") {
      const memory = { source: source.record.address, handle: last.handle };
      this.#fallbacks.set(run, { source, memory });
      if (hasProactiveCopy) this.#copies.take(run);
      else this.#copies.drop(run);
      this.#resume(run, target, memory, "moved");
      return "migrated";
    }
    if (last.type === "refused" && last.handle !== null) {
      // The engine has stopped the run and keeps its memory, so the run is resumed there.
      const memory = { source: source.record.address, handle: last.handle };
      this.#resume(run, source, memory, "copy refused");
      return "refused";
    }
    run.cancelStop({ isRefused: last.type === "busy" || last.type === "no_run" });
    return "failed";
  }

  #resume(
    run: StreamRun,
    row: EndpointRow,
    memory: Omit<RunMemory, "lastEventId">,
    reason: string,
  ): void {
    const { registry } = this.#dispatcher;
    this.#copies.expedite(run);
    registry.removeCopies(run);
    registry.place(run, row.record.id, this.#ctx.clock.now(), false);
    run.send({
      row,
      resumeFrom: { ...memory, lastEventId: run.lastEventId },
      enginePriority: this.#dispatcher.enginePriority(run),
      reason,
    });
  }
}
