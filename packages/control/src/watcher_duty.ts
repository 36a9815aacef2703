/**
 * Competes for one of the watcher leases of a data centre and runs the store watcher while it holds one.
 *
 * @module
 */
import type { Clock, ProcessId, Rng, Undo } from "@wisteriapick/core";
import type { ObjectStore } from "@wisteriapick/clients";
import { Lease, LEASE_TTL_MS } from "./lease.ts";
import type { PropagationNode } from "./propagation_node.ts";
import { StoreWatcher } from "./store_watcher.ts";
import {
  type PropagationMember,
  rankMembers,
  WATCHER_CANDIDATES,
  WATCHERS_PER_DATA_CENTRE,
} from "./tree.ts";

/** Options of {@link WatcherDuty}. */
export interface WatcherDutyOptions {
  readonly node: PropagationNode;
  readonly process: ProcessId;
  readonly ttlMs?: number;
}

/** See the module comment. Only the top processes of a data centre touch the store at all. */
export class WatcherDuty {
  readonly #clock: Clock;
  readonly #rng: Rng;
  readonly #node: PropagationNode;
  readonly #watcher: StoreWatcher;
  readonly #leases: Lease[];
  readonly #ttlMs: number;
  #held: Lease | null = null;
  #rank = Infinity;
  #stopWatcher: Undo | null = null;
  #stopped = false;

  constructor(store: ObjectStore, clock: Clock, rng: Rng, options: WatcherDutyOptions) {
    const { node, process, ttlMs = LEASE_TTL_MS } = options;
    this.#clock = clock;
    this.#rng = rng;
    this.#node = node;
    this.#ttlMs = ttlMs;
    this.#watcher = new StoreWatcher(store, clock, rng, {
      state: node.state,
      onAnswer: (err) => node.onStoreResult(err === null),
    });
    this.#leases = Array.from({ length: WATCHERS_PER_DATA_CENTRE }, (_, i) => {
      const duty = `watcher-${node.self.dataCentre}-${i}`;
      return new Lease(store, clock, { duty, process, ttlMs });
    });
  }

  /** Whether this process watches the store. */
  get watching(): boolean {
    return this.#stopWatcher !== null;
  }

  setMembers(members: readonly PropagationMember[]): void {
    const ranked = rankMembers(members, this.#node.self.dataCentre);
    const rank = ranked.findIndex((m) => m.key === this.#node.self.key);
    this.#rank = rank < 0 ? Infinity : rank;
  }

  start(): Undo {
    this.#stopped = false;
    void this.#run();
    return () => {
      this.#stopped = true;
      this.#setWatching(false);
      void this.#held?.release().catch(() => {});
      this.#held = null;
    };
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.step();
      } catch {
        // Counted by the watcher; while the store is down the lease question is open for everyone.
      }
      await this.#clock.sleep(this.#ttlMs / 3 * (0.8 + 0.4 * this.#rng.next()));
    }
  }

  /** One round: renews the lease held, or looks for a free one. */
  async step(): Promise<void> {
    if (this.#rank >= WATCHER_CANDIDATES) return this.#leave();
    if (this.#held !== null) {
      if (await this.#held.renewOrAcquire()) return;
      this.#held = null;
    }
    // The first choice differs by rank, so that starting processes do not all try the same lease.
    for (let i = 0; i < this.#leases.length; i++) {
      const lease = this.#leases[(this.#rank + i) % this.#leases.length]!;
      if (!(await lease.renewOrAcquire())) continue;
      this.#held = lease;
      this.#setWatching(true);
      return;
    }
    this.#setWatching(false);
  }

  async #leave(): Promise<void> {
    const held = this.#held;
    this.#held = null;
    this.#setWatching(false);
    await held?.release();
  }

  #setWatching(watching: boolean): void {
    if (watching === this.watching) return;
    this.#stopWatcher?.();
    this.#stopWatcher = watching ? this.#watcher.start() : null;
    this.#node.setWatching(watching);
  }
}
