/**
 * Logs which objects of the store, or of a view that another gateway has sent, are left out, and why.
 *
 * @module
 */
import { toWpError } from "@wisteriapick/core";
import type { ViewKind } from "../state/store_view.ts";
import type { DecisionLog } from "./decision_log.ts";

/** Largest number of objects whose last line is remembered. */
const MAX_REMEMBERED = 1_000;
/** Longest part of a name in a line, in characters. */
const MAX_NAME = 64;

/** An object that cannot be decoded. */
export interface UnreadableObject {
  readonly kind: ViewKind;
  /** `null` if the object has none. */
  readonly name: string | null;
  /** The object as it came from the store. */
  readonly raw?: unknown;
  /** The gateway that has sent the object; none if it was read from the store. */
  readonly peer?: string;
  readonly err: unknown;
}

/** Logs an object that cannot be decoded when it is first read, and again only if the reason changes. */
export class UnreadableObjects {
  readonly #log: DecisionLog;
  /** The reason that was logged last, by kind and name. */
  readonly #reasons = new Map<string, string>();

  constructor(log: DecisionLog) {
    this.#log = log;
  }

  record({ kind, name, raw, peer, err }: UnreadableObject): void {
    const failure = toWpError(err);
    const key = `${kind}/${name}`;
    if (this.#reasons.get(key) === failure.message) return;
    this.#reasons.delete(key);
    this.#reasons.set(key, failure.message);
    if (this.#reasons.size > MAX_REMEMBERED) {
      this.#reasons.delete(this.#reasons.keys().next().value!);
    }
    this.#log.state("object_unreadable", {
      kind,
      peer,
      name: name?.slice(0, MAX_NAME) ?? null,
      revision: revisionOf(raw),
      err: failure,
    });
  }

  /** Forgets an object that can be decoded or has been deleted. */
  forget(kind: ViewKind, name: string): void {
    this.#reasons.delete(`${kind}/${name}`);
  }
}

/** The revision of the object's last change; `null` if it names none. */
function revisionOf(raw: unknown): number | null {
  const { metadata } = (raw ?? {}) as {
    readonly metadata?: { readonly revision?: unknown } | null;
  };
  const revision = metadata?.revision;
  return typeof revision === "number" ? revision : null;
}
