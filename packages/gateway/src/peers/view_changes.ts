/**
 * Encodes what has changed in a view since a revision, for other gateways.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { applyConfigPatch, type ConfigPatch, diffConfig } from "../config/config_patch.ts";
import { checkRecord } from "../config/record_checks.ts";
import type { GatewayConfig } from "../config/types.ts";
import { type StorePosition, UNNAMED_ERA } from "../state/store_position.ts";
import type {
  FollowedKind,
  KindView,
  StoreView,
  ViewEvent,
  ViewItem,
} from "../state/store_view.ts";
import { readReceivedItems, type ReceivedItemsOptions } from "./received_items.ts";

/** Number of recent values of an object from which patches can be made. */
const MAX_PAST_CONFIGS = 8;
/** Smaller changes are sent as they are. */
const MIN_COMPRESSED_BYTES = 1_024;
/** Fastest level, as routes repeat the same words. */
const COMPRESSION_LEVEL = 1;
/** Largest size after decompression: a configuration of the store's largest objects. */
const MAX_DECODED_BYTES = 16_777_216;

type Item = ViewItem<unknown>;

interface PatchedConfig {
  readonly name: string;
  /** Revision of the object to which the patch applies, and the version of that object. */
  readonly base: number;
  readonly baseVersion: number;
  readonly revision: number;
  readonly patch: ConfigPatch;
}

interface Changes {
  /** Whether `items` is the whole content rather than what has changed. */
  readonly isFull: boolean;
  readonly items: readonly (readonly [string, Item])[];
  readonly patches: readonly PatchedConfig[];
  readonly removed: readonly string[];
}

/** Encoded changes as they are sent. */
export interface EncodedChanges {
  /** Revision of the view of the same era to which they apply; 0 if they apply to any. */
  readonly from: number;
  readonly isCompressed: boolean;
  /** Empty if there are none. */
  readonly changes: Uint8Array;
}

const NO_CHANGES = new Uint8Array(0);

/** Encodes the changes of a gateway's view. */
export class ViewChangesEncoder {
  readonly #view: Pick<StoreView, "kinds">;
  /** Past values in the era of the view. */
  readonly #pastConfigs = new Map<string, ViewItem<GatewayConfig>[]>();
  #pastEra = UNNAMED_ERA;
  /** The most recently encoded changes of each kind, as several gateways need the same. */
  readonly #cached = new Map<FollowedKind, EncodedChanges & StorePosition>();

  constructor(view: Pick<StoreView, "kinds">) {
    this.#view = view;
    view.kinds.config.registerListener(() => this.#rememberConfigs());
  }

  /** Encodes what has changed since a position, or the whole content if the changes since then are not known. */
  encode(kind: FollowedKind, since: StorePosition): EncodedChanges {
    const { position, changedAt } = this.#view.kinds[kind];
    const { era, revision } = position;
    // Revisions of an earlier era say nothing about this view's content.
    const from = since.era === era ? since.revision : 0;
    if (from > 0 && changedAt <= from) return { from, isCompressed: false, changes: NO_CHANGES };
    const cached = this.#cached.get(kind);
    if (cached?.from === from && cached.revision === revision && cached.era === era) return cached;
    const encoded = compress(this.#changesSince(kind, { era, revision: from }));
    this.#cached.set(kind, { ...encoded, era, revision });
    return encoded;
  }

  #changesSince(kind: FollowedKind, base: StorePosition): Changes & { readonly from: number } {
    const current = this.#view.kinds[kind] as KindView<unknown>;
    const from = base.revision;
    const since = from > 0 ? current.changesSince(base) : null;
    if (since === null) {
      return {
        from: 0,
        isFull: true,
        items: [...current.snapshot.items],
        patches: [],
        removed: [],
      };
    }
    if (kind !== "config") return { from, isFull: false, patches: [], ...since };
    const items: [string, Item][] = [];
    const patches: PatchedConfig[] = [];
    for (const [name, item] of since.items) {
      const patched = this.#patchConfig(name, from, item as ViewItem<GatewayConfig>);
      if (patched === null) items.push([name, item]);
      else patches.push(patched);
    }
    return { from, isFull: false, items, patches, removed: since.removed };
  }

  #patchConfig(
    name: string,
    from: number,
    item: ViewItem<GatewayConfig>,
  ): PatchedConfig | null {
    const base = this.#pastConfigs.get(name)?.findLast(({ revision }) => revision <= from);
    if (base === undefined) return null;
    const patch = diffConfig(base.value, item.value);
    if (patch === null) return null;
    const { revision, value: { version: baseVersion } } = base;
    return { name, base: revision, baseVersion, revision: item.revision, patch };
  }

