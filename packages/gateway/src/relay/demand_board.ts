/**
 * What callers need of engines, at this gateway and at its peers: generations in the queues, work that has started by
 * account and by service, and callers that were refused and are expected back.
 *
 * @module
 */
import type { Clock, ServiceId, Undo } from "@wisteriapick/core";
import {
  AccountWork,
  DecayingSum,
  type ExpectedReturn,
  ReturningCallers,
} from "@wisteriapick/policy";
import type { Demand, QueuedDemand } from "@wisteriapick/wire";

/** A generation that starts. */
export interface StartedGeneration {
  readonly service: ServiceId;
  readonly account: string;
  readonly tokens: number;
  /** Expected time for which it occupies its place, in milliseconds. */
  readonly holdMs: number;
  readonly isOnTime: boolean;
}

/** Generations in the queue of a peer. */
export interface PeerQueue extends QueuedDemand {
  readonly startByMs: number;
}

/** What a peer has announced. */
interface PeerDemand {
  queued: readonly PeerQueue[];
  queuedAtMs: number;
  readonly started: Map<string, number>;
  readonly accounts: Map<string, number>;
}

/** Longest time for which changes wait for another announcement to go with, in milliseconds. */
const MAX_ANNOUNCE_DELAY_MS = 250;
/**
 * The same for each peer. An announcement goes to every peer, so a gateway sends at most 125 a second for want of
 * others, however many peers there are.
 */
const ANNOUNCE_DELAY_MS_PER_PEER = 8;
/** Queues that were announced longer ago than this many delays have probably changed. */
const MAX_QUEUE_AGE_DELAYS = 6;
/** Half-life of the rate at which work starts, in milliseconds. */
const RATE_HALF_LIFE_MS = 3_000;
/** Accounts in one announcement; the others follow in later ones. */
const MAX_ANNOUNCED_ACCOUNTS = 64;
/** Accounts and services that are counted for each gateway. */
const MAX_COUNTED = 1_024;
/** Announced work beyond it is taken for an error, in tokens: ten times the memory of the largest fleets. */
const MAX_TOKENS = 10_000_000;
/** Announced times beyond it are taken for an error, in milliseconds. */
const MAX_MS = 600_000;
const MAX_TOKEN_MS = MAX_TOKENS * MAX_MS;
/** Entries of a peer's queue that are used: one for each rank, share and region. */
const MAX_QUEUE_ENTRIES = 256;

/** Records the demand of this gateway's callers, and what its peers announce of theirs. */
export class DemandBoard {
  readonly work = new AccountWork();
  readonly returning = new ReturningCallers();
  readonly #clock: Clock;
  readonly #peers = new Map<string, PeerDemand>();
  readonly #rates = new Map<string, DecayingSum>();
  readonly #started = new Map<string, number>();
  readonly #accounts = new Map<string, number>();
  readonly #changedServices = new Set<string>();
  readonly #changedAccounts = new Set<string>();
  #refused: { readonly entry: ExpectedReturn; readonly atMs: number }[] = [];
  #unannouncedRefusals = 0;
  #queueOf: () => readonly QueuedDemand[] = () => [];
  /** Whether the queue was empty when it was last announced. */
  #wasQueueEmpty = true;
  #changedSinceMs: number | null = null;
  readonly #queues = new Map<ServiceId, PeerQueue[]>();
  #queuesAtMs = -Infinity;
  #listeners: readonly (() => void)[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Calls `fn` when changes have waited too long for another announcement to go with. */
  registerListener(fn: () => void): Undo {
    this.#listeners = [...this.#listeners, fn];
    return () => {
      this.#listeners = this.#listeners.filter((l) => l !== fn);
    };
  }

