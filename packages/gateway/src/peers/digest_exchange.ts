/**
 * Keeps a small table alike at all gateways. Peers compare digests, and only a gateway whose digest differs requests the
 * table, from one peer at a time.
 *
 * Load pattern: hundreds of gateways that all link with each other at once, after a start or an outage. A table on each
 * of these links costs each gateway bytes in the square of their number.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Clock, Rng, Undo } from "@wisteriapick/core";

/** Options of {@link DigestExchange}. */
export interface DigestExchangeOptions {
  readonly clock: Clock;
  readonly rng: Rng;
  /** Peers that understand the exchange. */
  readonly peers: () => readonly string[];
}

/** Shortest time between two requests for a table. */
const REQUEST_INTERVAL_MS = 500;
/** Interval at which a digest is sent to a random peer, so that what was missed becomes known. */
const DIGEST_INTERVAL_MS = 2_000;
const DIGEST_LENGTH = 16;

/** Decides when to compare digests with a peer and when to request its table. */
export abstract class DigestExchange {
  readonly #options: DigestExchangeOptions;
  #requestedAtMs = -Infinity;
  /** The peer to ask when the next request is due. */
  #pending: string | null = null;
  #stopTimer: Undo = () => {};

  constructor(options: DigestExchangeOptions) {
    this.#options = options;
  }

  /** Starts to compare digests with random peers. */
  start(): Undo {
    const stop = this.#options.clock.setRepeating(DIGEST_INTERVAL_MS, () => this.#compare());
    return () => {
      stop();
      this.#stopTimer();
    };
  }

  /** Sends a digest to a peer that is newly linked. */
  announce(peer: string): void {
    const summary = this.summary();
    if (summary !== null) this.sendDigest(peer, digestOf(summary));
  }

  /** Handles a peer's digest: requests its table if it differs from this one. */
  onDigest(peer: string, digest: string): void {
    if (digest === digestOf(this.summary() ?? "")) return;
    const isScheduled = this.#pending !== null;
    this.#pending = peer;
    if (isScheduled) return;
    const dueInMs = this.#requestedAtMs + REQUEST_INTERVAL_MS - this.#options.clock.now();
    if (dueInMs <= 0) this.#request();
    else this.#stopTimer = this.#options.clock.setTimer(dueInMs, () => this.#request());
  }

  /** A text that is the same for gateways with the same table; `null` if there is nothing to tell. */
  protected abstract summary(): string | null;
  protected abstract sendDigest(peer: string, digest: string): void;
  protected abstract sendRequest(peer: string): void;

  #request(): void {
    const peer = this.#pending;
    this.#pending = null;
    if (peer === null) return;
    this.#requestedAtMs = this.#options.clock.now();
    this.sendRequest(peer);
  }

  #compare(): void {
    const { peers, rng } = this.#options;
    const names = peers();
    const peer = names[Math.floor(rng.next() * names.length)];
    if (peer !== undefined) this.announce(peer);
  }
}

function digestOf(summary: string): string {
  return createHash("sha256").update(summary).digest("hex").slice(0, DIGEST_LENGTH);
}
