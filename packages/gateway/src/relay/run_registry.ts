/**
 * Tracks what runs occupy at each engine: exactly for this gateway's own runs, and as announced for those of its peers.
 *
 * @module
 */
import type { AccountId, EndpointId, RouteId, ServiceId, Undo } from "@wisteriapick/core";
import {
  type ExposedStream,
  type ForecastItem,
  type LengthEstimator,
  MemoryForecast,
  type PendingPrompt,
  prefillBacklog,
  prefillWithoutQueue,
  SHARED_PREFILL_TOKENS_PER_MS,
} from "@wisteriapick/policy";
import type { Occupancy } from "@wisteriapick/wire";
import type { StreamRun } from "./stream_run.ts";

interface OwnOccupancy {
  readonly key: number;
  readonly run: StreamRun;
  readonly endpoint: EndpointId;
  readonly isCopy: boolean;
  /** When the prompt was sent for prefill; `null` where no prefill is needed or it has completed. */
  prefillSinceMs: number | null;
}

interface PeerOccupancy extends Occupancy {
  readonly announcedAtMs: number;
}

/** Options of {@link RunRegistry}. */
export interface RunRegistryOptions {
  readonly lengths: LengthEstimator;
  /** Recent output rate of one run, in tokens per millisecond. */
  readonly tokensPerMs: () => number;
  /** Prompt tokens that an engine prefills per millisecond. */
  readonly prefillTokensPerMs?: number;
  /** Speed of an engine relative to the others; 1 by default. */
  readonly speedOf?: (endpoint: EndpointId, nowMs: number) => number;
  /** Whether prompts at an engine count as prefilled one after the other; each as if it were alone by default. */
  readonly queuesPrefill?: (endpoint: EndpointId, nowMs: number) => boolean;
  /** Target for the gaps between events of a route's streams; `null` by default, for none. */
  readonly gapTargetOf?: (route: RouteId) => number | null;
}

/** Load of one engine. */
export interface EngineLoad {
  readonly forecast: MemoryForecast;
  readonly running: number;
  /** Prompt tokens whose prefill has probably not completed yet. */
  readonly pendingPrefillTokens: number;
  /** Prompt tokens whose prefill has probably not completed, as prompts are prefilled in turn. */
  readonly backlogTokens: number;
  /** Runs with a target for the gaps between their events. */
  readonly streams: readonly ExposedStream[];
}

/** A run as far as its end is forecast. */
export interface ExpectedRun {
  readonly route: RouteId;
  /** Time for which it has probably produced output, in milliseconds; 0 before its first event. */
  readonly streamingMs: number;
  /** Expected memory at the end of the run, in tokens. */
  readonly peakTokens: number;
  /** Expected further output, in tokens. */
  readonly remainingTokens: number;
  /** Prompt tokens whose prefill has probably not completed yet. */
  readonly pendingPrefillTokens: number;
}

/** A change of what this gateway's runs occupy. */
export interface OccupancyChange {
  readonly changed: readonly Occupancy[];
  readonly ended: readonly number[];
}

/**
 * Time for which the computed load of an engine is reused unless its occupancy changes, in milliseconds; runs grow by a
 * few tokens during it.
 */
const LOAD_TTL_MS = 50;

/** Account under which output lengths are recorded, for all callers of a route together. */
export const ALL_ACCOUNTS = "all" as AccountId;

/** Key under which the length estimator records a route. */
export function lengthKey(route: RouteId): ServiceId {
  return route as string as ServiceId;
}

/** Occupancies, indexed by key and by engine. */
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

