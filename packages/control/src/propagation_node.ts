/**
 * Propagation of the configuration at one process: pulls from a parent, pushes to children.
 *
 * Inputs are messages, losses and time; outputs are calls of {@link PropagationDependencies}. No sockets and no store here.
 *
 * @module
 */
import type { Clock, Revision, Rng, Undo } from "@wisteriapick/core";
import type { ConfigPush } from "@wisteriapick/wire";
import { ConfigState } from "./config_state.ts";
import { buildPushes, PushReceiver } from "./propagation_push.ts";
import { StartupRule } from "./startup_rule.ts";
import { parentCandidates, type PropagationMember } from "./tree.ts";

/** A process whose proof is older than this looks for another parent. */
export const STALE_AS_OF_MS = 2_000;
/** Pushes go out at least this often. */
export const PUSH_EVERY_MS = 500;
/** Changes that arrive within this time go on in one push. */
const COALESCE_MS = 30;
const TICK_MS = 250;
/** Time a probed peer gets for its first answer, doubled after each one that did not answer, up to the maximum. */
const PROBE_MS = 1_000;
const PROBE_MAX_MS = 4_000;
/** Children of one process; with a mean of 8, few processes are sent on to their next choice. */
export const MAX_CHILDREN = 12;
/** Waits between rounds over all candidates, doubled up to the maximum. */
const ROUND_WAIT_MS = 1_000;
const ROUND_WAIT_MAX_MS = 15_000;
/** A process with a parent that is not its first choice tries the first choice again about this often. */
const PREFER_MS = 30_000;

/** What the node asks of its surroundings. */
export interface PropagationDependencies {
  /** Opens a subscription; answers come to `onPush`, failure to `onPeerLost`. */
  subscribe(peer: PropagationMember, from: Revision): void;
  /** Ends a subscription. */
  unsubscribe(peer: string): void;
  /** Sends to a child. Returns false when the child cannot take more at present. */
  push(child: number, msg: ConfigPush): boolean;
}

interface Child {
  sent: Revision;
  lastPushMs: number;
  blocked: boolean;
}

interface Source {
  readonly member: PropagationMember;
  readonly receiver: PushReceiver;
  readonly sinceMs: number;
  asOfAt: number | null;
}

/** Options of {@link PropagationNode}. */
export interface PropagationNodeOptions {
  readonly self: PropagationMember;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly dependencies: PropagationDependencies;
  readonly state?: ConfigState;
}

/** See the module comment. */
export class PropagationNode {
  readonly state: ConfigState;
  readonly self: PropagationMember;
  readonly #clock: Clock;
  readonly #rng: Rng;
  readonly #dependencies: PropagationDependencies;
  readonly #startup: StartupRule;
  readonly #children = new Map<number, Child>();
  #candidates: PropagationMember[] = [];
  #parent: Source | null = null;
  #probe: Source | null = null;
  /** A peer known to have a newer revision, asked once besides the parent. */
  #helper: Source | null = null;
  #next = 0;
  #rounds = 0;
  /** Probes in a row that were not answered in time. */
  #unanswered = 0;
  #waitUntil = 0;
  #preferAt: number;
  #watching = false;
  #storeUp = false;
  #flushTimer: Undo | null = null;
  #undo: Undo[] = [];

  constructor({ self, clock, rng, dependencies, state }: PropagationNodeOptions) {
    this.self = self;
    this.state = state ?? new ConfigState(clock);
    this.#clock = clock;
    this.#rng = rng;
    this.#dependencies = dependencies;
    this.#startup = new StartupRule(clock);
    this.#preferAt = clock.now() + PREFER_MS * (0.5 + rng.next());
  }

