/**
 * The whole Kente Lane deployment in one process: one entry, a side for each endpoint and every stand-in, which
 * talk to each other over loopback sockets.
 *
 * @module
 */
import { createServer } from "node:net";
import {
  type Clock,
  createLogger,
  hostId,
  type Logger,
  processId,
  revision,
  Rng,
  SystemClock,
  World,
} from "@wisteriapick/core";
import { indexConfig, StaticConfigSource } from "@wisteriapick/control";
import { HttpHostList, HttpModelEngine, HttpObjectStore } from "@wisteriapick/platform";
import { SideAdmission, SubsetPlacement } from "@wisteriapick/policy";
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
import { type Identity, LinkPool, listenLinks } from "@wisteriapick/wire";
import { Directory, followHostList } from "./directory.ts";
import { Entry } from "./entry.ts";
import { FixedAdmission } from "./fixed_admission.ts";
import { LinkRouter } from "./link_router.ts";
import { formatAddress, PooledLinks } from "./link_source.ts";
import { kenteDocument, kenteHosts, type LocalHost, localKey } from "./local_deployment.ts";
import { Side } from "./side.ts";

/** Options of {@link startLocal}. */
export interface LocalOptions {
  /** Port of the entry; another one is used when it is taken. */
  readonly port?: number;
  readonly seed?: number;
  readonly log?: Logger;
  readonly clock?: Clock;
}

/** The running system. */
export interface LocalSystem {
  readonly url: string;
  /** A bearer key of a client account. */
  readonly key: string;
  readonly operatorKey: string;
  /** One command line that sends a request. */
  readonly curl: string;
  readonly engines: ReadonlyMap<string, EngineStandin>;
  readonly counters: ReadonlyMap<string, PlainServiceStandin>;
  readonly store: MemoryObjectStore;
  readonly hostList: MemoryHostList;
  close(): Promise<void>;
}

const DEFAULT_PORT = 8080;
const CLUSTER_KEY = "local-cluster-key";
const LOOPBACK = "127.0.0.1";
/** Calls at once that one instance of the plain service bears. */
const COUNTER_SLOTS = 32;
/** Interval at which the start looks whether every side has learned about its endpoint. */
const READY_POLL_MS = 10;

type Closer = () => void | Promise<void>;

/** Everything the parts of the system share while it is being put together. */
class LocalBuilder {
  readonly clock: Clock;
  readonly log: Logger;
  readonly seed: number;
  readonly config = new StaticConfigSource(indexConfig(kenteDocument(), revision(1)));
  readonly store: MemoryObjectStore;
  readonly hostList: MemoryHostList;
  readonly engines = new Map<string, EngineStandin>();
  readonly counters = new Map<string, PlainServiceStandin>();
  readonly sides: Side[] = [];
  readonly #orders = new Map<string, number>();
  readonly #closers: Closer[] = [];

  constructor({ clock = new SystemClock(), seed = 1, log }: LocalOptions) {
    this.clock = clock;
    this.seed = seed;
    this.log = log ?? createLogger("local", { level: "warn" });
    this.store = new MemoryObjectStore({ clock });
    this.hostList = new MemoryHostList({ clock });
  }

  defer(closer: Closer): void {
    this.#closers.push(closer);
  }

  /** Stops everything, last started first. */
  async close(): Promise<void> {
    for (const closer of this.#closers.splice(0).reverse()) await closer();
  }

  async serve(server: Promise<RunningServer>): Promise<RunningServer> {
    const running = await server;
    this.defer(() => running.close());
    return running;
  }

  async startPlatform(): Promise<{ hosts: RunningServer; store: RunningServer }> {
    const store = await this.serve(serveObjectStore(this.store));
    const weights = new MemoryWeightStore({ clock: this.clock, weights: { "scribe-7b": 14e9 } });
    await this.serve(serveWeightStore(weights));
    const hosts = await this.serve(serveHostList(this.hostList));
    return { hosts, store };
  }

  async startEndpoint(host: LocalHost, seed: number): Promise<RunningServer> {
    if (host.kind === "plain") {
      const service = new PlainServiceStandin(
        { clock: this.clock, name: host.endpoint },
        this.#orders,
      );
      this.counters.set(host.endpoint, service);
      return this.serve(service.listen());
    }
    const engine = new EngineStandin({ clock: this.clock, seed });
    this.engines.set(host.endpoint, engine);
    return this.serve(engine.listen());
  }

  /** How a side reaches its endpoint and what it admits. */
  #endpointParts(host: LocalHost, endpoint: RunningServer) {
    if (host.kind === "plain") {
      const admission = new FixedAdmission({ slots: COUNTER_SLOTS });
      return { origin: endpoint.origin, admission };
    }
    const engine = new HttpModelEngine(endpoint.origin, { clock: this.clock });
    this.defer(() => engine.close());
    return { engine, admission: new SideAdmission({ name: host.endpoint }) };
  }

