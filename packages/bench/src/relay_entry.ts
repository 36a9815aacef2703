/**
 * The second part of the relay benchmark: a complete entry between side stand-ins and HTTP callers.
 *
 * @module
 */
import {
  createLogger,
  endpointId,
  revision,
  Rng,
  serviceId,
  SystemClock,
  World,
} from "@wisteriapick/core";
import { ConfigDocumentSchema, indexConfig, StaticConfigSource } from "@wisteriapick/control";
import {
  EndpointDirectory,
  Entry,
  hashKey,
  LeastInFlightPlacement,
  LinkRouter,
  PooledLinks,
} from "@wisteriapick/daemon";
import type { HostRecord } from "@wisteriapick/clients";
import { type Address, formatAddress, LinkPool } from "@wisteriapick/wire";
import { CpuMeter } from "./cpu.ts";
import { LoadThread } from "./load_thread.ts";
import { liveBytes } from "./memory.ts";
import type { RelaySample } from "./relay_link.ts";
import { type LoadShape, pause, startLoad } from "./relay_load.ts";
import {
  benchIdentity,
  CLIENT_KEY,
  CLUSTER_KEY,
  type SidesData,
  TOKEN_INTERVAL_MS,
} from "./relay_setup.ts";

const WARM_UP_MS = 3_000;
const IDLE_STREAMS = 1_000;

/** Measurements of a complete entry over one interval. */
export interface EntrySample extends RelaySample {
  /** Responses that were truncated or failed, during the whole run. */
  readonly incomplete: number;
}

/** An entry in this thread, with the load threads of its sides and callers. */
class LoadedEntry {
  readonly entry: Entry;
  readonly pool: LinkPool;
  readonly sides: LoadThread;
  readonly callers: LoadThread;
  requests = 0;
  incomplete = 0;

  private constructor(entry: Entry, pool: LinkPool, sides: LoadThread, callers: LoadThread) {
    this.entry = entry;
    this.pool = pool;
    this.sides = sides;
    this.callers = callers;
    callers.onEnded(({ complete }) => {
      if (!complete) this.incomplete++;
    });
  }

  static async open(data: SidesData): Promise<LoadedEntry> {
    const sides = new LoadThread("./relay_sides.js", data);
    const { addresses } = await sides.next("listening");
    const { entry, pool } = createEntry(addresses);
    const url = `http://${await entry.listen()}`;
    const callers = new LoadThread("./relay_callers.js", { url });
    await callers.next("listening");
    return new LoadedEntry(entry, pool, sides, callers);
  }

  call(maxTokens: number): void {
    this.requests++;
    this.callers.send({ kind: "call", maxTokens });
  }

  async workersUs(): Promise<number> {
    return await this.sides.cpuUs() + await this.callers.cpuUs();
  }

  async close(): Promise<void> {
    this.entry.close();
    this.pool.close();
    await this.sides.close();
    await this.callers.close();
  }
}

function createEntry(addresses: readonly Address[]) {
  const clock = new SystemClock();
  const world = new World({ clock });
  const directory = new EndpointDirectory(world);
  directory.apply({ index: 1, hosts: addresses.map(createHost) });
  const router = new LinkRouter();
  const identity = benchIdentity("entry", 0);
  const pool = new LinkPool({
    identity,
    clusterKey: CLUSTER_KEY,
    acceptor: router,
    clock,
    rng: new Rng(1),
  });
  const entry = new Entry({
    identity,
    clusterKey: CLUSTER_KEY,
    listen: { host: "127.0.0.1", port: 0 },
    config: new StaticConfigSource(createConfig()),
    directory,
    links: new PooledLinks(pool),
    router,
    placement: new LeastInFlightPlacement(),
    world,
    log: createLogger("bench", { level: "silent" }),
  });
  return { entry, pool };
}

function createHost(address: Address, side: number): HostRecord {
  const { host, dataCentre } = benchIdentity("side", side);
  return {
    host,
    dataCentre,
    region: "r-1" as HostRecord["region"],
    state: "live",
    side: formatAddress(address),
    endpoint: {
      id: endpointId(`scribe-${side}`),
      service: serviceId("scribe"),
      address: "127.0.0.1:1",
    },
  };
}

function createConfig() {
  const doc = ConfigDocumentSchema.parse({
    services: [{ id: "scribe", kind: "model", versions: [{ id: "v1" }], activeVersion: "v1" }],
    accounts: [{ id: "shop", keyHashes: [hashKey(CLIENT_KEY)] }],
    dataCentres: [{ id: "dc-1", region: "r-1" }],
  });
  return indexConfig(doc, revision(1));
}

/** Measures a complete entry under a steady load. */
export async function measureEntryLoad(
  shape: LoadShape,
  { sides, seed, ms }: { sides: number; seed: number; ms: number },
): Promise<EntrySample> {
  const loaded = await LoadedEntry.open({ sides, intervalMs: TOKEN_INTERVAL_MS });
  const stop = startLoad(shape, seed, (tokens) => loaded.call(tokens));
  await pause(WARM_UP_MS);
  const meter = new CpuMeter(() => loaded.workersUs());
  await meter.start();
  const requests = loaded.requests;
  const before = await loaded.callers.count();
  await pause(ms);
  const after = await loaded.callers.count();
  const counts = {
    tokens: after.tokens - before.tokens,
    bytes: after.bytes - before.bytes,
    requests: loaded.requests - requests,
  };
  const use = await meter.stop();
  stop();
  const { incomplete } = loaded;
  await loaded.close();
  return { ...counts, ...use, incomplete };
}

/** Measures the bytes that one open stream holds in the entry, from the caller's socket to the link. */
export async function measureEntryMemory(): Promise<number> {
  const loaded = await LoadedEntry.open({ sides: 8, intervalMs: 3_600_000 });
  loaded.call(1);
  await pause(500);
  const before = liveBytes();
  for (let i = 0; i < IDLE_STREAMS; i++) loaded.call(1);
  await pause(2_000);
  const bytes = (liveBytes() - before) / IDLE_STREAMS;
  await loaded.close();
  return bytes;
}
