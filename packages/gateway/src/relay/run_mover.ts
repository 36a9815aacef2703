/**
 * Moves running generations off engines that leave: a copy of the memory while the run goes on, then a short stop, the
 * rest of the copy, and the same run goes on at the other engine.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import { chooseEngine } from "@wisteriapick/policy";
import type { EngineConfig } from "../config/types.ts";
import type { EndpointRow } from "../state/fleet.ts";
import { controlCall } from "../upstream/control_call.ts";
import type { CopyResult, RunMemory } from "../upstream/dialect.ts";
import type { UpstreamEndpoint } from "../upstream/endpoint.ts";
import type { RelayContext } from "./context.ts";
import type { EngineDispatcher, EngineRow } from "./engine_dispatcher.ts";
import type { RunLoss, StreamRun } from "./stream_run.ts";

/** Longest wait for a copy, in milliseconds; a leaving engine is gone after about two seconds. */
const COPY_TIMEOUT_MS = 2_500;
/** Pause before a run that cannot be moved yet is looked at again, in milliseconds. */
const RETRY_MS = 60;
/** Output time below which a run is left to finish where it is, in milliseconds. */
const NEARLY_DONE_MS = 700;
/** Time per output token on a shared engine, in milliseconds. */
const TOKEN_MS = 10;
/** Memory may be filled to the last token for a run that would be lost otherwise. */
const RESCUE_PLACEMENT = { z: 0, usedPart: 1 } as const;
/** Refusals of copies of one run after which it is left where it is. */
const MAX_REFUSALS = 6;

/** Where a run can go on if its new engine does not take it. */
interface Fallback {
  readonly source: EndpointRow;
  readonly memory: Omit<RunMemory, "lastEventId">;
}

/** See the module comment. */
export class RunMover {
  readonly #ctx: RelayContext;
  readonly #dispatcher: EngineDispatcher;
  readonly #departing = new Set<EndpointId>();
  readonly #fallbacks = new Map<StreamRun, Fallback>();

  constructor(ctx: RelayContext, dispatcher: EngineDispatcher) {
    this.#ctx = ctx;
    this.#dispatcher = dispatcher;
    ctx.fleet.registerEndpointListener(({ id, after }) => {
      if (after?.phase === "leaving") void this.#empty(id);
    });
  }

  /** Has a run go on after its engine lost it. Returns whether it does. */
  onLost(run: StreamRun, loss: RunLoss): boolean {
    const fallback = this.#fallbacks.get(run);
    this.#fallbacks.delete(run);
    if (fallback === undefined || loss.type === "lost") return false;
    this.#ctx.log.request("run_returned", { req: run.id, endpoint: fallback.source.record.id });
    this.#goOn(run, fallback.source, fallback.memory, "returned");
    return true;
  }

  forget(run: StreamRun): void {
    this.#fallbacks.delete(run);
  }

  /** Moves the runs of an engine one after the other: each copy has the engine's link for itself. */
  async #empty(id: EndpointId): Promise<void> {
    if (this.#departing.has(id)) return;
    this.#departing.add(id);
    const refusals = new Map<StreamRun, number>();
    for (;;) {
      const row = this.#ctx.fleet.endpoints.get(id);
      if (row === undefined || row.phase !== "leaving") break;
      const run = this.#next(id, refusals);
      if (run === null) {
        if (!this.#hasMovable(id, refusals)) break;
        await this.#ctx.clock.sleep(RETRY_MS);
        continue;
      }
      const moved = await this.#move(run, row);
      if (!moved) refusals.set(run, (refusals.get(run) ?? 0) + 1);
      if (!moved) await this.#ctx.clock.sleep(RETRY_MS);
    }
    this.#departing.delete(id);
  }

  #isMovable(run: StreamRun, refusals: ReadonlyMap<StreamRun, number>): boolean {
    if (run.phase !== "streaming" && run.phase !== "sent") return false;
    if ((refusals.get(run) ?? 0) >= MAX_REFUSALS) return false;
    return (run.maxTokens - run.producedTokens) * TOKEN_MS > NEARLY_DONE_MS;
  }

