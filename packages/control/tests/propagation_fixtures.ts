import { dataCentreId, ManualClock, Rng, type Undo } from "@wisteriapick/core";
import type { ConfigPush } from "@wisteriapick/wire";
import { type PropagationMember, PropagationNode, rankMembers } from "../src/mod.ts";
import { decodeEntry } from "../src/mod.ts";
import { makeLog, MemoryStore, putAccount, write } from "./fixtures.ts";

interface RunningNode {
  node: PropagationNode;
  stop: Undo;
}

const DELAY_MS = 2;

/**
 * Many propagation nodes that exchange messages by delayed calls on one manual clock. The test makes the calls of the
 * watchers' stores.
 */
export class PropagationCluster {
  readonly clock = new ManualClock();
  readonly store = new MemoryStore(this.clock);
  readonly log = makeLog(this.store, this.clock);
  readonly members: PropagationMember[] = [];
  readonly nodes = new Map<string, RunningNode>();
  readonly cutDataCentres = new Set<string>();
  readonly highestRevisions = new Map<string, number>();
  subscriptions = 0;
  revertedRevisions = 0;
  storeUp = true;
  #streams = new Map<number, { child: string; parent: string }>();
  #nextStream = 0;
  #rng = new Rng(11);

  constructor(sizes: Record<string, number>) {
    for (const [dc, size] of Object.entries(sizes)) {
      for (let i = 0; i < size; i++) {
        const key = `${dc}-${i}`;
        this.members.push({ key, dataCentre: dataCentreId(dc), address: key });
      }
    }
  }

  startAll(): void {
    for (const member of this.members) this.startNode(member);
  }

  startNode(self: PropagationMember): PropagationNode {
    const rng = this.#rng.fork(`${self.key}/${this.clock.now()}`);
    const node: PropagationNode = new PropagationNode({
      self,
      clock: this.clock,
      rng,
      dependencies: {
        subscribe: (peer, from) => this.#open(self, peer, from),
        unsubscribe: (peer) => this.#close(self.key, peer),
        push: (stream, msg) => this.#push(stream, msg),
      },
    });
    node.setMembers(this.members);
    node.state.registerListener((view) => {
      if (view.revision < (this.highestRevisions.get(self.key) ?? 0)) this.revertedRevisions++;
      this.highestRevisions.set(self.key, view.revision);
    });
    this.highestRevisions.delete(self.key);
    this.nodes.set(self.key, { node, stop: node.start() });
    return node;
  }

  stopNode(key: string): void {
    this.nodes.get(key)?.stop();
    this.nodes.delete(key);
    for (const [id, s] of [...this.#streams]) {
      if (s.child !== key && s.parent !== key) continue;
      this.#streams.delete(id);
      if (s.parent === key) this.#later(() => this.nodes.get(s.child)?.node.onPeerLost(key));
      else this.#later(() => this.nodes.get(s.parent)?.node.onChildLost(id));
    }
  }

  /** Breaks the links of a data centre to the others. */
  cut(dc: string): void {
    this.cutDataCentres.add(dc);
    for (const [id, stream] of [...this.#streams]) {
      if (!this.#isCutBetween(stream.child, stream.parent)) continue;
      this.#streams.delete(id);
      this.nodes.get(stream.child)?.node.onPeerLost(stream.parent);
      this.nodes.get(stream.parent)?.node.onChildLost(id);
    }
  }

  heal(): void {
    this.cutDataCentres.clear();
  }

  watchers(dc: string): string[] {
    return rankMembers(this.members, dataCentreId(dc)).slice(0, 3).map((member) => member.key);
  }

  /** Gives every running watcher of `dataCentres` one response or failure of the store. */
  storeRound(dataCentres: readonly string[]): void {
    for (const key of dataCentres.flatMap((dc) => this.watchers(dc))) {
      const node = this.nodes.get(key)?.node;
      if (node === undefined) continue;
      node.setWatching(true);
      if (this.storeUp) this.#feed(node);
      node.onStoreResult(this.storeUp);
    }
  }

  #feed(node: PropagationNode): void {
    for (const e of this.log.state.entriesAfter(node.state.current().revision) ?? []) {
      node.state.applyEntry(decodeEntry(e.bytes));
    }
    node.state.recordProof(this.clock.now());
  }

  /** Advances the clock, with a store round at the watchers of `dataCentres` every 500 ms. */
  pass(ms: number, dataCentres: readonly string[]): void {
    for (let t = 0; t < ms; t += 50) {
      if (this.clock.now() % 500 === 0) this.storeRound(dataCentres);
      this.clock.advance(50);
    }
  }

  async change(id: string): Promise<number> {
    return write(this.log, id, [putAccount(id)]);
  }

  behind(revision: number): string[] {
    const behind = [...this.nodes].filter(([, r]) => r.node.state.current().revision < revision);
    return behind.map(([key]) => key);
  }

  #isCutBetween(a: string, b: string): boolean {
    const dc = (key: string) => key.slice(0, key.lastIndexOf("-"));
    if (dc(a) === dc(b)) return false;
    return this.cutDataCentres.has(dc(a)) || this.cutDataCentres.has(dc(b));
  }

  #later(fn: () => void): void {
    this.clock.setTimer(DELAY_MS, fn);
  }

  #open(
    self: PropagationMember,
    peer: PropagationMember,
    from: Parameters<PropagationNode["onPull"]>[1],
  ): void {
    this.subscriptions++;
    this.#later(() => {
      const parent = this.nodes.get(peer.key)?.node;
      if (parent === undefined || this.#isCutBetween(self.key, peer.key)) {
        return this.nodes.get(self.key)?.node.onPeerLost(peer.key);
      }
      const id = this.#nextStream++;
      this.#streams.set(id, { child: self.key, parent: peer.key });
      parent.onPull(id, from);
    });
  }

  #close(child: string, parent: string): void {
    for (const [id, stream] of [...this.#streams]) {
      if (stream.child !== child || stream.parent !== parent) continue;
      this.#streams.delete(id);
      this.#later(() => this.nodes.get(parent)?.node.onChildLost(id));
    }
  }

  #push(id: number, msg: ConfigPush): boolean {
    const stream = this.#streams.get(id);
    if (stream === undefined) return true;
    this.#later(() => {
      if (this.#streams.has(id)) this.nodes.get(stream.child)?.node.onPush(stream.parent, msg);
    });
    return true;
  }
}
