/**
 * A gateway's copy of the platform's store: one consistent snapshot of each kind with its position. A view's position
 * never goes back, whether changes come from the store or from another gateway.
 *
 * @module
 */
import type { Undo } from "@wisteriapick/core";
import { isEarlierVersion, newestConfig } from "../config/config_version.ts";
import { shareUnchanged } from "../config/config_patch.ts";
import type {
  EndpointRecord,
  EvacuationRecord,
  GatewayConfig,
  GatewayRecord,
  MoveRecord,
} from "../config/types.ts";
import { runAll } from "../observe/run_all.ts";
import { isBefore, NO_POSITION, type StorePosition } from "./store_position.ts";

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

/** An object with the store revision of its last change, in the era of its view. */
export interface ViewItem<T> {
  readonly revision: number;
  readonly value: T;
}

/** All objects of a kind at one position of the store. */
export interface Snapshot<T> extends StorePosition {
  readonly items: ReadonlyMap<string, ViewItem<T>>;
}

/** One change. `item` is `null` if the object was deleted. */
export interface ViewEvent<T> {
  readonly name: string;
  readonly item: ViewItem<T> | null;
}

/** Changes of a kind up to a position of the store. */
export interface ViewChanges<T> extends StorePosition {
  readonly events: readonly ViewEvent<T>[];
}

/** Differences between a view's content and an earlier one. */
export interface ContentChanges<T> {
  readonly items: readonly (readonly [string, ViewItem<T>])[];
  readonly removed: readonly string[];
}

/** Where a change came from. */
export type ViewSource = "store" | "peer";

/** An update of a view's content. */
export interface ViewUpdateReport {
  readonly source: ViewSource;
  /** Names that the update removed. */
  readonly removed: readonly string[];
  /** Names of which a value of a later version was known and is retained. */
  readonly retained: readonly string[];
  /** Whether the content is the first one of another era of the store. */
  readonly isRestored: boolean;
}

/** Called after a view's content was updated. */
export type ViewListener = (change: ViewUpdateReport) => void;

/** Number of removals that are retained: more than a data centre loses between two watches. */
const MAX_REMOVED = 1_024;

const EMPTY: Snapshot<never> = { ...NO_POSITION, items: new Map() };

/** Options of {@link KindView}. */
export interface KindViewOptions<T> {
  /** Returns a new value of an object that shares what is equal with the old one. */
  readonly shareUnchanged?: (before: T, after: T) => T;
  /**
   * Whether the value `a` is of an earlier version than `b`. A value of an earlier version never replaces a later one,
   * and a later one is retained if a restored store does not have the object.
   */
  readonly isEarlier?: (a: T, b: T) => boolean;
}

/** The snapshot of one kind. */
export class KindView<T> {
  readonly #options: Required<KindViewOptions<T>>;
  readonly #hasVersions: boolean;
  #snapshot: Snapshot<T> = EMPTY;
  #known = false;
  #changedAt = 0;
  /** Revision from which on all removals are known. */
  #removalsKnownFrom = 0;
  /** The most recently removed names, each with the first view revision that does not contain it. */
  #removed: { readonly name: string; readonly revision: number }[] = [];
  #listeners: readonly ViewListener[] = [];

