/**
 * The stand-ins of a complete deployment in one process: platform, model engines and plain services.
 *
 * @module
 */
import { type Clock, type EndpointId, Rng, SystemClock } from "@wisteriapick/core";
import { type Change, type ConfigDocument, ConfigLog } from "@wisteriapick/control";
import type { ObjectStore } from "@wisteriapick/clients";
import {
  EngineStandin,
  MemoryHostList,
  MemoryObjectStore,
  MemoryWeightStore,
  PlainServiceStandin,
  type RunningServer,
  serveHostList,
  serveObjectStore,
  serveWeightStore,
} from "@wisteriapick/standins";
import { parseAddress } from "@wisteriapick/wire";
import type { StandinsSettings } from "./settings.ts";

/** The running stand-ins and their addresses. */
export interface Standins {
  readonly store: MemoryObjectStore;
  readonly hostList: MemoryHostList;
  readonly weights: MemoryWeightStore | null;
  readonly engines: ReadonlyMap<EndpointId, EngineStandin>;
  readonly plainServices: ReadonlyMap<EndpointId, PlainServiceStandin>;
  readonly objectStoreOrigin: string;
  readonly hostListOrigin: string;
  /** Bound addresses of the endpoints as `ip:port`. */
  readonly endpointAddresses: ReadonlyMap<EndpointId, string>;
  close(): Promise<void>;
}

/** Writes a configuration document to an empty configuration log as a single change. */
export async function writeConfiguration(
  store: ObjectStore,
  doc: ConfigDocument,
  clock: Clock,
): Promise<void> {
  const changes: Change[] = [
    ...doc.dataCentres.map((dataCentre) => ({ type: "put_data_centre", dataCentre }) as const),
    ...doc.services.map((service) => ({ type: "put_service", service }) as const),
    ...doc.accounts.map((account) => ({ type: "put_account", account }) as const),
    ...doc.endpoints.map((endpoint) => ({ type: "put_endpoint", endpoint }) as const),
    ...doc.moves.map((move) => ({ type: "open_move", move }) as const),
  ];
  const log = new ConfigLog(store, clock, new Rng(1));
  await log.append({
    id: "initial-configuration",
    note: { who: "settings", atMs: clock.wall(), why: "configuration of the stand-ins' settings" },
    build: () => changes,
  });
}

/**
 * Starts stand-ins from their settings.
 *
 * @example
 * ```ts
 * const standins = await startStandins(loadSettings("standins.yaml", StandinsSettingsSchema));
 * await standins.close();
 * ```
 */
export async function startStandins(
  cfg: StandinsSettings,
  { clock = new SystemClock() }: { clock?: Clock } = {},
): Promise<Standins> {
  const servers: RunningServer[] = [];
  const serve = async (starting: Promise<RunningServer>) => {
    const server = await starting;
    servers.push(server);
    return server;
  };
  const close = async () => {
    for (const server of servers.splice(0).reverse()) await server.close();
  };
  try {
    return { ...await startAll(cfg, clock, serve), close };
  } catch (e) {
    await close();
    throw e;
  }
}

type Serve = (starting: Promise<RunningServer>) => Promise<RunningServer>;

async function startAll(cfg: StandinsSettings, clock: Clock, serve: Serve) {
  const { listen, ...limits } = cfg.objectStore;
  const store = new MemoryObjectStore({ clock, ...limits });
  if (cfg.configuration !== undefined) await writeConfiguration(store, cfg.configuration, clock);
  const objectStore = await serve(serveObjectStore(store, parseAddress(listen)));
  const hostList = new MemoryHostList({ clock, lagMs: cfg.hostList.lagMs });
  for (const host of cfg.hostList.hosts) hostList.set(host);
  const hosts = await serve(serveHostList(hostList, parseAddress(cfg.hostList.listen)));
  const weights = await startWeights(cfg, clock, serve);
  const endpoints = await startEndpoints(cfg, clock, serve);
  return {
    store,
    hostList,
    weights,
    ...endpoints,
    objectStoreOrigin: objectStore.origin,
    hostListOrigin: hosts.origin,
  };
}

async function startWeights(cfg: StandinsSettings, clock: Clock, serve: Serve) {
  if (cfg.weightStore === undefined) return null;
  const { listen, ...options } = cfg.weightStore;
  const weights = new MemoryWeightStore({ clock, ...options });
  await serve(serveWeightStore(weights, parseAddress(listen)));
  return weights;
}

async function startEndpoints(cfg: StandinsSettings, clock: Clock, serve: Serve) {
  const engines = new Map<EndpointId, EngineStandin>();
  const plainServices = new Map<EndpointId, PlainServiceStandin>();
  const endpointAddresses = new Map<EndpointId, string>();
  for (const [i, engine] of cfg.engines.entries()) {
    const { id, listen, slowness, startsCold, kvTotalTokens, ...options } = engine;
    const standin = new EngineStandin({
      clock,
      ...options,
      seed: engine.seed ?? cfg.seed * 1_000 + i,
      engine: { slowness, startsCold, kvTotalTokens },
    });
    engines.set(id, standin);
    endpointAddresses.set(id, (await serve(standin.listen(parseAddress(listen)))).address);
  }
  // All instances share one set of orders, as instances of a real service share a database.
  const orders = new Map<string, number>();
  for (const { id, listen, ...options } of cfg.plainServices) {
    const standin = new PlainServiceStandin({ clock, name: id, ...options }, orders);
    plainServices.set(id, standin);
    endpointAddresses.set(id, (await serve(standin.listen(parseAddress(listen)))).address);
  }
  return { engines, plainServices, endpointAddresses };
}
