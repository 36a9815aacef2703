/**
 * The configuration document: services, client accounts, endpoints, data centres and moves.
 *
 * @module
 */
import {
  type AccountId,
  accountId,
  type DataCentreId,
  dataCentreId,
  type EndpointId,
  endpointId,
  idField,
  type MoveId,
  moveId,
  type RegionId,
  regionId,
  type Revision,
  type ServiceId,
  serviceId,
  type Undo,
  type VersionId,
  versionId,
} from "@wisteriapick/core";
import { z } from "zod";

const serviceKey = idField<ServiceId>(serviceId, "a service id");
const versionKey = idField<VersionId>(versionId, "a version id");
const accountKey = idField<AccountId>(accountId, "a client account id");
const dataCentreKey = idField<DataCentreId>(dataCentreId, "a data centre id");
const endpointKey = idField<EndpointId>(endpointId, "an endpoint id");

/** A route of a plain service and whether its requests may be retried. `path` is a `find-my-way` pattern. */
export const RouteSchema = z.object({
  method: z.string(),
  path: z.string(),
  repeatable: z.boolean(),
}).strict();

/** A version of a service, with the model and adapters that its engines run. */
export const VersionSchema = z.object({
  id: versionKey,
  model: z.string().default(""),
  adapters: z.array(z.string()).default([]),
  /** A withdrawn version receives no requests. */
  withdrawn: z.boolean().default(false),
}).strict();

/** A service that callers address by its id. */
export const ServiceSchema = z.object({
  id: serviceKey,
  kind: z.enum(["model", "plain"]),
  versions: z.array(VersionSchema).min(1),
  /** The version that serves when no move is open. */
  activeVersion: versionKey,
  /** Plain services only. Requests that match no route are not retried, except GET and HEAD. */
  routes: z.array(RouteSchema).default([]),
  /** Longest time until the first token or the response head of a request. */
  startDeadlineMs: z.number().int().positive().default(30_000),
}).strict();

/** A client account or an operator. Keys are stored as SHA-256 hashes in hex. */
export const AccountSchema = z.object({
  id: accountKey,
  role: z.enum(["client", "operator"]).default("client"),
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 hash in hex")).default(
    [],
  ),
  weight: z.number().positive().default(1),
  /** Services that the account may use; absent means all. */
  services: z.array(serviceKey).optional(),
  limits: z.object({
    requestsPerSecond: z.number().positive().optional(),
    concurrency: z.number().int().positive().optional(),
    tokensPerSecond: z.number().positive().optional(),
  }).strict().default({}),
}).strict();

/** A data centre with its region and admission state. */
export const DataCentreSchema = z.object({
  id: dataCentreKey,
  region: idField<RegionId>(regionId, "a region id"),
  state: z.enum(["in", "out", "returning"]).default("in"),
  /** Unix ms at which the state was set; the ramp of `returning` starts here. */
  sinceMs: z.number().default(0),
}).strict();

/** Configuration of an endpoint. */
export const EndpointSchema = z.object({
  id: endpointKey,
  service: serviceKey,
  version: versionKey,
  /** Whether the engine itself rejects orders with an old fencing number. */
  enforcesFence: z.boolean().default(false),
}).strict();

/** A planned move of a service's traffic between versions. Times are Unix ms. */
export const MoveSchema = z.object({
  id: idField<MoveId>(moveId, "a move id"),
  service: serviceKey,
  from: versionKey,
  to: versionKey,
  startMs: z.number(),
  deadlineMs: z.number(),
  /** Share of the service's traffic that the new version gets, 0 to 1. */
  share: z.number().min(0).max(1),
  state: z.enum(["open", "finished", "taken_back"]),
  /** Reason for which the move ended. */
  reason: z.string().default(""),
  /** Set by the driver after the deadline; from then on every process follows the recorded outcome. */
  settled: z.boolean().default(false),
}).strict();

/** The whole configuration. */
export const ConfigDocumentSchema = z.object({
  services: z.array(ServiceSchema).default([]),
  accounts: z.array(AccountSchema).default([]),
  dataCentres: z.array(DataCentreSchema).default([]),
  endpoints: z.array(EndpointSchema).default([]),
  moves: z.array(MoveSchema).default([]),
}).strict();

export type Route = z.output<typeof RouteSchema>;
export type Version = z.output<typeof VersionSchema>;
export type Service = z.output<typeof ServiceSchema>;
export type Account = z.output<typeof AccountSchema>;
export type DataCentre = z.output<typeof DataCentreSchema>;
export type EndpointConfig = z.output<typeof EndpointSchema>;
export type Move = z.output<typeof MoveSchema>;
export type ConfigDocument = z.output<typeof ConfigDocumentSchema>;

/** Configuration in force at one process, indexed for lookup. */
export interface ConfigView {
  readonly revision: Revision;
  readonly services: ReadonlyMap<ServiceId, Service>;
  readonly accounts: ReadonlyMap<AccountId, Account>;
  /** Accounts by the hash of each of their keys. */
  readonly accountsByKeyHash: ReadonlyMap<string, Account>;
  readonly dataCentres: ReadonlyMap<DataCentreId, DataCentre>;
  readonly endpoints: ReadonlyMap<EndpointId, EndpointConfig>;
  readonly moves: ReadonlyMap<MoveId, Move>;
}

/** Provides the configuration in force and notifies listeners of changes. */
export abstract class ConfigSource {
  /** The configuration in force; revision 0 is empty. */
  abstract current(): ConfigView;
  /** Whether the process may serve: its configuration is known to be recent enough. */
  abstract ready(): boolean;
  abstract registerListener(fn: (view: ConfigView) => void): Undo;
}

/**
 * Indexes a document.
 *
 * @example
 * ```ts
 * const view = indexConfig(ConfigDocumentSchema.parse({}), revision(0));
 * ```
 */
export function indexConfig(doc: ConfigDocument, revision: Revision): ConfigView {
  const accountsByKeyHash = new Map<string, Account>();
  for (const account of doc.accounts) {
    for (const hash of account.keyHashes) accountsByKeyHash.set(hash, account);
  }
  return {
    revision,
    services: new Map(doc.services.map((s) => [s.id, s])),
    accounts: new Map(doc.accounts.map((a) => [a.id, a])),
    accountsByKeyHash,
    dataCentres: new Map(doc.dataCentres.map((d) => [d.id, d])),
    endpoints: new Map(doc.endpoints.map((e) => [e.id, e])),
    moves: new Map(doc.moves.map((m) => [m.id, m])),
  };
}

/** A source whose configuration changes only by {@link StaticConfigSource.set}, for tests and embedding. */
export class StaticConfigSource extends ConfigSource {
  #view: ConfigView;
  readonly #listeners = new Set<(view: ConfigView) => void>();

  constructor(view: ConfigView) {
    super();
    this.#view = view;
  }

  current(): ConfigView {
    return this.#view;
  }

  ready(): boolean {
    return true;
  }

  registerListener(fn: (view: ConfigView) => void): Undo {
    this.#listeners.add(fn);
    return () => void this.#listeners.delete(fn);
  }

  /** Replaces the configuration. */
  set(view: ConfigView): void {
    this.#view = view;
    for (const fn of this.#listeners) fn(view);
  }
}
