/**
 * Moves running generations off engines that leave: a copy of the memory while the run goes on, then a short stop, the
 * rest of the copy, and the same run goes on at the other engine.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import {
  chooseEngine,
  type CopyTarget,
  type EnginePlacementOptions,
  type ForecastItem,
} from "@wisteriapick/policy";
import type { CopyRequest } from "@wisteriapick/wire";
import type { EngineConfig } from "../config/types.ts";
import { CopyKeeper } from "../peers/copy_keeper.ts";
import type { PeerGroup } from "../peers/peer_group.ts";
import type { EndpointRow } from "../state/fleet.ts";
import { controlCall } from "../upstream/control_call.ts";
import type { CopyResult, RunMemory } from "../upstream/dialect.ts";
import type { RelayContext } from "./context.ts";
import type { EngineDispatcher, EngineRow } from "./engine_dispatcher.ts";
import type { RunLoss, StreamRun } from "./stream_run.ts";

/** Longest wait for a copy, in milliseconds; a leaving engine is gone after about two seconds. */
const COPY_TIMEOUT_MS = 2_500;
/** Pause before a run that cannot be moved yet is looked at again, in milliseconds. */
const RETRY_MS = 30;
/** Output time below which a run is left to finish where it is, in milliseconds. */
const NEARLY_DONE_MS = 700;
/** Time per output token on a shared engine, in milliseconds. */
const TOKEN_MS = 10;
/** Memory may be filled to the last token for a run that would be lost otherwise. */
const RESCUE_PLACEMENT: EnginePlacementOptions = { z: 0, usedPart: 1 };
/** Time from the start of a run after which its backup holds all but its last tokens, in milliseconds. */
const BACKUP_COMPLETE_MS = 2_500;
/** Time from an engine's notice for which it may be sent a run back, in milliseconds. */
const RETURN_MS = 1_500;
/** Copies between data centres take this many times as long. */
const REMOTE_COPY_FACTOR = 2;
const BITS_PER_BYTE = 8;
/** Bits that a link of one megabit per second carries in a millisecond. */
const BITS_PER_MS_OF_MBPS = 1_000;

/** Where a run can go on if its new engine does not take it. */
interface Fallback {
  readonly source: EndpointRow;
  readonly memory: Omit<RunMemory, "lastEventId">;
}

/** What became of one try to move a run. */
type MoveOutcome = "moved" | "over" | "refused" | "failed";

/** See the module comment. */
export class RunMover {
  readonly #ctx: RelayContext;
  readonly #dispatcher: EngineDispatcher;
  readonly #keeper: CopyKeeper;
  readonly #moving = new Set<StreamRun>();
  readonly #fallbacks = new Map<StreamRun, Fallback>();
  #nextKey = 1;

