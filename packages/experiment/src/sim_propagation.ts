/**
 * Simulated propagation of the configuration: the propagation nodes of the product over delayed calls, a store that
 * can go down, and processes whose control connections can go silent.
 *
 * @module
 */
import {
  type Change,
  decodeEntry,
  type EncodedEntry,
  encodeEntry,
  type PropagationMember,
  PropagationNode,
  rankMembers,
  WATCHERS_PER_DATA_CENTRE,
} from "@wisteriapick/control";
import { type ManualClock, type Revision, revision, type Rng } from "@wisteriapick/core";
import type { ConfigPush } from "@wisteriapick/wire";

const LOCAL_DELAY_MS = 0.5;
const CROSS_DATA_CENTRE_DELAY_MS = 1;
const STORE_DELAY_MS = 4;
const STORE_POLL_INTERVAL_MS = 500;

interface Stream {
  readonly child: PropagationMember;
  readonly parent: PropagationMember;
}

/** Options of {@link SimPropagation}. */
export interface SimPropagationOptions {
  readonly clock: ManualClock;
  readonly rng: Rng;
  readonly members: readonly PropagationMember[];
  /** Whether an accepted change is also sent to the watchers directly, besides being written to the store. */
  readonly offers?: boolean;
}

/** Connects one propagation node per process, and holds the log that the store would hold. */
export class SimPropagation {
  readonly nodes = new Map<string, PropagationNode>();
  storeUp = true;
  readonly #clock: ManualClock;
  readonly #members: readonly PropagationMember[];
  readonly #offersChanges: boolean;
  readonly #streams = new Map<number, Stream>();
  readonly #silentStreams = new Set<number>();
  readonly #unresponsive = new Set<string>();
  readonly #log: EncodedEntry[] = [];
  #nextStream = 0;

  constructor({ clock, rng, members, offers = true }: SimPropagationOptions) {
    this.#clock = clock;
    this.#members = members;
    this.#offersChanges = offers;
    for (const self of members) this.nodes.set(self.key, this.#makeNode(self, rng.fork(self.key)));
    for (const node of this.nodes.values()) node.start();
    for (const m of this.#watchers()) this.nodes.get(m.key)!.setWatching(true);
    clock.setRepeating(STORE_POLL_INTERVAL_MS, () => this.#pollStore());
    this.#pollStore();
  }

  /** The last accepted revision. */
  get revision(): Revision {
    return revision(this.#log.length);
  }

  member(key: string): PropagationMember {
    return this.#members.find((m) => m.key === key)!;
  }

  /**
   * Makes the open control connections of these processes silent without breaking them; their calls to the store
   * get no response for `ms`. New connections work.
   */
  silence(keys: ReadonlySet<string>, ms: number): void {
    for (const [id, s] of this.#streams) {
      if (keys.has(s.child.key) || keys.has(s.parent.key)) this.#silentStreams.add(id);
    }
    for (const key of keys) this.#unresponsive.add(key);
    this.#clock.setTimer(ms, () => keys.forEach((key) => this.#unresponsive.delete(key)));
  }

  /** Accepts changes as the next revision, at the process `by`. */
  accept(changes: readonly Change[], by: string): Revision {
    const r = revision(this.#log.length + 1);
    const note = { who: "operator", atMs: this.#clock.wall(), why: "experiment" };
    const entry = encodeEntry({ revision: r, id: `c${r}`, note, changes: [...changes] });
    this.#log.push(decodeEntry(entry.bytes));
    this.#applyNewEntries(this.nodes.get(by)!);
    if (this.#offersChanges) this.#offer(by);
    // The pending watches of the store respond at once.
    this.#pollStore();
    return r;
  }

  /** Records at `to` the revision that `from` has, as a request or a response between them does. */
  recordPeerRevision(to: string, from: string): void {
    const peerRevision = this.nodes.get(from)!.state.current().revision;
    this.nodes.get(to)!.onPeerRevision(this.member(from), peerRevision);
  }

  #makeNode(self: PropagationMember, rng: Rng): PropagationNode {
    const node = new PropagationNode({
      self,
      clock: this.#clock,
      rng,
      dependencies: {
        subscribe: (peer, from) => this.#subscribe(self, peer, from),
        unsubscribe: (peer) => this.#unsubscribe(self.key, peer),
        push: (id, msg) => this.#push(id, msg),
      },
    });
    node.setMembers(this.#members);
    return node;
  }

  #watchers(): PropagationMember[] {
    const centres = [...new Set(this.#members.map((m) => m.dataCentre))];
    return centres.flatMap((dc) =>
      rankMembers(this.#members, dc).slice(0, WATCHERS_PER_DATA_CENTRE)
    );
  }

  #pollStore(): void {
    for (const m of this.#watchers()) {
      this.#clock.setTimer(STORE_DELAY_MS, () => {
        if (this.#unresponsive.has(m.key)) return;
        const node = this.nodes.get(m.key)!;
        if (this.storeUp) {
          this.#applyNewEntries(node);
          node.state.recordProof(this.#clock.now() - STORE_DELAY_MS);
        }
        node.onStoreResult(this.storeUp);
      });
    }
  }

  #applyNewEntries(node: PropagationNode): void {
    for (const e of this.#log.slice(node.state.current().revision)) node.state.applyEntry(e);
  }

  #offer(by: string): void {
    const self = this.member(by);
    const push: ConfigPush = {
      kind: "config_push",
      revision: this.revision,
      entries: this.#log.slice(-16).map((e) => e.bytes),
      asOfMs: null,
      storeUp: this.storeUp,
    };
    for (const m of this.#watchers()) {
      // Offers use the open connections, which are silent too.
      if (this.#unresponsive.has(m.key)) continue;
      this.#deliver(self, m, () => this.nodes.get(m.key)!.onOffer(push));
    }
  }

  #deliver(from: PropagationMember, to: PropagationMember, fn: () => void): void {
    const delay = from.dataCentre === to.dataCentre ? LOCAL_DELAY_MS : CROSS_DATA_CENTRE_DELAY_MS;
    this.#clock.setTimer(delay, fn);
  }

  #subscribe(self: PropagationMember, peer: PropagationMember, from: Revision): void {
    this.#deliver(self, peer, () => {
      const id = this.#nextStream++;
      this.#streams.set(id, { child: self, parent: peer });
      this.nodes.get(peer.key)!.onPull(id, from);
    });
  }

  #unsubscribe(child: string, parent: string): void {
    for (const [id, s] of this.#streams) {
      if (s.child.key !== child || s.parent.key !== parent) continue;
      this.#streams.delete(id);
      this.#deliver(s.child, s.parent, () => this.nodes.get(parent)!.onChildLost(id));
    }
  }

  #push(id: number, msg: ConfigPush): boolean {
    const s = this.#streams.get(id);
    if (s === undefined || this.#silentStreams.has(id)) return true;
    this.#deliver(s.parent, s.child, () => {
      if (this.#streams.has(id)) this.nodes.get(s.child.key)!.onPush(s.parent.key, msg);
    });
    return true;
  }
}
