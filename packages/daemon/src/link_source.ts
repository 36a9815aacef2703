/**
 * Where a process gets its links from.
 *
 * @module
 */
import { raise, type Undo } from "@wisteriapick/core";
import type { Address, Link, LinkPool } from "@wisteriapick/wire";

/** Gives an open link to an `ip:port`, connecting where needed. Fails with `link` or `timeout`. */
export abstract class LinkSource {
  abstract get(address: string): Promise<Link>;
}

/** Parses `ip:port`; IPv6 addresses stand in brackets. */
export function parseAddress(text: string): Address {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (match === null) raise({ type: "unreachable", message: `${text} is not an address` });
  return { host: (match[1] ?? match[2])!, port: Number(match[3]) };
}

/** Formats an address as `ip:port`. */
export function formatAddress({ host, port }: Address): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}

/** How long a request waits for a link; a side that cannot be reached in this time is passed over. */
const CONNECT_TIMEOUT_MS = 500;

/** Links from a pool, one for each address that was ever asked for. */
export class PooledLinks extends LinkSource {
  readonly #pool: LinkPool;
  readonly #timeoutMs: number;
  readonly #kept = new Map<string, Undo>();

  constructor(pool: LinkPool, { timeoutMs = CONNECT_TIMEOUT_MS }: { timeoutMs?: number } = {}) {
    super();
    this.#pool = pool;
    this.#timeoutMs = timeoutMs;
  }

  async get(address: string): Promise<Link> {
    const parsed = parseAddress(address);
    if (!this.#kept.has(address)) this.#kept.set(address, this.#pool.keep(parsed));
    return await this.#pool.ready(parsed, { timeoutMs: this.#timeoutMs });
  }

  /** Gives up the link to an address that is no longer listed. */
  forget(address: string): void {
    this.#kept.get(address)?.();
    this.#kept.delete(address);
  }
}
