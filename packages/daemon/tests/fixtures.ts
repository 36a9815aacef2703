/**
 * Fixtures for tests of entry and side: processes on loopback ports that share a host list.
 *
 * @module
 */
import {
  accountId,
  createLogger,
  dataCentreId,
  endpointId,
  hostId,
  processId,
  requestId,
  revision,
  Rng,
  serviceId,
  SystemClock,
  versionId,
  World,
} from "@wisteriapick/core";
import {
  ConfigDocumentSchema,
  type ConfigView,
  indexConfig,
  StaticConfigSource,
} from "@wisteriapick/control";
import type { HostRecord, ModelEngine } from "@wisteriapick/clients";
import {
  type Address,
  type Call,
  formatAddress,
  type Identity,
  LinkPool,
  listenLinks,
  parseAddress,
  type Role,
} from "@wisteriapick/wire";
import {
  EndpointDirectory,
  Entry,
  type EntryOptions,
  FixedAdmission,
  hashKey,
  LeastInFlightPlacement,
  LinkRouter,
  PooledLinks,
  Side,
  type SideOptions,
} from "../src/mod.ts";

export { FakeEngine } from "./fake_engine.ts";

export const CLUSTER_KEY = "test-cluster-key";
export const CLIENT_KEY = "key-museum-shop";
export const OTHER_KEY = "key-other-shop";
export const OPERATOR_KEY = "key-operator";

/** Waits until `test` returns true. The test runner's timeout ends a wait that never succeeds. */
export async function waitUntil(test: () => boolean): Promise<void> {
  while (!test()) await new Promise((resolve) => setTimeout(resolve, 1));
}

/** The text of `n` tokens of {@link FakeEngine}. */
export function tokensText(n: number): string {
  return Array.from({ length: n }, (_, i) => `t${i} `).join("");
}

/** A configuration with a model service `scribe` and a plain service `counter`. */
export function makeConfig(overrides: Record<string, unknown> = {}, rev = 1): ConfigView {
  const doc = {
    services: [
      {
        id: "scribe",
        kind: "model",
        versions: [{ id: "v1" }, { id: "v2" }],
        activeVersion: "v1",
      },
      {
        id: "counter",
        kind: "plain",
        versions: [{ id: "v1" }],
        activeVersion: "v1",
        routes: [{ method: "POST", path: "/search", repeatable: true }],
      },
    ],
    accounts: [
      { id: "shop", keyHashes: [hashKey(CLIENT_KEY)] },
      { id: "other", keyHashes: [hashKey(OTHER_KEY)], services: ["counter"] },
      { id: "operator", role: "operator", keyHashes: [hashKey(OPERATOR_KEY)] },
    ],
    dataCentres: [{ id: "dc-1", region: "r-1" }, { id: "dc-2", region: "r-1" }],
    ...overrides,
  };
  return indexConfig(ConfigDocumentSchema.parse(doc), revision(rev));
}

/** An identity named after its role and a number or name. */
export function makeIdentity(role: Role, n: number | string): Identity {
  return {
    role,
    process: processId(`${role}-${n}`),
    host: hostId(`host-${role}-${n}`),
    dataCentre: dataCentreId("dc-1"),
  };
}

const log = createLogger("test", { level: "silent" });

/** Entries and sides on loopback ports that share a host list. */
export class Fleet {
  readonly config = new StaticConfigSource(makeConfig());
  /** A second configuration, for sides that are started with it. */
  readonly sideConfig = new StaticConfigSource(makeConfig());
  readonly clock = new SystemClock();
  readonly #hosts = new Map<string, HostRecord>();
  readonly #directories = new Set<EndpointDirectory>();
  readonly #closers: (() => void | Promise<void>)[] = [];
  #index = 0;

