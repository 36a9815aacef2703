/**
 * Recognises requests that were refused for want of room when their callers come back. They are
 * recognised by a digest of what the request is, which gateways tell each other when they refuse it;
 * nothing that a caller says of itself is used.
 *
 * Load pattern: callers come back once after the delay that they were given. One that is refused
 * again is lost, and one that has come back must not queue behind those that arrived meanwhile.
 *
 * @module
 */

import type { ServiceId } from "@wisteriapick/core";

/** A refused request whose caller is expected back. */
export interface ExpectedReturn {
  /** Digest of the account and the content of the request. */
  readonly digest: number;
  /** Time until the caller comes back, in milliseconds. */
  readonly inMs: number;
  /** Memory that it needs, in tokens. */
  readonly tokens: number;
  /** Time until its latest start on time, measured from its first arrival; negative once it has passed. */
  readonly startByInMs: number;
  /** Service whose engines it needs; it counts for all services if absent. */
  readonly service?: ServiceId;
}

interface Entry {
  readonly atMs: number;
  readonly tokens: number;
  readonly startByMs: number;
  readonly service: ServiceId | null;
}

/** Callers come back when they were told to; a slow network adds little to it. */
const EARLY_MS = 50;
const LATE_MS = 2_500;
/** Entries that are kept, of all gateways; the oldest are dropped first. */
const MAX_ENTRIES = 4_096;

/** Requests that were refused and are expected back at any gateway. */
export class ReturningCallers {
  readonly #entries = new Map<number, Entry>();

  get size(): number {
    return this.#entries.size;
  }

  /** Records a refusal, by this gateway or another one. */
  expect(entry: ExpectedReturn, nowMs: number): void {
    const { digest, inMs, tokens, startByInMs, service = null } = entry;
    this.#entries.delete(digest);
    const startByMs = nowMs + startByInMs;
    this.#entries.set(digest, { atMs: nowMs + inMs, tokens, startByMs, service });
    if (this.#entries.size > MAX_ENTRIES) this.#entries.delete(this.#entries.keys().next().value!);
  }

  /**
   * The latest start on time of a request that was refused and has come back when it was due, as of its first arrival;
   * `null` for any other. It counts once.
   */
  take(digest: number, nowMs: number): number | null {
    const entry = this.#entries.get(digest);
    if (entry === undefined || nowMs < entry.atMs - EARLY_MS) return null;
    this.#entries.delete(digest);
    return nowMs < entry.atMs + LATE_MS ? entry.startByMs : null;
  }

  /**
   * Memory that callers due back within a time will need at the engines of a service, in tokens; of those only that can
   * then still start on time unless `includesLate`.
   */
  tokensDueWithin(
    ms: number,
    { service, includesLate, nowMs }: {
      readonly service: ServiceId;
      readonly includesLate: boolean;
      readonly nowMs: number;
    },
  ): number {
    let tokens = 0;
    for (const [digest, entry] of this.#entries) {
      if (nowMs >= entry.atMs + LATE_MS) this.#entries.delete(digest);
      else if (
        entry.atMs <= nowMs + ms && (includesLate || entry.atMs < entry.startByMs) &&
        (entry.service === null || entry.service === service)
      ) {
        tokens += entry.tokens;
      }
    }
    return tokens;
  }
}
