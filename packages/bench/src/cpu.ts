/**
 * Measures the CPU time of single threads.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { type EventLoopUtilization, performance } from "node:perf_hooks";

const NS_PER_US = 1_000;

/** Describes how {@link CpuMeter} measures; printed in reports. */
export const CPU_METHOD =
  "thread: run time of the measured thread from /proc/thread-self/schedstat; process less " +
  "workers: process.cpuUsage less the run time of the load threads, so it includes garbage " +
  "collection and I/O helper threads of all isolates; loop: performance.eventLoopUtilization";

/** Returns the CPU time of the calling thread so far, in microseconds. Linux only. */
export function threadCpuUs(): number {
  const [ns] = readFileSync("/proc/thread-self/schedstat", "utf8").split(" ");
  return Number(ns) / NS_PER_US;
}

/** CPU use between {@link CpuMeter.start} and {@link CpuMeter.stop}. */
export interface CpuUse {
  readonly wallMs: number;
  /** CPU time of the measured thread alone. */
  readonly threadUs: number;
  /** CPU time of the process without its load threads. */
  readonly processUs: number;
  /** Fraction of time in which the event loop was busy. */
  readonly loopShare: number;
}

/** Measures the calling thread; `workersUs` returns the CPU time of the load threads so far. */
export class CpuMeter {
  readonly #workersUs: () => Promise<number>;
  #startMs = 0;
  #threadUs = 0;
  #processUs = 0;
  #loop: EventLoopUtilization = performance.eventLoopUtilization();

  constructor(workersUs: () => Promise<number>) {
    this.#workersUs = workersUs;
  }

  async start(): Promise<void> {
    this.#processUs = await this.#readProcessUs();
    this.#threadUs = threadCpuUs();
    this.#loop = performance.eventLoopUtilization();
    this.#startMs = performance.now();
  }

  async stop(): Promise<CpuUse> {
    const wallMs = performance.now() - this.#startMs;
    const threadUs = threadCpuUs() - this.#threadUs;
    const loopShare = performance.eventLoopUtilization(this.#loop).utilization;
    const processUs = await this.#readProcessUs() - this.#processUs;
    return { wallMs, threadUs, processUs, loopShare };
  }

  async #readProcessUs(): Promise<number> {
    const workersUs = await this.#workersUs();
    const { user, system } = process.cpuUsage();
    return user + system - workersUs;
  }
}