  #rememberConfigs(): void {
    const { era } = this.#view.kinds.config;
    if (era !== this.#pastEra) this.#pastConfigs.clear();
    this.#pastEra = era;
    // A later version that a peer knew changes the content, and not the position.
    this.#cached.delete("config");
    for (const [name, item] of this.#view.kinds.config.snapshot.items) {
      const past = this.#pastConfigs.get(name) ?? [];
      const earlier = past.filter(({ revision }) => revision !== item.revision);
      this.#pastConfigs.set(name, [...earlier, item].slice(-MAX_PAST_CONFIGS));
    }
  }
}

/**
 * Applies changes that a peer has encoded.
 *
 * Returns false, and leaves the view as it is, if a patch applies to another value than the view's. Throws, and leaves
 * the view as it is too, if the changes cannot be read.
 */
export function applyEncodedChanges(
  view: KindView<never>,
  position: StorePosition,
  { isCompressed, changes: encoded }: Pick<EncodedChanges, "isCompressed" | "changes">,
  options: ReceivedItemsOptions<FollowedKind>,
): boolean {
  if (encoded.length === 0) {
    view.apply({ ...position, events: [] }, "peer");
    return true;
  }
  const changes = decodeChanges({ isCompressed, changes: encoded });
  const items = readReceivedItems(changes.items, options) as [string, ViewItem<never> | null][];
  if (changes.isFull) {
    const usable = items.filter((entry): entry is [string, ViewItem<never>] => entry[1] !== null);
    view.replace({ ...position, items: new Map(usable) }, "peer");
    return true;
  }
  const events: ViewEvent<never>[] = [
    ...changes.removed.map((name) => ({ name, item: null })),
    ...items.map(([name, item]) => ({ name, item })),
  ];
  for (const patched of changes.patches) {
    const current = view.snapshot.items.get(patched.name) as Item | undefined;
    if (current !== undefined && current.revision >= patched.revision) continue;
    if (current?.revision !== patched.base) return false;
    const config = current.value as GatewayConfig;
    // A gateway that knows a later version than the restored store has another value at the same revision.
    if (config.version !== (patched.baseVersion ?? config.version)) return false;
    const value = checkRecord("config", applyConfigPatch(config, patched.patch));
    events.push({
      name: patched.name,
      item: { revision: patched.revision, value: value as never },
    });
  }
  view.apply({ ...position, events }, "peer");
  return true;
}

/**
 * Takes the later versions among the whole content that a peer has encoded, although the peer's view is of an earlier
 * position than this one. Throws, and leaves the view as it is, if the content cannot be read.
 */
export function adoptEncodedConfigs(
  view: KindView<GatewayConfig>,
  update: Pick<EncodedChanges, "isCompressed" | "changes">,
  options: ReceivedItemsOptions<"config">,
): void {
  if (update.changes.length === 0) return;
  const { isFull, items } = decodeChanges(update);
  if (!isFull) return;
  const usable = readReceivedItems(items, options).flatMap(([name, item]) =>
    item === null ? [] : [[name, item] as const]
  );
  view.adopt(usable, "peer");
}

function decodeChanges(
  { isCompressed, changes }: Pick<EncodedChanges, "isCompressed" | "changes">,
): Changes {
  const bytes = isCompressed
    ? inflateRawSync(changes, { maxOutputLength: MAX_DECODED_BYTES })
    : changes;
  // JSON is parsed by native code, which is fast in a process whose own code is not compiled yet.
  return JSON.parse(Buffer.from(bytes).toString("utf8")) as Changes;
}

function compress({ from, ...changes }: Changes & { readonly from: number }): EncodedChanges {
  const bytes = Buffer.from(JSON.stringify(changes));
  if (bytes.length < MIN_COMPRESSED_BYTES) return { from, isCompressed: false, changes: bytes };
  const compressed = deflateRawSync(bytes, { level: COMPRESSION_LEVEL });
  return { from, isCompressed: true, changes: compressed };
}
