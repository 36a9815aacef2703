/**
 * The settings of a gateway process.
 *
 * @module
 */
import {
  type DataCentreId,
  dataCentreId,
  idField,
  loadSettings,
  type RegionId,
  regionId,
} from "@wisteriapick/core";
import { z } from "zod";
import { type Address, parseAddress } from "@wisteriapick/wire";
import type { EndpointSpeedSettings } from "./relay/endpoint_speed_table.ts";

/** Parses `host:port` into an address. */
const address = z.string().transform((s, ctx): Address => {
  try {
    return parseAddress(s);
  } catch {
    ctx.addIssue({ code: "custom", message: "expected ip:port" });
    return z.NEVER;
  }
});

const dataCentre = idField(dataCentreId, "a data centre id");
const milliseconds = z.number().nonnegative();

const DEFAULT_REVOKE_MS = 5_000;
const DEFAULT_RETRY_WINDOW_MS = 10_000;
/** Shortest window of retry budgets, in milliseconds. */
const MIN_RETRY_WINDOW_MS = 1;
const DEFAULT_GRACE_MS = 8_000;
const DEFAULT_DRAIN_MS = 2_000;
/** Share of a service's requests that a new version may get while it is judged. */
const DEFAULT_EXPOSE_SHARE = 0.1;
const DEFAULT_EXPOSE_EXTRA = 50;

/** Time after which what was measured of an endpoint's speed counts half. */
const DEFAULT_SPEED_HALF_LIFE_MS = 5_000;
/** Factor on the speed from which on an endpoint counts as different from its siblings. */
const DEFAULT_SPEED_DIFFERENCE = 1.35;
const DEFAULT_SPEED_REPORT_MS = 400;
/** Shortest interval between reports, which bounds what they cost a weak host. */
const MIN_SPEED_REPORT_MS = 50;

const endpointSpeed = z.object({
  enabled: z.boolean().default(true),
  half_life_ms: z.number().positive().default(DEFAULT_SPEED_HALF_LIFE_MS),
  difference_factor: z.number().gt(1).default(DEFAULT_SPEED_DIFFERENCE),
  /** Interval at which gateways report to each other. */
  report_ms: z.number().min(MIN_SPEED_REPORT_MS).default(DEFAULT_SPEED_REPORT_MS),
});

/** Duties that a gateway can perform for all. */
const DUTIES = ["usage_report", "autoscale"] as const;
const DEFAULT_LEASE_MS = 3_000;
const DEFAULT_REPORT_WINDOW_S = 5;
const DEFAULT_USAGE_LATE_S = 10;
/** Calls a second that the platform accepts from all gateways together. */
const DEFAULT_CALLS_PER_SECOND = 50;

const duties = z.object({
  /** Address of the platform's service that receives the calls. Without it, no duty is performed. */
  address: address.optional(),
  /** Duties to perform. Names that this build does not know are ignored. */
  names: z.array(z.string()).default([...DUTIES]),
  calls_per_second: z.number().positive().default(DEFAULT_CALLS_PER_SECOND),
  /** Time for which the holder of a duty may make calls after it began to write that it holds it. */
  lease_ms: z.number().positive().default(DEFAULT_LEASE_MS),
  /** Length of the windows in which usage is counted. */
  report_window_s: z.number().positive().default(DEFAULT_REPORT_WINDOW_S),
  /** Time after the end of a window at which its report is due. */
  usage_late_s: z.number().positive().default(DEFAULT_USAGE_LATE_S),
});

