/**
 * Placement over a small subset of a service's endpoints. Each entry has its own stable subset by
 * rendezvous hashing, so that it needs links to few endpoints and learns their load well; of these
 * it chooses the one with the lowest score.
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
  /** Name of this entry, from which its subsets follow; entries with other names have other subsets. */
  readonly entry: string;
  readonly dataCentre: DataCentreId;
  readonly rng: Rng;
  /** Endpoints per service and version in the subset from the entry's own data centre. */
  readonly localSize?: number;
  /** The same from all other data centres together; more where the own one has fewer than `localSize`. */
  readonly remoteSize?: number;
  /** Load added to endpoints in other data centres; they must be less loaded by this much to be chosen. */
  readonly crossingCost?: number;
  /** Load subtracted for a prompt whose prefixes are all cached; a fraction of it for some of them. */
  readonly prefixBonus?: number;
  /** Load above which cached prefixes are ignored. */
  readonly prefixMaxLoad?: number;
  /** Random load added to each endpoint per second of age of its load report, so that entries do not choose alike. */
  readonly noisePerSecond?: number;
  /** Time for which an endpoint that refused for load is ranked last, unless it admits a request before. */
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
 * Chooses the endpoint with the lowest load in the entry's subset, with regard to prompt caches and
 * data centres.
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
  #usableDataCentres: ReadonlySet<DataCentreId> | null = null;

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
    const existing = this.#endpoints.get(info.endpoint);
    if (existing !== undefined) {
      if (isSameInfo(existing.info, info)) return;
      this.removeEndpoint(info.endpoint);
    }
    const rank = hash32(`${this.#cfg.entry}/${info.endpoint}`);
    const state = new EndpointState(info, rank);
    this.#endpoints.set(info.endpoint, state);
    this.#endpointsOf(info.service).set(info.endpoint, state);
    this.#subsets.delete(info.service);
  }

  removeEndpoint(endpoint: EndpointId): void {
    const state = this.#endpoints.get(endpoint);
    if (state === undefined) return;
    this.#endpoints.delete(endpoint);
    this.#endpointsOf(state.info.service).delete(endpoint);
    this.#subsets.delete(state.info.service);
    this.#prefixes.forgetEndpoint(endpoint);
  }

  setDataCentres(usable: ReadonlySet<DataCentreId>): void {
    const known = this.#usableDataCentres;
    if (known !== null && known.size === usable.size && [...usable].every((dc) => known.has(dc))) {
      return;
    }
    this.#usableDataCentres = usable;
    this.#subsets.clear();
  }

  /** Endpoints that this entry may use for a service; it keeps links to them open. */
  subset(service: ServiceId): EndpointId[] {
    const { local, remote } = this.#subset(service);
    return [...local, ...remote].map((state) => state.info.endpoint);
  }

  choose(req: PlacementRequest, nowMs: number): EndpointId | null {
    const { local, remote } = this.#subset(req.service);
    const subset = local.concat(remote);
    this.#ejection.update(subset, nowMs);
    const cached = this.#prefixes.lookup(req.prefixes);
    let best: EndpointState | null = null;
    let bestScore = Infinity;
    for (const state of subset) {
      if (!this.#isAllowed(state, req, nowMs)) continue;
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

  /** Records a cache event that an engine has published. */
  override recordCacheEvent(
    endpoint: EndpointId,
    type: "stored" | "evicted",
    prefix: string,
  ): void {
    if (type === "stored") this.#prefixes.recordStored(endpoint, prefix);
    else this.#prefixes.recordEvicted(endpoint, prefix);
  }

  /** Endpoints that are ejected at `nowMs`, for metrics. */
  ejected(nowMs: number): EndpointId[] {
    return [...this.#endpoints.values()]
      .filter((s) => s.ejectedUntilMs > nowMs)
      .map((s) => s.info.endpoint);
  }

  #isAllowed(state: EndpointState, req: PlacementRequest, nowMs: number): boolean {
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
      const cachedCount = cached.get(state.info.endpoint) ?? 0;
      score -= prefixBonus * cachedCount / req.prefixes.length;
    }
    return score;
  }

  #endpointsOf(service: ServiceId): Map<EndpointId, EndpointState> {
    let map = this.#services.get(service);
    if (map === undefined) {
      map = new Map();
      this.#services.set(service, map);
    }
    return map;
  }

  /** The endpoints whose hash with this entry's name is lowest; others that come or go change few of them. */
  #subset(service: ServiceId): Subset {
    const existing = this.#subsets.get(service);
    if (existing !== undefined) return existing;
    const usable = [...this.#endpointsOf(service).values()].filter((s) =>
      this.#usableDataCentres === null || this.#usableDataCentres.has(s.info.dataCentre)
    );
    usable.sort((a, b) => a.rank - b.rank);
    const subset: Subset = { local: [], remote: [] };
    // Each version gets its own places in the subset: in a common one the few endpoints of a new version would be rare.
    for (const version of new Set(usable.map((s) => s.info.version))) {
      this.#addVersion(subset, usable.filter((s) => s.info.version === version));
    }
    this.#subsets.set(service, subset);
    return subset;
  }

  #addVersion(subset: Subset, states: readonly EndpointState[]): void {
    const { dataCentre, localSize, remoteSize } = this.#cfg;
    const own = states.filter((s) => s.info.dataCentre === dataCentre);
    const other = states.filter((s) => s.info.dataCentre !== dataCentre);
    const missing = Math.max(0, localSize - own.length);
    subset.local.push(...own.slice(0, localSize));
    subset.remote.push(...other.slice(0, remoteSize + missing));
  }
}

function isSameInfo(a: EndpointInfo, b: EndpointInfo): boolean {
  return a.service === b.service && a.dataCentre === b.dataCentre && a.version === b.version;
}

function hash32(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}
