/**
 * Orders configurations by their versions, which hold whatever the store's era or revision.
 *
 * @module
 */
import type { GatewayConfig } from "./types.ts";

/** The configuration with the greatest version; `null` if there is none. */
export function newestConfig(configs: Iterable<GatewayConfig>): GatewayConfig | null {
  let newest: GatewayConfig | null = null;
  for (const config of configs) {
    if (newest === null || isEarlierVersion(newest, config)) newest = config;
  }
  return newest;
}

/**
 * Whether a configuration is of an earlier version than another one.
 *
 * @example
 * ```ts
 * isEarlierVersion({ version: 5 }, { version: 7 }); // true
 * ```
 */
export function isEarlierVersion(
  a: Pick<GatewayConfig, "version">,
  b: Pick<GatewayConfig, "version">,
): boolean {
  return a.version < b.version;
}
