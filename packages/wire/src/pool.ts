/**
 * A pool that holds one link open to each address in use, and reconnects after a loss.
 *
 * @module
 */
import { type Rng, toWpError, type Undo, type WpError, WpFailure } from "@wisteriapick/core";
import type { Address } from "./address.ts";
import { connectLink, type ConnectOptions } from "./connect.ts";
import type { Link } from "./link.ts";

/** Maximum delay of the first attempt after a loss; spreads out the reconnections of many processes to one. */
const BACKOFF_BASE_MS = 100;
/** Maximum delay between two attempts. */
const BACKOFF_MAX_MS = 5_000;
/** A link that was open for this long is considered stable, so that its next loss starts at the base delay. */
const STABLE_AFTER_MS = 10_000;
const READY_TIMEOUT_MS = 2_000;

/** A link of a pool has opened, or has been lost or could not be opened. */
export type PoolEvent =
  | { readonly type: "up"; readonly address: Address; readonly link: Link }
  | { readonly type: "down"; readonly address: Address; readonly err: WpError };

/** Options of {@link LinkPool}. */
export interface PoolOptions extends Omit<ConnectOptions, "address"> {
  readonly rng: Rng;
  readonly backoffBaseMs?: number;
  readonly backoffMaxMs?: number;
}

interface PooledLink {
  readonly address: Address;
  holders: number;
  link: Link | null;
  failures: number;
  stopTimer: Undo;
}

/**
 * Holds one link per address.
 *
 * @example
 * ```ts
 * const pool = new LinkPool({ identity, clusterKey, acceptor, clock, rng });
 * const release = pool.keep({ host: "127.0.0.1", port: 7400 });
 * const link = await pool.ready({ host: "127.0.0.1", port: 7400 });
 * release();
 * ```
 */
export class LinkPool {
  readonly #options: PoolOptions;
  readonly #pooledLinks = new Map<string, PooledLink>();
  readonly #listeners = new Set<(event: PoolEvent) => void>();
  #closed = false;

  constructor(options: PoolOptions) {
    this.#options = options;
  }

  /** Holds a link to `address` open, reconnecting as needed, until every caller has undone its call. */
  keep(address: Address): Undo {
    const key = keyOf(address);
    const pooled = this.#pooledLinks.get(key) ?? this.#add(key, address);
    pooled.holders++;
    let isHeld = true;
    return () => {
      if (!isHeld) return;
      isHeld = false;
      pooled.holders--;
      if (pooled.holders === 0) this.#remove(key, pooled);
    };
  }

  /** Number of addresses to which a link is open or being opened. */
  get size(): number {
    return this.#pooledLinks.size;
  }

  /** The link to `address` if it is open at present, otherwise `null`. */
  get(address: Address): Link | null {
    return this.#pooledLinks.get(keyOf(address))?.link ?? null;
  }

  /**
   * Resolves with the link to an address held by `keep` as soon as it is open.
   *
   * @throws WpFailure of type `timeout` after `timeoutMs` (2 s by default).
   */
  ready(
    address: Address,
    { timeoutMs = READY_TIMEOUT_MS }: { timeoutMs?: number } = {},
  ): Promise<Link> {
    const link = this.get(address);
    if (link !== null) return Promise.resolve(link);
    return new Promise((resolve, reject) => {
      const undo = this.registerListener((event) => {
        if (event.type !== "up" || keyOf(event.address) !== keyOf(address)) return;
        stopTimer();
        undo();
        resolve(event.link);
      });
      const stopTimer = this.#options.clock.setTimer(timeoutMs, () => {
        undo();
        const message = `no link to ${keyOf(address)} within ${timeoutMs} ms`;
        reject(new WpFailure({ type: "timeout", message }));
      });
    });
  }

  /** Calls `fn` whenever a link opens, is lost, or cannot be opened. */
  registerListener(fn: (event: PoolEvent) => void): Undo {
    this.#listeners.add(fn);
    return () => this.#listeners.delete(fn);
  }

  /** Closes every link and opens no more. */
  close(): void {
    this.#closed = true;
    for (const [key, pooled] of [...this.#pooledLinks]) this.#remove(key, pooled);
  }

  #add(key: string, address: Address): PooledLink {
    const pooled: PooledLink = {
      address,
      holders: 0,
      link: null,
      failures: 0,
      stopTimer: () => {},
    };
    this.#pooledLinks.set(key, pooled);
    this.#connect(pooled);
    return pooled;
  }

  #remove(key: string, pooled: PooledLink): void {
    this.#pooledLinks.delete(key);
    pooled.stopTimer();
    pooled.link?.close();
  }

  #isHeld(pooled: PooledLink): boolean {
    return !this.#closed && this.#pooledLinks.get(keyOf(pooled.address)) === pooled;
  }

  async #connect(pooled: PooledLink): Promise<void> {
    if (!this.#isHeld(pooled)) return;
    try {
      const link = await connectLink({ ...this.#options, address: pooled.address });
      this.#onUp(pooled, link);
    } catch (e) {
      this.#onDown(pooled, toWpError(e), 0);
    }
  }

  #onUp(pooled: PooledLink, link: Link): void {
    if (!this.#isHeld(pooled)) return link.close();
    const openedAtMs = this.#options.clock.now();
    pooled.link = link;
    link.registerCloseListener((err) => {
      pooled.link = null;
      this.#onDown(pooled, err, this.#options.clock.now() - openedAtMs);
    });
    if (link.open) this.#emit({ type: "up", address: pooled.address, link });
  }

  #onDown(pooled: PooledLink, err: WpError, openMs: number): void {
    if (openMs >= STABLE_AFTER_MS) pooled.failures = 0;
    if (this.#isHeld(pooled)) this.#scheduleReconnect(pooled);
    this.#emit({ type: "down", address: pooled.address, err });
  }

  /** Reconnects with full jitter: a uniformly random delay, up to a maximum that doubles with each failure. */
  #scheduleReconnect(pooled: PooledLink): void {
    const { backoffBaseMs = BACKOFF_BASE_MS, backoffMaxMs = BACKOFF_MAX_MS, rng, clock } =
      this.#options;
    const maxDelayMs = Math.min(backoffMaxMs, backoffBaseMs * 2 ** pooled.failures);
    pooled.failures++;
    pooled.stopTimer = clock.setTimer(rng.next() * maxDelayMs, () => void this.#connect(pooled));
  }

  #emit(event: PoolEvent): void {
    for (const fn of [...this.#listeners]) {
      try {
        fn(event);
      } catch (e) {
        this.#options.log?.error({ err: toWpError(e) }, "pool listener failed");
      }
    }
  }
}

function keyOf({ host, port }: Address): string {
  return `${host}:${port}`;
}
