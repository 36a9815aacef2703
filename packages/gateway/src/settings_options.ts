/**
 * Translates the settings of a gateway into the options of its parts.
 *
 * @module
 */
import type {
  ColdLimiterOptions,
  HostPressureOptions,
  RetryBudgetLimits,
} from "@wisteriapick/policy";
import type { Address } from "@wisteriapick/wire";
import type { EngineRoomOptions } from "./relay/engine_room.ts";
import type { GatewaySettings } from "./settings.ts";
import type { KeyRevocation } from "./state/key_lease.ts";

/** Limits of a deployment without a retry budget. */
const UNLIMITED_RETRIES = { ratio: 0, extra: Infinity };
/** Limits of a deployment that bounds no requests to cold endpoints. */
const UNLIMITED_COLD_REQUESTS: ColdLimiterOptions = { rateFactor: 1, slack: Infinity };

/** Bits that a link of one megabit per second carries in a millisecond, in bytes. */
const BYTES_PER_MS_OF_MBPS = 125;
const BYTES_PER_MIB = 1_048_576;

/** Options of the forecast of room at engines; what the settings leave out has its default. */
export function roomOptions(
  { engine_room: room }: GatewaySettings,
): Partial<EngineRoomOptions> {
  if (room === undefined) return {};
  return {
    allowsLateStarts: room.late_starts,
    refusesEarly: room.early_refusals,
    reservesForDepartures: room.reserve,
    sharesFairly: room.fair_shares,
  };
}

/** Address under which other gateways reach this one. */
export function peersAddress({ listen }: GatewaySettings): Address {
  return listen.peers_advertised ?? listen.peers;
}

/** Limits of the retry budget of each service. */
export function retryOptions(
  { retry_ratio: ratio, retry_window_ms: windowMs, retry_extra: extra }: GatewaySettings["bounds"],
): RetryBudgetLimits {
  // A bound that is left out beside the other allows nothing of its own.
  const isLimited = ratio !== undefined || extra !== undefined;
  return isLimited
    ? { ratio: ratio ?? 0, windowMs, extra: extra ?? 0 }
    : { ...UNLIMITED_RETRIES, windowMs };
}

/** Limits of the host beyond its processor. */
export function pressureOptions(
  { memory_mb: memoryMb, link_mbps: linkMbps, bounds }: GatewaySettings,
): HostPressureOptions {
  return {
    memoryBytes: memoryMb === undefined ? null : memoryMb * BYTES_PER_MIB,
    memoryFraction: bounds.shed_memory_fraction ?? null,
    linkBytesPerMs: linkMbps === undefined ? null : linkMbps * BYTES_PER_MS_OF_MBPS,
    linkFraction: bounds.shed_link_fraction ?? null,
  };
}

/** How keys that were taken away are enforced. */
export function revocationOptions(bounds: GatewaySettings["bounds"]): KeyRevocation {
  return { isEnforced: bounds.enforce_revocation, revokeMs: bounds.revoke_ms };
}

/** Limits of requests to cold endpoints. */
export function coldOptions(
  { cold_rate_factor: rateFactor, cold_slack: slack }: GatewaySettings["bounds"],
): ColdLimiterOptions {
  const isLimited = rateFactor !== undefined || slack !== undefined;
  return isLimited ? { rateFactor: rateFactor ?? 1, slack: slack ?? 0 } : UNLIMITED_COLD_REQUESTS;
}
