/**
 * What runs occupy at each engine: this gateway's own, exactly, and those of its peers, as they announce them.
 *
 * @module
 */
import type { AccountId, EndpointId, RouteId, ServiceId, Undo } from "@wisteriapick/core";
import {
  type ForecastItem,
  type LengthEstimator,
  MemoryForecast,
  SHARED_PREFILL_TOKENS_PER_MS,
} from "@wisteriapick/policy";
import type { Occupancy } from "@wisteriapick/wire";
import type { StreamRun } from "./stream_run.ts";

interface OwnOccupancy {
  readonly key: number;
  readonly run: StreamRun;
  readonly endpoint: EndpointId;
  readonly isCopy: boolean;
  /** When the prompt was sent to be read; `null` where it need not be, or has been. */
  sentAtMs: number | null;
}

interface PeerOccupancy extends Occupancy {
  readonly announcedAtMs: number;
}

/** Options of {@link RunRegistry}. */
export interface RunRegistryOptions {
  readonly lengths: LengthEstimator;
  /** Output tokens per millisecond of a run, as recently seen. */
  readonly tokensPerMs: () => number;
  /** Prompt tokens that an engine reads per millisecond. */
  readonly readTokensPerMs?: number;
}

/** Load of one engine. */
export interface EngineLoad {
  readonly forecast: MemoryForecast;
  readonly running: number;
  /** Prompt tokens that are probably not read yet. */
  readonly unreadTokens: number;
}

/** A change of what this gateway's runs occupy. */
export interface OccupancyChange {
  readonly changed: readonly Occupancy[];
  readonly ended: readonly number[];
}

/**
 * Time for which the load of an engine is not computed again unless what occupies it changes, in milliseconds; runs
 * grow by a few tokens in it.
 */
const LOAD_TTL_MS = 50;

/** Lengths are learned from all callers of a route together. */
export const ALL_ACCOUNTS = "all" as AccountId;

/** Key of a route in the length estimator. */
export function lengthKey(route: RouteId): ServiceId {
  return route as string as ServiceId;
}

/** Occupancies by key and by engine. */
class OccupancyTable<T extends { readonly key: number; readonly endpoint: EndpointId }> {
  readonly #byKey = new Map<number, T>();
  readonly #byEndpoint = new Map<EndpointId, Set<T>>();
  readonly #onChange: (endpoint: EndpointId) => void;

  constructor(onChange: (endpoint: EndpointId) => void) {
    this.#onChange = onChange;
  }

  values(): Iterable<T> {
    return this.#byKey.values();
  }

  at(endpoint: EndpointId): Iterable<T> {
    return this.#byEndpoint.get(endpoint) ?? [];
  }

  set(row: T): void {
    this.delete(row.key);
    this.#byKey.set(row.key, row);
    const rows = this.#byEndpoint.get(row.endpoint);
    if (rows === undefined) this.#byEndpoint.set(row.endpoint, new Set([row]));
    else rows.add(row);
    this.#onChange(row.endpoint);
  }

  delete(key: number): void {
    const row = this.#byKey.get(key);
    if (row === undefined) return;
    this.#byKey.delete(key);
    const rows = this.#byEndpoint.get(row.endpoint);
    rows?.delete(row);
    if (rows?.size === 0) this.#byEndpoint.delete(row.endpoint);
    this.#onChange(row.endpoint);
  }
}

/** See the module comment. */
export class RunRegistry {
  readonly #options: Required<RunRegistryOptions>;
  readonly #forgetLoad = (endpoint: EndpointId): void => void this.#loads.delete(endpoint);
  readonly #own = new OccupancyTable<OwnOccupancy>(this.#forgetLoad);
  readonly #peers = new Map<string, OccupancyTable<PeerOccupancy>>();
  readonly #loads = new Map<EndpointId, { readonly load: EngineLoad; readonly atMs: number }>();
  #nextKey = 1;
  #listeners: readonly ((change: OccupancyChange) => void)[] = [];

