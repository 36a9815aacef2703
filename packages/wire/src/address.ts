/**
 * Parsing and formatting of link addresses.
 *
 * @module
 */
import { BlockList, isIPv4, isIPv6 } from "node:net";
import { raise } from "@wisteriapick/core";

/** Address at which a process listens for links. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;
/** Longest part of an invalid address that an error quotes. */
const MAX_QUOTED = 64;

/** Addresses at which no other host can be reached, also in their form as IPv4-mapped IPv6 addresses. */
const NO_DESTINATION = new BlockList();
// Unspecified. A connection to one leads to the connecting host itself.
NO_DESTINATION.addSubnet("0.0.0.0", 8, "ipv4");
NO_DESTINATION.addAddress("::", "ipv6");
// Multicast and broadcast. TCP has neither.
NO_DESTINATION.addSubnet("224.0.0.0", 4, "ipv4");
NO_DESTINATION.addAddress("255.255.255.255", "ipv4");
NO_DESTINATION.addSubnet("ff00::", 8, "ipv6");
// Link-local. It names a host only together with a zone id, which differs from host to host.
NO_DESTINATION.addSubnet("fe80::", 10, "ipv6");

/**
 * Parses `ip:port`; IPv6 addresses are enclosed in brackets. The result can be used in a URL, and to connect or listen.
 * An IPv6 address with a zone id is refused, as URLs have none and it means something on one host only.
 *
 * @example
 * ```ts
 * parseAddress("[fd00::7]:7300"); // { host: "fd00::7", port: 7300 }
 * ```
 *
 * @throws WpFailure of type `unreachable` if the text is not an address.
 */
export function parseAddress(text: string): Address {
  const match = /^(?:\[([^\]%]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (match === null) refuse(text);
  const [, v6, v4] = match;
  const port = Number(match[3]);
  const isIP = v6 === undefined ? isIPv4(v4!) : isIPv6(v6);
  if (!isIP || port > MAX_PORT) refuse(text);
  return { host: v6 ?? v4!, port };
}

/**
 * Parses the address of another process, as {@link parseAddress} does. It has a port other than 0 and is neither
 * unspecified, multicast, broadcast nor link-local IPv6. That something can be reached there is not known.
 *
 * @example
 * ```ts
 * parseRemoteAddress("10.0.0.1:7300"); // { host: "10.0.0.1", port: 7300 }
 * parseRemoteAddress("0.0.0.0:7300"); // raises
 * ```
 *
 * @throws WpFailure of type `unreachable` if the text is not such an address.
 */
export function parseRemoteAddress(text: string): Address {
  const address = parseAddress(text);
  const { host, port } = address;
  if (port === 0 || NO_DESTINATION.check(host, isIPv6(host) ? "ipv6" : "ipv4")) {
    const quoted = text.slice(0, MAX_QUOTED);
    raise({ type: "unreachable", message: `"${quoted}" is not an address of another process` });
  }
  return address;
}

function refuse(text: string): never {
  raise({
    type: "unreachable",
    message: `"${text.slice(0, MAX_QUOTED)}" is not an address of the form ip:port`,
  });
}

/** Formats an address as `ip:port`. */
export function formatAddress({ host, port }: Address): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
