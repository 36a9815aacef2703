/**
 * Parsing and formatting of link addresses.
 *
 * @module
 */
import { isIP } from "node:net";
import { raise } from "@wisteriapick/core";

/** Address at which a process listens for links. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;
/** Longest part of an invalid address that an error quotes. */
const MAX_QUOTED = 64;

/**
 * Parses `ip:port`; IPv6 addresses are enclosed in brackets.
 *
 * @throws WpFailure of type `unreachable` if the text is not an address.
 */
export function parseAddress(text: string): Address {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  const port = Number(match?.[3]);
  if (match === null || isIP(match[1] ?? match[2]!) === 0 || port > MAX_PORT) {
    raise({
      type: "unreachable",
      message: `"${text.slice(0, MAX_QUOTED)}" is not an address of the form ip:port`,
    });
  }
  return { host: (match[1] ?? match[2])!, port };
}

/** Formats an address as `ip:port`. */
export function formatAddress({ host, port }: Address): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
