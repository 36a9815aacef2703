/**
 * The runs of all gateways by engine: this gateway's own, exactly, and those of its peers, as they announce them.
 *
 * @module
 */
import type { EndpointId, RouteId, ServiceId } from "@wisteriapick/core";
import { type LengthEstimator, MemoryForecast } from "@wisteriapick/policy";
import type { AccountId } from "@wisteriapick/core";
import type { StreamRun } from "./stream_run.ts";

/** A run as a gateway announces it to its peers. */
export interface AnnouncedRun {
  /** Unique for one gateway process. */
  readonly key: number;
  readonly endpoint: EndpointId;
  readonly route: RouteId;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Output tokens when it was announced. */
  readonly producedTokens: number;
}

interface PeerRun extends AnnouncedRun {
  readonly announcedAtMs: number;
}

/** Options of {@link RunBoard}. */
export interface RunBoardOptions {
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

/** Reading speed assumed of an engine until its first answers tell. */
const READ_TOKENS_PER_MS = 10;

/** Where work goes, so that a length is estimated from all callers of a route. */
export const ALL_ACCOUNTS = "all" as AccountId;

/** Key of a route in the length estimator. */
export function lengthKey(route: RouteId): ServiceId {
  return route as string as ServiceId;
}

/** See the module comment. */
export class RunBoard {
  readonly #options: Required<RunBoardOptions>;
  readonly #own = new Map<EndpointId, Set<StreamRun>>();
  readonly #sentAt = new Map<StreamRun, number>();
  readonly #copies = new Map<StreamRun, EndpointId>();
  readonly #peers = new Map<string, Map<number, PeerRun>>();

  constructor(options: RunBoardOptions) {
    this.#options = { ...options, readTokensPerMs: options.readTokensPerMs ?? READ_TOKENS_PER_MS };
  }

  /** Own runs at an engine. */
  ownRuns(endpoint: EndpointId): Iterable<StreamRun> {
    return this.#own.get(endpoint) ?? [];
  }

  /** Records that an own run was sent to an engine; `unread` says whether the engine must read its prompt. */
  place(run: StreamRun, endpoint: EndpointId, nowMs: number, unread: boolean): void {
    this.remove(run);
    let runs = this.#own.get(endpoint);
    if (runs === undefined) this.#own.set(endpoint, runs = new Set());
    runs.add(run);
    if (unread) this.#sentAt.set(run, nowMs);
  }

  /** Records that an engine has read the prompt of an own run. */
  recordRead(run: StreamRun): void {
    this.#sentAt.delete(run);
  }

  /** Forgets an own run. */
  remove(run: StreamRun): void {
    this.#sentAt.delete(run);
    for (const [endpoint, runs] of this.#own) {
      if (!runs.delete(run)) continue;
      if (runs.size === 0) this.#own.delete(endpoint);
      return;
    }
  }

  /** Records that a copy of an own run occupies memory at another engine. */
  addCopy(run: StreamRun, endpoint: EndpointId): void {
    this.#copies.set(run, endpoint);
  }

  removeCopy(run: StreamRun): void {
    this.#copies.delete(run);
  }

  /** Takes over all runs of a peer. */
  replacePeer(peer: string, runs: readonly AnnouncedRun[], nowMs: number): void {
    const map = new Map<number, PeerRun>();
    for (const run of runs) map.set(run.key, { ...run, announcedAtMs: nowMs });
    this.#peers.set(peer, map);
  }

  /** Takes over changes of a peer's runs. */
  updatePeer(
    peer: string,
    changed: readonly AnnouncedRun[],
    ended: readonly number[],
    nowMs: number,
  ): void {
    let map = this.#peers.get(peer);
    if (map === undefined) this.#peers.set(peer, map = new Map());
    for (const key of ended) map.delete(key);
    for (const run of changed) map.set(run.key, { ...run, announcedAtMs: nowMs });
  }

  /** Forgets a peer's runs. */
  dropPeer(peer: string): void {
    this.#peers.delete(peer);
  }

  /** Load of an engine by all gateways. */
  load(endpoint: EndpointId, nowMs: number): EngineLoad {
    const forecast = new MemoryForecast();
    let running = 0;
    let unreadTokens = 0;
    for (const run of this.#own.get(endpoint) ?? []) {
      forecast.add(run.forecastItem(this.curve(run.req.route.id)));
      running++;
      if (run.producedTokens === 0) unreadTokens += this.#unread(run, nowMs);
    }
    for (const [run, target] of this.#copies) {
      if (target !== endpoint) continue;
      forecast.add(run.forecastItem(this.curve(run.req.route.id)));
      running++;
    }
    for (const runs of this.#peers.values()) {
      for (const run of runs.values()) {
        if (run.endpoint !== endpoint) continue;
        const readMs = run.producedTokens > 0
          ? 0
          : run.promptTokens / this.#options.readTokensPerMs;
        const streamingMs = Math.max(0, nowMs - run.announcedAtMs - readMs);
        const produced = run.producedTokens + streamingMs * this.#options.tokensPerMs();
        forecast.add({
          curve: this.curve(run.route),
          promptTokens: run.promptTokens,
          produced: Math.min(run.maxTokens, Math.floor(produced)),
          maxTokens: run.maxTokens,
        });
        running++;
        if (run.producedTokens === 0 && streamingMs === 0) {
          unreadTokens += run.promptTokens -
            (nowMs - run.announcedAtMs) * this.#options.readTokensPerMs;
        }
      }
    }
    return { forecast, running, unreadTokens: Math.max(0, unreadTokens) };
  }

  /** Chance to reach each length, for a route. */
  curve(route: RouteId): Float64Array {
    return this.#options.lengths.curve(lengthKey(route), ALL_ACCOUNTS);
  }

  #unread(run: StreamRun, nowMs: number): number {
    const sentAt = this.#sentAt.get(run);
    if (sentAt === undefined) return 0;
    return Math.max(0, run.promptTokens - (nowMs - sentAt) * this.#options.readTokensPerMs);
  }
}
