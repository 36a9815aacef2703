/**
 * A link pool over the in-memory network: one link per address, which is reopened after a loss.
 *
 * @module
 */
import { type Clock, raise, type Rng, toWpError, type Undo } from "@wisteriapick/core";
import {
  type Address,
  formatAddress,
  type Identity,
  type Link,
  type LinkAcceptor,
  LinkPool,
  type PoolEvent,
} from "@wisteriapick/wire";
import type { MemoryNetwork } from "./memory_network.ts";

const RETRY_DELAY_MS = 100;
const READY_TIMEOUT_MS = 2_000;

interface PooledLink {
  readonly address: Address;
  holderCount: number;
  link: Link | null;
}

/** Options of {@link MemoryPool}. */
export interface MemoryPoolOptions {
  readonly network: MemoryNetwork;
  readonly identity: Identity;
  readonly acceptor: LinkAcceptor;
  readonly clock: Clock;
  readonly rng: Rng;
  /** Wraps each link that opens. */
  readonly wrapLink?: (link: Link) => Link;
}

/** Keeps a link open to each address that has a holder, and retries after a random delay when connecting fails. */
export class MemoryPool extends LinkPool {
  readonly #o: MemoryPoolOptions;
  readonly #pooled = new Map<string, PooledLink>();
  readonly #listeners = new Set<(event: PoolEvent) => void>();
  #closed = false;

  constructor(options: MemoryPoolOptions) {
    const { identity, acceptor, clock, rng } = options;
    super({ identity, acceptor, clock, rng, clusterKey: "memory" });
    this.#o = options;
  }

  override keep(address: Address): Undo {
    const key = formatAddress(address);
    const pooled = this.#pooled.get(key) ?? { address, holderCount: 0, link: null };
    pooled.holderCount++;
    if (!this.#pooled.has(key)) {
      this.#pooled.set(key, pooled);
      void this.#connect(pooled);
    }
    let isHeld = true;
    return () => {
      if (!isHeld) return;
      isHeld = false;
      if (--pooled.holderCount > 0) return;
      this.#pooled.delete(key);
      pooled.link?.close();
    };
  }

  override get(address: Address): Link | null {
    return this.#pooled.get(formatAddress(address))?.link ?? null;
  }

  override ready(
    address: Address,
    { timeoutMs = READY_TIMEOUT_MS }: { timeoutMs?: number } = {},
  ): Promise<Link> {
    const link = this.get(address);
    if (link !== null) return Promise.resolve(link);
    const key = formatAddress(address);
    return new Promise((resolve, reject) => {
      const stopListening = this.registerListener((event) => {
        if (event.type !== "up" || formatAddress(event.address) !== key) return;
        stopTimer();
        stopListening();
        resolve(event.link);
      });
      const stopTimer = this.#o.clock.setTimer(timeoutMs, () => {
        stopListening();
        try {
          raise({ type: "timeout", message: `no link to ${key}` });
        } catch (e) {
          reject(e);
        }
      });
    });
  }

  override registerListener(fn: (event: PoolEvent) => void): Undo {
    this.#listeners.add(fn);
    return () => void this.#listeners.delete(fn);
  }

  override close(): void {
    this.#closed = true;
    for (const pooled of this.#pooled.values()) pooled.link?.close();
    this.#pooled.clear();
  }

  #isWanted(pooled: PooledLink): boolean {
    return !this.#closed && this.#pooled.get(formatAddress(pooled.address)) === pooled;
  }

  async #connect(pooled: PooledLink): Promise<void> {
    const { network, identity, acceptor, wrapLink } = this.#o;
    while (this.#isWanted(pooled)) {
      try {
        const link = await network.connect(formatAddress(pooled.address), identity, acceptor);
        return this.#onUp(pooled, wrapLink?.(link) ?? link);
      } catch (e) {
        this.#emit({ type: "down", address: pooled.address, err: toWpError(e) });
        await this.#o.clock.sleep(RETRY_DELAY_MS * (0.5 + this.#o.rng.next()));
      }
    }
  }

  #onUp(pooled: PooledLink, link: Link): void {
    if (!this.#isWanted(pooled)) return link.close();
    pooled.link = link;
    link.registerCloseListener((err) => {
      pooled.link = null;
      this.#emit({ type: "down", address: pooled.address, err });
      void this.#connect(pooled);
    });
    this.#emit({ type: "up", address: pooled.address, link });
  }

  #emit(event: PoolEvent): void {
    for (const fn of [...this.#listeners]) fn(event);
  }
}
