/**
 * Keeps a view up to date with the platform's store through outages, refusals, lost connections and dropped history.
 *
 * Load pattern: hundreds of gateways that return to a store after an outage. While the store is unreachable, only one
 * kind probes it, so that each gateway sends a store that refuses calls about two calls a second.
 *
 * @module
 */
import { type Clock, type Rng, toWpError, type Undo, type WpError } from "@wisteriapick/core";
import type { DecisionLog } from "../observe/decision_log.ts";
import type { StateStore } from "./state_store.ts";
import { FOLLOWED_KINDS, type FollowedKind, type StoreView } from "./store_view.ts";

/** Options of {@link StoreFollower}. */
export interface StoreFollowerOptions {
  readonly store: StateStore;
  readonly view: StoreView;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: DecisionLog;
  /** Counts the bytes of each response. */
  readonly countBytes?: (kind: FollowedKind, bytes: number) => void;
  /** Longest time for which the store holds a watch of each kind open, in milliseconds. */
  readonly watchMs?: Readonly<Record<FollowedKind, number>>;
}

/** Called after a kind was read. `from` is the view's revision before the read. */
export type ReadListener = (kind: FollowedKind, from: number) => void;

/**
 * A watch that returns confirms the view, for this gateway and for those that it reads for. A silent connection is only
 * noticed when a watch does not return. Kinds with a freshness bound of two seconds therefore have short watches.
 */
const WATCH_WAIT_MS: Readonly<Record<FollowedKind, number>> = {
  config: 900,
  endpoints: 900,
  evacuations: 2_200,
  moves: 2_200,
};
/** Time past the end of its wait after which a watch counts as lost. */
const WATCH_SLACK_MS = 400;
/** Shortest and longest pause between two probes of an unreachable store. */
const PROBE_MIN_MS = 150;
const PROBE_MAX_MS = 500;
/** Wait of a watch that only probes whether the store is reachable. */
const PROBE_WAIT_MS = 1;

/** Size of a response from which its reading is logged. */
const LARGE_RESPONSE_BYTES = 65_536;

interface StoreDownState {
  readonly prober: FollowedKind;
  readonly sinceMs: number;
  readonly recovered: Promise<void>;
  resolve(): void;
  failures: number;
}

/** Reads the store into a view with a list of each kind, then watches. */
export class StoreFollower {
  readonly #options: Required<StoreFollowerOptions>;
  #down: StoreDownState | null = null;
  #stopped = false;
  #suspended: { readonly resumed: Promise<void>; resolve(): void } | null = null;
  #listeners: readonly ReadListener[] = [];
  readonly #aborts = new Set<AbortController>();

