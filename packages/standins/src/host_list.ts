/**
 * A host list in memory whose readers see changes late.
 *
 * @module
 */
import { type Clock, type HostId, raise, SystemClock } from "@wisteriapick/core";
import { HostList, type HostRecord, type HostSnapshot } from "@wisteriapick/clients";

/** Options of {@link MemoryHostList}. */
export interface MemoryHostListOptions {
  readonly clock?: Clock;
  /** Time until readers see a change. */
  readonly lagMs?: number;
}

/**
 * The host list in memory.
 *
 * @example
 * ```ts
 * const list = new MemoryHostList({ lagMs: 1_000 });
 * list.set({ host: hostId("tema-01"), dataCentre, region, state: "live" });
 * ```
 */
export class MemoryHostList extends HostList {
  readonly #clock: Clock;
  readonly #lagMs: number;
  readonly #hosts = new Map<HostId, HostRecord>();
  /** Snapshots, and the times from which readers see them, oldest first. */
  #published: { fromMs: number; snapshot: HostSnapshot }[];
  #isDown = false;
  #reads = 0;

  constructor({ clock = new SystemClock(), lagMs = 0 }: MemoryHostListOptions = {}) {
    super();
    this.#clock = clock;
    this.#lagMs = lagMs;
    this.#published = [{ fromMs: clock.now(), snapshot: { index: 0, hosts: [] } }];
  }

  /** Number of reads so far. */
  get reads(): number {
    return this.#reads;
  }

  /** Adds or replaces a host. */
  set(record: HostRecord): void {
    this.#hosts.set(record.host, record);
    this.#publish();
  }

  /** Removes a host that is gone. */
  remove(host: HostId): void {
    if (this.#hosts.delete(host)) this.#publish();
  }

  /** Makes every read fail, or succeed again. */
  setDown(outage: boolean): void {
    this.#isDown = outage;
  }

  async read(): Promise<HostSnapshot> {
    this.#reads++;
    if (this.#isDown) raise({ type: "unreachable", message: "the host list is down" });
    const nowMs = this.#clock.now();
    while (this.#published.length > 1 && this.#published[1]!.fromMs <= nowMs) {
      this.#published.shift();
    }
    return this.#published[0]!.snapshot;
  }

  #publish(): void {
    const index = this.#published.at(-1)!.snapshot.index + 1;
    const hosts = [...this.#hosts.values()];
    const fromMs = this.#clock.now() + this.#lagMs;
    this.#published.push({ fromMs, snapshot: { index, hosts } });
  }
}
