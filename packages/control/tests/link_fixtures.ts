import {
  dataCentreId,
  hostId,
  processId,
  regionId,
  Rng,
  SystemClock,
  type Undo,
} from "@wisteriapick/core";
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
import { ControlProcess } from "../src/mod.ts";

/** A host list whose hosts the test sets. */
export class FixedHostList extends HostList {
  hosts: HostRecord[] = [];
  index = 0;

  override async read(): Promise<HostSnapshot> {
    return { index: ++this.index, hosts: this.hosts };
  }
}

/** The control part of a process on a loopback port. */
export interface RunningControl {
  readonly control: ControlProcess;
  readonly listener: LinkListener;
  readonly stop: () => Promise<void>;
}

/** Creates the control part of a process on a loopback port and adds it to the host list. */
export async function startControl(
  name: string,
  dc: string,
  { store, hostList, seed = 1 }: { store: ObjectStore; hostList: FixedHostList; seed?: number },
): Promise<RunningControl & { start: () => Undo }> {
  const clock = new SystemClock();
  const dataCentre = dataCentreId(dc);
  const process = processId(`${name}.${seed}`);
  const identity: Identity = { role: "entry", process, host: hostId(name), dataCentre };
  const acceptor: LinkAcceptor = {
    onStream: (_link, msg, stream) => {
      if (msg.kind === "config_pull") return control.links.accept(msg, stream);
      stream.abort();
      return { onMessage: () => {}, onClose: () => {} };
    },
    onNotify: (_link, msg) => msg.kind === "config_push" && control.links.acceptOffer(msg),
  };
  const common = { identity, clusterKey: "test-cluster-key", acceptor, clock };
  const listener = await listenLinks({ ...common, address: { host: "127.0.0.1", port: 0 } });
  const address = `127.0.0.1:${listener.address.port}`;
  const rng = new Rng(seed).fork(name);
  const pool = new LinkPool({ ...common, rng });
  const self = { key: `${name}/entry`, dataCentre, address };
  const control = new ControlProcess({ self, process, store, hostList, pool, clock, rng });
  const region = regionId("accra");
  hostList.hosts.push({ host: hostId(name), dataCentre, region, state: "live", entry: address });
  let undo: Undo = () => {};
  return {
    control,
    listener,
    start: () => undo = control.start(),
    stop: async () => {
      undo();
      pool.close();
      await listener.close();
    },
  };
}
