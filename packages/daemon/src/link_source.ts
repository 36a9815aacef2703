/**
 * Where a process gets its links from.
 *
 * @module
 */
import { type Clock, SystemClock, type Undo } from "@wisteriapick/core";
import { type Link, type LinkPool, parseAddress } from "@wisteriapick/wire";

/** Gives an open link to an `ip:port`, connecting where needed. Fails with `link` or `timeout`. */
export abstract class LinkSource {
  abstract get(address: string): Promise<Link>;
  /** Says that an address is no longer listed. Asking for it again is allowed. */
  forget(_address: string): void {}
}

/** How long a request waits for a link; a side that cannot be reached in this time is passed over. */
const CONNECT_TIMEOUT_MS = 500;

/** Time for which a link to an unlisted address is kept; longer than any answer takes. */
const FORGET_AFTER_MS = 900_000;

/** Links from a pool, one for each address that was ever asked for. */
export class PooledLinks extends LinkSource {
  readonly #pool: LinkPool;
  readonly #timeoutMs: number;
  readonly #kept = new Map<string, Undo>();
  /** Addresses to give up, with the time at which that is due. */
  readonly #forgotten = new Map<string, number>();
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
    this.#forgotten.delete(address);
    this.#giveUpDue();
    if (!this.#kept.has(address)) this.#kept.set(address, this.#pool.keep(parsed));
    return await this.#pool.ready(parsed, { timeoutMs: this.#timeoutMs });
  }

  /** Gives the link up later: a host that is no longer listed may still be finishing its work. */
  override forget(address: string): void {
    this.#giveUpDue();
    if (!this.#kept.has(address) || this.#forgotten.has(address)) return;
    this.#forgotten.set(address, this.#clock.now() + FORGET_AFTER_MS);
  }

  // Checked when links are asked for: a timer would keep a process that is done from ending.
  #giveUpDue(): void {
    const now = this.#clock.now();
    for (const [address, dueMs] of this.#forgotten) {
      if (dueMs > now) continue;
      this.#forgotten.delete(address);
      this.#kept.get(address)?.();
      this.#kept.delete(address);
    }
  }
}