  #hasMovable(id: EndpointId, refusals: ReadonlyMap<StreamRun, number>): boolean {
    return [...this.#dispatcher.board.ownRuns(id)].some((run) => this.#isMovable(run, refusals));
  }

  /** The run that is quickest to copy, so that most get away in time. */
  #next(id: EndpointId, refusals: ReadonlyMap<StreamRun, number>): StreamRun | null {
    const runs = [...this.#dispatcher.board.ownRuns(id)].filter((run) =>
      run.phase === "streaming" && this.#isMovable(run, refusals)
    );
    runs.sort((a, b) =>
      (refusals.get(a) ?? 0) - (refusals.get(b) ?? 0) || a.memoryTokens - b.memoryTokens
    );
    return runs[0] ?? null;
  }

  /** Returns whether the run needs no further move. */
  async #move(run: StreamRun, source: EndpointRow): Promise<boolean> {
    const placed = this.#dispatcher.serviceOf(run);
    if (placed === null || !placed.engine.canCopyRuns) return true;
    const target = this.#chooseTarget(run, source, placed.engine);
    if (target === null) {
      this.#ctx.log.request("move_without_room", { req: run.id, source: source.record.id });
      return false;
    }
    const { board } = this.#dispatcher;
    board.addCopy(run, target.row.record.id);
    try {
      const first = await this.#copy(run, source, target.row, false);
      if (first.type !== "copied") return first.type === "no_run" && run.phase !== "streaming";
      return await this.#stopAndGoOn(run, source, target.row);
    } finally {
      board.removeCopy(run);
    }
  }

  #chooseTarget(run: StreamRun, source: EndpointRow, engine: EngineConfig): EngineRow | null {
    const excluded = new Set([source.record.id]);
    const candidates = this.#dispatcher
      .candidates(source.record.service, engine, run, excluded)
      .filter((c) => c.row.record.version === source.record.version)
      .map((c) => ({
        ...c,
        keptTokens: 0,
        // Copies between data centres take twice as long.
        isLocal: c.row.record.dataCentre === source.record.dataCentre,
      }));
    const item = run.forecastItem(this.#dispatcher.board.curve(run.req.route.id));
    const choice = chooseEngine(item, candidates) ??
      chooseEngine(item, candidates, RESCUE_PLACEMENT);
    return choice?.candidate ?? null;
  }

  async #stopAndGoOn(run: StreamRun, source: EndpointRow, target: EndpointRow): Promise<boolean> {
    if (run.phase !== "streaming") return true;
    run.beginStop();
    const last = await this.#copy(run, source, target, true);
    if (!run.isStopping) return true;
    const memory = { source: source.record.address };
    switch (last.type) {
      case "copied": {
        const handle = { ...memory, handle: last.handle };
        this.#fallbacks.set(run, { source, memory: handle });
        this.#goOn(run, target, handle, "moved");
        return true;
      }
      case "refused":
        if (last.handle === null) break;
        this.#goOn(run, source, { ...memory, handle: last.handle }, "copy refused");
        return false;
      case "no_run":
      case "busy":
      case "unknown":
        break;
    }
    run.endStop();
    return last.type === "no_run";
  }

  #goOn(
    run: StreamRun,
    row: EndpointRow,
    memory: Omit<RunMemory, "lastEventId">,
    why: string,
  ): void {
    const { board } = this.#dispatcher;
    board.removeCopy(run);
    board.place(run, row.record.id, this.#ctx.clock.now(), false);
    run.send({
      row,
      goOnFrom: { ...memory, lastEventId: run.lastEventId },
      backupAt: null,
      enginePriority: this.#dispatcher.enginePriority(run),
      why,
    });
    this.#dispatcher.announce(run);
  }

  async #copy(
    run: StreamRun,
    source: EndpointRow,
    target: EndpointRow,
    stop: boolean,
  ): Promise<CopyResult> {
    const { clock, dialect, log, metrics, upstreams } = this.#ctx;
    const startedAtMs = clock.now();
    const endpoint: UpstreamEndpoint = upstreams.of(source);
    const request = dialect.copyRequest({
      requestId: run.id,
      target: target.record.address,
      stop,
    });
    const answer = await controlCall(endpoint, request, { clock, timeoutMs: COPY_TIMEOUT_MS });
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
}
