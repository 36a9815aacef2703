/**
 * Moves running generations between engines: off engines that leave, by a copy of the memory while the run goes on, a
 * short stop, the rest of the copy, and the same run at the other engine; and off engines that crashed, where a copy
 * was made ahead.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import type { EngineConfig } from "../config/types.ts";
import { CopyCoordinator } from "../peers/copy_coordinator.ts";
import type { PeerGroup } from "../peers/peer_group.ts";
import type { EndpointRow } from "../state/fleet.ts";
import type { CopyResult, RunMemory } from "../upstream/dialect.ts";
import { ProactiveCopies } from "./proactive_copies.ts";
import type { RelayContext } from "./context.ts";
import { CopyTargets, requestOf } from "./copy_targets.ts";
import type { EngineDispatcher } from "./engine_dispatcher.ts";
import { copyRun } from "./run_copy.ts";
import type { RunLoss, StreamRun } from "./stream_run.ts";

/** Pause before a run that cannot be moved yet is looked at again, in milliseconds. */
const RETRY_MS = 30;
/** Output time below which a run is left to finish where it is, in milliseconds. */
const NEARLY_DONE_MS = 700;
/** Time from an engine's notice for which it may be sent a run back, in milliseconds. */
const RETURN_MS = 1_500;
/** Where a run can go on if its new engine does not take it. */
interface Fallback {
  readonly source: EndpointRow;
  readonly memory: Omit<RunMemory, "lastEventId">;
}

/** A move of a run. */
interface MovePath {
  readonly source: EndpointRow;
  readonly target: EndpointRow;
  /** Whether the target holds a copy that was made ahead. */
  readonly isHeld: boolean;
}

/** What became of one try to move a run. */
type MoveOutcome = "moved" | "over" | "refused" | "failed";

/** See the module comment. */
export class RunMigrator {
  readonly #ctx: RelayContext;
  readonly #dispatcher: EngineDispatcher;
  readonly #keeper: CopyCoordinator;
  readonly #targets: CopyTargets;
  readonly #ahead: ProactiveCopies;
  readonly #moving = new Set<StreamRun>();
  readonly #fallbacks = new Map<StreamRun, Fallback>();

