/**
 * Chooses the engines to which a run can be copied.
 *
 * Load pattern: an engine leaves and all its runs need memory elsewhere at once, under load that fills the others.
 *
 * @module
 */
import type { Clock, EndpointId, ServiceId } from "@wisteriapick/core";
import {
  chooseBackup,
  chooseEngine,
  type CopyTarget,
  DepartureOrder,
  type EnginePlacementOptions,
  type ForecastItem,
} from "@wisteriapick/policy";
import type { CopyRequest } from "@wisteriapick/wire";
import type { EngineConfig } from "../config/types.ts";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { EndpointRow, Fleet } from "../state/fleet.ts";
import type { GapCosts } from "./gap_placement.ts";
import type { EngineDispatcher, EngineWithLoad } from "./engine_dispatcher.ts";
import type { StreamRun } from "./stream_run.ts";

/** Fills memory to the last token, for runs that would be lost otherwise. */
const LAST_RESORT_PLACEMENT: EnginePlacementOptions = { z: 0, usableFraction: 1 };
/** Factor by which copies between data centres take longer than copies within one. */
const REMOTE_COPY_FACTOR = 2;
const BITS_PER_BYTE = 8;
/** Bits that a link of one megabit per second carries in a millisecond. */
const BITS_PER_MS_OF_MBPS = 1_000;

/** A request to copy a run, before the copy coordinator assigns its key. */
export type UnnumberedCopyRequest = Omit<CopyRequest, "kind" | "key">;

/** An existing copy of a run. */
export interface HeldCopy {
  readonly endpoint: EndpointId;
  readonly tokens: number;
}

/** Options of {@link makeCopyRequest}. */
export interface CopyRequestOptions {
  readonly held: HeldCopy | null;
  /** Engines that refused the run. */
  readonly refused: readonly EndpointId[];
  /** Whether the copy is made while the source engine is not leaving. */
  readonly isProactive: boolean;
}

/** Makes a request to copy a run from its engine to another one. */
export function makeCopyRequest(
  run: StreamRun,
  source: EndpointRow,
  { held, refused, isProactive }: CopyRequestOptions,
): UnnumberedCopyRequest {
  return {
    service: source.record.service,
    source: source.record.id,
    route: run.req.route.id,
    promptTokens: run.promptTokens,
    producedTokens: run.producedTokens,
    maxTokens: run.maxTokens,
    refused: [...refused],
    heldBy: held?.endpoint ?? null,
    heldTokens: held?.tokens ?? 0,
    isAhead: isProactive,
  };
}

/** Finds the engines that can take a copy of a run. */
export class CopyTargets {
  readonly #fleet: Fleet;
  readonly #dispatcher: EngineDispatcher;
  readonly #clock: Clock;
  readonly #log: DecisionLog;
  readonly #departures = new Map<ServiceId, DepartureOrder>();

  constructor(
    fleet: Fleet,
    dispatcher: EngineDispatcher,
    { clock, log }: { readonly clock: Clock; readonly log: DecisionLog },
  ) {
    this.#fleet = fleet;
    this.#dispatcher = dispatcher;
    this.#clock = clock;
    this.#log = log;
    fleet.registerEndpointListener(({ before, after }) => {
      if (after === null && before !== null) this.#forgetService(before.record.service);
      if (before === null || before.phase === "leaving" || after?.phase !== "leaving") return;
      this.#recordDeparture(before);
    });
  }

