/**
 * Decides whether a starting process may serve although the store is down. It needs responses of at least three
 * serving peers, one of them a watcher, and its own revision must not be lower than any of theirs.
 *
 * @module
 */
import type { Clock, Revision } from "@wisteriapick/core";
import type { ConfigPush } from "@wisteriapick/wire";

/** Serving peers that must have responded. */
export const MIN_SERVING_PEERS = 3;
/** Responses older than this do not count. */
const MAX_RESPONSE_AGE_MS = 30_000;

interface PeerResponse {
  readonly atMs: number;
  readonly revision: Revision;
  readonly watcher: boolean;
  readonly storeUp: boolean;
}

/** Collects the responses of serving peers. */
export class StartupRule {
  readonly #clock: Clock;
  readonly #responses = new Map<string, PeerResponse>();
  readonly #queriedPeers = new Set<string>();
  #peerCount = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Sets the number of peers that can be queried. */
  setPeerCount(count: number): void {
    this.#peerCount = count;
  }

  /** Records a push of a peer; only one of a serving peer counts as a response. */
  record(peer: string, push: ConfigPush): void {
    this.#queriedPeers.add(peer);
    if (push.ready !== true) return;
    this.#responses.set(peer, {
      atMs: this.#clock.now(),
      revision: push.revision,
      watcher: push.watcher === true,
      storeUp: push.storeUp,
    });
  }

  /** Whether a process at revision `own` may serve without a proof of freshness. */
  isSatisfied(ownRevision: Revision): boolean {
    const oldestMs = this.#clock.now() - MAX_RESPONSE_AGE_MS;
    const recent = [...this.#responses.values()].filter((a) => a.atMs >= oldestMs);
    // A watcher must report that the store is down, as peers that are cut off from all watchers cannot know it.
    if (!recent.some((a) => a.watcher && !a.storeUp)) return false;
    if (recent.some((a) => a.storeUp)) return false;
    if (recent.length < MIN_SERVING_PEERS) return false;
    const enoughQueried =
      this.#queriedPeers.size >= Math.min(this.#peerCount, 2 * MIN_SERVING_PEERS);
    return enoughQueried && ownRevision > 0 && recent.every((a) => ownRevision >= a.revision);
  }
}
