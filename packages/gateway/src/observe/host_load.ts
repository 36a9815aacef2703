/**
 * Measures how loaded this gateway's host is: its event loop, its processor, its memory and its link.
 *
 * @module
 */
import type { Clock } from "@wisteriapick/core";
import {
  HostOverload,
  HostPressure,
  type HostPressureOptions,
  HostSpeed,
} from "@wisteriapick/policy";
import type { DecisionLog } from "./decision_log.ts";
import { sampleWork } from "./processor_sample.ts";

/** Options of {@link HostLoad}. */
export interface HostLoadOptions {
  readonly clock: Clock;
  /** Clock by which stalls of the event loop are measured. */
  readonly loopClock: Clock;
  readonly log: DecisionLog;
  readonly pressure: HostPressureOptions;
}

/**
 * The load of one host.
 *
 * @example
 * ```ts
 * host.recordPoll(delayMs, nowMs);
 * if (host.shouldShed()) refuse();
 * ```
 */
export class HostLoad {
  readonly #options: HostLoadOptions;
  readonly #overload = new HostOverload();
  readonly #pressure: HostPressure;
  readonly #speed = new HostSpeed();
  #isOverloaded = false;

  constructor(options: HostLoadOptions) {
    this.#options = options;
    this.#pressure = new HostPressure(options.pressure);
  }

  get isOverloaded(): boolean {
    return this.#isOverloaded;
  }

  /** How slow this host is of late: 1 for a whole core. */
  get slowdown(): number {
    return this.#speed.slowdown;
  }

  /** How slow and how busy this host is of late, for logs. */
  speedFields(): { readonly slowdown: number; readonly utilisation: number } {
    const { slowdown, utilisation } = this.#speed;
    return { slowdown: rounded(slowdown), utilisation: rounded(utilisation) };
  }

  /** Whether work that another gateway could do should be refused. */
  shouldShed(): boolean {
    const { clock, loopClock } = this.#options;
    return this.#overload.shouldShed(loopClock.now()) || this.#pressure.shouldShed(clock.now());
  }

  /** Records the memory of the process, in bytes. */
  recordMemory(residentBytes: number): void {
    this.#pressure.recordMemory(residentBytes, this.#options.clock.now());
  }

  /** Records bytes that were transferred on the link. */
  recordTransfer(bytes: number): void {
    this.#pressure.recordTransfer(bytes, this.#options.clock.now());
  }

  /** Records a poll of the event loop, at `nowMs` by the loop's clock, which was delayed by `delayMs`. */
  recordPoll(delayMs: number, nowMs: number): void {
    const { clock, log } = this.#options;
    this.#speed.record(sampleWork(nowMs));
    this.#overload.recordDelay(delayMs, nowMs);
    const scarce = this.#pressure.scarce(clock.now());
    const isOverloaded = this.#overload.isOverloaded(nowMs) || scarce.length > 0;
    if (isOverloaded === this.#isOverloaded) return;
    this.#isOverloaded = isOverloaded;
    log.state("host_overload", {
      isOverloaded,
      delayMs: Math.round(delayMs),
      scarce: scarce.length > 0 ? scarce : undefined,
    });
  }
}

/** A number with two digits behind the point. */
function rounded(x: number): number {
  return Math.round(100 * x) / 100;
}