  constructor(options: RunRegistryOptions) {
    this.#options = {
      ...options,
      readTokensPerMs: options.readTokensPerMs ?? SHARED_PREFILL_TOKENS_PER_MS,
    };
  }

  /** Own runs at an engine. */
  ownRuns(endpoint: EndpointId): StreamRun[] {
    const runs: StreamRun[] = [];
    for (const own of this.#own.at(endpoint)) if (!own.isCopy) runs.push(own.run);
    return runs;
  }

  /** Records that an own run is at an engine; `unread` says whether the engine must read its prompt. */
  place(run: StreamRun, endpoint: EndpointId, nowMs: number, unread: boolean): void {
    const ended = this.#drop((own) => own.run === run && !own.isCopy);
    const added = this.#add(run, endpoint, false, unread ? nowMs : null);
    this.#notify({ changed: [added], ended });
  }

  /** Records that a copy of an own run occupies memory at an engine. */
  addCopy(run: StreamRun, endpoint: EndpointId): void {
    this.#notify({ changed: [this.#add(run, endpoint, true, null)], ended: [] });
  }

  /** Forgets one copy of an own run, unless the run itself is there now. */
  removeCopy(run: StreamRun, endpoint: EndpointId): void {
    const ended = this.#drop((own) => own.run === run && own.isCopy && own.endpoint === endpoint);
    this.#notify({ changed: [], ended });
  }

  /** Forgets the copies of an own run. */
  removeCopies(run: StreamRun): void {
    this.#notify({ changed: [], ended: this.#drop((own) => own.run === run && own.isCopy) });
  }

  /** Forgets an own run and its copies. */
  remove(run: StreamRun): void {
    this.#notify({ changed: [], ended: this.#drop((own) => own.run === run) });
  }

  /** Records that an engine has read the prompt of an own run. */
  recordRead(run: StreamRun): void {
    for (const own of this.#own.values()) {
      if (own.run !== run) continue;
      own.sentAtMs = null;
      this.#forgetLoad(own.endpoint);
    }
  }

  /** Everything that this gateway's runs occupy, as it is announced. */
  ownOccupancies(): Occupancy[] {
    return [...this.#own.values()].map(announce);
  }

  /** Calls `fn` after each change of what own runs occupy. */
  registerListener(fn: (change: OccupancyChange) => void): Undo {
    this.#listeners = [...this.#listeners, fn];
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== fn);
    };
  }

  /** Takes over what a peer announces; `full` replaces what it announced before. */
  updatePeer(
    peer: string,
    { changed, ended }: OccupancyChange,
    { full, nowMs }: { readonly full: boolean; readonly nowMs: number },
  ): void {
    let table = this.#peers.get(peer);
    if (table === undefined || full) {
      this.#loads.clear();
      this.#peers.set(peer, table = new OccupancyTable(this.#forgetLoad));
    }
    for (const key of ended) table.delete(key);
    for (const occupancy of changed) table.set({ ...occupancy, announcedAtMs: nowMs });
  }

  /** Forgets what a peer announced. */
  removePeer(peer: string): void {
    this.#peers.delete(peer);
    this.#loads.clear();
  }

  /** Load of an engine by all gateways, at most {@link LOAD_TTL_MS} old. */
  load(endpoint: EndpointId, nowMs: number): EngineLoad {
    const cached = this.#loads.get(endpoint);
    if (cached !== undefined && nowMs - cached.atMs < LOAD_TTL_MS) return cached.load;
    const load = this.#computeLoad(endpoint, nowMs);
    this.#loads.set(endpoint, { load, atMs: nowMs });
    return load;
  }

  #computeLoad(endpoint: EndpointId, nowMs: number): EngineLoad {
    const forecast = new MemoryForecast();
    let running = 0;
    let unreadTokens = 0;
    for (const own of this.#own.at(endpoint)) {
      forecast.add(own.run.forecastItem(this.curve(own.run.req.route.id)));
      running++;
      if (own.sentAtMs !== null) {
        unreadTokens += this.#unread(own.run.promptTokens, own.sentAtMs, nowMs);
      }
    }
    for (const peer of this.#peers.values()) {
      for (const occupancy of peer.at(endpoint)) {
        forecast.add(this.#estimate(occupancy, nowMs));
        running++;
        if (occupancy.producedTokens > 0) continue;
        unreadTokens += this.#unread(occupancy.promptTokens, occupancy.announcedAtMs, nowMs);
      }
    }
    return { forecast, running, unreadTokens };
  }

  /** Chance to reach each length, for a route. */
  curve(route: RouteId): Float64Array {
    return this.#options.lengths.survivalCurve(lengthKey(route), ALL_ACCOUNTS);
  }

  /** A peer's run as it probably is by now. */
  #estimate(occupancy: PeerOccupancy, nowMs: number): ForecastItem {
    const { promptTokens, maxTokens, producedTokens, announcedAtMs, route } = occupancy;
    const { readTokensPerMs, tokensPerMs } = this.#options;
    const readMs = producedTokens > 0 ? 0 : promptTokens / readTokensPerMs;
    const streamingMs = Math.max(0, nowMs - announcedAtMs - readMs);
    const produced = Math.floor(producedTokens + streamingMs * tokensPerMs());
    return {
      curve: this.curve(route),
      promptTokens,
      produced: Math.min(maxTokens, produced),
      maxTokens,
    };
  }

  #unread(promptTokens: number, sentAtMs: number, nowMs: number): number {
    return Math.max(0, promptTokens - (nowMs - sentAtMs) * this.#options.readTokensPerMs);
  }

  #add(
    run: StreamRun,
    endpoint: EndpointId,
    isCopy: boolean,
    sentAtMs: number | null,
  ): Occupancy {
    const own: OwnOccupancy = { key: this.#nextKey++, run, endpoint, isCopy, sentAtMs };
    this.#own.set(own);
    return announce(own);
  }

  #drop(matches: (own: OwnOccupancy) => boolean): number[] {
    const keys = [...this.#own.values()].filter(matches).map((own) => own.key);
    for (const key of keys) this.#own.delete(key);
    return keys;
  }

  #notify(change: OccupancyChange): void {
    if (change.changed.length === 0 && change.ended.length === 0) return;
    for (const listener of this.#listeners) listener(change);
  }
}

function announce({ key, run, endpoint, isCopy }: OwnOccupancy): Occupancy {
  return {
    isCopy,
    key,
    endpoint,
    route: run.req.route.id,
    promptTokens: run.promptTokens,
    maxTokens: run.maxTokens,
    producedTokens: run.producedTokens,
  };
}
