/**
 * Propagation of the configuration at one process, which pulls from a parent and pushes to its children.
 *
 * Its inputs are messages, lost links and time, and its outputs are calls of {@link PropagationDependencies}. It
 * uses neither sockets nor the store itself.
 *
 * @module
 */
import type { Clock, Revision, Rng, Undo } from "@wisteriapick/core";
import type { ConfigPush } from "@wisteriapick/wire";
import { ConfigState } from "./config_state.ts";
import { buildPushes, PushReceiver } from "./propagation_push.ts";
import { StartupRule } from "./startup_rule.ts";
import { parentCandidates, type PropagationMember } from "./tree.ts";

/** A process whose last proof of freshness is older than this looks for another parent. */
export const STALE_AFTER_MS = 2_000;
/** Longest time between two pushes to a child, not counting the interval of the timer. */
export const PUSH_INTERVAL_MS = 500;
/** Entries that arrive within this time are relayed in one push. */
const COALESCE_MS = 30;
const TICK_MS = 250;
/** Time that a probed peer has to send its first push. Doubles with each probe that timed out, up to the maximum. */
const PROBE_MS = 1_000;
const MAX_PROBE_MS = 4_000;
/** Maximum number of children of a process. The mean is 8, so few processes are turned away to their next candidate. */
export const MAX_CHILDREN = 12;
/** Delay between two rounds over all candidates, doubled after each round up to the maximum. */
const ROUND_DELAY_MS = 1_000;
const MAX_ROUND_DELAY_MS = 15_000;
/** A process whose parent is not its first candidate probes the first candidate again about this often. */
const FIRST_CANDIDATE_RETRY_MS = 30_000;

/** Connections to peers, which the node uses but does not implement. */
export interface PropagationDependencies {
  /** Opens a subscription from a revision. Pushes arrive at `onPush`, a failure at `onPeerLost`. */
  subscribe(peer: PropagationMember, from: Revision): void;
  /** Ends a subscription. */
  unsubscribe(peer: string): void;
  /** Sends to a child. Returns false when the child's stream accepts no more messages for now. */
  push(child: number, msg: ConfigPush): boolean;
}

interface Child {
  sentRevision: Revision;
  lastPushMs: number;
  /** Whether the child's stream accepts no more messages for now. */
  blocked: boolean;
}

interface Upstream {
  readonly member: PropagationMember;
  readonly receiver: PushReceiver;
  readonly sinceMs: number;
  /** Time of the newest proof of freshness from this peer; `null` before the first. */
  provenAtMs: number | null;
}

/** Options of {@link PropagationNode}. */
export interface PropagationNodeOptions {
  readonly self: PropagationMember;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly dependencies: PropagationDependencies;
  readonly state?: ConfigState;
}

/** The propagation of the configuration at one process: subscribes to a parent and relays to children. */
export class PropagationNode {
  readonly state: ConfigState;
  readonly self: PropagationMember;
  readonly #clock: Clock;
  readonly #rng: Rng;
  readonly #dependencies: PropagationDependencies;
  readonly #startupRule: StartupRule;
  readonly #children = new Map<number, Child>();
  #candidates: PropagationMember[] = [];
  #parent: Upstream | null = null;
  #probe: Upstream | null = null;
  /** A peer known to have a newer revision. This subscription ends as soon as the process has caught up with it. */
  #catchUp: Upstream | null = null;
  #nextCandidate = 0;
  #rounds = 0;
  /** Successive probes that timed out. */
  #unansweredProbes = 0;
  #nextRoundAtMs = 0;
  #firstRetryAtMs: number;
  #isWatching = false;
  #storeUp = false;
  #entryPushTimer: Undo | null = null;
  #undos: Undo[] = [];