const schema = z.object({
  /** Name of this process; unique among gateways. */
  name: z.string().min(1),
  data_centre: dataCentre,
  /** Processor cores that this process may use. Only the strongest gateways perform duties for all of them. */
  processor_share: z.number().positive().default(1),
  /** Bandwidth of this process's link. Only gateways with much of it read the store for the others. */
  link_mbps: z.number().positive().optional(),
  /** Memory over which the host kills this process, in MiB; without it, buffers have their largest bounds. */
  memory_mb: z.number().positive().optional(),
  /** Descriptors that this process may have open; without it, connections of callers are kept without a limit. */
  max_fds: z.number().positive().optional(),
  /** The region of each data centre. */
  regions: z.record(z.string(), idField(regionId, "a region id")).default({}),
  listen: z.object({
    callers: address,
    readiness: address,
    /** Address at which other gateways reach this one. */
    peers: address,
    /** Address under which other gateways reach this one, if it differs from `peers`, as behind a proxy. */
    peers_advertised: address.optional(),
    metrics: address.optional(),
  }),
  metrics_path: z.string().default("/metrics"),
  store: z.object({ address }),
  /** Secret shared by all gateways of a deployment, which prove to each other that they hold it. */
  cluster_key: z.string().min(1),
  /** Addresses of gateways that are contacted at the start to find others. */
  seeds: z.array(address).default([]),
  /** Limits that hold for all gateways together. One that a deployment leaves out is off, or has a default. */
  bounds: z.object({
    /** Retries per request of a caller. Without it and `retry_extra`, retries have no budget. */
    retry_ratio: z.number().nonnegative().optional(),
    /** Budgets count in fractions of it, which must be times that the clock can tell apart. */
    retry_window_ms: z.number().min(MIN_RETRY_WINDOW_MS).default(DEFAULT_RETRY_WINDOW_MS),
    retry_extra: z.number().nonnegative().optional(),
    /** Factor on the rate that a cold endpoint states. Without it and `cold_slack`, cold endpoints have no limit. */
    cold_rate_factor: z.number().nonnegative().optional(),
    cold_slack: z.number().nonnegative().optional(),
    grace_ms: milliseconds.default(DEFAULT_GRACE_MS),
    drain_ms: milliseconds.default(DEFAULT_DRAIN_MS),
    expose_share: z.number().min(0).max(1).default(DEFAULT_EXPOSE_SHARE),
    expose_extra: z.number().nonnegative().default(DEFAULT_EXPOSE_EXTRA),
    /** Whether a gateway that cannot learn which keys were taken away must stop to use the keys that it knows. */
    enforce_revocation: z.boolean().default(false),
    /** Time after which a key that was taken away is not used at any gateway. */
    revoke_ms: z.number().positive().default(DEFAULT_REVOKE_MS),
    /**
     * Whether limits for all gateways together are divided by the requests that each gateway gets, and the calls in
     * progress of all are estimated by them. Otherwise the number of gateways counts.
     */
    share_by_requests: z.boolean().default(false),
    /** Fraction of `memory_mb` from which on new streams are sent to other gateways; never by default. */
    shed_memory_fraction: z.number().positive().max(1).optional(),
    /** Fraction of `link_mbps` from which on new streams are sent to other gateways; never by default. */
    shed_link_fraction: z.number().positive().max(1).optional(),
  }).prefault({}),
  /** What happens to generations while no engine has room for them. */
  engine_room: z.object({
    /** Whether they may start after the target of their first event can be met. */
    late_starts: z.boolean().default(false),
    /** Whether they are refused as soon as no start in time is in sight. */
    early_refusals: z.boolean().default(true),
    /** Whether memory is kept free for runs that are about to move off leaving engines. */
    reserve: z.boolean().default(true),
    /** Whether client accounts share room evenly, and less urgent requests keep a minimum share. */
    fair_shares: z.boolean().default(true),
  }).optional(),
  /** How the speeds of endpoints are learned from what they are seen to do. */
  endpoint_speed: endpointSpeed.optional(),
  /** Calls to the platform that one gateway at a time makes for all; none by default. */
  duties: duties.optional(),
});

/** Removes keys without a value, as templates write `null` for what a deployment leaves out. */
function withoutNulls(value: unknown): unknown {
  if (value === null || typeof value !== "object" || Array.isArray(value)) return value;
  const entries = Object.entries(value).filter(([, v]) => v !== null);
  return Object.fromEntries(entries.map(([key, v]) => [key, withoutNulls(v)]));
}

const fileSchema = z.preprocess(withoutNulls, schema);

/** Validated settings of a gateway. */
export type GatewaySettings = z.infer<typeof schema>;

/**
 * Reads and validates the settings of a gateway.
 *
 * @throws WpFailure of type `settings` that names the file, each invalid key and what was expected there.
 *
 * @example
 * ```ts
 * const settings = loadGatewaySettings("/etc/wisteriapick/entry.yaml");
 * ```
 */
export function loadGatewaySettings(file: string): GatewaySettings {
  return loadSettings(file, fileSchema) as GatewaySettings;
}

/** The settings of learned speeds, with the defaults of those that are left out. */
export function speedSettings(
  { endpoint_speed: section = endpointSpeed.parse({}) }: Pick<GatewaySettings, "endpoint_speed">,
): EndpointSpeedSettings {
  return {
    isEnabled: section.enabled,
    halfLifeMs: section.half_life_ms,
    differenceFactor: section.difference_factor,
    reportIntervalMs: section.report_ms,
  };
}

/** Returns a function that looks up the region of a data centre. */
export function regionLookup(
  settings: GatewaySettings,
): (dataCentre: DataCentreId) => RegionId | null {
  const regions = new Map(Object.entries(settings.regions));
  return (dataCentre) => regions.get(dataCentre) ?? null;
}
