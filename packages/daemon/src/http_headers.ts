/**
 * Headers that are forwarded between callers and plain services.
 *
 * @module
 */

/** Header fields as pairs of name and value; repeated names keep their order. */
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

/** The caller's key, fields that are meant for this system only, and those that each connection sets itself. */
const NOT_FORWARDED = new Set(["authorization", "host", "expect", "x-deadline-ms"]);

/** Pairs up the flat list of names and values that `node:http` and `undici` provide. */
export function parseRawHeaders(raw: readonly string[]): HeaderList {
  const pairs: [string, string][] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) pairs.push([raw[i]!, raw[i + 1]!]);
  return pairs;
}

/** Drops hop-by-hop fields, including those that `Connection` lists. */
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

/** Converts to a record for `writeHead`, with the values of repeated names in one list. */
export function toHeaderRecord(headers: HeaderList): Record<string, string | string[]> {
  const out: Record<string, string | string[]> = {};
  for (const [name, value] of headers) {
    const key = name.toLowerCase();
    const old = out[key];
    out[key] = old === undefined ? value : [...(Array.isArray(old) ? old : [old]), value];
  }
  return out;
}