  constructor(ctx: RelayContext, dispatcher: EngineDispatcher, network: PeerGroup) {
    this.#ctx = ctx;
    this.#dispatcher = dispatcher;
    const { clock, log } = ctx;
    this.#keeper = new CopyKeeper({
      network,
      clock,
      log,
      targets: (request) => this.#targets(request),
    });
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
    const backup = this.#usableBackup(run);
    if (backup === null || !run.hasDelivered) return false;
    // A request that has crashed engines before would crash the one with the backup as well.
    if (this.#ctx.crashes.isSuspected(run.req)) return false;
    this.#goOn(run, backup, backupMemory(run, backup), "engine lost, backup goes on");
    return true;
  }

  /** Whether a run may still go back to the engine that it left. */
  #mayReturn({ record, phaseSinceMs }: EndpointRow): boolean {
    const { fleet, clock } = this.#ctx;
    return !fleet.evacuated.has(record.dataCentre) && clock.now() - phaseSinceMs < RETURN_MS;
  }

  /** The engine that keeps a run's memory, if it is still the process that was asked to, and can be reached. */
  #usableBackup(run: StreamRun): EndpointRow | null {
    const asked = run.backup;
    const now = asked === null ? undefined : this.#ctx.fleet.endpoints.get(asked.record.id);
    if (asked === null || now === undefined) return null;
    if (now.record.startedAtUnixMs !== asked.record.startedAtUnixMs) return null;
    if (!this.#ctx.fleet.isUsable(now.record.id)) return null;
    return this.#ctx.upstreams.of(now).isHealthy(this.#ctx.clock.now()) ? now : null;
  }

  forget(run: StreamRun): void {
    this.#fallbacks.delete(run);
  }

  /** Gives leave to copies that have become possible. Called each tick. */
  tick(): void {
    this.#keeper.tick();
  }

  /** Begins to move every run of an engine. */
  #empty(id: EndpointId): void {
    for (const run of this.#dispatcher.board.ownRuns(id)) void this.#rescue(run, id);
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
      // An engine copies what has begun to run, which shows by the first event.
      if (run.phase === "sent") {
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
    return (run.maxTokens - run.producedTokens) * TOKEN_MS > NEARLY_DONE_MS;
  }

  async #tryMove(
    run: StreamRun,
    source: EndpointRow,
    engine: EngineConfig,
    refused: Set<EndpointId>,
  ): Promise<MoveOutcome> {
    const backup = this.#usableBackup(run);
    if (backup !== null && run.sentMs(this.#ctx.clock.now()) >= BACKUP_COMPLETE_MS) {
      this.#goOn(run, backup, backupMemory(run, backup), "backup goes on");
      return "moved";
    }
    // The engine with the backup holds the run's memory already; a second copy there would take it twice.
    const avoided = run.backup === null ? [] : [run.backup.record.id];
    const request = this.#requestOf(run, source, [...refused, ...avoided]);
    const granted = await this.#keeper.ask(request) ?? this.#best(request, engine);
    try {
      if (!this.#mustLeave(run, source.record.id)) return "over";
      const target = granted === null ? undefined : this.#ctx.fleet.endpoints.get(granted);
      if (target === undefined || !this.#ctx.fleet.isUsable(target.record.id)) return "failed";
      const outcome = await this.#move(run, source, target);
      if (outcome === "refused") refused.add(target.record.id);
      return outcome;
    } finally {
      this.#keeper.done(request.key);
    }
  }

  #requestOf(
    run: StreamRun,
    source: EndpointRow,
    refused: readonly EndpointId[],
  ): Omit<CopyRequest, "kind"> {
    return {
      key: this.#nextKey++,
      service: source.record.service,
      source: source.record.id,
      route: run.req.route.id,
      promptTokens: run.promptTokens,
      producedTokens: run.producedTokens,
      maxTokens: run.maxTokens,
      refused,
    };
  }

  async #move(run: StreamRun, source: EndpointRow, target: EndpointRow): Promise<MoveOutcome> {
    const { board } = this.#dispatcher;
    board.addCopy(run, target.record.id);
    try {
      const first = await this.#copy(run, source, target, false);
      if (first.type === "refused") return "refused";
      if (first.type !== "copied") return "failed";
      if (run.phase !== "streaming") return "over";
      return await this.#stopAndGoOn(run, source, target);
    } finally {
      board.removeCopy(run, target.record.id);
    }
  }

  async #stopAndGoOn(
    run: StreamRun,
    source: EndpointRow,
    target: EndpointRow,
  ): Promise<MoveOutcome> {
    run.beginStop();
    const last = await this.#copy(run, source, target, true);
    if (!run.isStopping) return "over";
    if (last.type === "copied") {
      const memory = { source: source.record.address, handle: last.handle };
      this.#fallbacks.set(run, { source, memory });
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
    const { board } = this.#dispatcher;
    board.removeCopies(run);
    const backup = this.#dispatcher.chooseBackup(run, row);
    board.place(run, row.record.id, this.#ctx.clock.now(), false);
    if (backup !== null) board.addCopy(run, backup.record.id);
    run.send({
      row,
      goOnFrom: { ...memory, lastEventId: run.lastEventId },
      backup,
      enginePriority: this.#dispatcher.enginePriority(run),
      why,
    });
  }

  async #copy(
    run: StreamRun,
    source: EndpointRow,
    target: EndpointRow,
    stop: boolean,
  ): Promise<CopyResult> {
    const { clock, dialect, log, metrics, upstreams } = this.#ctx;
    const startedAtMs = clock.now();
    const request = dialect.copyRequest({
      requestId: run.id,
      target: target.record.address,
      stop,
    });
    const options = { clock, timeoutMs: COPY_TIMEOUT_MS };
    const answer = await controlCall(upstreams.of(source), request, options);
    const result: CopyResult = answer.type === "answer"
      ? dialect.readCopyResult(answer.status, answer.body)
      : { type: "unknown", message: answer.message };
    metrics.countCopy(`${stop ? "last" : "first"}_${result.type}`);
    log.request("run_copy", {
      req: run.id,
      source: source.record.id,
      target: target.record.id,
      stop,
      result: result.type,
      message: result.type === "unknown" ? result.message : undefined,
      memoryTokens: run.memoryTokens,
      ms: Math.round(clock.now() - startedAtMs),
      leavingForMs: Math.round(clock.now() - source.phaseSinceMs),
    });
    return result;
  }

  /** The engine to copy to where no keeper says. */
  #best(request: Omit<CopyRequest, "kind">, engine: EngineConfig): EndpointId | null {
    const source = this.#ctx.fleet.endpoints.get(request.source);
    if (source === undefined) return null;
    const item = this.#itemOf(request);
    const candidates = this.#candidates(request, source, engine);
    const choice = chooseEngine(item, candidates) ??
      chooseEngine(item, candidates, RESCUE_PLACEMENT);
    return choice?.candidate.row.record.id ?? null;
  }

  /** Engines with room for a run, or, where none has it to spare, those into which it just fits. */
  #targets(request: Omit<CopyRequest, "kind">): CopyTarget[] {
    const { fleet } = this.#ctx;
    const source = fleet.endpoints.get(request.source);
    const engine = fleet.routes?.service(request.service)?.engine ?? null;
    if (source === undefined || engine === null) return [];
    const candidates = this.#candidates(request, source, engine);
    const fitting = this.#fitting(request, candidates, engine, {});
    return fitting.length > 0
      ? fitting
      : this.#fitting(request, candidates, engine, RESCUE_PLACEMENT);
  }

  #fitting(
    request: Omit<CopyRequest, "kind">,
    candidates: readonly EngineRow[],
    engine: EngineConfig,
    options: EnginePlacementOptions,
  ): CopyTarget[] {
    const item = this.#itemOf(request);
    const copyMs = copyTimeMs(request.promptTokens + request.producedTokens, engine);
    return candidates.flatMap((candidate) => {
      const choice = chooseEngine(item, [candidate], options);
      if (choice === null) return [];
      return [{
        endpoint: candidate.row.record.id,
        peak: choice.peak,
        copyMs: candidate.isLocal ? copyMs : REMOTE_COPY_FACTOR * copyMs,
      }];
    });
  }

  #candidates(
    request: Omit<CopyRequest, "kind">,
    source: EndpointRow,
    engine: EngineConfig,
  ): EngineRow[] {
    const route = this.#ctx.fleet.routes?.config.routes.find((r) => r.id === request.route);
    const excluded = new Set([request.source, ...request.refused]);
    return this.#dispatcher
      .candidates(request.service, engine, { regions: route?.regions ?? [], excluded })
      .filter((c) => c.row.record.version === source.record.version)
      .map((c) => ({ ...c, isLocal: c.row.record.dataCentre === source.record.dataCentre }));
  }

  #itemOf(
    { route, promptTokens, producedTokens, maxTokens }: Omit<CopyRequest, "kind">,
  ): ForecastItem {
    const curve = this.#dispatcher.board.curve(route);
    return { curve, promptTokens, produced: producedTokens, maxTokens };
  }
}

/** The memory of a backup: it is named by the run itself, at the engine that keeps it. */
function backupMemory(run: StreamRun, backup: EndpointRow): Omit<RunMemory, "lastEventId"> {
  return { source: backup.record.address, handle: run.id };
}

/** Time to copy a run's memory over an idle link within a data centre, in milliseconds. */
function copyTimeMs(tokens: number, { tokenBytes, linkMbps }: EngineConfig): number {
  if (linkMbps <= 0) return 0;
  return tokens * tokenBytes * BITS_PER_BYTE / (linkMbps * BITS_PER_MS_OF_MBPS);
}
