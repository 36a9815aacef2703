/**
 * Keeps one link to each address that is wanted, and reopens it after a loss.
 *
 * @module
 */
import { type Rng, toWpError, type Undo, type WpError, WpFailure } from "@wisteriapick/core";
import type { Address } from "./address.ts";
import { connectLink, type ConnectOptions } from "./connect.ts";
import type { Link } from "./link.ts";

/** Longest wait before the first try after a loss; spreads the reconnections of many processes to one. */
const BACKOFF_BASE_MS = 100;
/** Longest wait between two tries. */
const BACKOFF_MAX_MS = 5_000;
/** A link that stayed open this long counts as good again, so its next loss starts at the base wait. */
const STABLE_MS = 10_000;
const READY_TIMEOUT_MS = 2_000;

/** A change of a pool's link. */
export type PoolEvent =
  | { readonly type: "up"; readonly address: Address; readonly link: Link }
  | { readonly type: "down"; readonly address: Address; readonly err: WpError };

/** Options of {@link LinkPool}. */
export interface PoolOptions extends Omit<ConnectOptions, "address"> {
  readonly rng: Rng;
  readonly backoffBaseMs?: number;
  readonly backoffMaxMs?: number;
}

interface Entry {
  readonly address: Address;
  holders: number;
  link: Link | null;
  failures: number;
  stopTimer: Undo;
}

/**
 * One link per address.
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
  readonly #entries = new Map<string, Entry>();
  readonly #listeners = new Set<(event: PoolEvent) => void>();
  #closed = false;

  constructor(options: PoolOptions) {
    this.#options = options;
  }

  /** Keeps a link to `address` until every holder has undone its call. */
  keep(address: Address): Undo {
    const key = keyOf(address);
    const entry = this.#entries.get(key) ?? this.#add(key, address);
    entry.holders++;
    let held = true;
    return () => {
      if (!held) return;
      held = false;
      entry.holders--;
      if (entry.holders === 0) this.#remove(key, entry);
    };
  }

  /** The open link to `address`, if there is one now. */
  get(address: Address): Link | null {
    return this.#entries.get(keyOf(address))?.link ?? null;
  }

  /**
   * Resolves with the open link to a kept address as soon as there is one.
   *
   * @throws WpFailure of type `timeout` after `timeoutMs`, 2 s by default.
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

  /** Calls `fn` when a link opens, is lost, or cannot be opened. */
  registerListener(fn: (event: PoolEvent) => void): Undo {
    this.#listeners.add(fn);
    return () => this.#listeners.delete(fn);
  }

  /** Closes every link and opens no more. */
  close(): void {
    this.#closed = true;
    for (const [key, entry] of [...this.#entries]) this.#remove(key, entry);
  }

  #add(key: string, address: Address): Entry {
    const entry: Entry = {
      address,
      holders: 0,
      link: null,
      failures: 0,
      stopTimer: () => {},
    };
    this.#entries.set(key, entry);
    this.#connect(entry);
    return entry;
  }

  #remove(key: string, entry: Entry): void {
    this.#entries.delete(key);
    entry.stopTimer();
    entry.link?.close();
  }

  #wanted(entry: Entry): boolean {
    return !this.#closed && this.#entries.get(keyOf(entry.address)) === entry;
  }

  async #connect(entry: Entry): Promise<void> {
    if (!this.#wanted(entry)) return;
    try {
      const link = await connectLink({ ...this.#options, address: entry.address });
      this.#onUp(entry, link);
    } catch (e) {
      this.#onDown(entry, toWpError(e), 0);
    }
  }

  #onUp(entry: Entry, link: Link): void {
    if (!this.#wanted(entry)) return link.close();
    const sinceMs = this.#options.clock.now();
    entry.link = link;
    link.registerCloseListener((err) => {
      entry.link = null;
      this.#onDown(entry, err, this.#options.clock.now() - sinceMs);
    });
    if (link.open) this.#emit({ type: "up", address: entry.address, link });
  }

  #onDown(entry: Entry, err: WpError, openMs: number): void {
    if (openMs >= STABLE_MS) entry.failures = 0;
    if (this.#wanted(entry)) this.#retry(entry);
    this.#emit({ type: "down", address: entry.address, err });
  }

  /** Full jitter: a uniform wait up to a bound that doubles with each failure. */
  #retry(entry: Entry): void {
    const { backoffBaseMs = BACKOFF_BASE_MS, backoffMaxMs = BACKOFF_MAX_MS, rng, clock } =
      this.#options;
    const bound = Math.min(backoffMaxMs, backoffBaseMs * 2 ** entry.failures);
    entry.failures++;
    entry.stopTimer = clock.setTimer(rng.next() * bound, () => void this.#connect(entry));
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