  /** Records a generation that starts at an engine. */
  recordStart({ service, account, tokens, holdMs, isOnTime }: StartedGeneration): void {
    const now = this.#clock.now();
    this.work.record(account, tokens, now);
    addTo(this.#accounts, account, tokens);
    this.#changedAccounts.add(account);
    if (isOnTime) {
      this.#recordWork(service, tokens * holdMs, now);
      addTo(this.#started, service, tokens * holdMs);
      this.#changedServices.add(service);
    }
    this.#markChanged();
  }

  /** Records a refusal whose caller is expected back. */
  recordRefusal(entry: ExpectedReturn): void {
    const now = this.#clock.now();
    this.returning.expect(entry, now);
    this.#refused = [
      ...this.#refused.filter((refused) => refused.atMs + refused.entry.inMs > now),
      { entry, atMs: now },
    ];
    this.#unannouncedRefusals++;
    this.#markChanged();
  }

  /** Sets how it is found what waits in this gateway's queue. */
  setQueueSource(queueOf: () => readonly QueuedDemand[]): void {
    this.#queueOf = queueOf;
  }

  /** Announces changes that have waited too long. Called each tick. */
  tick(): void {
    if (!this.#wasQueueEmpty || this.#queueOf().length > 0) this.#markChanged();
    if (this.#changedSinceMs === null) return;
    if (this.#clock.now() - this.#changedSinceMs < this.#announceDelayMs) return;
    this.#changedSinceMs = null;
    for (const listener of this.#listeners) listener();
  }

  /** What has changed since the last call, for an announcement to all peers. */
  takeChanges(): Demand | undefined {
    for (const account of this.#changedAccounts) {
      if (!this.#accounts.has(account)) this.#changedAccounts.delete(account);
    }
    const accounts = [...this.#changedAccounts].slice(0, MAX_ANNOUNCED_ACCOUNTS);
    const services = [...this.#changedServices];
    const refused = this.#unannouncedRefusals === 0
      ? []
      : this.#refused.slice(-this.#unannouncedRefusals);
    const queued = this.#queueOf();
    const hasQueue = queued.length > 0 || !this.#wasQueueEmpty;
    for (const account of accounts) this.#changedAccounts.delete(account);
    this.#changedServices.clear();
    this.#unannouncedRefusals = 0;
    this.#wasQueueEmpty = queued.length === 0;
    this.#changedSinceMs = this.#changedAccounts.size > 0 ? this.#clock.now() : null;
    if (accounts.length + services.length + refused.length === 0 && !hasQueue) return undefined;
    return this.#makeDemand({ accounts, services, refused, queued: hasQueue ? queued : null });
  }

  /** All that is in force, for a peer that may have missed changes. */
  all(): Demand {
    return this.#makeDemand({
      accounts: [...this.#accounts.keys()],
      services: [...this.#started.keys()],
      refused: this.#refused,
      queued: this.#queueOf(),
    });
  }

  /** Applies what a peer has announced. What it has counted before its first announcement here is left out. */
  applyPeer(peer: string, { queued, started = [], accounts = [], refused = [] }: Demand): void {
    const now = this.#clock.now();
    let known = this.#peers.get(peer);
    const isFirst = known === undefined;
    if (known === undefined) {
      known = { queued: [], queuedAtMs: now, started: new Map(), accounts: new Map() };
      this.#peers.set(peer, known);
    }
    if (queued !== undefined) {
      known.queued = queued.filter(isPlausibleQueue).slice(0, MAX_QUEUE_ENTRIES)
        .map((demand) => ({ ...demand, startByMs: now + demand.startByInMs }));
      this.#queuesAtMs = -Infinity;
      known.queuedAtMs = now;
    }
    for (const { service, tokenMs } of started) {
      const added = advance(known.started, service, tokenMs, isFirst);
      if (added > 0 && added <= MAX_TOKEN_MS) this.#recordWork(service, added, now);
    }
    for (const { account, tokens } of accounts) {
      const added = advance(known.accounts, account, tokens, isFirst);
      if (added > 0 && added <= MAX_TOKENS) this.work.record(account, added, now);
    }
    for (const entry of refused) if (isPlausibleReturn(entry)) this.returning.expect(entry, now);
  }

  /** Forgets the queue and the counts of a peer that is gone. */
  removePeer(peer: string): void {
    this.#peers.delete(peer);
    this.#queuesAtMs = -Infinity;
  }

  /** What waits in the queues of peers for a service, with the mean of the times by which it must start. */
  queuedAtPeers(service: ServiceId): readonly PeerQueue[] {
    const now = this.#clock.now();
    // It is asked for several times for each generation in the queue.
    if (now !== this.#queuesAtMs) {
      this.#queues.clear();
      this.#queuesAtMs = now;
    }
    let queues = this.#queues.get(service);
    if (queues === undefined) {
      queues = [];
      for (const { queued, queuedAtMs } of this.#peers.values()) {
        if (now - queuedAtMs > MAX_QUEUE_AGE_DELAYS * this.#announceDelayMs) continue;
        for (const demand of queued) if (demand.service === service) queues.push(demand);
      }
      this.#queues.set(service, queues);
    }
    return queues;
  }

  /** Tokens that generations which start on time at all gateways occupy at the recent rate of starts. */
  occupiedByArrivals(service: ServiceId): number {
    const sum = this.#rates.get(service)?.at(this.#clock.now(), RATE_HALF_LIFE_MS) ?? 0;
    return sum * Math.LN2 / RATE_HALF_LIFE_MS;
  }

  get #announceDelayMs(): number {
    return Math.max(MAX_ANNOUNCE_DELAY_MS, ANNOUNCE_DELAY_MS_PER_PEER * this.#peers.size);
  }

  #recordWork(service: string, tokenMs: number, nowMs: number): void {
    let sum = this.#rates.get(service);
    if (sum === undefined) {
      if (this.#rates.size >= MAX_COUNTED) return;
      this.#rates.set(service, sum = new DecayingSum());
    }
    sum.add(tokenMs, nowMs, RATE_HALF_LIFE_MS);
  }

  #makeDemand({ accounts, services, refused, queued }: {
    readonly accounts: readonly string[];
    readonly services: readonly string[];
    readonly refused: readonly { readonly entry: ExpectedReturn; readonly atMs: number }[];
    readonly queued: readonly QueuedDemand[] | null;
  }): Demand {
    const now = this.#clock.now();
    return {
      ...queued !== null ? { queued } : {},
      ...services.length > 0
        ? {
          started: services.map((service) => ({
            service: service as ServiceId,
            tokenMs: this.#started.get(service) ?? 0,
          })),
        }
        : {},
      ...accounts.length > 0
        ? {
          accounts: accounts.map((account) => ({
            account,
            tokens: this.#accounts.get(account) ?? 0,
          })),
        }
        : {},
      ...refused.length > 0
        ? {
          refused: refused.map(({ entry, atMs }) => ({
            ...entry,
            inMs: entry.inMs + atMs - now,
            startByInMs: entry.startByInMs + atMs - now,
          })),
        }
        : {},
    };
  }

  #markChanged(): void {
    this.#changedSinceMs ??= this.#clock.now();
  }
}

function isWithin(value: number, max: number): boolean {
  return value >= 0 && value <= max;
}

function isPlausibleQueue({ tokens, tokenMs, startByInMs }: QueuedDemand): boolean {
  return isWithin(tokens, MAX_TOKENS) && isWithin(tokenMs, MAX_TOKEN_MS) &&
    isWithin(Math.abs(startByInMs), MAX_MS);
}

function isPlausibleReturn({ tokens, inMs, startByInMs }: ExpectedReturn): boolean {
  return isWithin(tokens, MAX_TOKENS) && isWithin(Math.abs(inMs), MAX_MS) &&
    isWithin(Math.abs(startByInMs), MAX_MS);
}

/** Adds to a count. Where too many are counted, the one that grew longest ago is forgotten, and starts again from 0. */
function addTo(counts: Map<string, number>, key: string, amount: number): void {
  setCount(counts, key, (counts.get(key) ?? 0) + amount);
}

/**
 * Records a cumulative count; returns by how much it grew. A lower count is that of a new process, or of a key that its
 * gateway had forgotten; none is negative. One that may have been forgotten here counts from the next time on.
 */
function advance(
  counts: Map<string, number>,
  key: string,
  total: number,
  isFirst: boolean,
): number {
  if (total < 0) return 0;
  const before = counts.get(key);
  const isFull = counts.size >= MAX_COUNTED;
  setCount(counts, key, total);
  if (before === undefined) return isFirst || isFull ? 0 : total;
  return total >= before ? total - before : total;
}

/** Sets a count, and forgets the one that was set longest ago where there are too many. */
function setCount(counts: Map<string, number>, key: string, total: number): void {
  counts.delete(key);
  counts.set(key, total);
  if (counts.size > MAX_COUNTED) counts.delete(counts.keys().next().value!);
}
