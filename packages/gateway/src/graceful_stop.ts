/**
 * Stops a gateway gracefully: it takes no new callers, finishes requests in progress and responds to the others before
 * the process may be killed.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";
import { StopDeadline } from "@wisteriapick/policy";
import type { DecisionLog } from "./observe/decision_log.ts";
import type { HostLoad } from "./observe/host_load.ts";
import type { LoopMonitor } from "./observe/loop_monitor.ts";
import { RETRY_AFTER_ELSEWHERE_MS } from "./relay/access_control.ts";
import type { Relay, StopProgress } from "./relay/relay.ts";
import type { ProxyServer } from "./surface/proxy_server.ts";

/** Options of {@link GracefulStop}. */
export interface GracefulStopOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Time from the order to stop until the process may be killed, in milliseconds. */
  readonly graceMs: number;
  readonly loop: LoopMonitor;
  readonly host: HostLoad;
  readonly server: ProxyServer;
  readonly relay: Relay;
  /** Tells others that this gateway stops. Resolves once its registration is removed. */
  readonly announce: () => Promise<void>;
  /** Closes everything at once. */
  readonly close: () => Promise<void>;
}

/** Interval at which a stop checks whether requests are in progress, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Longest wait for the removal of this gateway's registration, which others remove in time if the store is not reached. */
const REMOVAL_WAIT_MS = 50;

/** Requests that the end of a process has ended, by how far they had come. */
interface EndedRequests {
  /** Requests that were still being read. */
  readonly reading: number;
  /** Requests that no endpoint had received. */
  readonly waiting: number;
  /** Requests at an endpoint, whose response had not begun. */
  readonly sent: number;
  /** Requests whose response was cut. */
  readonly streaming: number;
}

const NONE_ENDED: EndedRequests = { reading: 0, waiting: 0, sent: 0, streaming: 0 };

/**
 * The stop of one gateway.
 *
 * @example
 * ```ts
 * const killedAtMs = await stop.run();
 * ```
 */
export class GracefulStop {
  readonly #options: GracefulStopOptions;
  readonly #deadline: StopDeadline;
  /** Requests that were refused before the others were ended, as this host is slow. */
  #refused = 0;

  constructor(options: GracefulStopOptions) {
    this.#options = options;
    this.#deadline = new StopDeadline({ graceMs: options.graceMs });
  }

  /** Whether the order to stop has come. */
  get hasBegun(): boolean {
    return this.#deadline.hasBegun;
  }

  /** How far the stop has come; `null` before the order to stop. */
  get progress(): StopProgress | null {
    const deadline = this.#deadline;
    if (!deadline.hasBegun) return null;
    const now = this.#options.clock.now();
    return {
      sinceMs: deadline.sinceMs(now),
      remainingMs: deadline.remainingMs(now),
      turnMs: deadline.turnMs,
    };
  }

  /** Records a poll of the event loop, which may have been delayed. */
  recordPoll(delayMs: number): void {
    this.#deadline.recordPoll(delayMs, this.#options.clock.now());
  }

