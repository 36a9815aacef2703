/**
 * What the parts of one run share.
 *
 * @module
 */
import type { ManualClock, ProcessId, Rng } from "@wisteriapick/core";
import { Side, type SideOptions } from "@wisteriapick/daemon";
import type { MemoryHostList, MemoryObjectStore } from "@wisteriapick/standins";
import type { Recorder } from "./history.ts";
import type { MemoryNetwork } from "./memory_network.ts";

/** Replaces parts of the system, so that a run can be made to break a promise. */
export interface Overrides {
  readonly makeSide?: (options: SideOptions) => Side;
  /** False makes a planned stop of an entry end at once. */
  readonly entryWaitsForRequests?: boolean;
}

/** See the module comment. */
export class RunContext {
  readonly clock: ManualClock;
  readonly rng: Rng;
  readonly recorder: Recorder;
  readonly network: MemoryNetwork;
  readonly store: MemoryObjectStore;
  readonly hosts: MemoryHostList;
  readonly overrides: Overrides;

  constructor(parts: {
    clock: ManualClock;
    rng: Rng;
    recorder: Recorder;
    network: MemoryNetwork;
    store: MemoryObjectStore;
    hosts: MemoryHostList;
    overrides?: Overrides;
  }) {
    this.clock = parts.clock;
    this.rng = parts.rng;
    this.recorder = parts.recorder;
    this.network = parts.network;
    this.store = parts.store;
    this.hosts = parts.hosts;
    this.overrides = parts.overrides ?? {};
  }

  makeSide(options: SideOptions): Side {
    return this.overrides.makeSide?.(options) ?? new Side(options);
  }

  /** Records whether a process can be reached by the configuration. */
  setConnected(process: ProcessId, connected: boolean): void {
    this.recorder.record({ atMs: this.clock.now(), type: "process_connected", process, connected });
  }
}
