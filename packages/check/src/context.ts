/**
 * What the parts of one run share, and what a test may replace to break a promise on purpose.
 *
 * @module
 */
import {
  type Clock,
  createLogger,
  createMetrics,
  type ManualClock,
  type ProcessId,
  type Rng,
} from "@wisteriapick/core";
import type { ConfigSource } from "@wisteriapick/control";
import {
  assembleParts,
  LinkRouter,
  type ProcessOptions,
  type ProcessParts,
  type VersionChooser,
} from "@wisteriapick/daemon";
import type { HostList } from "@wisteriapick/clients";
import type { Admission } from "@wisteriapick/policy";
import type { EngineOptions, MemoryHostList, MemoryObjectStore } from "@wisteriapick/standins";
import type { Identity } from "@wisteriapick/wire";
import type { Recorder } from "./history.ts";
import type { MemoryNetwork } from "./memory_network.ts";
import { MemoryPool } from "./memory_pool.ts";
import { type Tamper, TamperedLink } from "./tampered_link.ts";

/** Replacements of parts of the system. Each one is meant to break one promise. */
export interface Overrides {
  readonly makeAdmission?: () => Admission;
  /** Wraps the configuration in force at a process. */
  readonly wrapConfig?: (source: ConfigSource) => ConfigSource;
  /** Wraps the host list that processes read. */
  readonly wrapHosts?: (hosts: HostList) => HostList;
  /** Alters messages that arrive at entries. */
  readonly tamper?: Tamper;
  readonly versions?: VersionChooser;
  readonly engine?: EngineOptions;
  /** Alters tokens on their way out of an engine. */
  readonly tamperToken?: (offset: number, text: string, resumed: boolean) => string;
  /** False makes a planned stop of an entry end at once. */
  readonly entryWaitsForRequests?: boolean;
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

  /** Options and links of one process, on its own clock. */
  makeProcess(
    identity: Identity,
    linkAddress: string,
    clock: Clock,
  ): { options: ProcessOptions; parts: ProcessParts } {
    const { network, store, hosts, overrides } = this;
    const rng = this.rng.fork(identity.process);
    const options: ProcessOptions = {
      identity,
      clusterKey: "check-cluster-key",
      linkAddress,
      store,
      hostList: overrides.wrapHosts?.(hosts) ?? hosts,
      clock,
      seed: rng.seed,
    };
    const router = new LinkRouter();
    const { tamper } = overrides;
    const pool = new MemoryPool({
      network,
      identity,
      acceptor: router,
      clock,
      rng: rng.fork("pool"),
      wrapLink: tamper && ((link) => new TamperedLink(link, tamper)),
    });
    const log = createLogger(identity.role, { level: "silent" });
    const made = { router, pool, linkAddress, rng, log, metrics: createMetrics() };
    const undo = network.listen(linkAddress, identity, router);
    const parts = assembleParts(options, made, async () => {
      undo();
      pool.close();
    });
    return { options, parts };
  }

  /** The configuration in force at a process, as its parts see it. */
  configOf(parts: ProcessParts): ConfigSource {
    return this.overrides.wrapConfig?.(parts.control.state) ?? parts.control.state;
  }

  /** Records whether a process can be reached by the configuration. */
  setConnected(process: ProcessId, connected: boolean): void {
    this.recorder.record({ atMs: this.clock.now(), type: "process_connected", process, connected });
  }
}
