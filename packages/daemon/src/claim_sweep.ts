/**
 * Removes idempotency keys that are past their retention. One entry does so at a time, under a lease.
 *
 * @module
 */
import type { Clock, ProcessId, Rng, Undo } from "@wisteriapick/core";
import { Lease, LEASE_TTL_MS } from "@wisteriapick/control";
import type { ObjectStore } from "@wisteriapick/clients";
import { IdempotencyClaims } from "./idempotency.ts";

const SWEEP_EVERY_MS = 600_000;
const DUTY = "idempotency-sweep";

/** Parts of {@link ClaimSweep}. */
export interface ClaimSweepOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly process: ProcessId;
  /** Spreads the sweeps of many entries. */
  readonly rng: Rng;
}

/** See the module comment. */
export class ClaimSweep {
  readonly #o: ClaimSweepOptions;
  #undo: Undo = () => {};
  #stopped = false;

  constructor(options: ClaimSweepOptions) {
    this.#o = options;
  }

  start(): Undo {
    this.#arm();
    return () => {
      this.#stopped = true;
      this.#undo();
    };
  }

  /** Sweeps once where no other entry does. Returns whether it did. */
  async sweep(): Promise<boolean> {
    const { store, clock, process } = this.#o;
    const lease = new Lease(store, clock, { duty: DUTY, process });
    const claims = new IdempotencyClaims({ store, clock });
    if (!(await this.#take(lease))) return false;
    // A page takes far less than the ttl; a holder that was paused deletes by version and does no harm.
    let after = await claims.sweep();
    while (after !== null && await lease.renewOrAcquire()) after = await claims.sweep({ after });
    await lease.release();
    return true;
  }

  /** A lease of an entry that died is free only after it has been seen unchanged for a whole ttl. */
  async #take(lease: Lease): Promise<boolean> {
    if (await lease.renewOrAcquire()) return true;
    await this.#o.clock.sleep(LEASE_TTL_MS * 1.1);
    return await lease.renewOrAcquire();
  }

  #arm(): void {
    if (this.#stopped) return;
    const { clock, rng } = this.#o;
    this.#undo = clock.setTimer(SWEEP_EVERY_MS * (0.5 + rng.next()), () => void this.#run());
  }

  async #run(): Promise<void> {
    try {
      await this.sweep();
    } catch {
      // The store is down or slow; old keys wait for the next round.
    }
    this.#arm();
  }
}
