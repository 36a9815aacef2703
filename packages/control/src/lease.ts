/**
 * Leases in the object store, with fencing numbers. A lease lets one process at a time perform a duty. Clocks of
 * different processes are never compared.
 *
 * @module
 */
import { type Clock, type Fence, fence, type ProcessId, toWpError } from "@wisteriapick/core";
import type { ObjectStore, StoredObject } from "@wisteriapick/clients";
import { decode, encode } from "cbor-x";

const LEASE_PREFIX = "leases/";
export const LEASE_TTL_MS = 6_000;
/** Share of the ttl by which a holder stops early, because clocks run at slightly different rates. */
const HOLDER_MARGIN = 0.1;

/** A stored lease. An empty holder means that the lease was released. */
export interface LeaseRecord {
  readonly holder: string;
  /** Distinguishes the writes of one holder after the response to one was lost. */
  readonly seq: number;
  readonly ttlMs: number;
  readonly fence: number;
}

/** Key of the lease of a duty. */
export function leaseKey(duty: string): string {
  return LEASE_PREFIX + duty;
}

/** Decodes a stored lease. */
export function decodeLease(obj: StoredObject): LeaseRecord {
  return decode(obj.value) as LeaseRecord;
}

/** The fencing number of a duty's current lease, 0 when there was none. A restarted side reads it. */
export async function readLeaseFence(store: ObjectStore, duty: string): Promise<Fence> {
  const obj = await store.get(leaseKey(duty));
  return fence(obj === null ? 0 : decodeLease(obj).fence);
}

/** Options of {@link Lease}. */
export interface LeaseOptions {
  readonly duty: string;
  readonly process: ProcessId;
  readonly ttlMs?: number;
}

interface HeldLease {
  readonly record: LeaseRecord;
  readonly version: number;
  /** Own monotonic time at which the lease ends, counted from before the write was sent. */
  readonly untilMs: number;
}

interface ObservedLease {
  readonly version: number;
  readonly record: LeaseRecord;
  readonly sinceMs: number;
}

/**
 * A lease as one process holds it or competes for it. Call {@link renewOrAcquire} about three times per ttl.
 *
 * @example
 * ```ts
 * const lease = new Lease(store, clock, { duty: "service-scribe", process });
 * await lease.step();
 * const fence = lease.fence(); // null when another process may hold the lease
 * ```
 */
export class Lease {
  readonly duty: string;
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #process: ProcessId;
  readonly #ttlMs: number;
  #held: HeldLease | null = null;
  #observed: ObservedLease | null = null;
  #seq = 0;

  constructor(
    store: ObjectStore,
    clock: Clock,
    { duty, process, ttlMs = LEASE_TTL_MS }: LeaseOptions,
  ) {
    this.duty = duty;
    this.#store = store;
    this.#clock = clock;
    this.#process = process;
    this.#ttlMs = ttlMs;
  }

  /** The fencing number while this process holds the lease by its own clock, otherwise `null`. */
  fence(): Fence | null {
    if (this.#held === null || this.#clock.now() >= this.#held.untilMs) return null;
    return fence(this.#held.record.fence);
  }

  /** Own monotonic time until which the lease is held, or `null` when it is not held. */
  untilMs(): number | null {
    return this.fence() === null ? null : this.#held!.untilMs;
  }

  /** Renews the lease when held, otherwise acquires it when it is free. Returns whether it is held. */
  async renewOrAcquire(): Promise<boolean> {
    if (this.fence() !== null) await this.#renew();
    else await this.#acquireIfFree();
    return this.fence() !== null;
  }

  /** Releases the lease, so that another process need not wait for it to expire. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = null;
    if (held === null) return;
    const record = { ...held.record, holder: "", seq: ++this.#seq };
    await this.#store.put(leaseKey(this.duty), encode(record), { ifVersion: held.version });
  }

  async #renew(): Promise<void> {
    const { record, version } = this.#held!;
    await this.#write({ ...record, seq: ++this.#seq }, version);
  }

  async #acquireIfFree(): Promise<void> {
    this.#held = null;
    const obj = await this.#store.get(leaseKey(this.duty));
    if (obj === null) return this.#write(this.#makeRecord(1), 0);
    const record = decodeLease(obj);
    if (this.#observed?.version !== obj.version) {
      this.#observed = { version: obj.version, record, sinceMs: this.#clock.now() };
    }
    const unchangedMs = this.#clock.now() - this.#observed.sinceMs;
    if (record.holder !== "" && unchangedMs < record.ttlMs) return;
    await this.#write(this.#makeRecord(record.fence + 1), obj.version);
  }

  #makeRecord(nextFence: number): LeaseRecord {
    return { holder: this.#process, seq: ++this.#seq, ttlMs: this.#ttlMs, fence: nextFence };
  }

  async #write(record: LeaseRecord, ifVersion: number): Promise<void> {
    const startedAtMs = this.#clock.now();
    const version = await this.#put(record, ifVersion);
    if (version === "unchanged") return;
    if (version === null) {
      this.#held = null;
      this.#observed = null;
      return;
    }
    const untilMs = startedAtMs + record.ttlMs * (1 - HOLDER_MARGIN);
    this.#held = { record, version, untilMs };
  }

  /**
   * Writes, and reads back after a lost response. Returns `null` when another write came first and `unchanged` when
   * nothing was written, so that a lease held before is still held.
   */
  async #put(record: LeaseRecord, ifVersion: number): Promise<number | "unchanged" | null> {
    const key = leaseKey(this.duty);
    try {
      return await this.#store.put(key, encode(record), { ifVersion });
    } catch (e) {
      const err = toWpError(e);
      if (err.type !== "store_conflict" && err.type !== "store_outcome_unknown") throw e;
      return this.#versionIfOwn(record, ifVersion);
    }
  }

  async #versionIfOwn(
    record: LeaseRecord,
    versionBefore: number,
  ): Promise<number | "unchanged" | null> {
    const obj = await this.#store.get(leaseKey(this.duty));
    if ((obj?.version ?? 0) === versionBefore) return "unchanged";
    if (obj === null) return null;
    const found = decodeLease(obj);
    const own = found.holder === record.holder && found.seq === record.seq &&
      found.fence === record.fence;
    return own ? obj.version : null;
  }
}
