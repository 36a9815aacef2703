/**
 * Measures for how long the event loop has not polled its connections, and for how long what is read now may have
 * waited.
 *
 * Load pattern: a weak or slowed host under a burst. Requests that are read after a stall arrived at any time during
 * it, and their callers may have disconnected since. New connections wait longest: Node.js accepts one in each
 * iteration of the loop.
 *
 * @module
 */
import type { Clock, Undo } from "@wisteriapick/core";
import { performance } from "node:perf_hooks";
import type { DecisionLog } from "./decision_log.ts";

/** Interval of clock polls, in milliseconds: a third of the shortest delay that is acted on. */
export const POLL_INTERVAL_MS = 50;
/** Delay of a poll from which on the process counts as stalled: several times its usual work. */
const STALL_MS = 100;
/** Delay of a poll from which on signals count as having waited; below it, a poll is as usual. */
const SHORTEST_STALL_MS = 20;

/** Time for which delays are remembered, in milliseconds: as long as what they may have disturbed takes. */
const DELAY_MEMORY_MS = 3_000;

/** Detects stalls of the event loop from the delay of a repeating timer. */
export class LoopMonitor {
  readonly #clock: Clock;
  readonly #log: DecisionLog;
  readonly #onPoll: (delayMs: number, nowMs: number) => void;
  readonly #activeMs: () => number;
  #lastPollMs: number;
  /** Time at which the timer before the last one fired, and how long the loop had been active in all by then. */
  #earlier: { readonly atMs: number; readonly activeMs: number };
  #lastActiveMs: number;
  /** Duration of the last stall, until what had arrived by its end has been handled. */
  #unhandledMs = 0;
  /** Duration of the last stall, while connections that were opened during it may still be unread; otherwise 0. */
  #backlogMs = 0;
  #backlogSinceMs = 0;
  /** Connections accepted since polls last accepted none. */
  #burst = 0;
  #isCounting = false;
  /** Recent polls that came late, the oldest first. */
  #delays: { readonly atMs: number; readonly ms: number }[] = [];

  /**
   * `onPoll` is called after each poll with its delay in milliseconds, and the time by `clock`. `activeMs` is the time
   * for which the event loop has not waited for events so far.
   */
  constructor(
    clock: Clock,
    log: DecisionLog,
    onPoll: (delayMs: number, nowMs: number) => void = () => {},
    activeMs: () => number = () => performance.eventLoopUtilization().active,
  ) {
    this.#onPoll = onPoll;
    this.#clock = clock;
    this.#log = log;
    this.#activeMs = activeMs;
    this.#lastPollMs = clock.now();
    this.#lastActiveMs = activeMs();
    this.#earlier = { atMs: this.#lastPollMs, activeMs: this.#lastActiveMs };
  }

  start(): Undo {
    this.#lastPollMs = this.#clock.now();
    this.#lastActiveMs = this.#activeMs();
    this.#earlier = { atMs: this.#lastPollMs, activeMs: this.#lastActiveMs };
    return this.#clock.setRepeating(POLL_INTERVAL_MS, () => {
      const now = this.#clock.now();
      const delayMs = now - this.#lastPollMs - POLL_INTERVAL_MS;
      this.#earlier = { atMs: this.#lastPollMs, activeMs: this.#lastActiveMs };
      this.#lastPollMs = now;
      this.#lastActiveMs = this.#activeMs();
      this.#unhandledMs = delayMs;
      if (delayMs >= SHORTEST_STALL_MS) this.#recordDelay(delayMs, now);
      if (delayMs >= SHORTEST_STALL_MS) this.afterNextPoll(() => this.#unhandledMs = 0);
      this.#onPoll(delayMs, now);
      if (delayMs < STALL_MS) return;
      this.#log.state("process_stalled", { ms: Math.round(delayMs) });
      // A longer stall before it, whose backlog may still be unread, counts to its own end.
      if (this.#unreadMs() >= delayMs) return;
      this.#backlogMs = delayMs;
      this.#backlogSinceMs = now;
      this.#awaitQuietPolls();
    });
  }

