/**
 * Checks records before they are believed, whoever decoded them: an adapter of a store, or another gateway, which may be
 * of another release.
 *
 * @module
 */
import {
  accountId,
  dataCentreId,
  endpointId,
  raise,
  regionId,
  routeId,
  serviceId,
  versionId,
} from "@wisteriapick/core";
import { formatAddress, parseRemoteAddress } from "@wisteriapick/wire";
import type { FollowedKind, ViewItems } from "../state/store_view.ts";

/** Raises an error with the path of the field if a value cannot be used. */
type Check = (value: unknown, path: string) => void;

/** The check of each field of `T`. */
type Shape<T> = { readonly [K in keyof T]-?: Check };

/** Largest size and time that are taken: beyond it, sums and timers lose their meaning. */
const MAX_NUMBER = 2 ** 53;
const ROUTE_KINDS = ["idempotent", "non_idempotent", "streaming"];
const MOVE_STATES = ["running", "completed", "rolled_back"];

function fail(path: string, expected: string): never {
  raise({ type: "not_found", message: `${path} is not ${expected}` });
}

function checkOf(expected: string, test: (value: unknown) => boolean): Check {
  return (value, path) => {
    if (!test(value)) fail(path, expected);
  };
}

const text = checkOf("a text", (v) => typeof v === "string");
const flag = checkOf("a boolean", (v) => typeof v === "boolean");
const number = checkOf(
  "a number",
  (v) => typeof v === "number" && Math.abs(v) <= MAX_NUMBER,
);
const positive = checkOf(
  "a number from 0",
  (v) => typeof v === "number" && v >= 0 && v <= MAX_NUMBER,
);
const count = checkOf(
  "a whole number from 0",
  (v) => Number.isSafeInteger(v) && (v as number) >= 0,
);
const pathPrefix = checkOf(
  "a path that begins and ends with a slash",
  (v) => typeof v === "string" && v.startsWith("/") && v.endsWith("/"),
);

function id(make: (s: string) => string): Check {
  return (value, path) => {
    if (typeof value !== "string") fail(path, "an id");
    make(value);
  };
}

function oneOf(values: readonly string[]): Check {
  return checkOf(`one of ${values.join(", ")}`, (v) => values.includes(v as string));
}

/** A field that may be `null`, or missing if the sender's release does not have it. */
function optional(check: Check): Check {
  return (value, path) => {
    if (value !== null && value !== undefined) check(value, path);
  };
}

function listOf(check: Check): Check {
  return (value, path) => {
    if (!Array.isArray(value)) fail(path, "a list");
    for (let i = 0; i < value.length; i++) check(value[i], path);
  };
}

function objectOf<T>(shape: Shape<T>): Check {
  const fields = Object.entries(shape) as [string, Check][];
  return (value, path) => {
    if (typeof value !== "object" || value === null) fail(path, "an object");
    const object = value as Record<string, unknown>;
    for (const [name, check] of fields) check(object[name], name);
  };
}

const address: Check = (value, path) => {
  const { host, port } = (value ?? {}) as Record<string, unknown>;
  if (typeof host !== "string" || typeof port !== "number") fail(path, "an address");
  parseRemoteAddress(formatAddress({ host, port }));
};

const regions = listOf(id(regionId));

const CHECKS: { readonly [K in FollowedKind]: Check } = {
  config: objectOf<ViewItems["config"]>({
    version: number,
    routes: listOf(objectOf<ViewItems["config"]["routes"][number]>({
      id: id(routeId),
      hostname: text,
      pathPrefix,
      kind: oneOf(ROUTE_KINDS),
      timeoutMs: number,
      targetLatencyMs: number,
      targetGapMs: optional(number),
      priority: number,
      targets: listOf(objectOf({ service: id(serviceId), weight: number })),
      maxEndpoints: positive,
      isPublic: flag,
      isResumable: flag,
      regions,
    })),
    services: listOf(objectOf<ViewItems["config"]["services"][number]>({
      id: id(serviceId),
      healthPath: text,
      maxConnections: count,
      coldStartMs: number,
      coldPerSecond: number,
      engine: optional(objectOf<NonNullable<ViewItems["config"]["services"][number]["engine"]>>({
        slots: count,
        memoryTokens: count,
        tokenBytes: number,
        linkMbps: number,
        tokensPerEvent: positive,
        canCopyRuns: flag,
        canBackUpRuns: flag,
        copyTtlMs: number,
      })),
      scaling: optional(objectOf<NonNullable<ViewItems["config"]["services"][number]["scaling"]>>({
        minReplicas: count,
        maxReplicas: count,
        bootMs: number,
      })),
    })),
    accounts: listOf(objectOf<ViewItems["config"]["accounts"][number]>({
      id: id(accountId),
      keys: listOf(text),
      priority: optional(number),
      regions,
    })),
    requiresKeys: flag,
    limits: objectOf<ViewItems["config"]["limits"]>({
      maxHeaderBytes: count,
      maxBodyBytes: count,
      headerTimeoutMs: count,
      idleTimeoutMs: count,
    }),
  }),
  endpoints: objectOf<ViewItems["endpoints"]>({
    id: id(endpointId),
    service: id(serviceId),
    address,
    dataCentre: id(dataCentreId),
    version: id(versionId),
    slots: count,
    isDraining: flag,
    coldMs: number,
    startedAtUnixMs: optional(count),
    sequence: optional(count),
  }),
  evacuations: objectOf<ViewItems["evacuations"]>({ dataCentre: id(dataCentreId) }),
  moves: objectOf<ViewItems["moves"]>({
    service: id(serviceId),
    target: id(versionId),
    durationMs: number,
    state: optional(oneOf(MOVE_STATES)),
  }),
};

/** Fields that a record of an earlier release may not have, as a record without a value has them. */
const DEFAULTS: { readonly [K in FollowedKind]: Partial<ViewItems[K]> } = {
  config: {},
  endpoints: { startedAtUnixMs: null, sequence: null },
  evacuations: {},
  moves: { state: null },
};

/**
 * Returns a record that can be used without further checks.
 *
 * @throws WpFailure with the path of the first field that is missing or cannot be used.
 *
 * @example
 * ```ts
 * const record = checkRecord("endpoints", JSON.parse(received));
 * ```
 */
export function checkRecord<K extends FollowedKind>(kind: K, value: unknown): ViewItems[K] {
  CHECKS[kind](value, kind);
  return { ...DEFAULTS[kind], ...(value as ViewItems[K]) };
}
