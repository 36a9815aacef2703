/**
 * One entry of a run: the whole entry process, HTTP included, on connections in memory.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type Duplex, duplexPair } from "node:stream";
import {
  createLogger,
  type DataCentreId,
  hostId,
  type ProcessId,
  processId,
  type RequestId,
  type Undo,
  World,
} from "@wisteriapick/core";
import { Directory, Entry, followHostList, LinkRouter } from "@wisteriapick/daemon";
import { SubsetPlacement } from "@wisteriapick/policy";
import type { Identity } from "@wisteriapick/wire";
import { watchRevisions } from "./check_config.ts";
import type { RunContext } from "./context.ts";
import { MemoryLinks } from "./memory_links.ts";
import { PausableClock } from "./pausable_clock.ts";

const CLUSTER_KEY = "check-cluster-key";

interface Running {
  readonly process: ProcessId;
  readonly clock: PausableClock;
  readonly entry: Entry;
  readonly links: MemoryLinks;
  readonly undos: Undo[];
}

/** See the module comment. */
export class CheckEntry {
  readonly name: string;
  readonly #ctx: RunContext;
  readonly #dataCentre: DataCentreId;
  readonly #connections = new Map<Duplex, RequestId>();
  #starts = 0;
  #running: Running | null = null;

  constructor(ctx: RunContext, { name, dataCentre }: { name: string; dataCentre: DataCentreId }) {
    this.#ctx = ctx;
    this.name = name;
    this.#dataCentre = dataCentre;
  }

  get process(): ProcessId | null {
    return this.#running?.process ?? null;
  }

  /** What the balancer's health check sees. */
  get healthy(): boolean {
    return this.#running?.entry.healthy ?? false;
  }

  start(): void {
    if (this.#running !== null) return;
    const process = processId(`${this.name}.${++this.#starts}`);
    const { recorder, network, hosts, overrides, store } = this.#ctx;
    const clock = new PausableClock(this.#ctx.clock);
    const dataCentre = this.#dataCentre;
    const identity: Identity = { role: "entry", process, host: hostId(this.name), dataCentre };
    const router = new LinkRouter();
    const links = new MemoryLinks(network, identity, router);
    const world = new World({ clock });
    const directory = new Directory(world);
    const config = this.#ctx.makeConfig(process, clock);
    const rng = this.#ctx.rng.fork(`placement/${process}`);
    let ids = 0;
    const makeId = (prefix: string) => `${prefix}-${process}-${++ids}`;
    const nonce = () =>
      createHash("sha256").update(makeId("nonce")).digest("base64url").slice(0, 16);
    const entry = new Entry({
      identity,
      clusterKey: CLUSTER_KEY,
      listen: { host: "127.0.0.1", port: 0 },
      config: config.source,
      directory,
      links: overrides.wrapLinks?.(links) ?? links,
      router,
      placement: new SubsetPlacement({ entry: this.name, dataCentre, rng }),
      world,
      log: createLogger("entry", { level: "silent" }),
      versions: overrides.versions,
      store,
      idempotency: { makeNonce: nonce },
      makeId,
    });
    recorder.record({ atMs: clock.now(), type: "process_started", process });
    entry.start();
    const undos = [
      watchRevisions(this.#ctx, process, config.source),
      config.start(),
      followHostList(hosts, directory, { clock }).undo,
    ];
    this.#running = { process, clock, entry, links, undos };
  }

  /** Opens a caller's connection for one request. */
  connect(req: RequestId): Duplex {
    const [near, far] = duplexPair();
    this.#connections.set(near, req);
    near.once("close", () => this.#connections.delete(near));
    this.#running!.entry.accept(far);
    return near;
  }

  /** Ends the process at once; its callers' connections break. */
  kill(): void {
    if (this.#running === null) return;
    const { process, links, undos, entry } = this.#running;
    this.#ctx.recorder.record({ atMs: this.#ctx.clock.now(), type: "process_killed", process });
    for (const undo of undos) undo();
    this.#running = null;
    this.#breakConnections();
    links.close();
    this.#ctx.network.kill(process);
    entry.close();
  }

  /** Stops as planned: no new work, the rest finishes, then the process ends. */
  async stop(): Promise<void> {
    const running = this.#running;
    if (running === null || !running.entry.healthy) return;
    const { process, entry } = running;
    const { recorder, clock, overrides } = this.#ctx;
    recorder.record({ atMs: clock.now(), type: "process_stop_planned", process });
    if (overrides.entryWaitsForRequests ?? true) await entry.drain();
    if (this.#running !== running) return;
    for (const req of this.#connections.values()) {
      recorder.record({ atMs: clock.now(), type: "request_cut", process, req });
    }
    this.kill();
  }

  pause(): void {
    if (this.#running === null) return;
    this.#running.clock.pause();
    this.#ctx.network.setFrozen(this.#running.process, true);
    this.#ctx.setConnected(this.#running.process, false);
  }

  resume(): void {
    if (this.#running === null) return;
    this.#ctx.network.setFrozen(this.#running.process, false);
    this.#ctx.setConnected(this.#running.process, true);
    this.#running.clock.resume();
  }

  #breakConnections(): void {
    for (const connection of [...this.#connections.keys()]) connection.destroy();
    this.#connections.clear();
  }
}
