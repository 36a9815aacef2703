/**
 * Follows the configuration log in the object store by one watch. Runs on the processes that hold a watcher
 * lease, and on any process of a deployment that is too small for a tree.
 *
 * @module
 */
import { type Clock, type Rng, toWpError, type Undo, type WpError } from "@wisteriapick/core";
import type { ObjectStore } from "@wisteriapick/clients";
import { ConfigLog, LOG_PREFIX } from "./config_log.ts";
import { ConfigState } from "./config_state.ts";
import { decodeEntry } from "./log_entry.ts";
import { backoffMs } from "./store_calls.ts";

/** Longest wait of one watch call. Each response, also an empty one, is a proof of freshness. */
export const WATCH_WAIT_MS = 500;

/** Options of {@link StoreWatcher}. */
export interface StoreWatcherOptions {
  readonly state?: ConfigState;
  /** Called after each call to the store: with `null` after a response, or with the error. */
  readonly onResult?: (err: WpError | null) => void;
}

/**
 * Keeps a {@link ConfigState} up to date from the store.
 *
 * @example
 * ```ts
 * const watcher = new StoreWatcher(store, clock, rng);
 * const stop = watcher.start();
 * watcher.state.registerListener((view) => console.log(view.revision));
 * ```
 */
export class StoreWatcher {
  readonly state: ConfigState;
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #rng: Rng;
  readonly #log: ConfigLog;
  readonly #onResult: (err: WpError | null) => void;
  #abort: AbortController | null = null;
  #storeUp = false;

  constructor(store: ObjectStore, clock: Clock, rng: Rng, options: StoreWatcherOptions = {}) {
    this.state = options.state ?? new ConfigState(clock);
    this.#store = store;
    this.#clock = clock;
    this.#rng = rng;
    this.#onResult = options.onResult ?? (() => {});
    this.#log = new ConfigLog(store, clock, rng, { state: this.state, retry: { attempts: 1 } });
  }

  /** Whether the last call to the store succeeded. */
  get storeUp(): boolean {
    return this.#storeUp;
  }

  get isRunning(): boolean {
    return this.#abort !== null;
  }

  /** Starts following; the result stops it. */
  start(): Undo {
    this.stop();
    const abort = new AbortController();
    this.#abort = abort;
    void this.#run(abort.signal);
    return () => this.stop();
  }

  stop(): void {
    this.#abort?.abort();
    this.#abort = null;
    this.#storeUp = false;
  }

  async #run(signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
      try {
        await this.#follow(signal, () => (failures = 0));
      } catch (e) {
        if (signal.aborted) return;
        failures++;
        this.#recordResult(toWpError(e));
        // The jitter keeps watchers that lost the store together from reconnecting together.
        await this.#clock.sleep(
          backoffMs(failures, this.#rng, { firstDelayMs: 200, maxDelayMs: 2_000 }),
        );
      }
    }
  }

  /** Catches up, then watches until a call fails or events in between are no longer in the store. */
  async #follow(signal: AbortSignal, onSuccess: () => void): Promise<void> {
    let index = await this.#catchUp();
    onSuccess();
    while (!signal.aborted) {
      const startedAt = this.#clock.now();
      const res = await this.#store.watch(LOG_PREFIX, { index, waitMs: WATCH_WAIT_MS, signal });
      if (signal.aborted) return;
      if (res.gap) return;
      for (const event of res.events) {
        if (event.value === null) continue;
        if (!this.state.applyEntry(decodeEntry(event.value))) return;
      }
      index = res.index;
      this.state.recordProof(startedAt);
      this.#recordResult(null);
      onSuccess();
    }
  }

  /** Reads the rest of the log. Returns the store index from which a watch misses no entry. */
  async #catchUp(): Promise<number> {
    const before = await this.#store.list(LOG_PREFIX, { after: LOG_PREFIX + "~", limit: 1 });
    await this.#log.catchUp();
    this.#recordResult(null);
    return before.index;
  }

  #recordResult(err: WpError | null): void {
    this.#storeUp = err === null;
    this.#onResult(err);
  }
}