  /** Starts the side of an endpoint and enters it into the host list. */
  async startSide(host: LocalHost, endpoint: RunningServer): Promise<void> {
    const { clock, log, config } = this;
    const identity = makeIdentity("side", host.endpoint, host);
    const router = new LinkRouter();
    const listener = await listenLinks({
      address: { host: LOOPBACK, port: 0 },
      identity,
      clusterKey: CLUSTER_KEY,
      acceptor: router,
      clock,
    });
    this.defer(() => listener.close());
    const side = new Side({
      identity,
      endpoint: host.endpoint,
      service: host.service,
      ...this.#endpointParts(host, endpoint),
      config,
      router,
      world: new World({ clock }),
      log,
    });
    side.start();
    this.defer(() => side.close());
    this.sides.push(side);
    this.hostList.set({
      host: host.host,
      dataCentre: host.dataCentre,
      region: host.region,
      state: "live",
      side: formatAddress(listener.address),
      endpoint: { id: host.endpoint, service: host.service, address: endpoint.address },
    });
  }

  async startEntry(
    { hosts, store }: { hosts: RunningServer; store: RunningServer },
    port: number,
  ): Promise<string> {
    const { clock, log, config } = this;
    const dataCentre = kenteHosts()[0]!.dataCentre;
    const identity = makeIdentity("entry", "entry-01", { host: hostId("entry-01"), dataCentre });
    const router = new LinkRouter();
    const world = new World({ clock });
    const directory = new Directory(world);
    const rng = new Rng(this.seed);
    const pool = new LinkPool({
      identity,
      clusterKey: CLUSTER_KEY,
      acceptor: router,
      clock,
      rng,
    });
    this.defer(() => pool.close());
    const hostList = new HttpHostList(hosts.origin, { clock });
    this.defer(() => hostList.close());
    const follow = followHostList(hostList, directory, { clock });
    this.defer(follow.undo);
    await follow.first;
    const objects = new HttpObjectStore(store.origin, { clock });
    this.defer(() => objects.close());
    const entry = new Entry({
      identity,
      clusterKey: CLUSTER_KEY,
      listen: { host: LOOPBACK, port },
      config,
      directory,
      links: new PooledLinks(pool),
      router,
      placement: new SubsetPlacement({ entry: identity.process, dataCentre, rng }),
      store: objects,
      world,
      log,
    });
    this.defer(() => entry.close());
    return await entry.listen();
  }
}

function makeIdentity(
  role: "entry" | "side",
  name: string,
  { host, dataCentre }: Pick<LocalHost, "host" | "dataCentre">,
): Identity {
  return { role, process: processId(`${role}.${name}`), host, dataCentre };
}

/** The wanted port when it is free, otherwise 0, which lets the system choose. */
async function freePort(wanted: number): Promise<number> {
  const probe = createServer();
  return await new Promise((resolve) => {
    probe.once("error", () => resolve(0));
    probe.listen(wanted, LOOPBACK, () => probe.close(() => resolve(wanted)));
  });
}

/** The request of the printed command line, as the OpenAI API takes it. */
export function curlLine(url: string, key: string): string {
  const body = JSON.stringify({
    model: "scribe",
    stream: true,
    messages: [{ role: "user", content: "Describe a kente postcard" }],
  });
  return `curl -N ${url}/v1/chat/completions -H 'Authorization: Bearer ${key}' ` +
    `-H 'Content-Type: application/json' -d '${body}'`;
}

/**
 * Starts the deployment and resolves once every side is ready.
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
    const address = await startAll(builder, options.port ?? DEFAULT_PORT);
    const url = `http://${address}`;
    const key = localKey("museum-shop");
    const { engines, counters, store, hostList } = builder;
    return {
      url,
      key,
      operatorKey: localKey("operator"),
      curl: curlLine(url, key),
      engines,
      counters,
      store,
      hostList,
      close: () => builder.close(),
    };
  } catch (e) {
    await builder.close();
    throw e;
  }
}

async function startAll(builder: LocalBuilder, port: number): Promise<string> {
  const platform = await builder.startPlatform();
  for (const [i, host] of kenteHosts().entries()) {
    const endpoint = await builder.startEndpoint(host, builder.seed * 1_000 + i);
    await builder.startSide(host, endpoint);
  }
  while (!builder.sides.every((s) => s.ready)) await builder.clock.sleep(READY_POLL_MS);
  return await builder.startEntry(platform, await freePort(port));
}
