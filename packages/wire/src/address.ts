/**
 * Addresses of links.
 *
 * @module
 */
import { raise } from "@wisteriapick/core";

/** Where a process listens for links. */
export interface Address {
  readonly host: string;
  readonly port: number;
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
