/**
 * Monitors the engines of this gateway's runs for two conditions that the store does not show: an engine is leaving
 * while the store cannot be reached, and an engine has stopped sending without closing its connections.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import { runInBackground } from "../observe/background_task.ts";
import type { PeerGroup } from "../peers/peer_group.ts";
import { controlCall } from "../upstream/control_call.ts";
import type { EngineReport } from "../upstream/dialect.ts";
import type { RelayContext } from "./context.ts";
import type { EngineDispatcher } from "./engine_dispatcher.ts";
import type { StreamRun } from "./stream_run.ts";

/** Options of {@link EngineMonitor}. */
export interface EngineMonitorOptions {
  readonly ctx: RelayContext;
  readonly dispatcher: EngineDispatcher;
  readonly network: PeerGroup;
  /** Whether another engine holds a copy from which a run can be resumed at once. */
  readonly hasCopy: (run: StreamRun) => boolean;
  /** Whether this gateway knows the present content of the store. */
  readonly isStoreKnown: () => boolean;
}

/**
 * Interval of report requests to an engine that is silent, or while the store cannot be reached, in milliseconds: an
 * engine's drain notice is two seconds.
 */
const REPORT_INTERVAL_MS = 300;
/** Timeout of a report request, in milliseconds; engines respond within a few round trips. */
const REPORT_TIMEOUT_MS = 250;
/**
 * Time without an event of any run after which an engine is requested to report, in milliseconds: an event arrives
 * every 30 to 65 ms, also during prefill.
 */
const MAX_SILENCE_MS = 400;

/**
 * Interval of report requests to an engine that may be leaving, in milliseconds: an engine that refuses requests as it
 * is full would be asked as often as it refuses.
 */
const INQUIRY_INTERVAL_MS = 500;

/** Requests reports from engines, and reacts to leaving and silent ones. */
export class EngineMonitor {
  readonly #options: EngineMonitorOptions;
  readonly #requestedAtMs = new Map<EndpointId, number>();

  constructor(options: EngineMonitorOptions) {
    this.#options = options;
    const { network, ctx } = options;
    network.registerHandler("endpoint_leaving", (peer, { endpoint }) => {
      ctx.fleet.markLeaving(endpoint, { reason: `reported by ${peer}`, isOwnNotice: false });
    });
  }

  /** Requests the reports that are due. Called each tick. */
  tick(): void {
    const { ctx, dispatcher, isStoreKnown } = this.#options;
    const now = ctx.clock.now();
    const isStoreUnknown = !isStoreKnown();
    for (const [endpoint, runs] of runsByEngine(dispatcher.runs)) {
      if (ctx.fleet.endpoints.get(endpoint)?.phase === "leaving") continue;
      if (ctx.fleet.isPaused(endpoint)) continue;
      const isSilent = runs.every((run) =>
        run.phase === "streaming" && run.silentMs(now) >= MAX_SILENCE_MS
      );
      if (!isStoreUnknown && !isSilent) continue;
      if (now - (this.#requestedAtMs.get(endpoint) ?? -Infinity) < REPORT_INTERVAL_MS) continue;
      this.#requestedAtMs.set(endpoint, now);
      runInBackground(
        ctx,
        "engine_report",
        () => this.#requestReport(endpoint, isSilent),
      );
    }
  }

  /**
   * Requests the report of an engine that may be leaving, as it has refused a request or ends its connections. Load
   * pattern: engines leave every few seconds, and each gateway sends them generations until their registration says so.
   */
  inquire(id: EndpointId): void {
    const { ctx } = this.#options;
    const row = ctx.fleet.endpoints.get(id);
    if (row === undefined || row.phase === "leaving" || ctx.fleet.isPaused(id)) return;
    const engine = ctx.fleet.routes?.service(row.record.service)?.engine ?? null;
    const now = ctx.clock.now();
    if (engine === null || row.coldUntilMs > now) return;
    if (now - (this.#requestedAtMs.get(id) ?? -Infinity) < INQUIRY_INTERVAL_MS) return;
    this.#requestedAtMs.set(id, now);
    runInBackground(ctx, "engine_report", () => this.#requestReport(id, false));
  }

  async #requestReport(id: EndpointId, isSilent: boolean): Promise<void> {
    const { ctx } = this.#options;
    const endpoint = ctx.upstreams.get(id);
    if (endpoint === null) return;
    const response = await controlCall(endpoint, ctx.dialect.reportRequest(), {
      clock: ctx.clock,
      timeoutMs: REPORT_TIMEOUT_MS,
    });
    if (response.type === "failed") {
      if (isSilent) this.#onSilent(id, response.message);
      return;
    }
    const report = ctx.dialect.readReport(response.status, response.body);
    if (report !== null) return this.#onReport(id, report);
    ctx.log.state("report_unreadable", { endpoint: id, status: response.status });
  }

  #onReport(id: EndpointId, { isDraining, leavesInMs }: EngineReport): void {
    if (!isDraining && leavesInMs === null) return;
    const { ctx } = this.#options;
    const cause = { reason: "its own report", isOwnNotice: true };
    if (ctx.fleet.markLeaving(id, cause)) ctx.announceLeaving(id);
  }

  /**
   * Neither events nor a report arrive, so the engine has crashed or is unreachable. Runs with a copy are resumed at
   * the engine that holds it.
   */
  #onSilent(id: EndpointId, message: string): void {
    const { ctx, dispatcher, hasCopy } = this.#options;
    const endpoint = ctx.upstreams.get(id);
    ctx.log.state("engine_silent", { endpoint: id, message });
    endpoint?.recordUnreachable(ctx.clock.now());
    for (const run of [...dispatcher.runs]) {
      if (run.endpoint?.id !== id || run.phase !== "streaming" || !hasCopy(run)) continue;
      if (run.silentMs(ctx.clock.now()) >= MAX_SILENCE_MS) run.abandonSegment("engine is silent");
    }
  }
}

function runsByEngine(runs: Iterable<StreamRun>): Map<EndpointId, StreamRun[]> {
  const byEngine = new Map<EndpointId, StreamRun[]>();
  for (const run of runs) {
    const id = run.endpoint?.id;
    if (id === undefined) continue;
    const list = byEngine.get(id);
    if (list === undefined) byEngine.set(id, [run]);
    else list.push(run);
  }
  return byEngine;
}
