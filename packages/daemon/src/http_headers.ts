/**
 * Headers that are passed on between callers and plain services.
 *
 * @module
 */

/** Header fields as name and value, repeated names in order. */
export type HeaderList = readonly (readonly [string, string])[];

const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** The caller's key, and what is only meant for this system or set anew for the next connection. */
const NOT_FORWARDED = new Set(["authorization", "host", "expect", "x-deadline-ms"]);

/** Pairs from the flat list that `node:http` and `undici` give. */
export function parseRawHeaders(raw: readonly string[]): HeaderList {
  const pairs: [string, string][] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) pairs.push([raw[i]!, raw[i + 1]!]);
  return pairs;
}

/** Drops hop-by-hop fields, including those that `Connection` names. */
export function endToEndHeaders(headers: HeaderList): HeaderList {
  const named = new Set<string>();
  for (const [name, value] of headers) {
    if (name.toLowerCase() !== "connection") continue;
    for (const token of value.split(",")) named.add(token.trim().toLowerCase());
  }
  return headers.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_BY_HOP.has(lower) && !named.has(lower);
  });
}

/**
 * The fields of a caller's request that a plain service receives.
 *
 * @example
 * ```ts
 * const headers = forwardedHeaders(pairHeaders(req.rawHeaders));
 * ```
 */
export function forwardedHeaders(headers: HeaderList): HeaderList {
  return endToEndHeaders(headers).filter(([name]) => !NOT_FORWARDED.has(name.toLowerCase()));
}

/** A record for `writeHead`, with the values of repeated names in one list. */
export function toHeaderRecord(headers: HeaderList): Record<string, string | string[]> {
  const out: Record<string, string | string[]> = {};
  for (const [name, value] of headers) {
    const key = name.toLowerCase();
    const old = out[key];
    out[key] = old === undefined ? value : [...(Array.isArray(old) ? old : [old]), value];
  }
  return out;
}
