/**
 * Records the output lengths of the runs of all gateways: of the own ones as they end, and of those that peers announce
 * together with the ends of their runs.
 *
 * @module
 */
import type { RouteId } from "@wisteriapick/core";
import { LengthEstimator } from "@wisteriapick/policy";
import type { RunLength } from "@wisteriapick/wire";
import type { RouteTable } from "../config/route_table.ts";
import { ALL_ACCOUNTS, lengthKey } from "./run_registry.ts";
import type { StreamRun } from "./stream_run.ts";

/** Lengths in one announcement. More than a few runs end together only where an engine is lost. */
const MAX_ANNOUNCED = 32;
/** Lengths that wait for an announcement; further ones are announced to nobody. */
const MAX_PENDING = 256;
/** Longest output that is recorded of a peer's run, in tokens. */
const MAX_TOKENS = 131_072;

/** Options of {@link RunLengths}. */
export interface RunLengthsOptions {
  /** Routes of the configuration in force; lengths of others are not taken from peers. */
  readonly routes: () => RouteTable | null;
  /** Called for each run that ended, at this gateway or a peer. */
  readonly onEnd: (length: RunLength) => void;
}

/** Output lengths of the runs that ended at all gateways. */
export class RunLengths {
  readonly estimator = new LengthEstimator();
  readonly #options: RunLengthsOptions;
  #pending: RunLength[] = [];
  #known: { readonly table: RouteTable; readonly routes: ReadonlySet<RouteId> } | null = null;

  constructor(options: RunLengthsOptions) {
    this.#options = options;
  }

  /** Records an own run that has ended, to be announced with the next change of what runs occupy. */
  recordOwn(run: StreamRun, nowMs: number): void {
    const { producedTokens: tokens, isComplete, firstEventMs, tokensPerEvent, req } = run;
    if (tokens === 0) return;
    const sinceFirstMs = firstEventMs === null ? 0 : nowMs - req.arrivedAtMs - firstEventMs;
    const streamingMs = tokens > tokensPerEvent
      ? Math.max(0, sinceFirstMs) * tokens / (tokens - tokensPerEvent)
      : 0;
    const length = { route: req.route.id, tokens, isComplete, streamingMs };
    this.#record(length);
    if (this.#pending.length < MAX_PENDING) this.#pending.push(length);
  }

  /** The lengths to announce to all peers; `undefined` if there are none. */
  takePending(): readonly RunLength[] | undefined {
    return this.#pending.length === 0 ? undefined : this.#pending.splice(0, MAX_ANNOUNCED);
  }

  /** Records what a peer has announced, as far as it can be right. */
  applyPeer(lengths: readonly RunLength[]): void {
    for (const length of lengths.slice(0, MAX_ANNOUNCED)) {
      const { route, tokens } = length;
      if (tokens < 1 || tokens > MAX_TOKENS || !this.#isKnown(route)) continue;
      this.#record(length);
    }
  }

  /** A run that was cut off only shows a lower bound of its length. */
  #record(length: RunLength): void {
    const { route, tokens, isComplete } = length;
    if (isComplete) this.estimator.recordEnd(lengthKey(route), ALL_ACCOUNTS, tokens);
    else this.estimator.recordProgress(lengthKey(route), ALL_ACCOUNTS, 0, tokens);
    this.#options.onEnd(length);
  }

  #isKnown(route: RouteId): boolean {
    const table = this.#options.routes();
    if (table === null) return false;
    if (this.#known?.table !== table) {
      this.#known = { table, routes: new Set(table.config.routes.map(({ id }) => id)) };
    }
    return this.#known.routes.has(route);
  }
}
