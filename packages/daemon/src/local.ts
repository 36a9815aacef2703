/**
 * The complete Kente Lane deployment in one process: one entry, a side for each endpoint and all stand-ins. They
 * communicate over loopback sockets exactly as separate processes do.
 *
 * @module
 */
import { createServer } from "node:net";
import { type Clock, createLogger, hostId, type Logger, SystemClock } from "@wisteriapick/core";
import type { EngineStandin, PlainServiceStandin } from "@wisteriapick/standins";
import { EntryProcess } from "./entry_process.ts";
import { kenteDocument, kenteHosts, type LocalHost, localKey } from "./local_deployment.ts";
import { makeProcessComponents, type ProcessComponents } from "./process_components.ts";
import { EntrySettingsSchema, SideSettingsSchema, StandinsSettingsSchema } from "./settings.ts";
import { SideProcess } from "./side_process.ts";
import { type Standins, startStandins } from "./standins_process.ts";
import { makeEntryOptions, makeSideOptions } from "./start.ts";

/** Options of {@link startLocal}. */
export interface LocalOptions {
  /** Port of the entry; another port is used when it is in use. */
  readonly port?: number;
  readonly seed?: number;
  /** Memory over which the host ends the process, in MiB; no limit by default. */
  readonly memoryMb?: number;
  /** Descriptors that the process may have open; those of an entry by default. */
  readonly maxDescriptors?: number;
  readonly log?: Logger;
  readonly clock?: Clock;
}

/** The running system. */
export interface LocalSystem {
  readonly url: string;
  /** A bearer key of a client account. */
  readonly key: string;
  readonly operatorKey: string;
  /** A command line that sends a generation request. */
  readonly curl: string;
  readonly engines: ReadonlyMap<string, EngineStandin>;
  readonly counters: ReadonlyMap<string, PlainServiceStandin>;
  readonly standins: Standins;
  close(): Promise<void>;
}

const DEFAULT_PORT = 8080;
const CLUSTER_KEY = "local-cluster-key-of-one-process";
const LOOPBACK = "127.0.0.1";
const ANY_PORT = `${LOOPBACK}:0`;
/** Interval at which the start checks whether every process is ready. */
const READY_POLL_MS = 10;
/** Fraction of the descriptors for the entry; the rest is for the sides and the stand-ins. */
const ENTRY_DESCRIPTORS_FRACTION = 0.25;

type Closer = () => void | Promise<void>;

/** A process whose link address is bound and which has not been started. */
interface BoundProcess<T> {
  readonly options: T;
  readonly components: ProcessComponents;
}

/** Creates the processes of the system and closes what has been created. */
class LocalBuilder {
  readonly clock: Clock;
  readonly log: Logger;
  readonly seed: number;
  readonly #memoryMb: number | undefined;
  readonly #maxDescriptors: number | undefined;
  readonly #closers: Closer[] = [];

  constructor(
    { clock = new SystemClock(), seed = 1, memoryMb, maxDescriptors, log }: LocalOptions,
  ) {
    this.clock = clock;
    this.seed = seed;
    this.#memoryMb = memoryMb;
    this.#maxDescriptors = maxDescriptors;
    this.log = log ?? createLogger("local", { level: "error" });
  }

  defer(closer: Closer): void {
    this.#closers.push(closer);
  }

  /** Closes everything in reverse order of creation. */
  async close(): Promise<void> {
    for (const closer of this.#closers.splice(0).reverse()) await closer();
  }

  async startStandins(): Promise<Standins> {
    const hosts = kenteHosts();
    const ofKind = (kind: LocalHost["kind"]) =>
      hosts.filter((h) => h.kind === kind).map((h) => ({ id: h.endpoint, listen: ANY_PORT }));
    const cfg = StandinsSettingsSchema.parse({
      kind: "standins",
      seed: this.seed,
      objectStore: { listen: ANY_PORT },
      hostList: { listen: ANY_PORT },
      weightStore: { listen: ANY_PORT, weights: { "scribe-7b": 14e9 } },
      engines: ofKind("model"),
      plainServices: ofKind("plain"),
      configuration: kenteDocument(),
    });
    const standins = await startStandins(cfg, { clock: this.clock });
    this.defer(() => standins.close());
    return standins;
  }

  #processSettings(standins: Standins, host: Pick<LocalHost, "host" | "dataCentre">, n: number) {
    return {
      host: host.host,
      dataCentre: host.dataCentre,
      links: ANY_PORT,
      clusterKey: CLUSTER_KEY,
      objectStore: standins.objectStoreOrigin,
      hostList: standins.hostListOrigin,
      seed: this.seed * 1_000 + n,
    };
  }

