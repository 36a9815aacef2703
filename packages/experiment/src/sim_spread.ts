/**
 * Propagation of the configuration in an experiment: the real spread nodes over delayed calls, with a store that
 * can go down and processes whose control messages can be held up.
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

const LOCAL_MS = 0.5;
const CROSSING_MS = 1;
const STORE_MS = 4;
const WATCH_EVERY_MS = 500;

interface Stream {
  readonly child: PropagationMember;
  readonly parent: PropagationMember;
}

/** Options of {@link SimSpread}. */
export interface SimSpreadOptions {
  readonly clock: ManualClock;
  readonly rng: Rng;
  readonly members: readonly PropagationMember[];
  /** Whether an accepted change is offered to the watchers besides the store. */
  readonly offers?: boolean;
}

/** See the module comment. */
export class SimSpread {
  readonly nodes = new Map<string, PropagationNode>();
  storeUp = true;
  readonly #clock: ManualClock;
  readonly #members: readonly PropagationMember[];
  readonly #offers: boolean;
  readonly #streams = new Map<number, Stream>();
  readonly #silent = new Set<number>();
  readonly #hung = new Set<string>();
  readonly #log: EncodedEntry[] = [];
  #nextStream = 0;

  constructor({ clock, rng, members, offers = true }: SimSpreadOptions) {
    this.#clock = clock;
    this.#members = members;
    this.#offers = offers;
    for (const self of members) this.nodes.set(self.key, this.#makeNode(self, rng.fork(self.key)));
    for (const node of this.nodes.values()) node.start();
    for (const m of this.#watchers()) this.nodes.get(m.key)!.setWatching(true);
    clock.setRepeating(WATCH_EVERY_MS, () => this.#watchRound());
    this.#watchRound();
  }

  /** The revision accepted last. */
  get revision(): Revision {
    return revision(this.#log.length);
  }

  member(key: string): PropagationMember {
    return this.#members.find((m) => m.key === key)!;
  }

  /**
   * The open control connections of these processes go silent without breaking, and their calls to the store
   * get no answer for `ms`. New connections work.
   */
  silence(keys: ReadonlySet<string>, ms: number): void {
    for (const [id, s] of this.#streams) {
      if (keys.has(s.child.key) || keys.has(s.parent.key)) this.#silent.add(id);
    }
    for (const key of keys) this.#hung.add(key);
    this.#clock.setTimer(ms, () => keys.forEach((key) => this.#hung.delete(key)));
  }

  /** Accepts a change now, at the process `by`. */
  accept(changes: readonly Change[], by: string): Revision {
    const r = revision(this.#log.length + 1);
    const note = { who: "operator", atMs: this.#clock.wall(), why: "experiment" };
    const entry = encodeEntry({ revision: r, id: `c${r}`, note, changes: [...changes] });
    this.#log.push(decodeEntry(entry.bytes));
    this.#feed(this.nodes.get(by)!);
    if (this.#offers) this.#offer(by);
    // Waiting watches answer at once.
    this.#watchRound();
    return r;
  }

  /** Tells `to` which revision `from` has, as a request or an answer does. */
  hear(to: string, from: string): void {
    const heard = this.nodes.get(from)!.state.current().revision;
    this.nodes.get(to)!.onPeerRevision(this.member(from), heard);
  }

  #makeNode(self: PropagationMember, rng: Rng): PropagationNode {
    const node = new PropagationNode({
      self,
      clock: this.#clock,
      rng,
      dependencies: {
        subscribe: (peer, from) => this.#open(self, peer, from),
        unsubscribe: (peer) => this.#close(self.key, peer),
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

  #watchRound(): void {
    for (const m of this.#watchers()) {
      this.#clock.setTimer(STORE_MS, () => {
        if (this.#hung.has(m.key)) return;
        const node = this.nodes.get(m.key)!;
        if (this.storeUp) {
          this.#feed(node);
          node.state.recordProof(this.#clock.now() - STORE_MS);
        }
        node.onStoreResult(this.storeUp);
      });
    }
  }

  #feed(node: PropagationNode): void {
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
      // Offers go over open links, which are as silent as the rest.
      if (this.#hung.has(m.key)) continue;
      this.#deliver(self, m, () => this.nodes.get(m.key)!.onOffer(push));
    }
  }

  #deliver(from: PropagationMember, to: PropagationMember, fn: () => void): void {
    const delay = from.dataCentre === to.dataCentre ? LOCAL_MS : CROSSING_MS;
    this.#clock.setTimer(delay, fn);
  }

  #open(self: PropagationMember, peer: PropagationMember, from: Revision): void {
    this.#deliver(self, peer, () => {
      const id = this.#nextStream++;
      this.#streams.set(id, { child: self, parent: peer });
      this.nodes.get(peer.key)!.onPull(id, from);
    });
  }

  #close(child: string, parent: string): void {
    for (const [id, s] of this.#streams) {
      if (s.child.key !== child || s.parent.key !== parent) continue;
      this.#streams.delete(id);
      this.#deliver(s.child, s.parent, () => this.nodes.get(parent)!.onChildLost(id));
    }
  }

  #push(id: number, msg: ConfigPush): boolean {
    const s = this.#streams.get(id);
    if (s === undefined || this.#silent.has(id)) return true;
    this.#deliver(s.parent, s.child, () => {
      if (this.#streams.has(id)) this.nodes.get(s.child.key)!.onPush(s.parent.key, msg);
    });
    return true;
  }
}
