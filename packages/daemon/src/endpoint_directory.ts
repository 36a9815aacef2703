/**
 * The directory of endpoints and of the addresses at which their sides listen.
 *
 * @module
 */
import {
  type Clock,
  type DataCentreId,
  type EndpointId,
  type HostId,
  type ServiceId,
  type Table,
  type Undo,
  type World,
} from "@wisteriapick/core";
import type { HostList, HostSnapshot } from "@wisteriapick/clients";

/** An endpoint that has a side. */
export interface EndpointRecord {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Link address of the side. */
  readonly side: string;
  /** Whether the platform has announced that it will remove the host. */
  readonly leaving: boolean;
}

/** A change of the directory. */
export interface DirectoryChange {
  readonly set: readonly EndpointRecord[];
  readonly removed: readonly EndpointId[];
  /** Addresses of sides that the host list no longer contains. */
  readonly unlisted: readonly string[];
}

/** Endpoints by id. Each snapshot of the host list is applied in one update. */
export class EndpointDirectory {
  readonly #world: World;
  readonly #table: Table<EndpointId, EndpointRecord>;
  readonly #listeners = new Set<(change: DirectoryChange) => void>();
  #index = -1;

  constructor(world: World) {
    this.#world = world;
    this.#table = world.registerTable<EndpointId, EndpointRecord>("directory").table;
  }

  get(endpoint: EndpointId): EndpointRecord | undefined {
    return this.#table.get(endpoint);
  }

  rows(): IterableIterator<EndpointRecord> {
    return this.#table.rows();
  }

  registerListener(fn: (change: DirectoryChange) => void): Undo {
    this.#listeners.add(fn);
    return () => void this.#listeners.delete(fn);
  }

  /** Applies a snapshot. One that is older than the last is ignored. */
  apply(snapshot: HostSnapshot): void {
    if (snapshot.index < this.#index) return;
    this.#index = snapshot.index;
    const change = this.#world.update(() => this.#replace(snapshot));
    if (change.set.length + change.removed.length === 0) return;
    for (const fn of this.#listeners) fn(change);
  }

  #replace(snapshot: HostSnapshot): DirectoryChange {
    const next = new Map<EndpointId, EndpointRecord>();
    for (const host of snapshot.hosts) {
      if (host.endpoint === undefined || host.side === undefined) continue;
      next.set(host.endpoint.id, {
        endpoint: host.endpoint.id,
        service: host.endpoint.service,
        host: host.host,
        dataCentre: host.dataCentre,
        side: host.side,
        leaving: host.state === "leaving",
      });
    }
    const removed = [...this.#table.ids()].filter((id) => !next.has(id));
    const set = [...next.values()].filter((row) =>
      !isSameRecord(row, this.#table.get(row.endpoint))
    );
    const previous = [...removed, ...set.map((row) => row.endpoint)].map((id) =>
      this.#table.get(id)
    );
    for (const id of removed) this.#table.delete(id);
    for (const row of set) this.#table.set(row.endpoint, row);
    const listed = new Set([...this.#table.rows()].map((row) => row.side));
    const sides = new Set(previous.flatMap((row) => row === undefined ? [] : [row.side]));
    return { set, removed, unlisted: [...sides].filter((side) => !listed.has(side)) };
  }
}

function isSameRecord(a: EndpointRecord, b: EndpointRecord | undefined): boolean {
  return b !== undefined && a.side === b.side && a.leaving === b.leaving && a.host === b.host &&
    a.service === b.service && a.dataCentre === b.dataCentre;
}

/** Reads the host list into a directory at intervals. A failed read leaves the directory as it is. */
export function followHostList(
  list: HostList,
  directory: EndpointDirectory,
  { clock, intervalMs = 1_000 }: { clock: Clock; intervalMs?: number },
): { first: Promise<void>; undo: Undo } {
  const read = async () => {
    try {
      directory.apply(await list.read());
    } catch {
      // The host list is advisory and lags in any case; it is read again after the interval.
    }
  };
  return { first: read(), undo: clock.setRepeating(intervalMs, () => void read()) };
}
