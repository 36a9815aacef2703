/**
 * Connects runs with the learned speeds of engines: records what runs show of their engines, and weighs engines by the
 * gaps that a run would have there.
 *
 * @module
 */
import type { EndpointId, RouteId, ServiceId } from "@wisteriapick/core";
import {
  type EndpointSpeeds,
  type EnginePlacementOptions,
  type ForecastItem,
  gapCost,
} from "@wisteriapick/policy";
import type { GatewayConfig } from "../config/types.ts";
import type { RelayContext } from "./context.ts";
import { isDisturbed } from "./disturbance.ts";
import type { EngineWithLoad } from "./engine_dispatcher.ts";
import type { EngineLoad } from "./run_registry.ts";
import type { MeasuredGaps, StreamRun } from "./stream_run.ts";

/** A generation as far as its placement depends on gaps between events. */
export interface GapSubject {
  readonly route: RouteId;
  readonly service: ServiceId;
  readonly tokensPerEvent: number;
  /** Whether the engine has to prefill the prompt. */
  readonly needsPrefill: boolean;
}

/** The cost of gaps at each candidate, if any engine differs. */
export type GapCosts = Pick<EnginePlacementOptions<EngineWithLoad>, "gapCostOf">;

/** What a run met at the engine that it was placed on. */
interface Placement {
  readonly endpoint: EndpointId;
  /** Prompt tokens that were to be prefilled before its own, less what was cached of its own. */
  readonly pendingPrefillTokens: number;
}

/** Options of {@link GapPlacement}. */
export interface GapPlacementOptions {
  readonly ctx: RelayContext;
  readonly loadOf: (endpoint: EndpointId, nowMs: number) => EngineLoad;
}

/** Records and uses the speeds of engines. */
export class GapPlacement {
  readonly #options: GapPlacementOptions;
  /** Placements of runs that have had no event yet. */
  readonly #placements = new WeakMap<StreamRun, Placement>();
  #targets: {
    readonly config: GatewayConfig | null;
    readonly byRoute: ReadonlyMap<RouteId, number | null>;
  } = { config: null, byRoute: new Map() };

  constructor(options: GapPlacementOptions) {
    this.#options = options;
  }

  /** Target for the gaps of a route's streams; `null` for none. */
  targetOf(route: RouteId): number | null {
    const config = this.#options.ctx.fleet.routes?.config ?? null;
    if (config !== this.#targets.config) {
      const routes = config?.routes ?? [];
      const byRoute = new Map(routes.map(({ id, targetGapMs }) => [id, targetGapMs]));
      this.#targets = { config, byRoute };
    }
    return this.#targets.byRoute.get(route) ?? null;
  }

  /** Whether some engine of an engine's service differs from the others. */
  hasDifferences(endpoint: EndpointId, nowMs: number): boolean {
    return this.#options.ctx.speeds.ofEndpoint(endpoint)?.hasDifferences(nowMs) ?? false;
  }

  /** Cost of the gaps that placing a generation causes, for each candidate; nothing where no engine differs. */
  costs(item: ForecastItem, subject: GapSubject): GapCosts {
    const { ctx, loadOf } = this.#options;
    const now = ctx.clock.now();
    const speeds = ctx.speeds.ofService(subject.service);
    if (speeds === null || !speeds.hasDifferences(now)) return {};
    const { promptTokens, produced, maxTokens } = item;
    const { route, tokensPerEvent, needsPrefill } = subject;
    const output = { produced, maxTokens, tokensPerEvent, targetGapMs: this.targetOf(route) };
    return {
      gapCostOf: ({ row, running }) => {
        const endpoint = row.record.id;
        const { streams } = loadOf(endpoint, now);
        const generation = { ...output, promptTokens, needsPrefill };
        return gapCost(generation, { endpoint, running, streams }, speeds, now);
      },
    };
  }

  /** Records that a run was placed on an engine that has to prefill its prompt. Returns what logs say of the engine. */
  recordPlaced(
    run: StreamRun,
    { row, running, speed, cachedPromptTokens }: EngineWithLoad,
  ): { readonly speed: number; readonly expectedGapMs: number | undefined } {
    const { ctx, loadOf } = this.#options;
    const endpoint = row.record.id;
    const now = ctx.clock.now();
    const pending = loadOf(endpoint, now).backlogTokens - cachedPromptTokens;
    // An engine that runs a stream anew omits the events that its caller has, so that its first one comes late.
    if (run.producedTokens > 0) this.#placements.delete(run);
    else this.#placements.set(run, { endpoint, pendingPrefillTokens: pending });
    const load = { running: running + 1, isPrefilling: false };
    const gapMs = ctx.speeds.ofEndpoint(endpoint)
      ?.expectedGapMs(endpoint, load, now) ?? 0;
    return {
      speed: Number(speed.toFixed(2)),
      expectedGapMs: gapMs > 0 ? Math.round(gapMs) : undefined,
    };
  }

  /** Records the first event of a run, or of its segment at another engine, which had no prompt to prefill. */
  recordFirstEvent(run: StreamRun): void {
    const placement = this.#placements.get(run);
    this.#placements.delete(run);
    const ms = run.atEngineMs;
    if (placement === undefined || placement.endpoint !== run.endpoint?.id) return;
    if (isDisturbed(this.#options.ctx, ms)) return;
    const { endpoint, pendingPrefillTokens } = placement;
    const sample = { ms, promptTokens: run.promptTokens, pendingPrefillTokens };
    this.#record(endpoint, (speeds, now) => speeds.recordFirstEvent(endpoint, sample, now));
  }

  /** Records gaps between events of a run. */
  recordGaps(run: StreamRun, { gapMs, spanMs }: MeasuredGaps): void {
    const endpoint = run.endpoint?.id;
    if (endpoint === undefined) return;
    this.#record(endpoint, (speeds, now) => {
      const { running, backlogTokens } = this.#options.loadOf(endpoint, now);
      const isPrefilling = backlogTokens > 0;
      const { coldUntilMs = 0 } = this.#options.ctx.fleet.endpoints.get(endpoint) ?? {};
      const load = { running, isPrefilling, isCold: coldUntilMs > now };
      speeds.recordGap(endpoint, { gapMs, spanMs, ...load }, now);
    });
  }

  #record(endpoint: EndpointId, record: (speeds: EndpointSpeeds, nowMs: number) => void): void {
    const { ctx } = this.#options;
    const speeds = ctx.speeds.ofEndpoint(endpoint);
    if (speeds !== null) record(speeds, ctx.clock.now());
  }
}
