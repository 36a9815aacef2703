/**
 * Decides by when a process that was told to stop must have responded to everything and closed its connections, so that
 * it does both before it is killed.
 *
 * Load pattern: a host with a fraction of a core stalls for hundreds of milliseconds, also when the order to stop comes
 * and when the grace period ends. The process is killed a fixed time after the order was sent, not after it was handled.
 * Under a quota the pauses are short, and all work takes several times as long: reading what callers go on sending over
 * tens to hundreds of connections, the last responses, closing the connections and the exit.
 *
 * @module
 */

/** Options of {@link StopDeadline}. */
export interface StopDeadlineOptions {
  /** Time from the order to stop until the process is killed, in milliseconds. */
  readonly graceMs: number;
}

/** How much is left to do at the end, and how fast this host does it. */
export interface EndLoad {
  /** Factor by which work takes longer than on a whole core. */
  readonly slowdown: number;
  /** Number of open connections of callers. */
  readonly connections: number;
  /** Number of those that are in use; all of them by default. Idle ones leave nothing to read or to respond to. */
  readonly busyConnections?: number;
}

/** Time that the exit takes on a whole core, in milliseconds, with a stall that is too short to be noticed. */
const EXIT_MS = 100;
/** Time that closing a connection with a response in progress takes on a whole core, in milliseconds. */
const CLOSE_MS = 0.2;
/** Time that the last responses take on a whole core, in milliseconds, beside what each connection takes. */
const LAST_RESPONSES_MS = 150;
/** Time for accepting a connection, reading a request and responding to it on a whole core, in milliseconds. */
const RESPONSE_MS = 1;
/** Time for which a stall is expected to recur, in milliseconds: longer than the usual grace period. */
const STALL_MEMORY_MS = 10_000;
/** Multiple of the longest recent stall that is kept: one may precede the last responses, and one interrupt them. */
const STALLS_KEPT = 2;
/** Largest fraction of the grace period that is kept for the end. Beyond it, callers lose more than the end can save. */
const MAX_RESERVE_FRACTION = 1 / 6;
/** The same for requests that have not been passed on: they are refused as not run, which needs no excuse. */
const MAX_REFUSAL_FRACTION = 1 / 4;
/** Largest fraction of the grace period that is kept for closing connections and the exit. */
const MAX_EXIT_FRACTION = 1 / 12;
/** Largest fraction of the grace period that is given up as the order may have been sent during a stall. */
const MAX_DELAY_FRACTION = 1 / 2;
/**
 * The same for responses that have begun. Closing them early gains nothing for their callers, who lose the rest in any
 * case, and operators excuse it only in the last sixth of the grace period.
 */
const MAX_CLOSE_DELAY_FRACTION = 1 / 6;

interface Stall {
  readonly atMs: number;
  readonly delayMs: number;
}

/**
 * The deadline of a planned stop.
 *
 * @example
 * ```ts
 * const deadline = new StopDeadline({ graceMs: 8_000 });
 * deadline.recordPoll(0, 1_000);
 * deadline.begin(1_700, 100); // The process was stalled for up to 100 ms when it was told to stop.
 * deadline.remainingMs(1_700); // 7_450
 * ```
 */
export class StopDeadline {
  readonly #graceMs: number;
  /** Recent stalls, each shorter than the one before it. */
  readonly #stalls: Stall[] = [];
  #handledAtMs: number | null = null;
  #delayedMs = 0;
  #slowdown = 1;
  /** Number of open connections; while stopping the largest so far, as those who were told to leave connect again. */
  #connections = 0;
  /** The same for connections in use. */
  #busyConnections = 0;

  constructor({ graceMs }: StopDeadlineOptions) {
    this.#graceMs = graceMs;
  }