  #recordDeparture({ record }: EndpointRow): void {
    let order = this.#departures.get(record.service);
    if (order === undefined) this.#departures.set(record.service, order = new DepartureOrder());
    const others = this.#fleet.ofService(record.service)
      .filter((row) => row.phase !== "leaving" && row.record.id !== record.id)
      .map((row) => row.record);
    const now = this.#clock.now();
    const firstBefore = order.first(now);
    order.recordDeparture(record, others, now);
    const first = order.first(now);
    if (first === firstBefore) return;
    this.#log.state("departure_order", { service: record.service, first });
  }

  #forgetService(service: ServiceId): void {
    if (this.#fleet.ofService(service).length === 0) this.#departures.delete(service);
  }

  /** The candidates that are likely to stay longest, by the order in which engines have left. */
  #likelyToStay(service: string, candidates: readonly EngineWithLoad[]): EngineWithLoad[] {
    const order = this.#departures.get(service as ServiceId);
    if (order === undefined) return [...candidates];
    return order.likelyToStay(candidates, ({ row }) => row.record, this.#clock.now());
  }

  /** Engines to which a run may be copied now; a usable engine that already holds a copy of it is the only one. */
  targetsFor(request: UnnumberedCopyRequest, isBusy: (endpoint: string) => boolean): CopyTarget[] {
    const fleet = this.#fleet;
    const source = fleet.endpoints.get(request.source);
    const engine = fleet.routes?.service(request.service)?.engine ?? null;
    if (source === undefined || engine === null) return [];
    const tokens = request.promptTokens + request.producedTokens;
    const msPerToken = copyMsPerToken(engine);
    if (request.heldBy !== null && fleet.isUsable(request.heldBy)) {
      const copyMs = (tokens - request.heldTokens) * msPerToken;
      return [{ endpoint: request.heldBy, peak: 0, copyMs: REMOTE_COPY_FACTOR * copyMs }];
    }
    const copyMs = tokens * msPerToken;
    const candidates = this.#candidates(request, source, engine)
      .filter(({ row }) => !isBusy(row.record.id));
    const gapCosts = this.#gapCosts(request, engine);
    if (request.isAhead) return this.#proactiveTargets(request, candidates, copyMs, gapCosts);
    // Where no engine has memory to spare, one that the run would fill to the last token is used.
    const staying = this.#likelyToStay(request.service, candidates);
    const preferred = this.#targetsWithRoom(request, staying, copyMs, gapCosts);
    const targets = preferred.length > 0 || staying.length === candidates.length
      ? preferred
      : this.#targetsWithRoom(request, candidates, copyMs, gapCosts);
    return targets.length > 0 ? targets : this.#targetsWithRoom(request, candidates, copyMs, {
      ...LAST_RESORT_PLACEMENT,
      ...gapCosts,
    });
  }

  /** The engine to copy to where no coordinator has chosen one; `null` where none has room. */
  best(request: UnnumberedCopyRequest, engine: EngineConfig): EndpointId | null {
    const source = this.#fleet.endpoints.get(request.source);
    if (source === undefined) return null;
    if (request.heldBy !== null) return request.heldBy;
    const item = this.#forecastItemOf(request);
    const candidates = this.#candidates(request, source, engine);
    const gapCosts = this.#gapCosts(request, engine);
    const choice = chooseEngine(item, candidates, gapCosts) ??
      chooseEngine(item, candidates, { ...LAST_RESORT_PLACEMENT, ...gapCosts });
    return choice?.candidate.row.record.id ?? null;
  }

  /** The engine for a proactive copy, if any has memory to spare. */
  #proactiveTargets(
    request: UnnumberedCopyRequest,
    candidates: readonly EngineWithLoad[],
    copyMs: number,
    gapCosts: GapCosts,
  ): CopyTarget[] {
    const item = this.#forecastItemOf(request);
    const all = candidates.map((c) => ({ ...c, sharesDataCentre: c.isLocal }));
    const staying = new Set(this.#likelyToStay(request.service, candidates).map(({ row }) => row));
    const choice = chooseBackup(item, all.filter(({ row }) => staying.has(row)), gapCosts) ??
      chooseBackup(item, all, gapCosts);
    if (choice === null) return [];
    return [{
      endpoint: choice.row.record.id,
      peak: 0,
      copyMs: choice.isLocal ? copyMs : REMOTE_COPY_FACTOR * copyMs,
    }];
  }

  #targetsWithRoom(
    request: UnnumberedCopyRequest,
    candidates: readonly EngineWithLoad[],
    copyMs: number,
    options: EnginePlacementOptions<EngineWithLoad>,
  ): CopyTarget[] {
    const item = this.#forecastItemOf(request);
    return candidates.flatMap((candidate) => {
      const choice = chooseEngine(item, [candidate], options);
      if (choice === null) return [];
      return [{
        endpoint: candidate.row.record.id,
        peak: choice.peak,
        copyMs: candidate.isLocal ? copyMs : REMOTE_COPY_FACTOR * copyMs,
        gapCost: options.gapCostOf?.(candidate) ?? 0,
      }];
    });
  }

  #candidates(
    request: UnnumberedCopyRequest,
    source: EndpointRow,
    engine: EngineConfig,
  ): EngineWithLoad[] {
    const route = this.#fleet.routes?.config.routes.find((r) => r.id === request.route);
    const excluded = new Set([request.source, ...request.refused]);
    return this.#dispatcher
      .candidates(request.service, engine, { regions: route?.regions ?? [], excluded })
      .filter((c) => c.row.record.version === source.record.version)
      .map((c) => ({ ...c, isLocal: c.row.record.dataCentre === source.record.dataCentre }));
  }

  /** What the gaps of the run cost at each engine, none of which has to prefill its prompt. */
  #gapCosts(request: UnnumberedCopyRequest, { tokensPerEvent }: EngineConfig): GapCosts {
    const { route, service } = request;
    const subject = { route, service, tokensPerEvent, needsPrefill: false };
    return this.#dispatcher.gaps.costs(this.#forecastItemOf(request), subject);
  }

  #forecastItemOf(
    { route, promptTokens, producedTokens, maxTokens }: UnnumberedCopyRequest,
  ): ForecastItem {
    const curve = this.#dispatcher.registry.curve(route);
    return { curve, promptTokens, produced: producedTokens, maxTokens };
  }
}

/** Time to copy one token over an idle link within a data centre, in milliseconds; 0 where its speed is not known. */
function copyMsPerToken({ tokenBytes, linkMbps }: EngineConfig): number {
  return linkMbps <= 0 ? 0 : tokenBytes * BITS_PER_BYTE / (linkMbps * BITS_PER_MS_OF_MBPS);
}
