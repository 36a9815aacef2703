/**
 * Issues permits for requests to one endpoint that limits their rate over all gateways together.
 *
 * Load pattern: an endpoint in need names a few requests a second, while hundreds of gateways with very different
 * numbers of callers could each use all of it. Equal shares would starve some and leave the rest unused, so one gateway
 * issues what is there to those that ask (token bucket; leases of a quota as in B. Raghavan et al., "Cloud Control with
 * Distributed Rate Limiting", 2007, without its estimates).
 *
 * @module
 */

/** A gateway that asks for permits. A second ask of the same one replaces the first. */
export interface PermitAsk {
  readonly asker: string;
  readonly count: number;
  /** Rank of its most urgent request; 0 comes first. */
  readonly rank: number;
  /** Whether a run that has begun needs the permit to go on. */
  readonly isUrgent: boolean;
  /** Time for which the gateway waits for a permit, in milliseconds. */
  readonly waitMs: number;
}

/** The answer to an ask. */
export interface PermitAnswer {
  readonly asker: string;
  /** Number of permits; 0 if there are none. */
  readonly count: number;
  /** Time after which it is worth to ask again, in milliseconds. */
  readonly retryInMs: number;
}

interface QueuedAsk extends PermitAsk {
  readonly askedAtMs: number;
}

/**
 * Permits that accumulate while nobody asks. Requests come irregularly, so with fewer an endpoint of one request a second
 * would get far fewer than it takes. In a window of four seconds, an endpoint bears half as much again as its rate and
 * five more: these permits, those of the window, those that are used up to 500 ms later and the urgent ones stay
 * within that for every rate.
 */
const BURST_MS = 1_000;
const MIN_BURST_PERMITS = 3;
const MIN_BURST_MS = 500;
/** Smallest rate, so that some request sees when a limit of almost nothing has ended. */
const MIN_PER_SECOND = 0.2;
/** Permits that runs in progress may have ahead of their time; a window of four seconds allows five more than its rate. */
const URGENT_ADVANCE = 2;
/** Largest number of waiting gateways; more than this would wait longer than callers do. */
const MAX_QUEUED = 64;
/** Asks per second that an issuer wants for one endpoint; with more askers, each is told to come back later. */
const ASKS_PER_SECOND = 50;
/** Longest time after which an asker is to come back because of the others, in milliseconds. */
const MAX_RETRY_MS = 5_000;

/** Issues the permits of one endpoint. */
export class PermitIssuer {
  #perSecond: number;
  #permits = 0;
  #updatedAtMs: number;
  #queue: QueuedAsk[] = [];
  /** When each gateway asked last, oldest first. */
  readonly #askedAtMs = new Map<string, number>();

  /** A new issuer has no permits, as the one before it may just have issued some. */
  constructor(perSecond: number, nowMs: number) {
    this.#perSecond = Math.max(MIN_PER_SECOND, perSecond);
    this.#updatedAtMs = nowMs;
  }

  /** Changes the rate. */
  setRate(perSecond: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#perSecond = Math.max(MIN_PER_SECOND, perSecond);
    this.#permits = Math.min(this.#permits, this.#capacity);
  }

