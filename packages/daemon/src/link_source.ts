/**
 * Where a process gets its links from.
 *
 * @module
 */
import type { Link } from "@wisteriapick/wire";

/** Gives an open link to an address, connecting where needed. Fails with a `link` error. */
export abstract class LinkSource {
  abstract get(address: string): Promise<Link>;
}
