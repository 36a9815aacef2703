/**
 * What the parts of one run share, and what a test may replace to break a promise on purpose.
 *
 * @module
 */
import type { Clock, ManualClock, ProcessId, Rng, Undo } from "@wisteriapick/core";
import { type ConfigSource, StoreWatcher } from "@wisteriapick/control";
import { type LinkSource, Side, type SideOptions, type VersionChooser } from "@wisteriapick/daemon";
import { type Admission, SideAdmission, type SideAdmissionOptions } from "@wisteriapick/policy";
import type { EngineOptions, MemoryHostList, MemoryObjectStore } from "@wisteriapick/standins";
import type { Recorder } from "./history.ts";
import type { MemoryNetwork } from "./memory_network.ts";

/** Replacements of parts of the system. Each one is meant to break one promise. */
export interface Overrides {
  readonly makeSide?: (options: SideOptions) => Side;
  readonly makeAdmission?: (options: SideAdmissionOptions) => Admission;
  /** Wraps the configuration in force at a process. */
  readonly wrapConfig?: (source: ConfigSource) => ConfigSource;
  /** Wraps the links that an entry opens. */
  readonly wrapLinks?: (links: LinkSource) => LinkSource;
  readonly versions?: VersionChooser;
  readonly engine?: EngineOptions;
  /** Alters tokens on their way out of an engine. */
  readonly tamperToken?: (offset: number, text: string, resumed: boolean) => string;
  /** False makes a planned stop of an entry end at once. */
  readonly entryWaitsForRequests?: boolean;
}

/** A process's configuration. */
export interface ProcessConfig {
  readonly source: ConfigSource;
  start(): Undo;
}

/** Parts of a {@link RunContext}. */
export interface RunParts {
  readonly clock: ManualClock;
  readonly rng: Rng;
  readonly recorder: Recorder;
  readonly network: MemoryNetwork;
  readonly store: MemoryObjectStore;
  readonly hosts: MemoryHostList;
  readonly overrides?: Overrides;
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

  constructor({ overrides = {}, ...parts }: RunParts) {
    this.clock = parts.clock;
    this.rng = parts.rng;
    this.recorder = parts.recorder;
    this.network = parts.network;
    this.store = parts.store;
    this.hosts = parts.hosts;
    this.overrides = overrides;
  }

  makeSide(options: SideOptions): Side {
    return this.overrides.makeSide?.(options) ?? new Side(options);
  }

  makeAdmission(options: SideAdmissionOptions): Admission {
    return this.overrides.makeAdmission?.(options) ?? new SideAdmission(options);
  }

  makeConfig(process: ProcessId, clock: Clock): ProcessConfig {
    const watcher = new StoreWatcher(this.store, clock, this.rng.fork(`config/${process}`));
    const source = this.overrides.wrapConfig?.(watcher.state) ?? watcher.state;
    return { source, start: () => watcher.start() };
  }

  /** Records whether a process can be reached by the configuration. */
  setConnected(process: ProcessId, connected: boolean): void {
    this.recorder.record({ atMs: this.clock.now(), type: "process_connected", process, connected });
  }
}
