/**
 * A process's links over the memory network, opened on demand.
 *
 * @module
 */
import { raise } from "@wisteriapick/core";
import { LinkSource } from "@wisteriapick/daemon";
import type { Identity, Link, LinkAcceptor } from "@wisteriapick/wire";
import type { MemoryNetwork } from "./memory_network.ts";

/** One link for each address, as a pool keeps them. */
export class MemoryLinks extends LinkSource {
  readonly #network: MemoryNetwork;
  readonly #identity: Identity;
  readonly #acceptor: LinkAcceptor;
  readonly #links = new Map<string, Promise<Link>>();
  #closed = false;

  constructor(network: MemoryNetwork, identity: Identity, acceptor: LinkAcceptor) {
    super();
    this.#network = network;
    this.#identity = identity;
    this.#acceptor = acceptor;
  }

  async get(address: string): Promise<Link> {
    if (this.#closed) raise({ type: "link", message: "the process has ended", reason: "closed" });
    const known = this.#links.get(address);
    if (known !== undefined) return await known;
    const made = this.#network.connect(address, this.#identity, this.#acceptor);
    this.#links.set(address, made);
    made.then(
      (link) => link.registerCloseListener(() => this.#links.delete(address)),
      () => this.#links.delete(address),
    );
    return await made;
  }

  /** Opens no further links, as after the death of the process. */
  close(): void {
    this.#closed = true;
  }
}