  async bindSide(standins: Standins, host: LocalHost, n: number) {
    const origin = `http://${standins.endpointAddresses.get(host.endpoint)}`;
    const cfg = SideSettingsSchema.parse({
      kind: "side",
      ...this.#processSettings(standins, host, n),
      endpoint: host.endpoint,
      service: host.service,
      ...(host.kind === "model" ? { engine: origin } : { plain: origin }),
    });
    const { options, closeClients } = makeSideOptions(cfg, this);
    this.defer(closeClients);
    return { options, components: await makeProcessComponents(options) };
  }

  async bindEntry(standins: Standins, port: number) {
    const { dataCentre } = kenteHosts()[0]!;
    const cfg = EntrySettingsSchema.parse({
      kind: "entry",
      ...this.#processSettings(standins, { host: hostId("host-entry-01"), dataCentre }, 0),
      listen: `${LOOPBACK}:${port}`,
      memoryMb: this.#memoryMb,
      maxDescriptors: this.#maxDescriptors === undefined
        ? undefined
        : Math.ceil(ENTRY_DESCRIPTORS_FRACTION * this.#maxDescriptors),
    });
    const { options, closeClients } = makeEntryOptions(cfg, this);
    this.defer(closeClients);
    return { options, components: await makeProcessComponents(options) };
  }
}

/** Returns the preferred port when it is free, otherwise 0, with which the system chooses one. */
async function findFreePort(preferred: number): Promise<number> {
  const probe = createServer();
  return await new Promise((resolve) => {
    probe.once("error", () => resolve(0));
    probe.listen(preferred, LOOPBACK, () => probe.close(() => resolve(preferred)));
  });
}

/** Returns a command line that requests a generation through the OpenAI-compatible API. */
export function makeCurlCommand(url: string, key: string): string {
  const body = JSON.stringify({
    model: "scribe",
    stream: true,
    messages: [{ role: "user", content: "Describe a kente postcard" }],
  });
  return `curl -N ${url}/v1/chat/completions -H 'Authorization: Bearer ${key}' ` +
    `-H 'Content-Type: application/json' -d '${body}'`;
}

/**
 * Starts the deployment and resolves once every process is ready.
 *
 * @example
 * ```ts
 * const system = await startLocal({ port: 0 });
 * console.log(system.curl);
 * await system.close();
 * ```
 */
export async function startLocal(options: LocalOptions = {}): Promise<LocalSystem> {
  const builder = new LocalBuilder(options);
  try {
    const standins = await builder.startStandins();
    const address = await startProcesses(builder, standins, options.port ?? DEFAULT_PORT);
    const url = `http://${address}`;
    const key = localKey("museum-shop");
    return {
      url,
      key,
      operatorKey: localKey("operator"),
      curl: makeCurlCommand(url, key),
      engines: standins.engines,
      counters: standins.plainServices,
      standins,
      close: () => builder.close(),
    };
  } catch (e) {
    await builder.close();
    throw e;
  }
}

/** Binds all addresses and lists the hosts before starting, so that each process finds all others at once. */
async function startProcesses(
  builder: LocalBuilder,
  standins: Standins,
  port: number,
): Promise<string> {
  const hosts = kenteHosts();
  const sides = await Promise.all(hosts.map((h, i) => builder.bindSide(standins, h, i + 1)));
  const bound = await builder.bindEntry(standins, await findFreePort(port));
  listHosts(standins, hosts, sides, bound);
  const started = sides.map(({ options, components }) =>
    SideProcess.withComponents(options, components)
  );
  for (const side of started) builder.defer(() => side.close());
  const entry = EntryProcess.withComponents(bound.options, bound.components);
  builder.defer(() => entry.close());
  const address = await entry.entry.listen();
  const ready = () => bound.components.control.state.ready() && started.every((s) => s.ready);
  while (!ready()) await builder.clock.sleep(READY_POLL_MS);
  return address;
}

function listHosts(
  standins: Standins,
  hosts: readonly LocalHost[],
  sides: readonly BoundProcess<unknown>[],
  entry: BoundProcess<
    { readonly identity: { host: LocalHost["host"]; dataCentre: LocalHost["dataCentre"] } }
  >,
): void {
  for (const [i, host] of hosts.entries()) {
    const { dataCentre, region, endpoint: id, service } = host;
    standins.hostList.set({
      host: host.host,
      dataCentre,
      region,
      state: "live",
      side: sides[i]!.components.linkAddress,
      endpoint: { id, service, address: standins.endpointAddresses.get(id)! },
    });
  }
  const { host, dataCentre } = entry.options.identity;
  const { region } = hosts[0]!;
  const address = entry.components.linkAddress;
  standins.hostList.set({ host, dataCentre, region, state: "live", entry: address });
}