  start(): Undo {
    this.#undo = [
      this.#clock.setRepeating(TICK_MS, () => this.tick()),
      this.state.registerListener(() => this.#scheduleFlush()),
    ];
    this.tick();
    return () => {
      for (const undo of this.#undo) undo();
      this.#flushTimer?.();
      this.#drop("parent");
      this.#drop("probe");
      this.#drop("helper");
    };
  }

  get parent(): string | null {
    return this.#parent?.member.key ?? null;
  }

  get children(): number {
    return this.#children.size;
  }

  /** Whether the origin of the last proof could reach the store. */
  get storeUp(): boolean {
    return this.#storeUp;
  }

  /** Sets who may be pulled from. */
  setMembers(members: readonly PropagationMember[]): void {
    const before = this.#candidates[0]?.key;
    this.#candidates = parentCandidates(members, this.self);
    if (this.#candidates[0]?.key !== before) this.#next = 0;
    this.#startup.setKnown(this.#candidates.length);
  }

  /** Records that this process holds or lost a watcher lease. */
  setWatching(watching: boolean): void {
    this.#watching = watching;
    if (!watching) this.#storeUp = false;
  }

  /** Records an answer or failure of the store at a watcher, after the state took it in. */
  onStoreResult(up: boolean): void {
    this.#storeUp = up;
    if (up) {
      this.#drop("parent");
      this.#drop("probe");
    }
    this.#flush();
  }

  /** Takes in a push from a peer that was pulled from. */
  onPush(peer: string, push: ConfigPush): void {
    const source = this.#sourceOf(peer);
    if (source === null) return;
    const before = this.state.asOfMs();
    const complete = source.receiver.receive(this.state, push);
    if (!complete) return this.#pullAgain(source);
    const caughtUp = this.state.current().revision >= push.revision;
    if (push.asOfMs !== null && caughtUp) {
      source.asOfAt = this.#clock.now() - push.asOfMs;
      this.state.recordProof(source.asOfAt);
    }
    if (source === this.#helper) {
      if (caughtUp) this.#drop("helper");
      return;
    }
    this.#startup.record(peer, push);
    if (!this.#fedByStore()) this.#storeUp = push.storeUp;
    this.#judge(source, push);
    if (this.#startup.satisfied(this.state.current().revision)) {
      this.state.recordReadyWithoutProof();
    }
    const after = this.state.asOfMs();
    if (after !== null && (before === null || after < before)) this.#flush();
  }

  /**
   * Records that a peer has a revision, as carried by a request or an answer. A newer one is fetched from that
   * peer at once.
   */
  onPeerRevision(peer: PropagationMember, heard: Revision): void {
    if (heard <= this.state.current().revision || this.#helper !== null) return;
    if (this.#sourceOf(peer.key) !== null || peer.key === this.self.key) return;
    this.#helper = {
      member: peer,
      receiver: new PushReceiver(),
      sinceMs: this.#clock.now(),
      asOfAt: null,
    };
    this.#dependencies.subscribe(peer, this.state.current().revision);
  }

  /** Takes in entries that a writer offers right after they were accepted. */
  onOffer(push: ConfigPush): void {
    new PushReceiver().receive(this.state, { ...push, asOfMs: null });
  }

  /** Records that a subscription failed or its link broke. */
  onPeerLost(peer: string): void {
    if (this.#parent?.member.key === peer) this.#parent = null;
    if (this.#probe?.member.key === peer) this.#probe = null;
    if (this.#helper?.member.key === peer) this.#helper = null;
    this.#advance();
  }

  /** Takes a child's subscription. Answers at once. */
  onPull(child: number, from: Revision): void {
    const full = this.#children.size >= MAX_CHILDREN;
    if (full) {
      for (const push of buildPushes(this.state, from, this.#head({ full }))) {
        this.#dependencies.push(child, push);
      }
      return;
    }
    const row = { sent: from, lastPushMs: 0, blocked: false };
    this.#children.set(child, row);
    this.#pushTo(child, row);
  }

  onChildLost(child: number): void {
    this.#children.delete(child);
  }

  /** Records that a child takes messages again. */
  onChildDrained(child: number): void {
    const row = this.#children.get(child);
    if (row === undefined) return;
    row.blocked = false;
    this.#pushTo(child, row);
  }

  /** Does what time makes due. */
  tick(): void {
    const now = this.#clock.now();
    for (const [id, row] of this.#children) {
      if (!row.blocked && now - row.lastPushMs >= PUSH_EVERY_MS + TICK_MS) this.#pushTo(id, row);
    }
    if (this.#helper !== null && now - this.#helper.sinceMs > PROBE_MS) this.#drop("helper");
    if (this.#fedByStore()) return;
    const probeMs = Math.min(PROBE_MAX_MS, PROBE_MS * 2 ** this.#unanswered);
    if (this.#probe !== null && now - this.#probe.sinceMs > probeMs) {
      this.#unanswered++;
      this.#drop("probe");
      this.#advance();
    }
    if (this.#isStale()) this.#advance();
    else this.#preferFirst(now);
  }

  /** Whether the store answers this watcher. A call that hangs is no answer, whatever the last one said. */
  #fedByStore(): boolean {
    const asOf = this.state.asOfMs();
    return this.#watching && this.#storeUp && asOf !== null && asOf <= STALE_AS_OF_MS;
  }

  #isStale(): boolean {
    const asOf = this.state.asOfMs();
    return this.#parent === null || asOf === null || asOf > STALE_AS_OF_MS;
  }

  /** Probes the next candidate, unless a probe runs or a whole round has just failed. */
  #advance(): void {
    const now = this.#clock.now();
    if (this.#fedByStore()) return;
    if (this.#probe !== null || this.#candidates.length === 0 || now < this.#waitUntil) return;
    if (this.#next >= this.#candidates.length) {
      this.#next = 0;
      // The wait is spread over its whole length, so that processes cut off together do not return together.
      const top = Math.min(ROUND_WAIT_MAX_MS, ROUND_WAIT_MS * 2 ** this.#rounds++);
      this.#waitUntil = now + top * (0.25 + 0.75 * this.#rng.next());
      return;
    }
    const member = this.#candidates[this.#next++]!;
    if (member.key === this.#parent?.member.key) return this.#advance();
    this.#startProbe(member);
  }

  #startProbe(member: PropagationMember): void {
    // Subscriptions are one per peer.
    if (this.#helper?.member.key === member.key) this.#drop("helper");
    const sinceMs = this.#clock.now();
    this.#probe = { member, receiver: new PushReceiver(), sinceMs, asOfAt: null };
    this.#dependencies.subscribe(member, this.state.current().revision);
  }

  #preferFirst(now: number): void {
    this.#rounds = 0;
    this.#waitUntil = 0;
    if (now < this.#preferAt) return;
    this.#preferAt = now + PREFER_MS * (0.5 + this.#rng.next());
    const first = this.#candidates[0];
    this.#next = 0;
    if (first === undefined || first.key === this.#parent?.member.key || this.#probe) return;
    this.#startProbe(first);
  }

  /** Decides after a push whether the probed peer becomes the parent. */
  #judge(source: Source, push: ConfigPush): void {
    if (source !== this.#probe) return;
    if (push.full) {
      this.#drop("probe");
      return this.#advance();
    }
    // Parts before the last carry no proof; the rest is on its way.
    if (push.asOfMs === null && (push.snapshot !== undefined || push.entries.length > 0)) return;
    const age = source.asOfAt === null ? Infinity : this.#clock.now() - source.asOfAt;
    const current = this.#parent?.asOfAt ?? -Infinity;
    const better = age <= STALE_AS_OF_MS ||
      (source.asOfAt !== null && source.asOfAt > current + STALE_AS_OF_MS);
    if (better || this.#parent === null) {
      this.#drop("parent");
      this.#parent = source;
      this.#unanswered = 0;
      this.#probe = null;
    } else {
      this.#drop("probe");
    }
    if (age > STALE_AS_OF_MS) this.#advance();
  }

  #pullAgain(source: Source): void {
    this.#dependencies.unsubscribe(source.member.key);
    this.#dependencies.subscribe(source.member, this.state.current().revision);
  }

  #sourceOf(peer: string): Source | null {
    if (this.#parent?.member.key === peer) return this.#parent;
    if (this.#probe?.member.key === peer) return this.#probe;
    if (this.#helper?.member.key === peer) return this.#helper;
    return null;
  }

  #drop(which: "parent" | "probe" | "helper"): void {
    const source = { parent: this.#parent, probe: this.#probe, helper: this.#helper }[which];
    if (which === "parent") this.#parent = null;
    else if (which === "probe") this.#probe = null;
    else this.#helper = null;
    if (source !== null) this.#dependencies.unsubscribe(source.member.key);
  }

  #head({ full }: { full?: boolean } = {}) {
    return {
      asOfMs: this.state.asOfMs(),
      storeUp: this.#storeUp,
      full,
      watcher: this.#watching,
      ready: this.state.ready(),
    };
  }

  #scheduleFlush(): void {
    if (this.#flushTimer !== null || this.#children.size === 0) return;
    this.#flushTimer = this.#clock.setTimer(COALESCE_MS, () => {
      this.#flushTimer = null;
      for (const [id, row] of this.#children) {
        if (row.sent < this.state.current().revision) this.#pushTo(id, row);
      }
    });
  }

  /** Relays a newer proof, at most about twice a second for each child. */
  #flush(): void {
    const now = this.#clock.now();
    for (const [id, row] of this.#children) {
      if (now - row.lastPushMs >= PUSH_EVERY_MS - TICK_MS / 2) this.#pushTo(id, row);
    }
  }

  #pushTo(id: number, row: Child): void {
    if (row.blocked) return;
    const pushes = buildPushes(this.state, row.sent, this.#head());
    row.sent = this.state.current().revision;
    row.lastPushMs = this.#clock.now();
    for (const push of pushes) {
      if (!this.#dependencies.push(id, push)) row.blocked = true;
    }
  }
}
