/**
 * Competes for one of the watcher leases of a data centre, and runs the store watcher while this process holds one.
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

/** The watcher's task, which runs under a lease. Only the top processes of a data centre call the store at all. */
export class WatcherDuty {
  readonly #clock: Clock;
  readonly #rng: Rng;
  readonly #node: PropagationNode;
  readonly #watcher: StoreWatcher;
  readonly #leases: Lease[];
  readonly #ttlMs: number;
  #heldLease: Lease | null = null;
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
      onResult: (err) => node.onStoreResult(err === null),
    });
    this.#leases = Array.from({ length: WATCHERS_PER_DATA_CENTRE }, (_, i) => {
      const duty = `watcher-${node.self.dataCentre}-${i}`;
      return new Lease(store, clock, { duty, process, ttlMs });
    });
  }

  /** Whether this process watches the store. */
  get isWatching(): boolean {
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
      void this.#heldLease?.release().catch(() => {});
      this.#heldLease = null;
    };
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.renewOrAcquire();
      } catch {
        // The watcher counts the failure. While the store is down no process can acquire or renew a lease.
      }
      await this.#clock.sleep(this.#ttlMs / 3 * (0.8 + 0.4 * this.#rng.next()));
    }
  }

  /** Renews the lease held, or acquires a free one. */
  async renewOrAcquire(): Promise<void> {
    if (this.#rank >= WATCHER_CANDIDATES) return this.#giveUpLease();
    if (this.#heldLease !== null) {
      if (await this.#heldLease.renewOrAcquire()) return;
      this.#heldLease = null;
    }
    // The first attempt differs by rank, so that processes that start together do not compete for the same lease.
    for (let i = 0; i < this.#leases.length; i++) {
      if (this.#stopped) return;
      const lease = this.#leases[(this.#rank + i) % this.#leases.length]!;
      if (!(await lease.renewOrAcquire())) continue;
      // The duty may have been stopped meanwhile. A watcher that was started now would never stop.
      if (this.#stopped) return lease.release();
      this.#heldLease = lease;
      this.#setWatching(true);
      return;
    }
    this.#setWatching(false);
  }

  async #giveUpLease(): Promise<void> {
    const heldLease = this.#heldLease;
    this.#heldLease = null;
    this.#setWatching(false);
    await heldLease?.release();
  }

  #setWatching(isWatching: boolean): void {
    if (isWatching === this.isWatching) return;
    this.#stopWatcher?.();
    this.#stopWatcher = isWatching ? this.#watcher.start() : null;
    this.#node.setWatching(isWatching);
  }
}
