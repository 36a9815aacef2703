/**
 * Members of one data centre that propagate the configuration over loopback sockets, all in this process.
 *
 * @module
 */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { type ConfigLog, ControlProcess } from "@wisteriapick/control";
import { dataCentreId, hostId, processId, regionId, Rng, SystemClock } from "@wisteriapick/core";
import {
  HostList,
  type HostRecord,
  type HostSnapshot,
  type ObjectStore,
} from "@wisteriapick/clients";
import {
  type Identity,
  type LinkAcceptor,
  type LinkListener,
  LinkPool,
  listenLinks,
} from "@wisteriapick/wire";

const DATA_CENTRE = dataCentreId("dc-1");
const REGION = regionId("region-1");

class InMemoryHostList extends HostList {
  readonly hosts: HostRecord[] = [];

  override async read(): Promise<HostSnapshot> {
    return { index: 1, hosts: this.hosts };
  }
}

/** One member of the group, with the port at which it listens. */
export interface BenchMember {
  readonly control: ControlProcess;
  readonly port: number;
}

/** A running group of members. */
export interface BenchGroup {
  readonly members: readonly BenchMember[];
  readonly log: ConfigLog;
  /** Bytes sent and received so far by all members, and sent by each member to its children, by port. */
  bytes(): { total: number; sentByPort: Map<number, number> };
  close(): Promise<void>;
}

/** Starts `count` members that share `store`. */
export async function startGroup(
  count: number,
  { store, seed }: { store: ObjectStore; seed: number },
): Promise<BenchGroup> {
  const clock = new SystemClock();
  const hostList = new InMemoryHostList();
  const sockets = new Set<Socket>();
  const onSocket = (msg: unknown) => void sockets.add((msg as { socket: Socket }).socket);
  subscribe("net.server.socket", onSocket);
  const pools: LinkPool[] = [];
  const listeners: LinkListener[] = [];
  const members: BenchMember[] = [];
  for (let i = 0; i < count; i++) {
    const name = `host-${i}`;
    const process = processId(`${name}.1`);
    const identity: Identity = {
      role: "side",
      process,
      host: hostId(name),
      dataCentre: DATA_CENTRE,
    };
    const acceptor: LinkAcceptor = {
      onStream: (_link, msg, stream) => {
        if (msg.kind === "config_pull") return control.links.accept(msg, stream);
        stream.abort();
        return { onMessage: () => {}, onClose: () => {} };
      },
      onNotify: (_link, msg) => msg.kind === "config_push" && control.links.acceptOffer(msg),
    };
    const common = { identity, clusterKey: "bench", acceptor, clock };
    const listener = await listenLinks({ ...common, address: { host: "127.0.0.1", port: 0 } });
    const { port } = listener.address;
    const address = `127.0.0.1:${port}`;
    const rng = new Rng(seed).fork(name);
    const pool = new LinkPool({ ...common, rng });
    const self = { key: `${name}/side`, dataCentre: DATA_CENTRE, address };
    const control = new ControlProcess({ self, process, store, hostList, pool, clock, rng });
    hostList.hosts.push({
      host: hostId(name),
      dataCentre: DATA_CENTRE,
      region: REGION,
      state: "live",
      side: address,
    });
    members.push({ control, port });
    pools.push(pool);
    listeners.push(listener);
  }
  const stopFunctions = members.map((m) => m.control.start());
  return {
    members,
    log: members[0]!.control.log,
    bytes: () => {
      const sentByPort = new Map<number, number>();
      let total = 0;
      for (const s of sockets) {
        // Each link has one server socket, so that its reads and writes are all the traffic of the link.
        total += s.bytesWritten + s.bytesRead;
        const port = localPortOf(s);
        if (port === null) continue;
        sentByPort.set(port, (sentByPort.get(port) ?? 0) + s.bytesWritten);
      }
      return { total, sentByPort };
    },
    close: async () => {
      unsubscribe("net.server.socket", onSocket);
      for (const stop of stopFunctions) stop();
      for (const pool of pools) pool.close();
      await Promise.all(listeners.map((l) => l.close()));
    },
  };
}

const localPorts = new WeakMap<Socket, number>();

/** Returns the local port of a socket, also after the socket was closed. */
function localPortOf(socket: Socket): number | null {
  if (socket.localPort !== undefined) localPorts.set(socket, socket.localPort);
  return localPorts.get(socket) ?? null;
}