  /**
   * Time for which data that is read now may have been waiting, in milliseconds; 0 if it was not held up by a stall.
   * `isFirst` says that it is the first of its connection, which may have queued to be accepted. What comes later on a
   * connection is read in the first poll after the stall in which it arrived.
   */
  stallMs({ isFirst = true }: { readonly isFirst?: boolean } = {}): number {
    const delayMs = this.#clock.now() - this.#lastPollMs - POLL_INTERVAL_MS;
    const heldUpMs = isFirst ? this.#unreadMs() : longStallMs(this.#unhandledMs);
    return Math.max(heldUpMs, longStallMs(delayMs));
  }

  /**
   * Longest time for which a signal that is handled now may have been waiting, in milliseconds. Signals are handled after
   * everything else that one iteration of the loop has read, so that a signal may have come as early as the iteration
   * before, which had not ended when the timer before the last one fired. A loop that waits for events handles one at
   * once.
   */
  unpolledMs(): number {
    const now = this.#clock.now();
    const { atMs, activeMs } = this.#earlier;
    const busyMs = Math.min(now - atMs, this.#activeMs() - activeMs);
    return Math.max(0, this.#unhandledMs, now - this.#lastPollMs - POLL_INTERVAL_MS, busyMs);
  }

  /**
   * Longest time for which something that was read in the last `ms` milliseconds may have waited, as the loop was busy or
   * suspended, in milliseconds; 0 where polls were as usual. Times before {@link DELAY_MEMORY_MS} are left out.
   */
  longestDelayMs(ms: number): number {
    const now = this.#clock.now();
    const overdueMs = now - this.#lastPollMs - POLL_INTERVAL_MS;
    let longestMs = overdueMs >= SHORTEST_STALL_MS ? overdueMs : 0;
    for (const delay of this.#delays) {
      if (now - delay.atMs <= ms) longestMs = Math.max(longestMs, delay.ms);
    }
    return longestMs;
  }

  #recordDelay(ms: number, now: number): void {
    this.#delays = this.#delays.filter(({ atMs }) => now - atMs <= DELAY_MEMORY_MS);
    this.#delays.push({ atMs: now, ms });
  }

  /**
   * Whether the caller of a request that is read now may have closed its connection long before: after a stall, and
   * while connections queue to be accepted, however quick each iteration of the loop is.
   */
  get mayHaveLeft(): boolean {
    return this.#burst > 1 || this.stallMs() > 0;
  }

  /** Records that a connection was accepted. */
  recordConnection(): void {
    this.#burst++;
    this.#awaitQuietPolls();
  }

  /** Calls `fn` after connections have been polled once more, so that callers' disconnects are known by then. */
  afterNextPoll(fn: () => void): void {
    setImmediate(() => setImmediate(fn));
  }

  /**
   * Calls `fn` once after `ms` milliseconds. After a stall, timers run before what has arrived meanwhile is read, so `fn`
   * is then called after connections have been polled once more. `clock` is the one that the time is measured by.
   */
  setPolledTimer(ms: number, fn: () => void, clock = this.#clock): Undo {
    let isStopped = false;
    const undo = clock.setTimer(ms, () => {
      if (!this.#hasUnpolled) return fn();
      this.afterNextPoll(() => {
        if (!isStopped) fn();
      });
    });
    return () => {
      isStopped = true;
      undo();
    };
  }

  /** Whether a stall has ended and connections have not been polled since. */
  get #hasUnpolled(): boolean {
    const delayMs = this.#clock.now() - this.#lastPollMs - POLL_INTERVAL_MS;
    return Math.max(this.#unhandledMs, delayMs) >= SHORTEST_STALL_MS;
  }

  /**
   * Duration of the stall from whose time connections may still be unread; 0 if there is none. After as much time as
   * the stall took, what is read would count as having arrived after it.
   */
  #unreadMs(): number {
    return this.#clock.now() - this.#backlogSinceMs < this.#backlogMs ? this.#backlogMs : 0;
  }

  /** Ends the backlog once polls accept no connection any more. */
  #awaitQuietPolls(): void {
    if (this.#isCounting) return;
    this.#isCounting = true;
    const burst = this.#burst;
    this.afterNextPoll(() => {
      this.#isCounting = false;
      if (this.#burst !== burst) return this.#awaitQuietPolls();
      this.#burst = 0;
      this.#backlogMs = 0;
    });
  }
}

/** The delay of a poll, or 0 where it is too short to count as a stall. */
function longStallMs(delayMs: number): number {
  return delayMs < STALL_MS ? 0 : delayMs;
}
