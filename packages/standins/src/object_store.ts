/**
 * An in-memory object store with the limits and faults of the real one.
 *
 * @module
 */
import { type Clock, raise, SystemClock, type Undo } from "@wisteriapick/core";
import {
  ObjectStore,
  requireValueSize,
  type StoredObject,
  type StoreEvent,
  type StoreListing,
  type WatchResult,
} from "@wisteriapick/clients";
import { RateLimit } from "./rate_limit.ts";

/** The types of calls to the store. */
export const STORE_CALLS = ["get", "list", "put", "delete", "watch"] as const;
export type StoreCall = typeof STORE_CALLS[number];

/** Faults that tests can enable. Zero and false disable them. */
export interface StoreFaults {
  /** Every call fails without effect; pending watches fail at once. */
  outage: boolean;
  /** Added to each call before it takes effect. */
  slowMs: number;
  /** The responses to this many further successful writes are lost. */
  loseAnswers: number;
  /** This many further writes fail at once with an unknown outcome and take effect `delayMs` later. */
  delayWrites: number;
  delayMs: number;
}

/** Options of {@link MemoryObjectStore}. */
export interface MemoryObjectStoreOptions {
  readonly clock?: Clock;
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  /** Number of events retained for watches that resume. */
  readonly historySize?: number;
}

/** Calls seen so far. */
export interface StoreCounters {
  readonly calls: Record<StoreCall, number>;
  readonly rateLimited: Record<StoreCall, number>;
  readonly failed: number;
  readonly waitingWatches: number;
}

interface PendingWatch {
  readonly prefix: string;
  readonly index: number;
  finish(result: WatchResult | "outage"): void;
}

const MAX_PAGE_OBJECTS = 1_000;
const MAX_PAGE_EVENTS = 1_000;
const DEFAULT_WATCH_MS = 30_000;

function noFaults(): StoreFaults {
  return { outage: false, slowMs: 0, loseAnswers: 0, delayWrites: 0, delayMs: 0 };
}

function zeroCalls(): Record<StoreCall, number> {
  return { get: 0, list: 0, put: 0, delete: 0, watch: 0 };
}

/**
 * An in-memory object store. Instances share no state.
 *
 * @example
 * ```ts
 * const store = new MemoryObjectStore();
 * store.setFaults({ loseAnswers: 1 });
 * await store.put("a", bytes, { ifVersion: 0 }); // takes effect, then fails with store_outcome_unknown
 * ```
 */
export class MemoryObjectStore extends ObjectStore {
  readonly #clock: Clock;
  readonly #objects = new Map<string, StoredObject>();
  /** Versions are retained after a delete, so that a key's versions are never reused. */
  readonly #lastVersions = new Map<string, number>();
  readonly #history: StoreEvent[] = [];
  readonly #historySize: number;
  readonly #reads: RateLimit;
  readonly #writes: RateLimit;
  readonly #pendingWatches = new Set<PendingWatch>();
  readonly #calls = zeroCalls();
  readonly #rateLimited = zeroCalls();
  #failed = 0;
  #index = 0;
  #faults = noFaults();

  constructor({
    clock = new SystemClock(),
    writesPerSecond = 400,
    readsPerSecond = 2_000,
    historySize = 10_000,
  }: MemoryObjectStoreOptions = {}) {
    super();
    this.#clock = clock;
    this.#historySize = historySize;
    this.#reads = new RateLimit(readsPerSecond, clock);
    this.#writes = new RateLimit(writesPerSecond, clock);
  }

