/**
 * Reads how much this process has worked.
 *
 * @module
 */
import type { WorkSample } from "@wisteriapick/policy";
import { performance } from "node:perf_hooks";

const MICROSECONDS_PER_MS = 1_000;

/** What the event loop and the processor have done for this process so far. `nowMs` is the time of the gateway's clock. */
export function sampleWork(nowMs: number): WorkSample {
  const { user, system } = process.cpuUsage();
  return {
    nowMs,
    activeMs: performance.eventLoopUtilization().active,
    cpuMs: (user + system) / MICROSECONDS_PER_MS,
  };
}