  constructor(options: KindViewOptions<T> = {}) {
    this.#hasVersions = options.isEarlier !== undefined;
    this.#options = {
      shareUnchanged: options.shareUnchanged ?? ((_before, after) => after),
      isEarlier: options.isEarlier ?? (() => false),
    };
  }

  /** Whether any snapshot has been read. */
  get known(): boolean {
    return this.#known;
  }

  /** The store's position of the snapshot. */
  get position(): StorePosition {
    const { era, revision } = this.#snapshot;
    return { era, revision };
  }

  /** The store's era of the snapshot. */
  get era(): number {
    return this.#snapshot.era;
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

  /**
   * Replaces the snapshot unless the new one is older. Returns whether it was replaced.
   *
   * @param contradicted A position that the store has not given out, as what it then read was before that. A view at it
   * is replaced by the older snapshot.
   */
  replace(
    snapshot: Snapshot<T>,
    source: ViewSource,
    contradicted: StorePosition = NO_POSITION,
  ): boolean {
    const isContradicted = !isBefore(contradicted, this.#snapshot);
    if (this.#known && isBefore(snapshot, this.#snapshot) && !isContradicted) return false;
    const isSameEra = snapshot.era === this.#snapshot.era;
    const items = new Map<string, ViewItem<T>>();
    const retained: string[] = [];
    for (const [name, item] of snapshot.items) {
      items.set(name, this.#merged(name, item, isSameEra, retained));
    }
    if (this.#hasVersions && this.#known && !isSameEra) {
      for (const [name, { value }] of this.#snapshot.items) {
        if (items.has(name)) continue;
        items.set(name, { revision: snapshot.revision, value });
        retained.push(name);
      }
    }
    const removed = [...this.#snapshot.items.keys()].filter((name) => !items.has(name));
    this.#commit({ era: snapshot.era, revision: snapshot.revision, items }, source, {
      removed,
      retained,
    });
    return true;
  }

  /** Applies changes to the snapshot and returns true, or ignores those of another era and up to an older revision. */
  apply({ era, revision, events }: ViewChanges<T>, source: ViewSource): boolean {
    const current = this.#snapshot;
    if (!this.#known || era !== current.era || revision < current.revision) return false;
    if (events.length === 0) {
      this.#snapshot = { era, revision, items: current.items };
      return true;
    }
    const items = new Map(current.items);
    const removed: string[] = [];
    const retained: string[] = [];
    for (const { name, item } of events) {
      const old = items.get(name);
      if (item === null) {
        if (items.delete(name)) removed.push(name);
      } else if (old === undefined || old.revision < item.revision) {
        items.set(name, this.#merged(name, item, true, retained));
      }
    }
    this.#commit({ era, revision, items }, source, { removed, retained });
    return true;
  }

  /** Takes those values that are of a later version than the view's, whatever position they were read at. */
  adopt(items: Iterable<readonly [string, ViewItem<T>]>, source: ViewSource): void {
    const { era, revision } = this.#snapshot;
    const later = new Map(this.#snapshot.items);
    let hasLater = false;
    for (const [name, { value }] of items) {
      const old = later.get(name);
      if (old === undefined || !this.#options.isEarlier(old.value, value)) continue;
      hasLater = true;
      later.set(name, { revision: old.revision, value });
    }
    if (hasLater) this.#commit({ era, revision, items: later }, source, {});
  }

  /** What differs from the view's content at an earlier position; `null` if that is not known any more. */
  changesSince({ era, revision }: StorePosition): ContentChanges<T> | null {
    const current = this.#snapshot;
    if (era !== current.era || revision < this.#removalsKnownFrom) return null;
    const { items } = current;
    return {
      items: [...items].filter(([, item]) => item.revision > revision),
      removed: this.#removed
        .filter((r) => r.revision > revision && !items.has(r.name))
        .map((r) => r.name),
    };
  }

  registerListener(listener: ViewListener): Undo {
    this.#listeners = [...this.#listeners, listener];
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== listener);
    };
  }

  /** An object as it is known after it was read or received. Adds its name to `retained` if a later version was known. */
  #merged(name: string, item: ViewItem<T>, isSameEra: boolean, retained: string[]): ViewItem<T> {
    const old = this.#snapshot.items.get(name);
    if (old === undefined || old.value === item.value) return item;
    const { isEarlier, shareUnchanged } = this.#options;
    if (isEarlier(item.value, old.value)) {
      retained.push(name);
      return { revision: item.revision, value: old.value };
    }
    const isLater = isEarlier(old.value, item.value);
    if (isSameEra && old.revision === item.revision && !isLater) return old;
    return { revision: item.revision, value: shareUnchanged(old.value, item.value) };
  }

  #commit(
    snapshot: Snapshot<T>,
    source: ViewSource,
    { removed = [], retained = [] }: Partial<Pick<ViewUpdateReport, "removed" | "retained">>,
  ): void {
    const isRestored = this.#known && snapshot.era !== this.#snapshot.era;
    if (!this.#known || isRestored) {
      this.#removalsKnownFrom = snapshot.revision;
      this.#removed = [];
    }
    this.#snapshot = snapshot;
    this.#known = true;
    this.#changedAt = snapshot.revision;
    // A view of another era is sent whole to gateways that have an earlier one.
    if (!isRestored) {
      for (const name of removed) this.#removed.push({ name, revision: snapshot.revision });
    }
    if (this.#removed.length > MAX_REMOVED) {
      const forgotten = this.#removed.splice(0, this.#removed.length - MAX_REMOVED);
      this.#removalsKnownFrom = forgotten.at(-1)!.revision;
    }
    const change = { source, removed, retained, isRestored };
    runAll(this.#listeners.map((listener) => () => listener(change)));
  }
}

/** The views of all followed kinds. */
export class StoreView {
  /** The greatest version among the configurations in the view; `null` if there is none. */
  get configVersion(): number | null {
    const { items } = this.kinds.config.snapshot;
    return newestConfig([...items.values()].map(({ value }) => value))?.version ?? null;
  }

  readonly kinds: { readonly [K in FollowedKind]: KindView<ViewItems[K]> } = {
    config: new KindView({ shareUnchanged, isEarlier: isEarlierVersion }),
    endpoints: new KindView(),
    evacuations: new KindView(),
    moves: new KindView(),
  };
}
