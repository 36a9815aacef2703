/**
 * Exchanges with peers which gateways exist. Peers compare digests, and only a gateway whose digest differs requests a
 * list, of bounded length and from one peer at a time.
 *
 * Load pattern: hundreds of gateways that all link with each other at once, after a start or an outage. A list on each
 * of these links costs each gateway bytes in the square of their number.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Clock, Rng, Undo } from "@wisteriapick/core";
import type { GatewayAddress, Message } from "@wisteriapick/wire";

/** Options of {@link GatewayExchange}. */
export interface GatewayExchangeOptions {
  readonly clock: Clock;
  readonly rng: Rng;
  /** All known gateways, this one included. */
  readonly known: () => readonly GatewayAddress[];
  /** Peers that understand digests. */
  readonly peers: () => readonly string[];
  readonly send: (peer: string, msg: Message) => boolean;
}

/** Shortest time between two requests for a list. */
const REQUEST_INTERVAL_MS = 500;
/** Interval at which a digest is sent to a random peer, so that gateways that joined elsewhere become known. */
const DIGEST_INTERVAL_MS = 2_000;
/** Largest number of gateways in one list; a gateway that needs more learns them from several peers and the store. */
const MAX_LISTED = 64;
const DIGEST_LENGTH = 16;

/** Decides when to request lists of gateways, and answers the requests of peers. */
export class GatewayExchange {
  readonly #options: GatewayExchangeOptions;
  #requestedAtMs = -Infinity;
  /** The peer to ask when the next request is due. */
  #pending: string | null = null;
  #stopTimer: Undo = () => {};

  constructor(options: GatewayExchangeOptions) {
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
    this.#options.send(peer, { kind: "gateways_digest", digest: this.#digest() });
  }

  /** Handles a peer's digest: requests its list if it knows other gateways than this one. */
  onDigest(peer: string, digest: string): void {
    if (digest === this.#digest()) return;
    const isScheduled = this.#pending !== null;
    this.#pending = peer;
    if (isScheduled) return;
    const dueInMs = this.#requestedAtMs + REQUEST_INTERVAL_MS - this.#options.clock.now();
    if (dueInMs <= 0) this.#request();
    else this.#stopTimer = this.#options.clock.setTimer(dueInMs, () => this.#request());
  }

  /** Answers a peer's request. */
  onRequest(peer: string): void {
    const { known, rng, send } = this.#options;
    const all = known();
    // Consecutive gateways from a random position, so that several answers together contain all.
    const start = all.length <= MAX_LISTED ? 0 : Math.floor(rng.next() * all.length);
    const gateways = [...all.slice(start), ...all.slice(0, start)].slice(0, MAX_LISTED);
    send(peer, { kind: "gateways", gateways });
  }

  #request(): void {
    const peer = this.#pending;
    this.#pending = null;
    if (peer === null) return;
    this.#requestedAtMs = this.#options.clock.now();
    this.#options.send(peer, { kind: "gateways_request" });
  }

  #compare(): void {
    const { peers, rng } = this.#options;
    const names = peers();
    const peer = names[Math.floor(rng.next() * names.length)];
    if (peer !== undefined) this.announce(peer);
  }

  /** Digest of the known names. Addresses are left out, as a restarted gateway may be known by two for a while. */
  #digest(): string {
    const names = this.#options.known().map(({ name }) => name).sort();
    return createHash("sha256").update(names.join("\n")).digest("hex").slice(0, DIGEST_LENGTH);
  }
}
