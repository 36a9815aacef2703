/**
 * Fixtures for tests of entry and side: a model engine in memory and processes on loopback ports.
 *
 * @module
 */
import {
  accountId,
  createLogger,
  dataCentreId,
  endpointId,
  type GenerationId,
  hostId,
  processId,
  raise,
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
import {
  type CacheEvent,
  type EngineEvent,
  type EngineGeneration,
  type EngineLoad,
  type EngineOrder,
  type EngineRequest,
  type EngineState,
  type HostRecord,
  ModelEngine,
} from "@wisteriapick/platform";
import {
  type Address,
  type Call,
  type Identity,
  LinkPool,
  listenLinks,
  type Role,
} from "@wisteriapick/wire";
import {
  Directory,
  Entry,
  type EntryOptions,
  FixedAdmission,
  formatAddress,
  hashKey,
  LeastInFlightPlacement,
  LinkRouter,
  parseAddress,
  PooledLinks,
  Side,
  type SideOptions,
} from "../src/mod.ts";

export const CLUSTER_KEY = "test-cluster-key";
export const CLIENT_KEY = "key-museum-shop";
export const OTHER_KEY = "key-other-shop";
export const OPERATOR_KEY = "key-operator";

/** Waits until `test` holds; the test runner's own limit ends a wait that never does. */
export async function until(test: () => boolean): Promise<void> {
  while (!test()) await new Promise((resolve) => setTimeout(resolve, 1));
}

interface FakeGeneration {
  readonly req: EngineRequest;
  readonly tokens: string[];
  end: Extract<EngineEvent, { type: "end" }> | null;
}

/** An engine whose tokens are released by the test. Text of token n is `t<n> `. */
export class FakeEngine extends ModelEngine {
  readonly runs: EngineRequest[] = [];
  readonly cancelled: GenerationId[] = [];
  readonly orders: EngineOrder[] = [];
  /** Tokens each generation may have produced at present; raise it with {@link FakeEngine.release}. */
  allowed = 0;
  /** Tokens after which a generation stops. */
  total = 5;
  version = "v1";
  ready = true;
  highestFence: number | undefined = undefined;
  /** Called for each run before its first event. */
  onRun: (req: EngineRequest) => void = () => {};
  /** While true, every call fails as if no process listened. */
  down = false;
  /** Generations that ended by themselves. */
  finished = 0;
  readonly #held = new Map<GenerationId, FakeGeneration>();
  #wake: (() => void)[] = [];
  #epoch = 0;

  /** Lets generations produce up to `n` tokens. */
  release(n: number): void {
    this.allowed = n;
    this.#notify();
  }

  /** Tokens that a generation has produced. */
  produced(gen: GenerationId | undefined): number {
    return gen === undefined ? 0 : this.#held.get(gen)?.tokens.length ?? 0;
  }

  /** Ends every open stream and forgets every generation, as a crash does. */
  crash({ down = false }: { down?: boolean } = {}): void {
    this.down = down;
    this.#epoch++;
    this.#held.clear();
    this.#notify();
  }

  /** Silences the streams that are open now; new ones work. */
  silenceOpenStreams(): void {
    this.#silencedEpoch = ++this.#streamCount;
  }

  async *run(
    req: EngineRequest,
    options: { signal?: AbortSignal } = {},
  ): AsyncIterable<EngineEvent> {
    this.#assertUp();
    this.runs.push(req);
    if (this.#held.has(req.gen)) raise({ type: "engine", message: "known", status: 409 });
    this.#held.set(req.gen, { req, tokens: [], end: null });
    const epoch = this.#epoch;
    this.onRun(req);
    yield* this.#events(req.gen, 0, { epoch, signal: options.signal });
  }

  async *resume(
    gen: GenerationId,
    options: { offset: number; signal?: AbortSignal },
  ): AsyncIterable<EngineEvent> {
    this.#assertUp();
    if (!this.#held.has(gen)) raise({ type: "engine", message: "unknown", status: 404 });
    yield* this.#events(gen, options.offset, { epoch: this.#epoch, signal: options.signal });
  }

  async cancel(gen: GenerationId): Promise<void> {
    this.cancelled.push(gen);
    const held = this.#held.get(gen);
    if (held !== undefined) held.end ??= this.#makeEnd(held, "cancelled");
    this.#notify();
  }

  async generations(): Promise<readonly EngineGeneration[]> {
    this.#assertUp();
    return [...this.#held].map(([gen, held]) => ({
      gen,
      produced: held.tokens.length,
      done: held.end !== null,
    }));
  }

  async load(): Promise<EngineLoad> {
    this.#assertUp();
    return {
      running: this.#held.size,
      waiting: 0,
      kvUsedTokens: 0,
      kvTotalTokens: 1_000,
      preemptions: 0,
      ageMs: 0,
    };
  }

  async state(): Promise<EngineState> {
    this.#assertUp();
    const { version, ready, highestFence } = this;
    return { version, model: "m", adapters: [], role: "serve", ready, highestFence };
  }

  async order(order: EngineOrder): Promise<EngineState> {
    this.#assertUp();
    this.orders.push(order);
    this.version = order.version;
    return await this.state();
  }

  async cacheEvents(): Promise<readonly CacheEvent[]> {
    return [];
  }

  #streamCount = 0;
  #silencedEpoch = 0;

  async *#events(
    gen: GenerationId,
    from: number,
    { epoch, signal }: { epoch: number; signal?: AbortSignal },
  ): AsyncIterable<EngineEvent> {
    const stream = ++this.#streamCount;
    let offset = from;
    for (;;) {
      if (this.#epoch !== epoch) raise({ type: "unreachable", message: "engine died" });
      if (signal?.aborted) return;
      const held = this.#held.get(gen)!;
      const silent = stream <= this.#silencedEpoch;
      if (!silent) this.#produce(held);
      if (!silent && offset < held.tokens.length) {
        yield { type: "token", offset, text: held.tokens[offset]! };
        offset++;
      } else if (!silent && held.end !== null) {
        yield held.end;
        return;
      } else await this.#change(signal);
    }
  }

  #produce(held: FakeGeneration): void {
    const total = Math.min(this.total, held.req.maxTokens);
    if (held.end !== null) return;
    while (held.tokens.length < Math.min(this.allowed, total)) {
      held.tokens.push(`t${held.tokens.length} `);
    }
    if (held.tokens.length < total) return;
    held.end = this.#makeEnd(held, total < this.total ? "length" : "stop");
    this.finished++;
  }

  #makeEnd(held: FakeGeneration, reason: "stop" | "length" | "cancelled") {
    const completionTokens = held.tokens.length;
    return { type: "end", reason, promptTokens: 3, cachedTokens: 1, completionTokens } as const;
  }

  #change(signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      this.#wake.push(resolve);
      signal?.addEventListener("abort", () => resolve(), { once: true });
    });
  }

  #notify(): void {
    const wake = this.#wake;
    this.#wake = [];
    for (const fn of wake) fn();
  }

  #assertUp(): void {
    if (this.down) raise({ type: "unreachable", message: "connection refused" });
  }
}