  /** Records how much a stop would have to do now. */
  recordLoad(): void {
    const { host, server } = this.#options;
    this.#deadline.recordLoad({
      slowdown: host.slowdown,
      connections: server.connectionCount,
      busyConnections: server.busyConnectionCount,
    });
  }

  /**
   * Shuts down gracefully: reports not ready, finishes requests in progress, then closes. Resolves within the grace
   * period, counted from the earliest moment at which the order to stop may have been sent, with the time by `clock` at
   * which the process may be killed, in milliseconds.
   */
  async run(): Promise<number> {
    const { clock, graceMs, host, log } = this.#options;
    const deadline = this.#deadline;
    this.recordLoad();
    deadline.begin(clock.now(), this.#options.loop.unpolledMs());
    log.state("stopping", {
      active: this.#options.server.active,
      connections: this.#options.server.connectionCount,
      busyConnections: this.#options.server.busyConnectionCount,
      ...host.speedFields(),
      delayedMs: Math.round(deadline.delayedMs),
      graceMs,
      refusesInMs: Math.round(deadline.refusesInMs(clock.now())),
      respondsInMs: Math.round(deadline.remainingMs(clock.now())),
      closesInMs: Math.round(this.#closesInMs()),
    });
    this.#options.server.drain();
    const removal = this.#options.announce();
    const isIdle = await this.#waitUntilIdle(removal);
    const ended = isIdle ? { ...NONE_ENDED, reading: this.#refused } : await this.#endRequests();
    // No event may come between the last look at the connections and their closing.
    log.state("stopped", {
      outcome: isIdle ? "idle" : "grace_over",
      sinceStopMs: Math.round(deadline.sinceMs(clock.now())),
      lateMs: Math.round(Math.max(0, -this.#closesInMs())),
      active: this.#options.server.active,
      ...host.speedFields(),
      ended,
    });
    await this.#options.close();
    return clock.now() + deadline.killedInMs(clock.now());
  }

  /**
   * Waits until no request is active and no more are expected, or the requests in progress must end. Returns whether
   * none is active.
   */
  async #waitUntilIdle(removal: Promise<void>): Promise<boolean> {
    const { clock } = this.#options;
    const deadline = this.#deadline;
    let isRefusing = false;
    for (;;) {
      const remainingMs = deadline.remainingMs(clock.now());
      if (remainingMs <= 0) return false;
      isRefusing ||= deadline.refusesInMs(clock.now()) <= 0;
      if (isRefusing) this.#refused += await this.#refuseNew();
      if (deadline.mayEndIdle(clock.now()) && this.#options.server.active === 0) {
        await Promise.race([removal, clock.sleep(REMOVAL_WAIT_MS)]);
        // After a stall, timers run before what has arrived meanwhile is read.
        await this.#readArrived(() => deadline.remainingMs(clock.now()));
        if (this.#options.server.active === 0) return true;
      }
      this.#options.relay.releaseLate();
      await clock.sleep(Math.max(0, Math.min(CHECK_INTERVAL_MS, remainingMs)));
    }
  }

  /**
   * Refuses all requests that are read or wait to be accepted, which would be reset when the process stops listening.
   * Returns how many there were.
   */
  async #refuseNew(): Promise<number> {
    this.#options.server.hold();
    await this.#readArrived(() => this.#closesInMs());
    this.#options.server.stopListening();
    return this.#options.server.refuseUnread(RETRY_AFTER_ELSEWHERE_MS);
  }

  /**
   * Responds to all requests whose response has not begun. Responses that have begun go on until connections close.
   * Returns how many requests were ended.
   */
  async #endRequests(): Promise<EndedRequests> {
    const { clock, log } = this.#options;
    const lateMs = -this.#deadline.remainingMs(clock.now());
    this.#options.server.hold();
    // Responses that have arrived during a stall are read before their requests are ended.
    await this.#readArrived(() => 0);
    const { waiting, sent } = this.#options.relay.endUnbegun();
    let reading = this.#refused + await this.#refuseNew();
    log.state("requests_ended", {
      sinceStopMs: Math.round(this.#deadline.sinceMs(clock.now())),
      lateMs: Math.round(lateMs),
      reading,
      waiting,
      sent,
      active: this.#options.server.active,
      connections: this.#options.server.connectionCount,
      ...this.#options.host.speedFields(),
      closesInMs: Math.round(this.#closesInMs()),
    });
    for (;;) {
      const closesInMs = this.#closesInMs();
      if (closesInMs <= 0 || this.#options.server.active === 0) break;
      await clock.sleep(Math.min(CHECK_INTERVAL_MS, closesInMs));
      // What has arrived during a stall is read before it is refused.
      await this.#readArrived(() => this.#closesInMs());
      reading += this.#options.server.refuseUnread(RETRY_AFTER_ELSEWHERE_MS);
    }
    return { reading, waiting, sent, streaming: this.#options.relay.endAll() };
  }

  /**
   * Resolves after connections have been accepted and polled, and what has arrived on them has been read, or when no time
   * is left.
   */
  async #readArrived(timeLeftMs: () => number): Promise<void> {
    let accepted: number;
    do {
      accepted = this.#options.server.accepted;
      await new Promise<void>((resolve) => this.#options.loop.afterNextPoll(resolve));
      // Node.js accepts one connection in each iteration of the loop, so that a stall leaves a queue of them.
    } while (this.#options.server.accepted !== accepted && timeLeftMs() > 0);
  }

  #closesInMs(): number {
    return this.#deadline.closesInMs(this.#options.clock.now());
  }
}
