/**
 * One endpoint of a run with its side process, which can end, pause and start again.
 *
 * @module
 */
import {
  createLogger,
  type DataCentreId,
  type EndpointId,
  hostId,
  type ProcessId,
  processId,
  Rng,
  type ServiceId,
  type Undo,
  versionId,
  World,
} from "@wisteriapick/core";
import { StoreWatcher } from "@wisteriapick/control";
import { LinkRouter, type Side } from "@wisteriapick/daemon";
import { SideAdmission } from "@wisteriapick/policy";
import type { Identity } from "@wisteriapick/wire";
import { watchRevisions } from "./check_config.ts";
import type { RunContext } from "./context.ts";
import { MemoryEngine } from "./memory_engine.ts";
import { PausableClock } from "./pausable_clock.ts";

/** Where an endpoint is. */
export interface CheckSideOptions {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly address: string;
}

/** See the module comment. */
export class CheckSide {
  readonly options: CheckSideOptions;
  readonly engine: MemoryEngine;
  readonly #ctx: RunContext;
  #starts = 0;
  #process: ProcessId | null = null;
  #clock: PausableClock | null = null;
  #side: Side | null = null;
  #undos: Undo[] = [];

  constructor(ctx: RunContext, options: CheckSideOptions) {
    this.#ctx = ctx;
    this.options = options;
    this.engine = new MemoryEngine({
      ...options,
      clock: ctx.clock,
      rng: ctx.rng.fork(`engine/${options.endpoint}`),
      recorder: ctx.recorder,
      version: versionId("v1"),
      engine: { kvTotalTokens: 4_000, maxBatch: 16 },
    });
  }

  get process(): ProcessId | null {
    return this.#process;
  }

  start(): void {
    if (this.#process !== null) return;
    const { endpoint, service, dataCentre, address } = this.options;
    const { network, store, recorder } = this.#ctx;
    const process = processId(`side-${endpoint}.${++this.#starts}`);
    const identity: Identity = { role: "side", process, host: hostId(`h-${endpoint}`), dataCentre };
    const clock = new PausableClock(this.#ctx.clock);
    const rng = new Rng(this.#ctx.rng.fork(process).seed);
    const watcher = new StoreWatcher(store, clock, rng);
    const router = new LinkRouter();
    const side = this.#ctx.makeSide({
      identity,
      endpoint,
      service,
      engine: this.engine,
      admission: new SideAdmission({ kvTotalTokens: 4_000, name: endpoint }),
      config: watcher.state,
      router,
      world: new World({ clock }),
      log: createLogger("side", { level: "silent" }),
    });
    recorder.record({ atMs: clock.now(), type: "process_started", process });
    this.#undos = [
      watchRevisions(this.#ctx, process, watcher.state),
      watcher.start(),
      network.listen(address, identity, router),
    ];
    side.start();
    this.#process = process;
    this.#clock = clock;
    this.#side = side;
  }

  /** Ends the side process at once. */
  kill(): void {
    if (this.#process === null) return;
    const { network, recorder, clock } = this.#ctx;
    recorder.record({ atMs: clock.now(), type: "process_killed", process: this.#process });
    for (const undo of this.#undos) undo();
    this.#side!.close();
    network.kill(this.#process);
    this.#process = null;
  }

  pause(): void {
    if (this.#process === null) return;
    this.#clock!.pause();
    this.#ctx.network.setFrozen(this.#process, true);
    this.#ctx.setConnected(this.#process, false);
  }

  resume(): void {
    if (this.#process === null) return;
    this.#ctx.network.setFrozen(this.#process, false);
    this.#ctx.setConnected(this.#process, true);
    this.#clock!.resume();
  }
}
