/**
 * Provides a process with links to others.
 *
 * @module
 */
import { type Clock, SystemClock, type Undo } from "@wisteriapick/core";
import { type Link, type LinkPool, parseAddress } from "@wisteriapick/wire";

/** Returns an open link to an `ip:port`, connecting where needed. Fails with `link` or `timeout`. */
export abstract class LinkSource {
  abstract get(address: string): Promise<Link>;
  /** Marks an address as no longer listed. It may still be requested again. */
  forget(_address: string): void {}
}

/** How long a request waits for a link; a side that cannot be reached within this time is skipped. */
const CONNECT_TIMEOUT_MS = 500;

/** Time for which a link to an unlisted address is kept open; longer than any response takes. */
const UNLISTED_LINK_TTL_MS = 900_000;

/** Links from a pool, one for each address that has been requested. */
export class PooledLinks extends LinkSource {
  readonly #pool: LinkPool;
  readonly #timeoutMs: number;
  readonly #heldLinks = new Map<string, Undo>();
  /** Time at which the link to each unlisted address is released. */
  readonly #releaseDueMs = new Map<string, number>();
  readonly #clock: Clock;

  constructor(
    pool: LinkPool,
    { timeoutMs = CONNECT_TIMEOUT_MS, clock = new SystemClock() }: {
      timeoutMs?: number;
      clock?: Clock;
    } = {},
  ) {
    super();
    this.#pool = pool;
    this.#timeoutMs = timeoutMs;
    this.#clock = clock;
  }

  async get(address: string): Promise<Link> {
    const parsed = parseAddress(address);
    this.#releaseDueMs.delete(address);
    this.#releaseDueLinks();
    if (!this.#heldLinks.has(address)) this.#heldLinks.set(address, this.#pool.keep(parsed));
    return await this.#pool.ready(parsed, { timeoutMs: this.#timeoutMs });
  }

  /** Releases the link later, as a host that is no longer listed may still be finishing its work. */
  override forget(address: string): void {
    this.#releaseDueLinks();
    if (!this.#heldLinks.has(address) || this.#releaseDueMs.has(address)) return;
    this.#releaseDueMs.set(address, this.#clock.now() + UNLISTED_LINK_TTL_MS);
  }

  // Checked when a link is requested, as a timer would keep a process that has finished from exiting.
  #releaseDueLinks(): void {
    const now = this.#clock.now();
    for (const [address, dueMs] of this.#releaseDueMs) {
      if (dueMs > now) continue;
      this.#releaseDueMs.delete(address);
      this.#heldLinks.get(address)?.();
      this.#heldLinks.delete(address);
    }
  }
}