  constructor({ self, clock, rng, dependencies, state }: PropagationNodeOptions) {
    this.self = self;
    this.state = state ?? new ConfigState(clock);
    this.#clock = clock;
    this.#rng = rng;
    this.#dependencies = dependencies;
    this.#startupRule = new StartupRule(clock);
    this.#firstRetryAtMs = clock.now() + FIRST_CANDIDATE_RETRY_MS * (0.5 + rng.next());
  }

  start(): Undo {
    this.#undos = [
      this.#clock.setRepeating(TICK_MS, () => this.tick()),
      this.state.registerListener(() => this.#scheduleEntryPush()),
    ];
    this.tick();
    return () => {
      for (const undo of this.#undos) undo();
      this.#entryPushTimer?.();
      this.#drop("parent");
      this.#drop("probe");
      this.#drop("catchUp");
    };
  }

  get parentKey(): string | null {
    return this.#parent?.member.key ?? null;
  }

  get childCount(): number {
    return this.#children.size;
  }

  /** Whether the watcher behind the last proof could reach the store. */
  get storeUp(): boolean {
    return this.#storeUp;
  }

  /** Sets the processes from which the candidates for a parent are chosen. */
  setMembers(members: readonly PropagationMember[]): void {
    const previousFirstKey = this.#candidates[0]?.key;
    this.#candidates = parentCandidates(members, this.self);
    if (this.#candidates[0]?.key !== previousFirstKey) this.#nextCandidate = 0;
    this.#startupRule.setPeerCount(this.#candidates.length);
  }

  /** Records whether this process holds a watcher lease. */
  setWatching(isWatching: boolean): void {
    this.#isWatching = isWatching;
    if (!isWatching) this.#storeUp = false;
  }

  /** Records a response or failure of the store at a watcher, after the state was updated from it. */
  onStoreResult(up: boolean): void {
    this.#storeUp = up;
    if (up) {
      this.#drop("parent");
      this.#drop("probe");
    }
    this.#relayProof();
  }

  /** Applies a push from a peer that this process is subscribed to; pushes of others are ignored. */
  onPush(peer: string, push: ConfigPush): void {
    const upstream = this.#upstreamOf(peer);
    if (upstream === null) return;
    const previousAgeMs = this.state.asOfMs();
    const isComplete = upstream.receiver.receive(this.state, push);
    if (!isComplete) return this.#resubscribe(upstream);
    const hasCaughtUp = this.state.current().revision >= push.revision;
    if (push.asOfMs !== null && hasCaughtUp) {
      upstream.provenAtMs = this.#clock.now() - push.asOfMs;
      this.state.recordProof(upstream.provenAtMs);
    }
    if (upstream === this.#catchUp) {
      if (hasCaughtUp) this.#drop("catchUp");
      return;
    }
    this.#startupRule.record(peer, push);
    if (!this.#isFollowingStore()) this.#storeUp = push.storeUp;
    this.#evaluateProbe(upstream, push);
    if (this.#startupRule.isSatisfied(this.state.current().revision)) {
      this.state.recordReadyWithoutProof();
    }
    const ageMs = this.state.asOfMs();
    if (ageMs !== null && (previousAgeMs === null || ageMs < previousAgeMs)) this.#relayProof();
  }

  /**
   * Records a peer's revision, as carried by its requests and responses. A newer one is fetched from that peer at
   * once.
   */
  onPeerRevision(peer: PropagationMember, peerRevision: Revision): void {
    if (peerRevision <= this.state.current().revision || this.#catchUp !== null) return;
    if (this.#upstreamOf(peer.key) !== null || peer.key === this.self.key) return;
    this.#catchUp = {
      member: peer,
      receiver: new PushReceiver(),
      sinceMs: this.#clock.now(),
      provenAtMs: null,
    };
    this.#dependencies.subscribe(peer, this.state.current().revision);
  }

  /** Applies entries that a writer sends right after they were accepted. An offer is no proof of freshness. */
  onOffer(push: ConfigPush): void {
    new PushReceiver().receive(this.state, { ...push, asOfMs: null });
  }

  /** Records that a subscription failed or its link was lost. */
  onPeerLost(peer: string): void {
    if (this.#parent?.member.key === peer) this.#parent = null;
    if (this.#probe?.member.key === peer) this.#probe = null;
    if (this.#catchUp?.member.key === peer) this.#catchUp = null;
    this.#probeNextCandidate();
  }

  /** Adds a child, or turns it away with `full` set when there are too many. Pushes at once in both cases. */
  onPull(child: number, from: Revision): void {
    const full = this.#children.size >= MAX_CHILDREN;
    if (full) {
      for (const push of buildPushes(this.state, from, this.#pushHeader({ full }))) {
        this.#dependencies.push(child, push);
      }
      return;
    }
    const row = { sentRevision: from, lastPushMs: 0, blocked: false };
    this.#children.set(child, row);
    this.#pushTo(child, row);
  }

  onChildLost(child: number): void {
    this.#children.delete(child);
  }

  /** Records that a child's stream accepts messages again. */
  onChildDrained(child: number): void {
    const row = this.#children.get(child);
    if (row === undefined) return;
    row.blocked = false;
    this.#pushTo(child, row);
  }

  /** Sends overdue pushes, ends probes that timed out and looks for a better parent. */
  tick(): void {
    const now = this.#clock.now();
    for (const [id, row] of this.#children) {
      if (!row.blocked && now - row.lastPushMs >= PUSH_INTERVAL_MS + TICK_MS) this.#pushTo(id, row);
    }
    if (this.#catchUp !== null && now - this.#catchUp.sinceMs > PROBE_MS) this.#drop("catchUp");
    if (this.#isFollowingStore()) return;
    const probeMs = Math.min(MAX_PROBE_MS, PROBE_MS * 2 ** this.#unansweredProbes);
    if (this.#probe !== null && now - this.#probe.sinceMs > probeMs) {
      this.#unansweredProbes++;
      this.#drop("probe");
      this.#probeNextCandidate();
    }
    if (this.#isStale()) this.#probeNextCandidate();
    else this.#retryFirstCandidate(now);
  }

  /** Whether this is a watcher with a recent proof from the store. Its age counts, as a call that hangs never fails. */
  #isFollowingStore(): boolean {
    const ageMs = this.state.asOfMs();
    return this.#isWatching && this.#storeUp && ageMs !== null && ageMs <= STALE_AFTER_MS;
  }

  #isStale(): boolean {
    const ageMs = this.state.asOfMs();
    return this.#parent === null || ageMs === null || ageMs > STALE_AFTER_MS;
  }

  /** Probes the next candidate, unless a probe is in progress or the delay after a failed round has not passed. */
  #probeNextCandidate(): void {
    const now = this.#clock.now();
    if (this.#isFollowingStore()) return;
    if (this.#probe !== null || this.#candidates.length === 0 || now < this.#nextRoundAtMs) return;
    if (this.#nextCandidate >= this.#candidates.length) {
      this.#nextCandidate = 0;
      // A random delay, so that processes that were cut off together do not reconnect together.
      const maxDelayMs = Math.min(MAX_ROUND_DELAY_MS, ROUND_DELAY_MS * 2 ** this.#rounds++);
      this.#nextRoundAtMs = now + maxDelayMs * (0.25 + 0.75 * this.#rng.next());
      return;
    }
    const member = this.#candidates[this.#nextCandidate++]!;
    if (member.key === this.#parent?.member.key) return this.#probeNextCandidate();
    this.#startProbe(member);
  }

  #startProbe(member: PropagationMember): void {
    // There is at most one subscription per peer.
    if (this.#catchUp?.member.key === member.key) this.#drop("catchUp");
    const sinceMs = this.#clock.now();
    this.#probe = { member, receiver: new PushReceiver(), sinceMs, provenAtMs: null };
    this.#dependencies.subscribe(member, this.state.current().revision);
  }

  #retryFirstCandidate(now: number): void {
    this.#rounds = 0;
    this.#nextRoundAtMs = 0;
    if (now < this.#firstRetryAtMs) return;
    this.#firstRetryAtMs = now + FIRST_CANDIDATE_RETRY_MS * (0.5 + this.#rng.next());
    const first = this.#candidates[0];
    this.#nextCandidate = 0;
    if (first === undefined || first.key === this.#parent?.member.key || this.#probe) return;
    this.#startProbe(first);
  }

  /** Decides on a push of the probed peer whether that peer becomes the parent. */
  #evaluateProbe(upstream: Upstream, push: ConfigPush): void {
    if (upstream !== this.#probe) return;
    if (push.full) {
      this.#drop("probe");
      return this.#probeNextCandidate();
    }
    // Only the last push of a series carries a proof, so the decision is left to that push.
    if (push.asOfMs === null && (push.snapshot !== undefined || push.entries.length > 0)) return;
    const ageMs = upstream.provenAtMs === null ? Infinity : this.#clock.now() - upstream.provenAtMs;
    const parentProvenAtMs = this.#parent?.provenAtMs ?? -Infinity;
    const isFresher = ageMs <= STALE_AFTER_MS ||
      (upstream.provenAtMs !== null && upstream.provenAtMs > parentProvenAtMs + STALE_AFTER_MS);
    if (isFresher || this.#parent === null) {
      this.#drop("parent");
      this.#parent = upstream;
      this.#unansweredProbes = 0;
      this.#probe = null;
    } else {
      this.#drop("probe");
    }
    if (ageMs > STALE_AFTER_MS) this.#probeNextCandidate();
  }

  #resubscribe(upstream: Upstream): void {
    this.#dependencies.unsubscribe(upstream.member.key);
    this.#dependencies.subscribe(upstream.member, this.state.current().revision);
  }

  #upstreamOf(peer: string): Upstream | null {
    if (this.#parent?.member.key === peer) return this.#parent;
    if (this.#probe?.member.key === peer) return this.#probe;
    if (this.#catchUp?.member.key === peer) return this.#catchUp;
    return null;
  }

  #drop(which: "parent" | "probe" | "catchUp"): void {
    const upstream = { parent: this.#parent, probe: this.#probe, catchUp: this.#catchUp }[which];
    if (which === "parent") this.#parent = null;
    else if (which === "probe") this.#probe = null;
    else this.#catchUp = null;
    if (upstream !== null) this.#dependencies.unsubscribe(upstream.member.key);
  }

  #pushHeader({ full }: { full?: boolean } = {}) {
    return {
      asOfMs: this.state.asOfMs(),
      storeUp: this.#storeUp,
      full,
      watcher: this.#isWatching,
      ready: this.state.ready(),
    };
  }

  #scheduleEntryPush(): void {
    if (this.#entryPushTimer !== null || this.#children.size === 0) return;
    this.#entryPushTimer = this.#clock.setTimer(COALESCE_MS, () => {
      this.#entryPushTimer = null;
      for (const [id, row] of this.#children) {
        if (row.sentRevision < this.state.current().revision) this.#pushTo(id, row);
      }
    });
  }

  /** Relays a newer proof of freshness, at most about twice a second to each child. */
  #relayProof(): void {
    const now = this.#clock.now();
    for (const [id, row] of this.#children) {
      if (now - row.lastPushMs >= PUSH_INTERVAL_MS - TICK_MS / 2) this.#pushTo(id, row);
    }
  }

  #pushTo(id: number, row: Child): void {
    if (row.blocked) return;
    const pushes = buildPushes(this.state, row.sentRevision, this.#pushHeader());
    row.sentRevision = this.state.current().revision;
    row.lastPushMs = this.#clock.now();
    for (const push of pushes) {
      if (!this.#dependencies.push(id, push)) row.blocked = true;
    }
  }
}
