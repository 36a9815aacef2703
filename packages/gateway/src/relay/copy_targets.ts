/**
 * Engines to which a run can be copied.
 *
 * Load pattern: an engine leaves and all its runs need room elsewhere at once, under load that fills the others.
 *
 * @module
 */
import type { EndpointId } from "@wisteriapick/core";
import {
  chooseBackup,
  chooseEngine,
  type CopyTarget,
  type EnginePlacementOptions,
  type ForecastItem,
} from "@wisteriapick/policy";
import type { CopyRequest } from "@wisteriapick/wire";
import type { EngineConfig } from "../config/types.ts";
import type { EndpointRow, Fleet } from "../state/fleet.ts";
import type { EngineDispatcher, EngineRow } from "./engine_dispatcher.ts";
import type { StreamRun } from "./stream_run.ts";

/** Memory may be filled to the last token for a run that would be lost otherwise. */
const RESCUE_PLACEMENT: EnginePlacementOptions = { z: 0, usableFraction: 1 };
/** Copies between data centres take this many times as long. */
const REMOTE_COPY_FACTOR = 2;
const BITS_PER_BYTE = 8;
/** Bits that a link of one megabit per second carries in a millisecond. */
const BITS_PER_MS_OF_MBPS = 1_000;

/** A request to copy a run, before the keeper of copies numbers it. */
export type CopyOrderRequest = Omit<CopyRequest, "kind" | "key">;

/** A copy of a run that an engine holds already. */
export interface HeldPart {
  readonly endpoint: EndpointId;
  readonly tokens: number;
}

/** What is known of a copy that is asked for. */
export interface RequestOptions {
  readonly held: HeldPart | null;
  /** Engines that refused the run. */
  readonly refused: readonly EndpointId[];
  /** Whether the copy is made ahead, while the engine stays. */
  readonly isAhead: boolean;
}

/** A request to copy a run off its engine. */
export function requestOf(
  run: StreamRun,
  source: EndpointRow,
  { held, refused, isAhead }: RequestOptions,
): CopyOrderRequest {
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
    isAhead,
  };
}

/** See the module comment. */
export class CopyTargets {
  readonly #fleet: Fleet;
  readonly #dispatcher: EngineDispatcher;

  constructor(fleet: Fleet, dispatcher: EngineDispatcher) {
    this.#fleet = fleet;
    this.#dispatcher = dispatcher;
  }

  /** Engines to which a run may be copied. */
  of(request: CopyOrderRequest, isBusy: (endpoint: string) => boolean): CopyTarget[] {
    const fleet = this.#fleet;
    const source = fleet.endpoints.get(request.source);
    const engine = fleet.routes?.service(request.service)?.engine ?? null;
    if (source === undefined || engine === null) return [];
    const tokens = request.promptTokens + request.producedTokens;
    const tokenMs = copyMsPerToken(engine);
    if (request.heldBy !== null && fleet.isUsable(request.heldBy)) {
      const copyMs = (tokens - request.heldTokens) * tokenMs;
      return [{ endpoint: request.heldBy, peak: 0, copyMs: REMOTE_COPY_FACTOR * copyMs }];
    }
    const copyMs = tokens * tokenMs;
    const candidates = this.#candidates(request, source, engine)
      .filter(({ row }) => !isBusy(row.record.id));
    if (request.isAhead) return this.#aheadTargets(request, candidates, copyMs);
    // Where no engine has memory to spare, one into which the run just fits will do.
    const fitting = this.#fitting(request, candidates, copyMs, {});
    return fitting.length > 0
      ? fitting
      : this.#fitting(request, candidates, copyMs, RESCUE_PLACEMENT);
  }

  /** The engine to copy to where no keeper says. */
  best(request: CopyOrderRequest, engine: EngineConfig): EndpointId | null {
    const source = this.#fleet.endpoints.get(request.source);
    if (source === undefined) return null;
    if (request.heldBy !== null) return request.heldBy;
    const item = this.#itemOf(request);
    const candidates = this.#candidates(request, source, engine);
    const choice = chooseEngine(item, candidates) ??
      chooseEngine(item, candidates, RESCUE_PLACEMENT);
    return choice?.candidate.row.record.id ?? null;
  }

  /** The engine for a copy that is made ahead, if any has memory to spare. */
  #aheadTargets(
    request: CopyOrderRequest,
    candidates: readonly EngineRow[],
    copyMs: number,
  ): CopyTarget[] {
    const choice = chooseBackup(
      this.#itemOf(request),
      candidates.map((c) => ({ ...c, sharesDataCentre: c.isLocal })),
    );
    if (choice === null) return [];
    return [{
      endpoint: choice.row.record.id,
      peak: 0,
      copyMs: choice.isLocal ? copyMs : REMOTE_COPY_FACTOR * copyMs,
    }];
  }

  #fitting(
    request: CopyOrderRequest,
    candidates: readonly EngineRow[],
    copyMs: number,
    options: EnginePlacementOptions,
  ): CopyTarget[] {
    const item = this.#itemOf(request);
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

  #candidates(request: CopyOrderRequest, source: EndpointRow, engine: EngineConfig): EngineRow[] {
    const route = this.#fleet.routes?.config.routes.find((r) => r.id === request.route);
    const excluded = new Set([request.source, ...request.refused]);
    return this.#dispatcher
      .candidates(request.service, engine, { regions: route?.regions ?? [], excluded })
      .filter((c) => c.row.record.version === source.record.version)
      .map((c) => ({ ...c, isLocal: c.row.record.dataCentre === source.record.dataCentre }));
  }

  #itemOf({ route, promptTokens, producedTokens, maxTokens }: CopyOrderRequest): ForecastItem {
    const curve = this.#dispatcher.registry.curve(route);
    return { curve, promptTokens, produced: producedTokens, maxTokens };
  }
}

/** Time for one token over an idle link within a data centre, in milliseconds; 0 where the link is not known. */
function copyMsPerToken({ tokenBytes, linkMbps }: EngineConfig): number {
  return linkMbps <= 0 ? 0 : tokenBytes * BITS_PER_BYTE / (linkMbps * BITS_PER_MS_OF_MBPS);
}
