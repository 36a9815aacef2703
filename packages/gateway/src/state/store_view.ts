/**
 * A gateway's copy of the platform's store: one consistent snapshot of each kind with its store revision. A view's
 * revision never goes back, whether changes come from the store or from another gateway.
 *
 * @module
 */
import type { Undo } from "@wisteriapick/core";
import type {
  EndpointRecord,
  EvacuationRecord,
  GatewayConfig,
  GatewayRecord,
  MoveRecord,
} from "../config/types.ts";

/** The type of the objects of each kind. */
export interface ViewItems {
  readonly config: GatewayConfig;
  readonly endpoints: EndpointRecord;
  readonly evacuations: EvacuationRecord;
  readonly moves: MoveRecord;
  readonly gateways: GatewayRecord;
}

/** A kind of object in the store. */
export type ViewKind = keyof ViewItems;

/** Kinds that every gateway follows. */
export const FOLLOWED_KINDS = ["config", "endpoints", "evacuations", "moves"] as const;

/** One of {@link FOLLOWED_KINDS}. */
export type FollowedKind = typeof FOLLOWED_KINDS[number];

/** An object with the store revision of its last change. */
export interface ViewItem<T> {
  readonly revision: number;
  readonly value: T;
}

/** All objects of a kind at one store revision. */
export interface Snapshot<T> {
  readonly revision: number;
  readonly items: ReadonlyMap<string, ViewItem<T>>;
}

/** One change. `item` is `null` if the object was deleted. */
export interface ViewEvent<T> {
  readonly name: string;
  readonly item: ViewItem<T> | null;
}

/** Changes of a kind up to a store revision. */
export interface ViewChanges<T> {
  readonly revision: number;
  readonly events: readonly ViewEvent<T>[];
}

/** Where a change came from. */
export type ViewSource = "store" | "peer";

/** Called after a view's content was updated, with the names that the update removed. */
export type ViewListener = (change: { source: ViewSource; removed: readonly string[] }) => void;

/** Number of removals that are retained: more than a data centre loses between two watches. */
const MAX_REMOVED = 1_024;

const EMPTY: Snapshot<never> = { revision: 0, items: new Map() };

/** The snapshot of one kind. */
export class KindView<T> {
  #snapshot: Snapshot<T> = EMPTY;
  #known = false;
  #changedAt = 0;
  /** The most recently removed names, each with the first view revision that does not contain it. */
  #removed: { readonly name: string; readonly revision: number }[] = [];
  #listeners: readonly ViewListener[] = [];

  /** Whether any snapshot has been read. */
  get known(): boolean {
    return this.#known;
  }

  /** The store revision of the snapshot. */
  get revision(): number {
    return this.#snapshot.revision;
  }

  /** The store revision of the last update that changed the content. */
  get changedAt(): number {
    return this.#changedAt;
  }

  get snapshot(): Snapshot<T> {
    return this.#snapshot;
  }

  /** Replaces the snapshot unless the new one is older. Returns whether it was replaced. */
  replace(snapshot: Snapshot<T>, source: ViewSource): boolean {
    if (this.#known && snapshot.revision < this.#snapshot.revision) return false;
    const removed = [...this.#snapshot.items.keys()].filter((name) => !snapshot.items.has(name));
    this.#commit(snapshot, source, removed);
    return true;
  }

  /** Applies changes to the snapshot and returns true, or ignores those up to an older revision. */
  apply({ revision, events }: ViewChanges<T>, source: ViewSource): boolean {
    if (!this.#known || revision < this.#snapshot.revision) return false;
    if (events.length === 0) {
      this.#snapshot = { revision, items: this.#snapshot.items };
      return true;
    }
    const items = new Map(this.#snapshot.items);
    const removed: string[] = [];
    for (const { name, item } of events) {
      const old = items.get(name);
      if (item === null) {
        if (items.delete(name)) removed.push(name);
      } else if (old === undefined || old.revision < item.revision) {
        items.set(name, item);
      }
    }
    this.#commit({ revision, items }, source, removed);
    return true;
  }

  /** Names that were removed after a revision and do not exist now. */
  removedSince(revision: number): string[] {
    const { items } = this.#snapshot;
    return this.#removed
      .filter((r) => r.revision > revision && !items.has(r.name))
      .map((r) => r.name);
  }

  registerListener(listener: ViewListener): Undo {
    this.#listeners = [...this.#listeners, listener];
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== listener);
    };
  }

  #commit(snapshot: Snapshot<T>, source: ViewSource, removed: readonly string[]): void {
    this.#snapshot = snapshot;
    this.#known = true;
    this.#changedAt = snapshot.revision;
    for (const name of removed) this.#removed.push({ name, revision: snapshot.revision });
    if (this.#removed.length > MAX_REMOVED) {
      this.#removed.splice(0, this.#removed.length - MAX_REMOVED);
    }
    for (const listener of this.#listeners) listener({ source, removed });
  }
}

/** The views of all followed kinds. */
export class StoreView {
  readonly kinds: { readonly [K in FollowedKind]: KindView<ViewItems[K]> } = {
    config: new KindView(),
    endpoints: new KindView(),
    evacuations: new KindView(),
    moves: new KindView(),
  };
}
