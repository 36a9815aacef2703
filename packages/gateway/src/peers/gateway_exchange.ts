/**
 * Exchanges with peers which gateways exist, in lists of bounded length.
 *
 * @module
 */
import type { GatewayAddress, Message } from "@wisteriapick/wire";
import { DigestExchange, type DigestExchangeOptions } from "./digest_exchange.ts";

/** Options of {@link GatewayExchange}. */
export interface GatewayExchangeOptions extends DigestExchangeOptions {
  /** All known gateways, this one included. */
  readonly known: () => readonly GatewayAddress[];
  readonly send: (peer: string, msg: Message) => boolean;
}

/** Largest number of gateways in one list; a gateway that needs more learns them from several peers and the store. */
const MAX_LISTED = 64;

/** Decides when to request lists of gateways, and answers the requests of peers. */
export class GatewayExchange extends DigestExchange {
  readonly #options: GatewayExchangeOptions;

  constructor(options: GatewayExchangeOptions) {
    super(options);
    this.#options = options;
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

  /** The known names. Addresses are left out, as a restarted gateway may be known by two for a while. */
  protected override summary(): string {
    return this.#options.known().map(({ name }) => name).sort().join("\n");
  }

  protected override sendDigest(peer: string, digest: string): void {
    this.#options.send(peer, { kind: "gateways_digest", digest });
  }

  protected override sendRequest(peer: string): void {
    this.#options.send(peer, { kind: "gateways_request" });
  }
}