  constructor(options: StoreFollowerOptions) {
    this.#options = {
      ...options,
      countBytes: options.countBytes ?? (() => {}),
      watchMs: options.watchMs ?? WATCH_WAIT_MS,
    };
  }

  /** Whether the last call to the store succeeded. */
  get reachable(): boolean {
    return this.#down === null;
  }

  start(): void {
    for (const kind of FOLLOWED_KINDS) void this.#follow(kind);
  }

  /** Suspends or resumes reading. Reading is suspended while peers keep the view fresh. */
  setSuspended(suspended: boolean): void {
    if (suspended === (this.#suspended !== null)) return;
    this.#options.log.state(suspended ? "store_reading_left_to_peer" : "store_reading_resumed", {});
    if (!suspended) {
      this.#suspended!.resolve();
      this.#suspended = null;
      return;
    }
    let resolve = () => {};
    const resumed = new Promise<void>((r) => {
      resolve = r;
    });
    this.#suspended = { resumed, resolve };
  }

  /** Calls `fn` after each read of the store. */
  registerListener(fn: ReadListener): Undo {
    this.#listeners = [...this.#listeners, fn];
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== fn);
    };
  }

  stop(): void {
    this.#stopped = true;
    this.setSuspended(false);
    for (const abort of this.#aborts) abort.abort();
  }

  async #follow<K extends FollowedKind>(kind: K): Promise<void> {
    let mustList = true;
    while (!this.#stopped) {
      if (this.#suspended !== null && !mustList) await this.#suspended.resumed;
      const from = this.#options.view.kinds[kind].revision;
      try {
        mustList = mustList ? await this.#list(kind) : await this.#watch(kind);
        this.#succeeded();
        for (const listener of this.#listeners) listener(kind, from);
      } catch (e) {
        if (this.#stopped) return;
        await this.#failed(kind, toWpError(e));
      }
    }
  }

  /** Reads all objects of a kind. Returns whether they must be listed again, which is never the case. */
  async #list<K extends FollowedKind>(kind: K): Promise<boolean> {
    const response = new ResponseProgress(this.#options.clock);
    const snapshot = await this.#options.store.list(kind, { onProgress: response.record });
    this.#recordRead(kind, "list", response);
    this.#options.view.kinds[kind].replace(snapshot as never, "store");
    return false;
  }

  async #watch<K extends FollowedKind>(kind: K): Promise<boolean> {
    const { store, view, clock, watchMs, log } = this.#options;
    const abort = new AbortController();
    this.#aborts.add(abort);
    const response = new ResponseProgress(clock);
    const stopTimer = clock.setTimer(watchMs[kind] + WATCH_SLACK_MS, () => {
      log.state("store_watch_aborted", { kind, waitMs: watchMs[kind], ...response.summary() });
      abort.abort();
    });
    try {
      const revision = view.kinds[kind].revision;
      // A probe must return at once when the store is back, not when something changes.
      const waitMs = this.#down === null ? watchMs[kind] : PROBE_WAIT_MS;
      const result = await store.watch(kind, revision, {
        waitMs,
        signal: abort.signal,
        onProgress: response.record,
      });
      this.#recordRead(kind, "watch", response);
      if (result.type === "history_gone") {
        log.state("store_history_gone", { kind, revision });
        return true;
      }
      view.kinds[kind].apply(
        result.changes as { revision: number; events: readonly { name: string; item: never }[] },
        "store",
      );
      return false;
    } finally {
      stopTimer();
      this.#aborts.delete(abort);
    }
  }

  #recordRead(kind: FollowedKind, call: "list" | "watch", response: ResponseProgress): void {
    this.#options.countBytes(kind, response.receivedBytes);
    if (response.receivedBytes < LARGE_RESPONSE_BYTES) return;
    this.#options.log.state("store_read", { kind, call, ...response.summary() });
  }

  #succeeded(): void {
    const down = this.#down;
    if (down === null) return;
    this.#down = null;
    const downMs = this.#options.clock.now() - down.sinceMs;
    this.#options.log.state("store_regained", { downMs: Math.round(downMs) });
    down.resolve();
  }

  async #failed(kind: FollowedKind, err: WpError): Promise<void> {
    const down = this.#down ?? this.#markDown(kind, err);
    if (down.prober !== kind) return down.recovered;
    const maxDelayMs = Math.min(PROBE_MAX_MS, PROBE_MIN_MS * 2 ** down.failures);
    down.failures++;
    await this.#options.clock.sleep(maxDelayMs * (0.7 + 0.3 * this.#options.rng.next()));
  }

  #markDown(kind: FollowedKind, err: WpError): StoreDownState {
    let resolve = () => {};
    const recovered = new Promise<void>((r) => {
      resolve = r;
    });
    const down: StoreDownState = {
      prober: kind,
      sinceMs: this.#options.clock.now(),
      recovered,
      resolve,
      failures: 0,
    };
    this.#down = down;
    this.#options.log.state("store_lost", { kind, err });
    return down;
  }
}

/** Tracks how a response arrives. */
class ResponseProgress {
  readonly #clock: Clock;
  readonly #startedAtMs: number;
  #firstByteAtMs: number | null = null;
  #lastByteAtMs: number | null = null;
  receivedBytes = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAtMs = clock.now();
  }

  /** Records the number of bytes received so far. */
  readonly record = (receivedBytes: number): void => {
    this.receivedBytes = receivedBytes;
    this.#lastByteAtMs = this.#clock.now();
    this.#firstByteAtMs ??= this.#lastByteAtMs;
  };

  /** Fields of a log line; times are in milliseconds and `null` if no byte has arrived. */
  summary(): Record<string, number | null> {
    const now = this.#clock.now();
    const first = this.#firstByteAtMs;
    const last = this.#lastByteAtMs;
    return {
      receivedBytes: this.receivedBytes,
      firstByteMs: first === null ? null : Math.round(first - this.#startedAtMs),
      transferMs: first === null || last === null ? null : Math.round(last - first),
      silentMs: last === null ? null : Math.round(now - last),
    };
  }
}