  /** Records for how long the process was not scheduled, in milliseconds. */
  recordPoll(delayMs: number, nowMs: number): void {
    while (this.#stalls.length > 0 && this.#stalls.at(-1)!.delayMs <= delayMs) this.#stalls.pop();
    this.#stalls.push({ atMs: nowMs, delayMs });
    this.#forget(nowMs);
  }

  /** Records what is left to do and how fast it is done. */
  recordLoad({ slowdown, connections, busyConnections = connections }: EndLoad): void {
    this.#slowdown = Math.max(1, slowdown);
    this.#connections = this.hasBegun ? Math.max(this.#connections, connections) : connections;
    this.#busyConnections = this.hasBegun
      ? Math.max(this.#busyConnections, busyConnections)
      : busyConnections;
  }

  /**
   * Begins the stop. `unpolledMs` is the time for which the order may have been waiting, in milliseconds: it may have
   * been sent at any moment of a stall that ends with its handling.
   */
  begin(nowMs: number, unpolledMs: number): void {
    this.#handledAtMs = nowMs;
    this.#delayedMs = Math.max(0, unpolledMs);
    this.recordPoll(this.#delayedMs, nowMs);
  }

  get hasBegun(): boolean {
    return this.#handledAtMs !== null;
  }

  /** Time for which the order to stop may have been waiting, in milliseconds. */
  get delayedMs(): number {
    return this.#delayedMs;
  }

  /** Longest time that may have passed since the order was sent, in milliseconds; 0 before the stop. */
  sinceMs(nowMs: number): number {
    return this.#handledAtMs === null ? 0 : nowMs - this.#handledAtMs + this.#delayedMs;
  }

  /** Whether a process without requests may end: callers still connect in the first half of the grace period. */
  mayEndIdle(nowMs: number): boolean {
    return this.#handledAtMs !== null && nowMs - this.#handledAtMs >= this.#graceMs / 2;
  }

  /** Time until all requests whose response has not begun must get one, in milliseconds; may be negative. */
  remainingMs(nowMs: number): number {
    if (this.#handledAtMs === null) return Infinity;
    return this.#respondsInMs(nowMs, MAX_RESERVE_FRACTION);
  }

  /** Time until no more requests are taken and those that are read are refused, in milliseconds; may be negative. */
  refusesInMs(nowMs: number): number {
    if (this.#handledAtMs === null) return Infinity;
    return this.#respondsInMs(nowMs, MAX_REFUSAL_FRACTION);
  }

  /** Time until the work of the end begins that may take up a fraction of the grace period, in milliseconds. */
  #respondsInMs(nowMs: number, maxFraction: number): number {
    const delayMs = Math.min(this.#delayedMs, MAX_DELAY_FRACTION * this.#graceMs);
    const reserveMs = Math.min(this.#reserveMs(nowMs), maxFraction * this.#graceMs);
    return this.#handledAtMs! + this.#graceMs - delayMs - reserveMs - nowMs;
  }

  /** Time until responses that have begun are cut and the process exits, in milliseconds; may be negative. */
  closesInMs(nowMs: number): number {
    if (this.#handledAtMs === null) return Infinity;
    const maxDelayMs = Math.max(0, MAX_CLOSE_DELAY_FRACTION * this.#graceMs - this.#exitMs);
    const delayMs = Math.min(this.#delayedMs, maxDelayMs);
    return this.#handledAtMs + this.#graceMs - delayMs - this.#exitMs - nowMs;
  }

  /** Time until the process may be killed, in milliseconds; may be negative. */
  killedInMs(nowMs: number): number {
    if (this.#handledAtMs === null) return Infinity;
    return this.#graceMs - this.sinceMs(nowMs);
  }

  /** Time that this process needs for one request or response on each connection in use, in milliseconds. */
  get turnMs(): number {
    return this.#slowdown * RESPONSE_MS * this.#busyConnections;
  }

  /** Time that is kept for closing connections and the exit, in milliseconds. */
  get #exitMs(): number {
    const neededMs = this.#slowdown * (EXIT_MS + CLOSE_MS * this.#connections);
    return Math.min(neededMs, MAX_EXIT_FRACTION * this.#graceMs);
  }

  /** Time that is kept for the end: for the work at the speed of late, and for stalls like those of late. */
  #reserveMs(nowMs: number): number {
    this.#forget(nowMs);
    const stallMs = STALLS_KEPT * Math.max(0, this.#stalls[0]?.delayMs ?? 0);
    const responsesMs = this.#slowdown * LAST_RESPONSES_MS + this.turnMs;
    return this.#exitMs + responsesMs + stallMs;
  }

  #forget(nowMs: number): void {
    while (this.#stalls.length > 0 && this.#stalls[0]!.atMs < nowMs - STALL_MEMORY_MS) {
      this.#stalls.shift();
    }
  }
}
