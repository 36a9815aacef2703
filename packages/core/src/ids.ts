/**
 * Branded identifiers. The brand makes it a compile error to pass, say, an endpoint id as a service id.
 *
 * @module
 */
import { raise } from "./errors.ts";

declare const brand: unique symbol;

/** A value of type `T` that can be obtained only from the constructor of brand `B`. */
export type Brand<T, B extends string> = T & { readonly [brand]: B };

/** A machine, as named by the platform's host list. */
export type HostId = Brand<string, "HostId">;
/** A data centre, for example `accra-tema`. */
export type DataCentreId = Brand<string, "DataCentreId">;
/** A region: a group of data centres. */
export type RegionId = Brand<string, "RegionId">;
/** A service that callers name, for example `scribe`. */
export type ServiceId = Brand<string, "ServiceId">;
/** A client account. */
export type AccountId = Brand<string, "AccountId">;
/** One model engine or one instance of a plain service. */
export type EndpointId = Brand<string, "EndpointId">;
/** A version of a service. */
export type VersionId = Brand<string, "VersionId">;
/** A planned move of a service from one version to another. */
export type MoveId = Brand<string, "MoveId">;
/** An operator's plan. */
export type PlanId = Brand<string, "PlanId">;
/** One generation; unique across entries and restarts. */
export type GenerationId = Brand<string, "GenerationId">;
/** One request as received from a caller. */
export type RequestId = Brand<string, "RequestId">;
/** A route that maps callers' paths to a service. */
export type RouteId = Brand<string, "RouteId">;
/** One running process of this system; a restarted process has a new id. */
export type ProcessId = Brand<string, "ProcessId">;
/** A revision of the configuration: 0 is the empty configuration, and each accepted change adds 1. */
export type Revision = Brand<number, "Revision">;
/** A fencing number, which increases with each new holder of a lease. */
export type Fence = Brand<number, "Fence">;

const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;

function makeId<T extends Brand<string, string>>(kind: string): (s: string) => T {
  return (s) => {
    if (!ID_PATTERN.test(s)) {
      raise({ type: "invalid_id", message: `${kind} "${s.slice(0, 40)}" is not a valid id` });
    }
    return s as T;
  };
}

/**
 * Checks the syntax of a host id.
 *
 * @example
 * ```ts
 * const id = hostId("tema-07");
 * ```
 */
export const hostId: (s: string) => HostId = makeId<HostId>("host id");
/** Checks the syntax of a data centre id, for example `dataCentreId("accra-osu")`. */
export const dataCentreId: (s: string) => DataCentreId = makeId<DataCentreId>("data centre id");
/** Checks the syntax of a region id, for example `regionId("accra")`. */
export const regionId: (s: string) => RegionId = makeId<RegionId>("region id");
/** Checks the syntax of a service id, for example `serviceId("scribe")`. */
export const serviceId: (s: string) => ServiceId = makeId<ServiceId>("service id");
/** Checks the syntax of a client account id, for example `accountId("museum-shop")`. */
export const accountId: (s: string) => AccountId = makeId<AccountId>("client account id");
/** Checks the syntax of an endpoint id, for example `endpointId("scribe-03")`. */
export const endpointId: (s: string) => EndpointId = makeId<EndpointId>("endpoint id");
/** Checks the syntax of a version id, for example `versionId("v2")`. */
export const versionId: (s: string) => VersionId = makeId<VersionId>("version id");
/** Checks the syntax of a move id, for example `moveId("scribe-v1-v2")`. */
export const moveId: (s: string) => MoveId = makeId<MoveId>("move id");
/** Checks the syntax of a plan id, for example `planId("p-7f3a")`. */
export const planId: (s: string) => PlanId = makeId<PlanId>("plan id");
/** Checks the syntax of a generation id, for example `generationId("g-01")`. */
export const generationId: (s: string) => GenerationId = makeId<GenerationId>("generation id");
/** Checks the syntax of a request id, for example `requestId("r-01")`. */
export const requestId: (s: string) => RequestId = makeId<RequestId>("request id");
/** Checks the syntax of a route id, for example `routeId("drafts")`. */
export const routeId: (s: string) => RouteId = makeId<RouteId>("route id");
/** Checks the syntax of a process id, for example `processId("entry-1.a8f0")`. */
export const processId: (s: string) => ProcessId = makeId<ProcessId>("process id");

function makeCounter<T extends Brand<number, string>>(kind: string): (n: number) => T {
  return (n) => {
    if (!Number.isSafeInteger(n) || n < 0) {
      raise({ type: "invalid_id", message: `${kind} ${n} is not a whole number from 0` });
    }
    return n as T;
  };
}

/** Checks a configuration revision, for example `revision(0)`. */
export const revision: (n: number) => Revision = makeCounter<Revision>("revision");
/** Checks a fencing number, for example `fence(1)`. */
export const fence: (n: number) => Fence = makeCounter<Fence>("fence");
