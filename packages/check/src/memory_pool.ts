/**
 * A link pool over the memory network: one link per address, reopened after a loss.
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

const RETRY_MS = 100;
const READY_TIMEOUT_MS = 2_000;

interface Kept {
  readonly address: Address;
  holders: number;
  link: Link | null;
}

/** What a pool is made of. */
export interface MemoryPoolOptions {
  readonly network: MemoryNetwork;
  readonly identity: Identity;
  readonly acceptor: LinkAcceptor;
  readonly clock: Clock;
  readonly rng: Rng;
  /** Wraps each link that opens. */
  readonly wrapLink?: (link: Link) => Link;
}

/** See the module comment. */
export class MemoryPool extends LinkPool {
  readonly #o: MemoryPoolOptions;
  readonly #kept = new Map<string, Kept>();
  readonly #listeners = new Set<(event: PoolEvent) => void>();
  #closed = false;

  constructor(options: MemoryPoolOptions) {
    const { identity, acceptor, clock, rng } = options;
    super({ identity, acceptor, clock, rng, clusterKey: "memory" });
    this.#o = options;
  }

  override keep(address: Address): Undo {
    const key = formatAddress(address);
    const kept = this.#kept.get(key) ?? { address, holders: 0, link: null };
    kept.holders++;
    if (!this.#kept.has(key)) {
      this.#kept.set(key, kept);
      void this.#connect(kept);
    }
    let held = true;
    return () => {
      if (!held) return;
      held = false;
      if (--kept.holders > 0) return;
      this.#kept.delete(key);
      kept.link?.close();
    };
  }

  override get(address: Address): Link | null {
    return this.#kept.get(formatAddress(address))?.link ?? null;
  }

  override ready(
    address: Address,
    { timeoutMs = READY_TIMEOUT_MS }: { timeoutMs?: number } = {},
  ): Promise<Link> {
    const link = this.get(address);
    if (link !== null) return Promise.resolve(link);
    const key = formatAddress(address);
    return new Promise((resolve, reject) => {
      const undo = this.registerListener((event) => {
        if (event.type !== "up" || formatAddress(event.address) !== key) return;
        stopTimer();
        undo();
        resolve(event.link);
      });
      const stopTimer = this.#o.clock.setTimer(timeoutMs, () => {
        undo();
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
    for (const kept of this.#kept.values()) kept.link?.close();
    this.#kept.clear();
  }

  #wanted(kept: Kept): boolean {
    return !this.#closed && this.#kept.get(formatAddress(kept.address)) === kept;
  }

  async #connect(kept: Kept): Promise<void> {
    const { network, identity, acceptor, wrapLink } = this.#o;
    while (this.#wanted(kept)) {
      try {
        const link = await network.connect(formatAddress(kept.address), identity, acceptor);
        return this.#onUp(kept, wrapLink?.(link) ?? link);
      } catch (e) {
        this.#emit({ type: "down", address: kept.address, err: toWpError(e) });
        await this.#o.clock.sleep(RETRY_MS * (0.5 + this.#o.rng.next()));
      }
    }
  }

  #onUp(kept: Kept, link: Link): void {
    if (!this.#wanted(kept)) return link.close();
    kept.link = link;
    link.registerCloseListener((err) => {
      kept.link = null;
      this.#emit({ type: "down", address: kept.address, err });
      void this.#connect(kept);
    });
    this.#emit({ type: "up", address: kept.address, link });
  }

  #emit(event: PoolEvent): void {
    for (const fn of [...this.#listeners]) fn(event);
  }
}
