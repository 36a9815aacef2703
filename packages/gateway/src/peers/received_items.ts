/**
 * Checks the objects of a view that another gateway has sent. It has decoded them by its own rules, which differ between
 * releases, so nothing that it sends is believed unchecked.
 *
 * @module
 */
import { raise, toWpError, type WpError } from "@wisteriapick/core";
import { checkRecord } from "../config/record_checks.ts";
import type { FollowedKind, ViewItem, ViewItems } from "../state/store_view.ts";

/** What the items of an update belong to. */
export interface ReceivedItemsOptions<K extends FollowedKind> {
  readonly kind: K;
  /** Called for each object that cannot be used. */
  readonly onUnreadable: (name: string, err: WpError) => void;
}

/** An object by its name; `null` if it cannot be used. */
export type ReceivedItem<K extends FollowedKind> = readonly [string, ViewItem<ViewItems[K]> | null];

/**
 * Returns the objects of an update by name. One that cannot be used is `null`, as it is when it is read from the store,
 * and the others stay usable.
 *
 * @throws WpFailure if the update is no list of objects, or a configuration cannot be used: a gateway that went on
 * without it would take its older one for the newest.
 */
export function readReceivedItems<K extends FollowedKind>(
  items: unknown,
  { kind, onUnreadable }: ReceivedItemsOptions<K>,
): ReceivedItem<K>[] {
  if (!Array.isArray(items)) malformed("a list of objects");
  return items.map((entry): ReceivedItem<K> => {
    const [name, item] = Array.isArray(entry) ? entry : [];
    if (typeof name !== "string") malformed("an object with a name");
    const revision = (item as { revision?: unknown } | null | undefined)?.revision;
    if (!Number.isSafeInteger(revision)) malformed("an object with a revision");
    try {
      const value = checkRecord(kind, (item as { value?: unknown }).value);
      return [name, { revision: revision as number, value }];
    } catch (e) {
      if (kind === "config") throw e;
      onUnreadable(name, toWpError(e));
      return [name, null];
    }
  });
}

function malformed(expected: string): never {
  raise({ type: "not_found", message: `a view update without ${expected}` });
}