  /** Answers an ask, or queues it and returns `null`. */
  ask(ask: PermitAsk, nowMs: number): PermitAnswer | null {
    this.#refill(nowMs);
    this.#recordAsker(ask.asker, nowMs);
    this.#queue = this.#queue.filter(({ asker }) => asker !== ask.asker);
    const queued = { ...ask, askedAtMs: nowMs };
    const before = this.#queue.filter((other) => comesBefore(other, queued)).length;
    if (before === 0 && this.#permits >= this.#neededBy(ask)) return this.#grant(ask);
    const waitMs = this.#msUntil(before + 1);
    if (waitMs > ask.waitMs || this.#queue.length >= MAX_QUEUED) return this.#refuse(ask);
    this.#queue.push(queued);
    this.#queue.sort((a, b) => (comesBefore(a, b) ? -1 : 1));
    return null;
  }

  /** Answers of queued asks that are due, and of those that have become hopeless because of asks before them. */
  answers(nowMs: number): PermitAnswer[] {
    this.#refill(nowMs);
    const answers: PermitAnswer[] = [];
    let position = 0;
    for (const ask of [...this.#queue]) {
      position++;
      const isGranted = this.#permits >= this.#neededBy(ask);
      if (!isGranted && !this.#isHopeless(ask, position, nowMs)) continue;
      position--;
      this.#queue = this.#queue.filter((other) => other !== ask);
      answers.push(isGranted ? this.#grant(ask) : this.#refuse(ask));
    }
    return answers;
  }

  /** Time until {@link answers} has something to say, in milliseconds; `null` while nobody waits. */
  nextAnswerMs(nowMs: number): number | null {
    this.#refill(nowMs);
    if (this.#queue.length === 0) return null;
    if (this.#queue.some((ask, i) => this.#isHopeless(ask, i + 1, nowMs))) return 1;
    const endsMs = Math.min(...this.#queue.map((ask) => ask.askedAtMs + ask.waitMs)) - nowMs;
    return Math.max(1, Math.min(this.#msUntil(1), endsMs));
  }

  /** Whether an ask at a position of the queue, the first one being 1, cannot be granted before its wait ends. */
  #isHopeless({ askedAtMs, waitMs }: QueuedAsk, position: number, nowMs: number): boolean {
    return nowMs + this.#msUntil(position) > askedAtMs + waitMs || nowMs >= askedAtMs + waitMs;
  }

  get #capacity(): number {
    return Math.max(
      1 + this.#perSecond * BURST_MS / 1_000,
      MIN_BURST_PERMITS + this.#perSecond * MIN_BURST_MS / 1_000,
    );
  }

  #neededBy({ isUrgent }: PermitAsk): number {
    return isUrgent ? 1 - URGENT_ADVANCE : 1;
  }

  #grant({ asker, count, isUrgent }: PermitAsk): PermitAnswer {
    const granted = isUrgent ? 1 : Math.max(1, Math.min(count, Math.floor(this.#permits)));
    this.#permits -= granted;
    return { asker, count: granted, retryInMs: 0 };
  }

  #refuse({ asker }: PermitAsk): PermitAnswer {
    const spreadMs = Math.min(MAX_RETRY_MS, this.#askedAtMs.size * 1_000 / ASKS_PER_SECOND);
    const retryInMs = Math.ceil(Math.max(spreadMs, this.#msUntil(this.#queue.length + 1)));
    return { asker, count: 0, retryInMs };
  }

  #recordAsker(asker: string, nowMs: number): void {
    this.#askedAtMs.delete(asker);
    this.#askedAtMs.set(asker, nowMs);
    for (const [name, atMs] of this.#askedAtMs) {
      if (nowMs - atMs <= MAX_RETRY_MS) break;
      this.#askedAtMs.delete(name);
    }
  }

  /** Time until `count` permits are there, in milliseconds. */
  #msUntil(count: number): number {
    return Math.max(0, count - this.#permits) * 1_000 / this.#perSecond;
  }

  #refill(nowMs: number): void {
    const added = (nowMs - this.#updatedAtMs) * this.#perSecond / 1_000;
    this.#updatedAtMs = nowMs;
    // More permits than the capacity are never added, so after a pause an endpoint is not overrun.
    this.#permits = Math.min(Math.max(this.#capacity, this.#permits), this.#permits + added);
  }
}

function comesBefore(a: QueuedAsk, b: QueuedAsk): boolean {
  if (a.isUrgent !== b.isUrgent) return a.isUrgent;
  return a.rank !== b.rank ? a.rank < b.rank : a.askedAtMs <= b.askedAtMs;
}
