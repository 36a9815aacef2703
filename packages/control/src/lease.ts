/**
 * Leases in the object API, with fencing numbers. Clocks of different processes are never compared.
 *
 * @module
 */
import { type Clock, type Fence, fence, type ProcessId, toWpError } from "@wisteriapick/core";
import type { ObjectStore, StoredObject } from "@wisteriapick/clients";
import { decode, encode } from "cbor-x";

const LEASE_PREFIX = "leases/";
export const LEASE_TTL_MS = 6_000;
/** A holder stops this part of the ttl early, against clocks that run at slightly different rates. */
const HOLDER_MARGIN = 0.1;

/** A stored lease. An empty holder means that it was given up. */
export interface LeaseRecord {
  readonly holder: string;
  /** Distinguishes the writes of one holder when an answer was lost. */
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

/** The fencing number of a duty's present lease, 0 when there was none. A restarted side asks for it. */
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

interface Held {
  readonly record: LeaseRecord;
  readonly version: number;
  /** Own monotonic time at which the holding ends, counted from before the write was sent. */
  readonly untilMs: number;
}

interface Seen {
  readonly version: number;
  readonly record: LeaseRecord;
  readonly sinceMs: number;
}

/**
 * One process's part in one lease. Call {@link renewOrAcquire} about three times per ttl.
 *
 * @example
 * ```ts
 * const lease = new Lease(store, clock, { duty: "service-scribe", process });
 * await lease.step();
 * const fence = lease.fence(); // null: not the holder now
 * ```
 */
export class Lease {
  readonly duty: string;
  readonly #store: ObjectStore;
  readonly #clock: Clock;
  readonly #process: ProcessId;
  readonly #ttlMs: number;
  #held: Held | null = null;
  #seen: Seen | null = null;
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

  /** Own monotonic time until which the lease is held, or `null`. */
  untilMs(): number | null {
    return this.fence() === null ? null : this.#held!.untilMs;
  }

  /** Renews the lease when held, otherwise looks and takes it over when it is free. Returns whether held. */
  async renewOrAcquire(): Promise<boolean> {
    if (this.fence() !== null) await this.#renew();
    else await this.#tryTake();
    return this.fence() !== null;
  }

  /** Gives the lease up, so that another process need not wait for its end. */
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

  async #tryTake(): Promise<void> {
    this.#held = null;
    const obj = await this.#store.get(leaseKey(this.duty));
    if (obj === null) return this.#write(this.#record(1), 0);
    const record = decodeLease(obj);
    if (this.#seen?.version !== obj.version) {
      this.#seen = { version: obj.version, record, sinceMs: this.#clock.now() };
    }
    const waited = this.#clock.now() - this.#seen.sinceMs;
    if (record.holder !== "" && waited < record.ttlMs) return;
    await this.#write(this.#record(record.fence + 1), obj.version);
  }

  #record(next: number): LeaseRecord {
    return { holder: this.#process, seq: ++this.#seq, ttlMs: this.#ttlMs, fence: next };
  }

  async #write(record: LeaseRecord, ifVersion: number): Promise<void> {
    const startedAt = this.#clock.now();
    const version = await this.#put(record, ifVersion);
    if (version === "unchanged") return;
    if (version === null) {
      this.#held = null;
      this.#seen = null;
      return;
    }
    const untilMs = startedAt + record.ttlMs * (1 - HOLDER_MARGIN);
    this.#held = { record, version, untilMs };
  }

  /**
   * Writes, and resolves a lost answer by reading back. Returns `null` when another write came first and
   * `unchanged` when nothing was written, so that what was held before still counts.
   */
  async #put(record: LeaseRecord, ifVersion: number): Promise<number | "unchanged" | null> {
    const key = leaseKey(this.duty);
    try {
      return await this.#store.put(key, encode(record), { ifVersion });
    } catch (e) {
      const err = toWpError(e);
      if (err.type !== "store_conflict" && err.type !== "store_outcome_unknown") throw e;
      return this.#ownVersion(record, ifVersion);
    }
  }

  async #ownVersion(record: LeaseRecord, before: number): Promise<number | "unchanged" | null> {
    const obj = await this.#store.get(leaseKey(this.duty));
    if ((obj?.version ?? 0) === before) return "unchanged";
    if (obj === null) return null;
    const found = decodeLease(obj);
    const own = found.holder === record.holder && found.seq === record.seq &&
      found.fence === record.fence;
    return own ? obj.version : null;
  }
}
