/**
 * Placement over a subset of endpoints per entry.
 *
 * @module
 */
import type { DataCentreId, EndpointId, Rng, ServiceId } from "@wisteriapick/core";
import { createHash } from "node:crypto";
import { EndpointState } from "./endpoint_state.ts";
import {
  type AttemptOutcome,
  type EndpointInfo,
  type LoadView,
  Placement,
  type PlacementRequest,
} from "./interfaces.ts";
import { OutlierEjection, type OutlierOptions } from "./outlier_ejection.ts";
import { PrefixDirectory } from "./prefix_directory.ts";

/** Options of {@link SubsetPlacement}. */
export interface SubsetPlacementOptions {
  /** Name of this entry; entries of different names use different subsets. */
  readonly entry: string;
  readonly dataCentre: DataCentreId;
  readonly rng: Rng;
  /** Endpoints of a service used in the entry's own data centre. */
  readonly localSize?: number;
  /** Endpoints of a service used in all other data centres together. */
  readonly remoteSize?: number;
  /** Load advantage that makes crossing to another data centre worth it. */
  readonly crossingCost?: number;
  /** Largest load advantage given for a fully cached prompt. */
  readonly prefixBonus?: number;
  /** Load above which a cached prefix no longer counts. */
  readonly prefixMaxLoad?: number;
  /** Random load added to each endpoint, per second of age of what is known of it. */
  readonly noisePerSecond?: number;
  /** Time for which an endpoint that refused for load is passed over, unless it reports room. */
  readonly backoffMs?: number;
  readonly ejection?: OutlierOptions;
}

interface Subset {
  local: EndpointState[];
  remote: EndpointState[];
}

const BASE_NOISE = 0.02;
const MAX_NOISE = 0.4;

/**
 * Chooses the endpoint with the least load of a small, stable subset.
 *
 * @example
 * ```ts
 * const placement = new SubsetPlacement({ entry: "entry-1", dataCentre, rng: new Rng(1) });
 * placement.setEndpoint({ endpoint, service, host, dataCentre });
 * const chosen = placement.choose(req, clock.now());
 * ```
 */
export class SubsetPlacement extends Placement {
  readonly #cfg: Required<Omit<SubsetPlacementOptions, "ejection">>;
  readonly #endpoints = new Map<EndpointId, EndpointState>();
  readonly #services = new Map<ServiceId, Map<EndpointId, EndpointState>>();
  readonly #subsets = new Map<ServiceId, Subset>();
  readonly #prefixes = new PrefixDirectory();
  readonly #ejection: OutlierEjection;
  #usable: ReadonlySet<DataCentreId> | null = null;