  /** Changes some faults and leaves the others as they are. */
  setFaults(faults: Partial<StoreFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
    if (!this.#faults.outage) return;
    for (const watch of [...this.#pendingWatches]) watch.finish("outage");
  }

  /** Turns all faults off. */
  clearFaults(): void {
    this.#faults = noFaults();
  }

  get faults(): Readonly<StoreFaults> {
    return this.#faults;
  }

  counters(): StoreCounters {
    return {
      calls: { ...this.#calls },
      rateLimited: { ...this.#rateLimited },
      failed: this.#failed,
      waitingWatches: this.#pendingWatches.size,
    };
  }

  async get(key: string): Promise<StoredObject | null> {
    await this.#begin("get", this.#reads);
    return this.#objects.get(key) ?? null;
  }

  async list(
    prefix: string,
    { after = "", limit = MAX_PAGE_OBJECTS }: { after?: string; limit?: number } = {},
  ): Promise<StoreListing> {
    await this.#begin("list", this.#reads);
    const keys = [...this.#objects.keys()].filter((k) => k.startsWith(prefix) && k > after);
    const page = keys.sort().slice(0, Math.min(limit, MAX_PAGE_OBJECTS));
    return { index: this.#index, objects: page.map((k) => this.#objects.get(k)!) };
  }

  async put(
    key: string,
    value: Uint8Array,
    { ifVersion }: { ifVersion: number },
  ): Promise<number> {
    requireValueSize(key, value);
    const copy = Uint8Array.from(value);
    await this.#begin("put", this.#writes);
    return this.#write(() => this.#apply(key, copy, ifVersion));
  }

  async delete(key: string, { ifVersion }: { ifVersion: number }): Promise<void> {
    await this.#begin("delete", this.#writes);
    this.#write(() => this.#apply(key, null, ifVersion));
  }

  async watch(
    prefix: string,
    { index, waitMs = DEFAULT_WATCH_MS, signal }: {
      index: number;
      waitMs?: number;
      signal?: AbortSignal;
    },
  ): Promise<WatchResult> {
    await this.#begin("watch", this.#reads);
    const ready = this.#eventsAfter(prefix, index);
    if (ready.gap || ready.events.length > 0 || waitMs <= 0 || signal?.aborted) return ready;
    const result = await this.#waitForEvents(prefix, index, waitMs, signal);
    return result === "outage" ? this.#fail("the store is down") : result;
  }

  #waitForEvents(prefix: string, index: number, waitMs: number, signal?: AbortSignal) {
    this.#reads.addOpenCalls(1);
    return new Promise<WatchResult | "outage">((resolve) => {
      const undos: Undo[] = [];
      const watch: PendingWatch = {
        prefix,
        index,
        finish: (result) => {
          if (!this.#pendingWatches.delete(watch)) return;
          for (const undo of undos) undo();
          this.#reads.addOpenCalls(-1);
          resolve(result);
        },
      };
      this.#pendingWatches.add(watch);
      const finishEarly = () => watch.finish(this.#eventsAfter(prefix, index));
      undos.push(this.#clock.setTimer(waitMs, finishEarly));
      signal?.addEventListener("abort", finishEarly, { once: true });
      undos.push(() => signal?.removeEventListener("abort", finishEarly));
    });
  }

  async #begin(call: StoreCall, limit: RateLimit): Promise<void> {
    this.#calls[call]++;
    if (this.#faults.outage) this.#fail("the store is down");
    const retryAfterMs = limit.take();
    if (retryAfterMs > 0) {
      this.#rateLimited[call]++;
      raise({ type: "rate_limited", message: `too many ${call} calls`, retryAfterMs });
    }
    if (this.#faults.slowMs > 0) await this.#clock.sleep(this.#faults.slowMs);
    if (this.#faults.outage) this.#fail("the store is down");
  }

  #fail(message: string): never {
    this.#failed++;
    raise({ type: "store_unavailable", message });
  }

  #write(apply: () => number): number {
    if (this.#faults.delayWrites > 0) {
      this.#faults.delayWrites--;
      this.#clock.setTimer(this.#faults.delayMs, () => {
        try {
          apply();
        } catch {
          // A delayed write to a key whose version has changed has no effect; its caller has already received an error.
        }
      });
      return this.#failWithUnknownOutcome();
    }
    const version = apply();
    if (this.#faults.loseAnswers > 0) {
      this.#faults.loseAnswers--;
      return this.#failWithUnknownOutcome();
    }
    return version;
  }

  #failWithUnknownOutcome(): never {
    this.#failed++;
    raise({ type: "store_outcome_unknown", message: "the response to a write was lost" });
  }

  #apply(key: string, value: Uint8Array | null, ifVersion: number): number {
    const present = this.#objects.get(key);
    if ((present?.version ?? 0) !== ifVersion) {
      raise({
        type: "store_conflict",
        message: `${key} is not at version ${ifVersion}`,
        currentVersion: present?.version ?? null,
      });
    }
    const version = (this.#lastVersions.get(key) ?? 0) + 1;
    this.#lastVersions.set(key, version);
    if (value === null) this.#objects.delete(key);
    else this.#objects.set(key, { key, version, value });
    this.#publish({ index: ++this.#index, key, version, value });
    return version;
  }

  #publish(event: StoreEvent): void {
    this.#history.push(event);
    if (this.#history.length > this.#historySize) this.#history.shift();
    for (const watch of [...this.#pendingWatches]) {
      if (!event.key.startsWith(watch.prefix)) continue;
      watch.finish(this.#eventsAfter(watch.prefix, watch.index));
    }
  }

  #eventsAfter(prefix: string, index: number): WatchResult {
    const oldest = this.#index - this.#history.length;
    // An index beyond the current one comes from another store; its reader also needs a new listing.
    if (index < oldest || index > this.#index) return { index: this.#index, events: [], gap: true };
    const since = this.#history.slice(index - oldest);
    const events = since.filter((e) => e.key.startsWith(prefix)).slice(0, MAX_PAGE_EVENTS);
    const full = events.length === MAX_PAGE_EVENTS;
    return { index: full ? events.at(-1)!.index : this.#index, events, gap: false };
  }
}