/** The text of `n` tokens of {@link FakeEngine}. */
export function tokensText(n: number): string {
  return Array.from({ length: n }, (_, i) => `t${i} `).join("");
}

/** A configuration with a model service `scribe` and a plain service `counter`. */
export function makeConfig(parts: Record<string, unknown> = {}, rev = 1): ConfigView {
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
    ...parts,
  };
  return indexConfig(ConfigDocumentSchema.parse(doc), revision(rev));
}

/** An identity named by its role and a number. */
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
  /** A configuration that only sides see that are given it. */
  readonly sideConfig = new StaticConfigSource(makeConfig());
  readonly clock = new SystemClock();
  readonly #hosts = new Map<string, HostRecord>();
  readonly #directories = new Set<Directory>();
  readonly #closers: (() => void | Promise<void>)[] = [];
  #index = 0;

  /** Starts a side for an endpoint; `port` restarts one at the same address. */
  async side(
    name: string,
    engine: ModelEngine | null,
    { port = 0, service = "scribe", ...parts }:
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
      probeMs: 10,
      tickMs: 5,
      ...parts,
    });
    side.start();
    const kill = async () => {
      side.close();
      await listener.close();
    };
    this.#closers.push(kill);
    const address = formatAddress(listener.address);
    this.setHost(name, service, address, identity);
    await until(() => side.ready);
    return { side, kill, address, port: listener.address.port, listener };
  }

  /** Starts an entry. */
  async entry(name: string, parts: Partial<EntryOptions> = {}) {
    const { clock } = this;
    const identity = makeIdentity("entry", name);
    const router = new LinkRouter();
    const world = new World({ clock });
    const directory = new Directory(world);
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
      ...parts,
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

  /** The address of a side. */
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

  /** Lists a side under another address, for example that of a relay. */
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

  /** Lists a host. */
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
