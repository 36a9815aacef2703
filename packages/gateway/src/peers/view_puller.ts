/**
 * Requests views from one peer at a time, with back-off, for a gateway that cannot read the store.
 *
 * Load pattern: all gateways at once without a current view. If each asked all others, the answers would fill the links
 * that are to carry the view.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";
import type { ViewRevision } from "@wisteriapick/wire";
import type { PeerGroup } from "./peer_group.ts";

/** Options of {@link ViewPuller}. */
export interface ViewPullerOptions {
  readonly network: PeerGroup;
  readonly clock: Clock;
  /** Peers to ask, in order. */
  readonly sources: () => readonly string[];
  /** Revisions of this gateway's views. */
  readonly revisions: () => readonly ViewRevision[];
}

/** Shortest and longest pause between two requests. */
const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 1_600;
/** Time after which a request without an answer is given up and another peer is asked. */
const ANSWER_TIMEOUT_MS = 1_500;

/** Asks peers in turn. */
export class ViewPuller {
  readonly #options: ViewPullerOptions;
  #source: string | null = null;
  #requestedAtMs = -Infinity;
  #pauseMs = MIN_PAUSE_MS;
  #nextSource = 0;

  constructor(options: ViewPullerOptions) {
    this.#options = options;
  }

  /** Asks the next peer if a request is due. Called each tick while this gateway has no current view. */
  tick(): void {
    const { clock, network, sources, revisions } = this.#options;
    const elapsedMs = clock.now() - this.#requestedAtMs;
    if (elapsedMs < (this.#source === null ? this.#pauseMs : ANSWER_TIMEOUT_MS)) return;
    const peers = sources();
    if (peers.length === 0) return;
    const peer = peers[this.#nextSource++ % peers.length]!;
    if (!network.send(peer, { kind: "view_request", revisions: revisions() })) return;
    this.#source = peer;
    this.#requestedAtMs = clock.now();
  }

  /** Records an answer, and whether it was newer than this gateway's view. Asks less often while none is. */
  recordAnswer(peer: string, isNewer: boolean): void {
    if (peer !== this.#source) return;
    this.#source = null;
    this.#pauseMs = isNewer ? MIN_PAUSE_MS : Math.min(MAX_PAUSE_MS, 2 * this.#pauseMs);
  }

  /** Asks as often as at first when this gateway next needs it. */
  reset(): void {
    this.#source = null;
    this.#pauseMs = MIN_PAUSE_MS;
  }
}