  /** Starts a side for an endpoint. With `port`, a side can be restarted at the same address. */
  async startSide(
    name: string,
    engine: ModelEngine | null,
    { port = 0, service = "scribe", ...overrides }:
      & Omit<Partial<SideOptions>, "service">
      & { port?: number; service?: string } = {},
  ) {
    const router = new LinkRouter();
    const identity = makeIdentity("side", name);
    const { clock } = this;
    const world = new World({ clock });
    const listener = await listenLinks({
      address: { host: "127.0.0.1", port },
      identity,
      clusterKey: CLUSTER_KEY,
      acceptor: router,
      clock,
    });
    const side = new Side({
      identity,
      endpoint: endpointId(name),
      service: serviceId(service),
      engine: engine ?? undefined,
      admission: new FixedAdmission(),
      config: this.config,
      router,
      world,
      log,
      probeIntervalMs: 10,
      tickIntervalMs: 5,
      ...overrides,
    });
    side.start();
    const kill = async () => {
      side.close();
      await listener.close();
    };
    this.#closers.push(kill);
    const address = formatAddress(listener.address);
    this.setHost(name, service, address, identity);
    await waitUntil(() => side.ready);
    return { side, kill, address, port: listener.address.port, listener };
  }

  /** Starts an entry. */
  async startEntry(name: string, overrides: Partial<EntryOptions> = {}) {
    const { clock } = this;
    const identity = makeIdentity("entry", name);
    const router = new LinkRouter();
    const world = new World({ clock });
    const directory = new EndpointDirectory(world);
    const pool = new LinkPool({
      identity,
      clusterKey: CLUSTER_KEY,
      acceptor: router,
      clock,
      rng: new Rng(1),
      backoffBaseMs: 5,
      backoffMaxMs: 20,
    });
    const entry = new Entry({
      identity,
      clusterKey: CLUSTER_KEY,
      listen: { host: "127.0.0.1", port: 0 },
      config: this.config,
      directory,
      links: new PooledLinks(pool),
      router,
      placement: new LeastInFlightPlacement(),
      world,
      log,
      ...overrides,
    });
    this.#directories.add(directory);
    directory.apply(this.#snapshot());
    const address = await entry.listen();
    const kill = () => {
      entry.close();
      pool.close();
    };
    this.#closers.push(kill);
    return { entry, kill, url: `http://${address}`, pool, world };
  }

  /** The listed address of a side. */
  sideAddress(name: string): Address {
    return parseAddress(this.#hosts.get(name)!.side!);
  }

  /** A call to the plain service that may not be repeated. */
  makeCall(path: string): Call {
    return {
      kind: "call",
      req: requestId("r-1"),
      service: serviceId("counter"),
      version: versionId("v1"),
      account: SHOP,
      weight: 1,
      method: "POST",
      path,
      headers: [],
      repeatable: false,
      remainingMs: 5_000,
      attempt: 1,
      revision: revision(1),
      digest: "d",
    };
  }

  /** Lists a side under another address, for example a relay's. */
  setSideAddress(name: string, side: string): void {
    this.#hosts.set(name, { ...this.#hosts.get(name)!, side });
    this.#publish();
  }

  /** Marks a host as leaving or live. */
  setHostState(name: string, state: "live" | "leaving"): void {
    this.#hosts.set(name, { ...this.#hosts.get(name)!, state });
    this.#publish();
  }

  /** Calls `fn` when the fleet is closed. */
  onClose(fn: () => void | Promise<void>): void {
    this.#closers.push(fn);
  }

  async close(): Promise<void> {
    for (const closer of this.#closers.reverse()) await closer();
  }

  /** Adds a live host to the host list. */
  setHost(name: string, service: string, side: string, identity: Identity): void {
    this.#hosts.set(name, {
      host: identity.host,
      dataCentre: identity.dataCentre,
      region: "r-1" as HostRecord["region"],
      state: "live",
      side,
      endpoint: { id: endpointId(name), service: serviceId(service), address: "127.0.0.1:1" },
    });
    this.#publish();
  }

  #publish(): void {
    this.#index++;
    for (const directory of this.#directories) directory.apply(this.#snapshot());
  }

  #snapshot() {
    return { index: this.#index, hosts: [...this.#hosts.values()] };
  }
}

export const SHOP = accountId("shop");
