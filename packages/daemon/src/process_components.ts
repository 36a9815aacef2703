/**
 * The components that entry and side processes share: identity, links and the current configuration.
 *
 * @module
 */
import {
  type Clock,
  createLogger,
  createMetrics,
  type HostId,
  type Logger,
  type Metrics,
  Rng,
  type Undo,
} from "@wisteriapick/core";
import { ControlProcess, memberKey } from "@wisteriapick/control";
import type { HostList, ObjectStore } from "@wisteriapick/clients";
import {
  formatAddress,
  type Identity,
  LinkPool,
  listenLinks,
  parseAddress,
} from "@wisteriapick/wire";

import { LinkRouter } from "./link_router.ts";
import { type LinkSource, PooledLinks } from "./link_source.ts";

/** Options of every process. */
export interface ProcessOptions {
  readonly identity: Identity;
  readonly clusterKey: Uint8Array | string;
  /** Address on which links are accepted, as `ip:port`; with port 0 the system chooses the port. */
  readonly linkAddress: string;
  /** Connections to it whose handshake is not complete; as for a process without a limit of descriptors by default. */
  readonly maxPendingHandshakes?: number;
  readonly store: ObjectStore;
  readonly hostList: HostList;
  readonly clock: Clock;
  readonly seed: number;
  readonly log?: Logger;
}

/** Components that entry and side processes share. */
export interface ProcessComponents {
  readonly router: LinkRouter;
  readonly pool: LinkPool;
  readonly links: LinkSource;
  readonly control: ControlProcess;
  /** The bound link address as `ip:port`. */
  readonly linkAddress: string;
  readonly memberKey: string;
  readonly rng: Rng;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Number of connections of links, those that are being opened included. */
  linkCount(): number;
  /** Starts following the configuration; the result stops it. */
  start(): Undo;
  close(): Promise<void>;
}

/** Binds the link address and creates the shared components. */
export async function makeProcessComponents(options: ProcessOptions): Promise<ProcessComponents> {
  const { identity, clusterKey, clock, seed, maxPendingHandshakes } = options;
  const log = options.log ?? createLogger(identity.role);
  const metrics = createMetrics();
  const rng = new Rng(seed);
  const router = new LinkRouter();
  const shared = { identity, clusterKey, acceptor: router, clock, metrics, log };
  const address = parseAddress(options.linkAddress);
  const listener = await listenLinks({ ...shared, address, maxPendingHandshakes });
  const pool = new LinkPool({ ...shared, rng: rng.fork("pool") });
  const linkAddress = formatAddress(listener.address);
  const linkCount = () => pool.size + listener.links.size + listener.pending;
  const wiring = { router, pool, linkAddress, rng, log, metrics, linkCount };
  return assembleComponents(options, wiring, async () => {
    pool.close();
    await listener.close();
  });
}

/** Creates the shared components on existing links. */
export function assembleComponents(
  options: ProcessOptions,
  wiring: Pick<
    ProcessComponents,
    "router" | "pool" | "linkAddress" | "rng" | "log" | "metrics" | "linkCount"
  >,
  close: () => Promise<void>,
): ProcessComponents {
  const { identity, clock, store, hostList } = options;
  const { router, pool, linkAddress, rng, log } = wiring;
  const key = memberKeyOf(identity.host, identity.role);
  const control = new ControlProcess({
    self: { key, dataCentre: identity.dataCentre, address: linkAddress },
    process: identity.process,
    store,
    hostList,
    pool,
    clock,
    rng: rng.fork("control"),
    log,
  });
  return {
    ...wiring,
    links: new PooledLinks(pool, { clock: options.clock }),
    control,
    memberKey: key,
    start: () => startControl(control, router),
    close,
  };
}

function memberKeyOf(host: HostId, role: Identity["role"]): string {
  return memberKey(host, role === "entry" ? "entry" : "side");
}

function startControl(control: ControlProcess, router: LinkRouter): Undo {
  const undos = [
    router.registerStream("config_pull", (_link, msg, stream) => control.links.accept(msg, stream)),
    router.registerNotify("config_push", (_link, msg) => control.links.acceptOffer(msg)),
    router.registerRevisionListener((link, revision) =>
      control.onPeerRevision(link.peer, revision)
    ),
    control.start(),
  ];
  return () => undos.forEach((undo) => undo());
}
