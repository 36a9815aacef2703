/**
 * When a starting process may serve although the store is down: it has the highest revision among the watchers
 * it could reach and at least three peers that serve.
 *
 * @module
 */
import type { Clock, Revision } from "@wisteriapick/core";
import type { ConfigPush } from "@wisteriapick/wire";

/** Peers that must have answered. */
export const MIN_SERVING_PEERS = 3;
/** Answers older than this do not count. */
const ANSWER_MS = 30_000;

interface Answer {
  readonly atMs: number;
  readonly revision: Revision;
  readonly watcher: boolean;
  readonly storeUp: boolean;
}

/** Collects answers of serving peers. */
export class StartupRule {
  readonly #clock: Clock;
  readonly #answers = new Map<string, Answer>();
  readonly #asked = new Set<string>();
  #known = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Sets how many peers there are to ask. */
  setPeerCount(count: number): void {
    this.#known = count;
  }

  /** Records what a peer said. */
  record(peer: string, push: ConfigPush): void {
    this.#asked.add(peer);
    if (push.ready !== true) return;
    this.#answers.set(peer, {
      atMs: this.#clock.now(),
      revision: push.revision,
      watcher: push.watcher === true,
      storeUp: push.storeUp,
    });
  }

  /** Whether a process at revision `own` may serve without a proof of freshness. */
  isSatisfied(own: Revision): boolean {
    const since = this.#clock.now() - ANSWER_MS;
    const recent = [...this.#answers.values()].filter((a) => a.atMs >= since);
    // A watcher must have said that the store is down; peers cut off from all watchers cannot know it.
    if (!recent.some((a) => a.watcher && !a.storeUp)) return false;
    if (recent.some((a) => a.storeUp)) return false;
    if (recent.length < MIN_SERVING_PEERS) return false;
    const allAsked = this.#asked.size >= Math.min(this.#known, 2 * MIN_SERVING_PEERS);
    return allAsked && own > 0 && recent.every((a) => own >= a.revision);
  }
}
