/**
 * Objects that the components of one run share, and the replacements with which a test violates a property on purpose.
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
  assembleComponents,
  LinkRouter,
  type ProcessComponents,
  type ProcessOptions,
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

/** Replacements of components of the system. Each of them is meant to violate one property. */
export interface Overrides {
  readonly makeAdmission?: () => Admission;
  /** Wraps the configuration that is in force at a process. */
  readonly wrapConfig?: (source: ConfigSource) => ConfigSource;
  /** Wraps the host list that processes read. */
  readonly wrapHosts?: (hosts: HostList) => HostList;
  /** Alters messages that arrive at entries. */
  readonly tamper?: Tamper;
  readonly versions?: VersionChooser;
  readonly engine?: EngineOptions;
  /** Alters tokens on their way out of an engine. */
  readonly tamperToken?: (offset: number, text: string, resumed: boolean) => string;
  /** If false, a planned stop of an entry ends at once, without draining its requests. */
  readonly entryDrains?: boolean;
}

/** Options of {@link RunContext}. */
export interface RunContextOptions {
  readonly clock: ManualClock;
  readonly rng: Rng;
  readonly recorder: Recorder;
  readonly network: MemoryNetwork;
  readonly store: MemoryObjectStore;
  readonly hosts: MemoryHostList;
  readonly overrides?: Overrides;
}

/** Clock, network, store, host list, recorder and overrides of one run; creates the components of its processes. */
export class RunContext {
  readonly clock: ManualClock;
  readonly rng: Rng;
  readonly recorder: Recorder;
  readonly network: MemoryNetwork;
  readonly store: MemoryObjectStore;
  readonly hosts: MemoryHostList;
  readonly overrides: Overrides;

  constructor({ overrides = {}, ...rest }: RunContextOptions) {
    this.clock = rest.clock;
    this.rng = rest.rng;
    this.recorder = rest.recorder;
    this.network = rest.network;
    this.store = rest.store;
    this.hosts = rest.hosts;
    this.overrides = overrides;
  }

  /** Creates the options and components of one process, which runs on its own clock. */
  makeProcess(
    identity: Identity,
    linkAddress: string,
    clock: Clock,
  ): { options: ProcessOptions; components: ProcessComponents } {
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
    const wiring = {
      router,
      pool,
      linkAddress,
      rng,
      log,
      metrics: createMetrics(),
      linkCount: () => 0,
    };
    const stopListening = network.listen(linkAddress, identity, router);
    const components = assembleComponents(options, wiring, async () => {
      stopListening();
      pool.close();
    });
    return { options, components };
  }

  /** The configuration source of a process, with its override applied. */
  configOf(components: ProcessComponents): ConfigSource {
    return this.overrides.wrapConfig?.(components.control.state) ?? components.control.state;
  }

  /** Records whether configuration changes can reach a process. */
  setConnected(process: ProcessId, connected: boolean): void {
    this.recorder.record({ atMs: this.clock.now(), type: "process_connected", process, connected });
  }
}