  constructor(options: SubsetPlacementOptions) {
    super();
    this.#cfg = {
      entry: options.entry,
      dataCentre: options.dataCentre,
      rng: options.rng,
      localSize: options.localSize ?? 16,
      remoteSize: options.remoteSize ?? 8,
      crossingCost: options.crossingCost ?? 0.1,
      prefixBonus: options.prefixBonus ?? 0.25,
      prefixMaxLoad: options.prefixMaxLoad ?? 0.9,
      noisePerSecond: options.noisePerSecond ?? 0.1,
      backoffMs: options.backoffMs ?? 100,
    };
    this.#ejection = new OutlierEjection(options.ejection);
  }

  setEndpoint(info: EndpointInfo): void {
    const found = this.#endpoints.get(info.endpoint);
    if (found !== undefined) {
      if (sameInfo(found.info, info)) return;
      this.removeEndpoint(info.endpoint);
    }
    const key = hash(`${this.#cfg.entry}/${info.endpoint}`);
    const state = new EndpointState(info, key);
    this.#endpoints.set(info.endpoint, state);
    this.#ofService(info.service).set(info.endpoint, state);
    this.#subsets.delete(info.service);
  }

  removeEndpoint(endpoint: EndpointId): void {
    const state = this.#endpoints.get(endpoint);
    if (state === undefined) return;
    this.#endpoints.delete(endpoint);
    this.#ofService(state.info.service).delete(endpoint);
    this.#subsets.delete(state.info.service);
    this.#prefixes.forgetEndpoint(endpoint);
  }

  setDataCentres(usable: ReadonlySet<DataCentreId>): void {
    const known = this.#usable;
    if (known !== null && known.size === usable.size && [...usable].every((dc) => known.has(dc))) {
      return;
    }
    this.#usable = usable;
    this.#subsets.clear();
  }

  /** Endpoints this entry may use for a service, to open links to. */
  subset(service: ServiceId): EndpointId[] {
    const { local, remote } = this.#subset(service);
    return [...local, ...remote].map((state) => state.info.endpoint);
  }

  choose(req: PlacementRequest, nowMs: number): EndpointId | null {
    const { local, remote } = this.#subset(req.service);
    const all = local.concat(remote);
    this.#ejection.update(all, nowMs);
    const cached = this.#prefixes.lookup(req.prefixes);
    let best: EndpointState | null = null;
    let bestScore = Infinity;
    for (const state of all) {
      if (!this.#allowed(state, req, nowMs)) continue;
      const score = this.#score(state, req, cached, nowMs);
      if (score < bestScore) {
        best = state;
        bestScore = score;
      }
    }
    return best?.info.endpoint ?? null;
  }

  recordSent(endpoint: EndpointId, req: PlacementRequest, nowMs: number): void {
    this.#endpoints.get(endpoint)?.recordSent(req.promptTokens + req.expectedTokens, nowMs);
    this.#prefixes.recordSent(endpoint, req.prefixes);
  }

  recordOutcome(endpoint: EndpointId, outcome: AttemptOutcome, nowMs: number): void {
    const state = this.#endpoints.get(endpoint);
    state?.recordOutcome(outcome, nowMs, this.#cfg.backoffMs);
  }

  recordLoad(load: LoadView, nowMs: number): void {
    this.#endpoints.get(load.endpoint)?.recordLoad(load, nowMs);
  }

  /** Records a published cache event of an engine. */
  override recordCacheEvent(
    endpoint: EndpointId,
    type: "stored" | "evicted",
    prefix: string,
  ): void {
    if (type === "stored") this.#prefixes.recordStored(endpoint, prefix);
    else this.#prefixes.recordEvicted(endpoint, prefix);
  }

  /** Endpoints ejected now, for metrics. */
  ejected(nowMs: number): EndpointId[] {
    return [...this.#endpoints.values()]
      .filter((s) => s.ejectedUntilMs > nowMs)
      .map((s) => s.info.endpoint);
  }

  #allowed(state: EndpointState, req: PlacementRequest, nowMs: number): boolean {
    if (req.excluded.has(state.info.endpoint)) return false;
    if (state.leaving || state.ejectedUntilMs > nowMs) return false;
    const version = state.version;
    return version === null || req.versions.length === 0 || req.versions.includes(version);
  }

  #score(
    state: EndpointState,
    req: PlacementRequest,
    cached: ReadonlyMap<EndpointId, number>,
    nowMs: number,
  ): number {
    const { rng, crossingCost, prefixBonus, prefixMaxLoad, noisePerSecond } = this.#cfg;
    const load = state.loadWith(req.promptTokens + req.expectedTokens, nowMs);
    const noise = Math.min(MAX_NOISE, BASE_NOISE + noisePerSecond * state.ageMs(nowMs) / 1_000);
    let score = load + noise * rng.next();
    if (state.info.dataCentre !== this.#cfg.dataCentre) score += crossingCost;
    if (load <= prefixMaxLoad && req.prefixes.length > 0) {
      const found = cached.get(state.info.endpoint) ?? 0;
      score -= prefixBonus * found / req.prefixes.length;
    }
    return score;
  }

  #ofService(service: ServiceId): Map<EndpointId, EndpointState> {
    let map = this.#services.get(service);
    if (map === undefined) {
      map = new Map();
      this.#services.set(service, map);
    }
    return map;
  }

  /** The endpoints with the lowest hash together with this entry's name: stable as others come and go. */
  #subset(service: ServiceId): Subset {
    const found = this.#subsets.get(service);
    if (found !== undefined) return found;
    const usable = [...this.#ofService(service).values()].filter((s) =>
      this.#usable === null || this.#usable.has(s.info.dataCentre)
    );
    usable.sort((a, b) => a.key - b.key);
    const subset: Subset = { local: [], remote: [] };
    // Each version has a part of its own: the few endpoints of a new one would be in few common subsets.
    for (const version of new Set(usable.map((s) => s.info.version))) {
      this.#addPart(subset, usable.filter((s) => s.info.version === version));
    }
    this.#subsets.set(service, subset);
    return subset;
  }

  #addPart(subset: Subset, states: readonly EndpointState[]): void {
    const { dataCentre, localSize, remoteSize } = this.#cfg;
    const own = states.filter((s) => s.info.dataCentre === dataCentre);
    const other = states.filter((s) => s.info.dataCentre !== dataCentre);
    const missing = Math.max(0, localSize - own.length);
    subset.local.push(...own.slice(0, localSize));
    subset.remote.push(...other.slice(0, remoteSize + missing));
  }
}

function sameInfo(a: EndpointInfo, b: EndpointInfo): boolean {
  return a.service === b.service && a.dataCentre === b.dataCentre && a.version === b.version;
}

function hash(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}
