/**
 * Differences between two configurations. A change of one route of 1,500 is a few hundred bytes instead of all routes.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import type { AccountConfig, GatewayConfig, RouteConfig, ServiceConfig } from "./types.ts";

/** Differences between two lists of objects with ids. */
export interface ListPatch<T> {
  readonly removed: readonly string[];
  /** Objects that differ, at their old positions. */
  readonly changed: readonly T[];
  /** New objects with their positions in the new list, in ascending order. */
  readonly added: readonly (readonly [number, T])[];
}

/** What turns one configuration into another. */
export interface ConfigPatch extends Pick<GatewayConfig, "version" | "requiresKeys" | "limits"> {
  readonly routes: ListPatch<RouteConfig>;
  readonly services: ListPatch<ServiceConfig>;
  readonly accounts: ListPatch<AccountConfig>;
}

/**
 * Computes the patch between two configurations; `null` if a patch cannot express it, as ids repeat or the order of
 * objects has changed.
 *
 * @example
 * ```ts
 * const patch = diffConfig(before, after);
 * if (patch !== null) applyConfigPatch(before, patch);
 * ```
 */
export function diffConfig(before: GatewayConfig, after: GatewayConfig): ConfigPatch | null {
  const routes = diffList(before.routes, after.routes);
  const services = diffList(before.services, after.services);
  const accounts = diffList(before.accounts, after.accounts);
  if (routes === null || services === null || accounts === null) return null;
  const { version, requiresKeys, limits } = after;
  return { version, requiresKeys, limits, routes, services, accounts };
}

/** Applies a patch. Objects that are the same in both configurations are shared. */
export function applyConfigPatch(before: GatewayConfig, patch: ConfigPatch): GatewayConfig {
  const { version, requiresKeys, limits } = patch;
  return {
    version,
    requiresKeys,
    limits,
    routes: applyList(before.routes, patch.routes),
    services: applyList(before.services, patch.services),
    accounts: applyList(before.accounts, patch.accounts),
  };
}

/** Returns `after` with the objects of `before` that are equal, so that two versions share most of their memory. */
export function shareUnchanged(before: GatewayConfig, after: GatewayConfig): GatewayConfig {
  const patch = diffConfig(before, after);
  return patch === null ? after : applyConfigPatch(before, patch);
}

interface Identified {
  readonly id: string;
}

function diffList<T extends Identified>(
  before: readonly T[],
  after: readonly T[],
): ListPatch<T> | null {
  const old = new Map<string, T>(before.map((object) => [object.id, object]));
  if (old.size !== before.length) return null;
  const seen = new Set<string>();
  const changed: T[] = [];
  const added: [number, T][] = [];
  for (const [position, object] of after.entries()) {
    if (seen.has(object.id)) return null;
    seen.add(object.id);
    const known = old.get(object.id);
    if (known === undefined) added.push([position, object]);
    else if (known !== object && !isDeepStrictEqual(known, object)) changed.push(object);
  }
  const removed = before.filter(({ id }) => !seen.has(id)).map(({ id }) => id);
  const patch = { removed, changed, added };
  return applyList(before, patch).every(({ id }, i) => id === after[i]!.id) ? patch : null;
}

function applyList<T extends Identified>(before: readonly T[], patch: ListPatch<T>): T[] {
  const removed = new Set(patch.removed);
  const changed = new Map<string, T>(patch.changed.map((object) => [object.id, object]));
  const added = new Map<number, T>(patch.added);
  const list: T[] = [];
  const append = (object: T) => {
    list.push(object);
    for (let next; (next = added.get(list.length)) !== undefined;) list.push(next);
  };
  const first = added.get(0);
  if (first !== undefined) append(first);
  for (const object of before) {
    if (!removed.has(object.id)) append(changed.get(object.id) ?? object);
  }
  return list;
}