/** Records occupancies and computes the load of engines from them. */
export class RunRegistry {
  readonly #options: Required<RunRegistryOptions>;
  readonly #forgetLoad = (endpoint: EndpointId): void => {
    this.#loads.delete(endpoint);
    this.#backlogs.delete(endpoint);
  };
  readonly #ownTable = new OccupancyTable<OwnOccupancy>(this.#forgetLoad);
  readonly #peerTables = new Map<string, OccupancyTable<PeerOccupancy>>();
  readonly #loads = new Map<EndpointId, { readonly load: EngineLoad; readonly atMs: number }>();
  /** Prompt tokens to prefill as of the last prompt, until the occupancy of the engine changes. */
  readonly #backlogs = new Map<EndpointId, { readonly tokens: number; readonly atMs: number }>();
  #nextKey = 1;
  #listeners: readonly ((change: OccupancyChange) => void)[] = [];

  constructor(options: RunRegistryOptions) {
    this.#options = {
      ...options,
      prefillTokensPerMs: options.prefillTokensPerMs ?? SHARED_PREFILL_TOKENS_PER_MS,
      speedOf: options.speedOf ?? (() => 1),
      queuesPrefill: options.queuesPrefill ?? (() => false),
      gapTargetOf: options.gapTargetOf ?? (() => null),
    };
  }

  /** This gateway's runs at an engine. */
  ownRuns(endpoint: EndpointId): StreamRun[] {
    const runs: StreamRun[] = [];
    for (const own of this.#ownTable.at(endpoint)) if (!own.isCopy) runs.push(own.run);
    return runs;
  }

  /** Records that an own run is at an engine; `needsPrefill` says whether the engine has to prefill its prompt. */
  place(run: StreamRun, endpoint: EndpointId, nowMs: number, needsPrefill: boolean): void {
    const ended = this.#removeMatching((own) => own.run === run && !own.isCopy);
    const added = this.#add(run, endpoint, false, needsPrefill ? nowMs : null);
    this.#notify({ changed: [added], ended });
  }

  /** Records that a copy of an own run occupies memory at an engine. */
  addCopy(run: StreamRun, endpoint: EndpointId): void {
    this.#notify({ changed: [this.#add(run, endpoint, true, null)], ended: [] });
  }

  /** Removes the copy of an own run at an engine; the run itself stays recorded if it is there. */
  removeCopy(run: StreamRun, endpoint: EndpointId): void {
    const ended = this.#removeMatching((own) =>
      own.run === run && own.isCopy && own.endpoint === endpoint
    );
    this.#notify({ changed: [], ended });
  }

  /** Removes all copies of an own run. */
  removeCopies(run: StreamRun): void {
    this.#notify({
      changed: [],
      ended: this.#removeMatching((own) => own.run === run && own.isCopy),
    });
  }

  /** Removes an own run and its copies. */
  remove(run: StreamRun): void {
    this.#notify({ changed: [], ended: this.#removeMatching((own) => own.run === run) });
  }

  /** Records that an engine has completed the prefill of an own run. */
  recordPrefillEnd(run: StreamRun): void {
    for (const own of this.#ownTable.values()) {
      if (own.run !== run) continue;
      own.prefillSinceMs = null;
      this.#forgetLoad(own.endpoint);
    }
  }

  /** Everything that this gateway's runs occupy, as announced to peers. */
  ownOccupancies(): Occupancy[] {
    return [...this.#ownTable.values()].map(toOccupancy);
  }

  /** Calls `fn` after each change of the own occupancies. */
  registerListener(fn: (change: OccupancyChange) => void): Undo {
    this.#listeners = [...this.#listeners, fn];
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== fn);
    };
  }

  /** Applies an announcement of a peer; a `full` one replaces what the peer announced before. */
  updatePeer(
    peer: string,
    { changed, ended }: OccupancyChange,
    { full, nowMs }: { readonly full: boolean; readonly nowMs: number },
  ): void {
    let table = this.#peerTables.get(peer);
    if (table === undefined || full) {
      this.#loads.clear();
      this.#backlogs.clear();
      this.#peerTables.set(peer, table = new OccupancyTable(this.#forgetLoad));
    }
    for (const key of ended) table.delete(key);
    for (const occupancy of changed) table.set({ ...occupancy, announcedAtMs: nowMs });
  }

  /** Removes what a peer announced. */
  removePeer(peer: string): void {
    this.#peerTables.delete(peer);
    this.#loads.clear();
    this.#backlogs.clear();
  }

  /** Load of an engine by the runs of all gateways, at most {@link LOAD_TTL_MS} old. */
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
    const prompts: PendingPrompt[] = [];
    const streams: ExposedStream[] = [];
    const speed = this.#options.speedOf(endpoint, nowMs);
    const addStream = (route: RouteId, remainingTokens: number) => {
      const targetGapMs = this.#options.gapTargetOf(route);
      if (targetGapMs !== null) streams.push({ targetGapMs, remainingTokens });
    };
    for (const own of this.#ownTable.at(endpoint)) {
      forecast.add(own.run.forecastItem(this.curve(own.run.req.route.id)));
      running++;
      if (!own.isCopy) addStream(own.run.req.route.id, own.run.maxTokens - own.run.producedTokens);
      if (own.prefillSinceMs !== null) {
        prompts.push({ tokens: own.run.promptTokens, sinceMs: own.prefillSinceMs });
      }
    }
    for (const peer of this.#peerTables.values()) {
      for (const occupancy of peer.at(endpoint)) {
        const estimate = this.#estimate(occupancy, { nowMs, speed });
        forecast.add(estimate);
        running++;
        if (occupancy.isCopy !== true) {
          addStream(occupancy.route, occupancy.maxTokens - estimate.produced);
        }
        if (occupancy.producedTokens > 0) continue;
        prompts.push({ tokens: occupancy.promptTokens, sinceMs: occupancy.announcedAtMs });
      }
    }
    const tokensPerMs = speed * this.#options.prefillTokensPerMs;
    const backlogTokens = prefillBacklog(prompts, tokensPerMs, nowMs);
    const pendingPrefillTokens = this.#options.queuesPrefill(endpoint, nowMs)
      ? backlogTokens
      : prefillWithoutQueue(prompts, tokensPerMs, nowMs);
    return { forecast, running, pendingPrefillTokens, backlogTokens, streams };
  }

  /** The runs at an engine, as far as their ends are forecast. Copies end with the runs that they belong to. */
  expectedRuns(endpoint: EndpointId, nowMs: number): ExpectedRun[] {
    const speed = this.#options.speedOf(endpoint, nowMs);
    const runs: ExpectedRun[] = [];
    for (const { run, isCopy, prefillSinceMs } of this.#ownTable.at(endpoint)) {
      if (isCopy) continue;
      const { promptTokens, producedTokens: produced, maxTokens, firstEventMs } = run;
      const pending = prefillSinceMs === null
        ? 0
        : this.#pendingPrefillTokens(promptTokens, speed * (nowMs - prefillSinceMs));
      const route = run.req.route.id;
      const streamingMs = firstEventMs === null ? 0 : nowMs - run.req.arrivedAtMs - firstEventMs;
      const expected = this.#expectedRun({ route, promptTokens, produced, maxTokens }, pending);
      runs.push({ ...expected, streamingMs });
    }
    for (const peer of this.#peerTables.values()) {
      for (const occupancy of peer.at(endpoint)) {
        if (occupancy.isCopy) continue;
        const { route, promptTokens, producedTokens, announcedAtMs } = occupancy;
        const pending = producedTokens > 0
          ? 0
          : this.#pendingPrefillTokens(promptTokens, speed * (nowMs - announcedAtMs));
        const estimate = this.#estimate(occupancy, { nowMs, speed });
        const streamingMs = estimate.produced / (speed * this.#options.tokensPerMs());
        runs.push({ ...this.#expectedRun({ ...estimate, route }, pending), streamingMs });
      }
    }
    return runs;
  }

  /**
   * Prompt tokens at an engine whose prefill has probably not completed, where the engine prefills one prompt after the
   * other. {@link EngineLoad.pendingPrefillTokens} takes each prompt alone, which is too little for several at once.
   */
  prefillBacklog(endpoint: EndpointId, nowMs: number): number {
    let backlog = this.#backlogs.get(endpoint);
    if (backlog === undefined) this.#backlogs.set(endpoint, backlog = this.#backlogAt(endpoint));
    return this.#drained(backlog, nowMs);
  }

  /** Prompt tokens to prefill at an engine when its last prompt was sent. */
  #backlogAt(endpoint: EndpointId): { tokens: number; atMs: number } {
    const prompts: { readonly sinceMs: number; readonly tokens: number }[] = [];
    for (const { run, prefillSinceMs } of this.#ownTable.at(endpoint)) {
      if (prefillSinceMs === null) continue;
      prompts.push({ sinceMs: prefillSinceMs, tokens: run.promptTokens });
    }
    for (const peer of this.#peerTables.values()) {
      for (const { producedTokens, isCopy, promptTokens, announcedAtMs } of peer.at(endpoint)) {
        if (producedTokens > 0 || isCopy) continue;
        prompts.push({ sinceMs: announcedAtMs, tokens: promptTokens });
      }
    }
    prompts.sort((a, b) => a.sinceMs - b.sinceMs);
    let backlog = { tokens: 0, atMs: 0 };
    for (const { sinceMs, tokens } of prompts) {
      backlog = { tokens: tokens + this.#drained(backlog, sinceMs), atMs: sinceMs };
    }
    return backlog;
  }

  #drained(
    { tokens, atMs }: { readonly tokens: number; readonly atMs: number },
    nowMs: number,
  ): number {
    return Math.max(0, tokens - (nowMs - atMs) * this.#options.prefillTokensPerMs);
  }

  /** How many runs of a route have ended, as a multiple of those that the prior of the lengths counts as. */
  evidence(route: RouteId): number {
    return this.#options.lengths.evidence(lengthKey(route));
  }

  /** Expected output of a generation of a route that has produced some tokens, in tokens. */
  expectedRemaining(route: RouteId, produced: number, maxTokens: number): number {
    const limit = Math.max(0, maxTokens - produced);
    if (limit === 0) return 0;
    return this.#options.lengths.expectedRemaining(
      lengthKey(route),
      ALL_ACCOUNTS,
      produced,
      limit,
    );
  }

  #expectedRun(
    { route, promptTokens, produced, maxTokens }: {
      readonly route: RouteId;
      readonly promptTokens: number;
      readonly produced: number;
      readonly maxTokens: number;
    },
    pendingPrefillTokens: number,
  ): Omit<ExpectedRun, "streamingMs"> {
    const remainingTokens = this.expectedRemaining(route, produced, maxTokens);
    const peakTokens = promptTokens + produced + remainingTokens;
    return { route, peakTokens, remainingTokens, pendingPrefillTokens };
  }

  /** Probability that a generation of a route reaches each length. */
  curve(route: RouteId): Float64Array {
    return this.#options.lengths.survivalCurve(lengthKey(route), ALL_ACCOUNTS);
  }

  /** Estimates the present state of a peer's run. */
  #estimate(
    occupancy: PeerOccupancy,
    { nowMs, speed }: { readonly nowMs: number; readonly speed: number },
  ): ForecastItem {
    const { promptTokens, maxTokens, producedTokens, announcedAtMs, route } = occupancy;
    const { prefillTokensPerMs, tokensPerMs } = this.#options;
    const prefillMs = producedTokens > 0 ? 0 : promptTokens / (prefillTokensPerMs * speed);
    const streamingMs = Math.max(0, nowMs - announcedAtMs - prefillMs);
    const produced = Math.floor(producedTokens + streamingMs * speed * tokensPerMs());
    return {
      curve: this.curve(route),
      promptTokens,
      produced: Math.min(maxTokens, produced),
      maxTokens,
    };
  }

  /** `usedMs` is the time since the prompt was sent, as an engine of usual speed would have needed it. */
  #pendingPrefillTokens(promptTokens: number, usedMs: number): number {
    return Math.max(0, promptTokens - usedMs * this.#options.prefillTokensPerMs);
  }

  #add(
    run: StreamRun,
    endpoint: EndpointId,
    isCopy: boolean,
    prefillSinceMs: number | null,
  ): Occupancy {
    const own: OwnOccupancy = {
      key: this.#nextKey++,
      run,
      endpoint,
      isCopy,
      prefillSinceMs,
    };
    this.#ownTable.set(own);
    return toOccupancy(own);
  }

  #removeMatching(matches: (own: OwnOccupancy) => boolean): number[] {
    const keys = [...this.#ownTable.values()].filter(matches).map((own) => own.key);
    for (const key of keys) this.#ownTable.delete(key);
    return keys;
  }

  #notify(change: OccupancyChange): void {
    if (change.changed.length === 0 && change.ended.length === 0) return;
    for (const listener of this.#listeners) listener(change);
  }
}

function toOccupancy({ key, run, endpoint, isCopy }: OwnOccupancy): Occupancy {
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
