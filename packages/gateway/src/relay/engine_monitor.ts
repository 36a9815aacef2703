/**
 * Watches the engines that have this gateway's runs for what the store does not say: that they leave while the store
 * cannot be reached, or that they fell silent without closing their connections.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
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
  /** Whether a run goes on elsewhere at once if its engine is given up. */
  readonly hasCopy: (run: StreamRun) => boolean;
  /** Whether what the store holds is known here. */
  readonly isStoreKnown: () => boolean;
}

/** Interval of questions to an engine while the store cannot be reached, in milliseconds: notice is two seconds. */
const REPORT_INTERVAL_MS = 300;
/** Time for a report; engines answer within a few round trips, in milliseconds. */
const REPORT_TIMEOUT_MS = 250;
/**
 * Silence of all runs at an engine after which it is asked, in milliseconds: an event comes every 30 to 65 ms, also
 * while prompts are read.
 */
const SILENCE_MS = 400;

/** See the module comment. */
export class EngineMonitor {
  readonly #options: EngineMonitorOptions;
  readonly #askedAtMs = new Map<EndpointId, number>();

  constructor(options: EngineMonitorOptions) {
    this.#options = options;
    const { network, ctx } = options;
    network.registerHandler("endpoint_leaving", (peer, { endpoint }) => {
      ctx.fleet.markLeaving(endpoint, `told by ${peer}`);
    });
  }

  /** Asks where a question is due. Called each tick. */
  tick(): void {
    const { ctx, dispatcher, isStoreKnown } = this.#options;
    const now = ctx.clock.now();
    const isBlind = !isStoreKnown();
    for (const [endpoint, runs] of runsByEngine(dispatcher.runs)) {
      if (ctx.fleet.endpoints.get(endpoint)?.phase === "leaving") continue;
      const isSilent = runs.every((run) =>
        run.phase === "streaming" && run.silentMs(now) >= SILENCE_MS
      );
      if (!isBlind && !isSilent) continue;
      if (now - (this.#askedAtMs.get(endpoint) ?? -Infinity) < REPORT_INTERVAL_MS) continue;
      this.#askedAtMs.set(endpoint, now);
      void this.#ask(endpoint, isSilent);
    }
  }

  async #ask(id: EndpointId, isSilent: boolean): Promise<void> {
    const { ctx } = this.#options;
    const endpoint = ctx.upstreams.get(id);
    if (endpoint === null) return;
    const answer = await controlCall(endpoint, ctx.dialect.reportRequest(), {
      clock: ctx.clock,
      timeoutMs: REPORT_TIMEOUT_MS,
    });
    if (answer.type === "failed") {
      if (isSilent) this.#onSilent(id, answer.message);
      return;
    }
    const report = ctx.dialect.readReport(answer.status, answer.body);
    if (report !== null) this.#onReport(id, report);
  }

  #onReport(id: EndpointId, { isDraining, leavesInMs }: EngineReport): void {
    if (!isDraining && leavesInMs === null) return;
    const { ctx, network } = this.#options;
    ctx.fleet.markLeaving(id, "its own report");
    network.broadcast({ kind: "endpoint_leaving", endpoint: id });
  }

  /** Neither events nor a report: the engine is gone, or cut off. Runs with a copy go on there. */
  #onSilent(id: EndpointId, message: string): void {
    const { ctx, dispatcher, hasCopy } = this.#options;
    const endpoint = ctx.upstreams.get(id);
    ctx.log.state("engine_silent", { endpoint: id, message });
    endpoint?.recordUnreachable(ctx.clock.now());
    for (const run of [...dispatcher.runs]) {
      if (run.endpoint?.id !== id || run.phase !== "streaming" || !hasCopy(run)) continue;
      if (run.silentMs(ctx.clock.now()) >= SILENCE_MS) run.giveUpPart("engine fell silent");
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
