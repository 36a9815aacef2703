/**
 * Starts processes from their settings.
 *
 * @module
 */
import { randomBytes, randomInt } from "node:crypto";
import { type Clock, createLogger, type Logger, processId, SystemClock } from "@wisteriapick/core";
import { HttpHostList, HttpModelEngine, HttpObjectStore } from "@wisteriapick/clients";
import { EntryProcess, type EntryProcessOptions } from "./entry_process.ts";
import { parseAddress, pendingHandshakeLimit } from "@wisteriapick/wire";
import type { ProcessOptions } from "./process_components.ts";
import type { EntrySettings, SideSettings } from "./settings.ts";
import { SideProcess, type SideProcessOptions } from "./side_process.ts";

/** Dependencies that a caller may replace when starting a process. */
export interface StartDependencies {
  readonly clock?: Clock;
  readonly log?: Logger;
}

/** A started process. */
export interface StartedProcess {
  /** Planned stop: completes all running work first. */
  drain(): Promise<void>;
  /** Stops at once and abandons running work. */
  close(): Promise<void>;
}

/** Options of a process, with a function that closes the clients created for it. */
export interface BuiltOptions<T> {
  readonly options: T;
  closeClients(): Promise<void>;
}

const MAX_SEED = 2 ** 31;

function makeProcessOptions(
  cfg: EntrySettings | SideSettings,
  { clock = new SystemClock(), log }: StartDependencies,
): BuiltOptions<ProcessOptions> {
  const store = new HttpObjectStore(cfg.objectStore, { clock });
  const hostList = new HttpHostList(cfg.hostList, { clock });
  const instance = randomBytes(4).toString("hex");
  const options = {
    identity: {
      role: cfg.kind,
      // A restarted process needs a new id, because leases are held by process id.
      process: processId(`${cfg.host}.${cfg.kind}.${instance}`),
      host: cfg.host,
      dataCentre: cfg.dataCentre,
    },
    clusterKey: cfg.clusterKey,
    linkAddress: cfg.links,
    store,
    hostList,
    clock,
    seed: cfg.seed ?? randomInt(MAX_SEED),
    log: log ?? createLogger(cfg.kind, { level: cfg.logLevel }),
  };
  const closeClients = async () => {
    await store.close();
    await hostList.close();
  };
  return { options, closeClients };
}

/** Builds the options of an entry from its settings. */
export function makeEntryOptions(
  cfg: EntrySettings,
  deps: StartDependencies = {},
): BuiltOptions<EntryProcessOptions> {
  const { options, closeClients } = makeProcessOptions(cfg, deps);
  const listen = { ...parseAddress(cfg.listen), tls: cfg.tls };
  const entryHost = { memoryMb: cfg.memoryMb ?? null, maxDescriptors: cfg.maxDescriptors };
  const maxPendingHandshakes = pendingHandshakeLimit(cfg.maxDescriptors);
  return { options: { ...options, listen, entryHost, maxPendingHandshakes }, closeClients };
}

/** Builds the options of a side from its settings. */
export function makeSideOptions(
  cfg: SideSettings,
  deps: StartDependencies = {},
): BuiltOptions<SideProcessOptions> {
  const { options, closeClients } = makeProcessOptions(cfg, deps);
  const { endpoint, service, slots } = cfg;
  const fixed = { ...options, endpoint, service };
  if (cfg.engine === undefined) {
    return { options: { ...fixed, origin: cfg.plain, slots }, closeClients };
  }
  const engine = new HttpModelEngine(cfg.engine, { clock: options.clock });
  return {
    options: { ...fixed, engine },
    closeClients: async () => {
      await engine.close();
      await closeClients();
    },
  };
}

/**
 * Starts an entry from its settings.
 *
 * @example
 * ```ts
 * const entry = await startEntry(loadSettings("entry.yaml", EntrySettingsSchema));
 * console.log(entry.httpAddress);
 * await entry.drain();
 * ```
 */
export async function startEntry(
  cfg: EntrySettings,
  deps: StartDependencies = {},
): Promise<StartedProcess & { readonly httpAddress: string; readonly linkAddress: string }> {
  const { options, closeClients } = makeEntryOptions(cfg, deps);
  const process = await EntryProcess.start(options);
  const end = async (stop: Promise<void>) => {
    await stop;
    await closeClients();
  };
  return {
    httpAddress: process.httpAddress,
    linkAddress: process.linkAddress,
    drain: () => end(process.drain({ announceMs: cfg.announceMs })),
    close: () => end(process.close()),
  };
}

/** Starts a side from its settings. */
export async function startSide(
  cfg: SideSettings,
  deps: StartDependencies = {},
): Promise<StartedProcess & { readonly linkAddress: string }> {
  const { options, closeClients } = makeSideOptions(cfg, deps);
  const process = await SideProcess.start(options);
  const end = async (stop: Promise<void>) => {
    await stop;
    await closeClients();
  };
  return {
    linkAddress: process.linkAddress,
    drain: () => end(process.drain()),
    close: () => end(process.close()),
  };
}
