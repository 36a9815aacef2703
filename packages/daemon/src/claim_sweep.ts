/**
 * Deletes idempotency keys that are past their retention. One entry at a time does so, under a lease.
 *
 * @module
 */
import type { Clock, ProcessId, Rng, Undo } from "@wisteriapick/core";
import { Lease, LEASE_TTL_MS } from "@wisteriapick/control";
import type { ObjectStore } from "@wisteriapick/clients";
import { IdempotencyClaims } from "./idempotency.ts";

const SWEEP_INTERVAL_MS = 600_000;
const DUTY = "idempotency-sweep";

/** Options of {@link ClaimSweep}. */
export interface ClaimSweepOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly process: ProcessId;
  /** Randomises the interval, so that the entries sweep at different times. */
  readonly rng: Rng;
}

/** Sweeps the idempotency keys at random intervals of 5 to 15 minutes. */
export class ClaimSweep {
  readonly #o: ClaimSweepOptions;
  #cancelTimer: Undo = () => {};
  #isStopped = false;

  constructor(options: ClaimSweepOptions) {
    this.#o = options;
  }

  start(): Undo {
    this.#schedule();
    return () => {
      this.#isStopped = true;
      this.#cancelTimer();
    };
  }

  /** Sweeps once unless another entry holds the lease. Returns whether it swept. */
  async sweep(): Promise<boolean> {
    const { store, clock, process } = this.#o;
    const lease = new Lease(store, clock, { duty: DUTY, process });
    const claims = new IdempotencyClaims({ store, clock });
    if (!(await this.#acquire(lease))) return false;
    // A page takes far less time than the lease's ttl. A holder that was paused past it does no harm, as each
    // delete names the object's version.
    let after = await claims.sweep();
    while (after !== null && await lease.renewOrAcquire()) after = await claims.sweep({ after });
    await lease.release();
    return true;
  }

  /** The lease of an entry that died can be taken only after it has been seen unchanged for a full ttl. */
  async #acquire(lease: Lease): Promise<boolean> {
    if (await lease.renewOrAcquire()) return true;
    await this.#o.clock.sleep(LEASE_TTL_MS * 1.1);
    return await lease.renewOrAcquire();
  }

  #schedule(): void {
    if (this.#isStopped) return;
    const { clock, rng } = this.#o;
    this.#cancelTimer = clock.setTimer(
      SWEEP_INTERVAL_MS * (0.5 + rng.next()),
      () => void this.#run(),
    );
  }

  async #run(): Promise<void> {
    try {
      await this.sweep();
    } catch {
      // The store is down or slow; expired keys stay until the next sweep.
    }
    this.#schedule();
  }
}