  constructor(ctx: RelayContext, dispatcher: EngineDispatcher, network: PeerGroup) {
    this.#ctx = ctx;
    this.#dispatcher = dispatcher;
    this.#targets = new CopyTargets(ctx.fleet, dispatcher);
    const { clock, log } = ctx;
    this.#keeper = new CopyCoordinator({
      network,
      clock,
      log,
      targets: (request, isBusy) => this.#targets.of(request, isBusy),
    });
    this.#ahead = new ProactiveCopies({ ctx, dispatcher, keeper: this.#keeper });
    ctx.fleet.registerEndpointListener(({ id, after }) => {
      if (after?.phase === "leaving") this.#empty(id);
    });
  }

  /** Has a run go on after its engine lost it. Returns whether it does. */
  onLost(run: StreamRun, loss: RunLoss): boolean {
    const fallback = this.#fallbacks.get(run);
    this.#fallbacks.delete(run);
    if (fallback !== undefined && loss.type !== "lost" && this.#mayReturn(fallback.source)) {
      this.#goOn(run, fallback.source, fallback.memory, "new engine did not take it");
      return true;
    }
    // A request that has crashed engines before would crash the one with the copy as well.
    if (!run.hasDelivered || this.#ctx.crashes.isSuspected(run.req)) return false;
    const copy = this.#ahead.take(run);
    if (copy === null) return false;
    this.#goOn(run, copy.row, copy.memory, "engine lost, copy goes on");
    return true;
  }

  /** Whether a run may still go back to the engine that it left. */
  #mayReturn({ record, phaseSinceMs }: EndpointRow): boolean {
    const { fleet, clock } = this.#ctx;
    return !fleet.evacuated.has(record.dataCentre) && clock.now() - phaseSinceMs < RETURN_MS;
  }

  /** Forgets a run that is over, and frees its copy. */
  forget(run: StreamRun): void {
    this.#fallbacks.delete(run);
    this.#ahead.forget(run);
  }

  /** Whether a run goes on elsewhere at once if its engine is given up. */
  hasCopy(run: StreamRun): boolean {
    return this.#ahead.heldPart(run) !== null;
  }

  /** Gives leave to copies that have become possible, and makes copies ahead. Called each tick. */
  tick(): void {
    this.#keeper.tick();
    const now = this.#ctx.clock.now();
    for (const run of this.#dispatcher.runs) {
      if (!this.#moving.has(run)) this.#ahead.keep(run, now);
    }
  }

  /** Begins to move every run of an engine. */
  #empty(id: EndpointId): void {
    for (const run of this.#dispatcher.registry.ownRuns(id)) void this.#rescue(run, id);
  }

  /** Moves one run, trying again while that can help. */
  async #rescue(run: StreamRun, source: EndpointId): Promise<void> {
    if (this.#moving.has(run)) return;
    this.#moving.add(run);
    const refused = new Set<EndpointId>();
    while (this.#mustLeave(run, source)) {
      const row = this.#ctx.fleet.endpoints.get(source);
      const placed = this.#dispatcher.serviceOf(run);
      if (row === undefined || placed === null || !placed.engine.canCopyRuns) break;
      this.#ahead.giveWay(run);
      // An engine copies what has begun to run, which shows by the first event; one copy of a run at a time.
      if (run.phase === "sent" || this.#ahead.isBusy(run)) {
        await this.#ctx.clock.sleep(RETRY_MS);
        continue;
      }
      const outcome = await this.#tryMove(run, row, placed.engine, refused);
      if (outcome === "moved" || outcome === "over") break;
      await this.#ctx.clock.sleep(RETRY_MS);
    }
    this.#moving.delete(run);
    // It may have come to an engine that is leaving as well.
    const now = run.endpoint;
    if (run.phase === "over" || now === null || now.id === source) return;
    if (this.#ctx.fleet.endpoints.get(now.id)?.phase === "leaving") void this.#rescue(run, now.id);
  }

  #mustLeave(run: StreamRun, source: EndpointId): boolean {
    if (run.phase !== "streaming" && run.phase !== "sent") return false;
    if (run.endpoint?.id !== source) return false;
    return run.remainingMs > NEARLY_DONE_MS;
  }

  async #tryMove(
    run: StreamRun,
    source: EndpointRow,
    engine: EngineConfig,
    refused: Set<EndpointId>,
  ): Promise<MoveOutcome> {
    const held = this.#ahead.heldPart(run);
    const request = requestOf(run, source, { held, refused: [...refused], isAhead: false });
    const leave = this.#keeper.request(request);
    const granted = await leave.target ?? this.#targets.best(request, engine);
    try {
      if (!this.#mustLeave(run, source.record.id)) return "over";
      const target = granted === null ? undefined : this.#ctx.fleet.endpoints.get(granted);
      if (target === undefined || !this.#ctx.fleet.isUsable(target.record.id)) return "failed";
      const outcome = await this.#move(run, source, target);
      if (outcome === "refused") refused.add(target.record.id);
      return outcome;
    } finally {
      leave.release();
    }
  }

  async #move(run: StreamRun, source: EndpointRow, target: EndpointRow): Promise<MoveOutcome> {
    const { registry: board } = this.#dispatcher;
    const isHeld = this.#ahead.heldPart(run)?.endpoint === target.record.id;
    if (!isHeld) board.addCopy(run, target.record.id);
    try {
      const first: CopyResult = isHeld
        ? { type: "copied", handle: "", events: 0 }
        : await copyRun(this.#ctx, run, { source, target, stop: false });
      if (first.type === "refused") return "refused";
      if (first.type !== "copied") return "failed";
      if (run.phase !== "streaming") return "over";
      return await this.#stopAndGoOn(run, { source, target, isHeld });
    } finally {
      board.removeCopy(run, target.record.id);
    }
  }

  async #stopAndGoOn(
    run: StreamRun,
    { source, target, isHeld }: MovePath,
  ): Promise<MoveOutcome> {
    run.beginStop();
    const last = await copyRun(this.#ctx, run, { source, target, stop: true });
    if (!run.isStopping) return "over";
    if (last.type === "copied") {
      const memory = { source: source.record.address, handle: last.handle };
      this.#fallbacks.set(run, { source, memory });
      if (isHeld) this.#ahead.take(run);
      else this.#ahead.drop(run);
      this.#goOn(run, target, memory, "moved");
      return "moved";
    }
    if (last.type === "refused" && last.handle !== null) {
      // The engine has stopped the run and keeps its memory; the run goes on there.
      const memory = { source: source.record.address, handle: last.handle };
      this.#goOn(run, source, memory, "copy refused");
      return "refused";
    }
    run.endStop();
    return "failed";
  }

  #goOn(
    run: StreamRun,
    row: EndpointRow,
    memory: Omit<RunMemory, "lastEventId">,
    why: string,
  ): void {
    const { registry: board } = this.#dispatcher;
    board.removeCopies(run);
    board.place(run, row.record.id, this.#ctx.clock.now(), false);
    run.send({
      row,
      goOnFrom: { ...memory, lastEventId: run.lastEventId },
      enginePriority: this.#dispatcher.enginePriority(run),
      why,
    });
  }
}
