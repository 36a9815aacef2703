/**
 * Reports how much memory the process has and what it holds, so that a kill for memory can be told from other ends: a
 * killed process writes nothing.
 *
 * Load pattern: bodies and answers of megabytes arrive within tens of milliseconds, on a host that kills the process
 * over its limit of memory.
 *
 * @module
 */
import { getHeapStatistics } from "node:v8";
import type { Clock, Undo } from "@wisteriapick/core";
import type { DecisionLog } from "./decision_log.ts";

/** What the process holds, for a line of the log. */
export type MemoryHoldings = Readonly<Record<string, number>>;

/** Options of {@link MemoryMonitor}. */
export interface MemoryMonitorOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Memory over which the process is killed, in MiB; `null` if there is no known limit. */
  readonly memoryMb: number | null;
  readonly holdings: () => MemoryHoldings;
  /** Resident memory of the process, in bytes. */
  readonly residentBytes?: () => number | null;
  /** Receives the resident memory, in bytes, at each check. */
  readonly onResident?: (bytes: number) => void;
}

const MIB = 1_048_576;
/** Each check reads a file of the system, which costs a weak host more than what it is told. */
const CHECK_INTERVAL_MS = 1_000;
/** Bytes that arrive between two checks at most. */
const CHECK_BYTES = 8 * MIB;
/** Growth of the highest memory so far from which on it is reported again, in bytes. */
const STEP_BYTES = 16 * MIB;
/** Fraction of the limit from which on memory is near it. */
const NEAR_FRACTION = 0.85;
/** Interval between lines while memory stays near the limit, in milliseconds. */
const NEAR_INTERVAL_MS = 10_000;

/**
 * Resident memory of this process, in bytes; `null` if it cannot be read, as while all descriptors are in use.
 *
 * @example
 * ```ts
 * const mib = (readResidentBytes() ?? 0) / 1_048_576;
 * ```
 */
export function readResidentBytes(): number | null {
  try {
    return process.memoryUsage.rss();
  } catch {
    return null;
  }
}

/**
 * Logs when the memory of the process is higher than ever before by some MiB, and every few seconds while it is near
 * the limit.
 *
 * @example
 * ```ts
 * const monitor = new MemoryMonitor({ clock, log, memoryMb: 200, holdings: () => ({ connections: 12 }) });
 * const stop = monitor.start();
 * ```
 */
export class MemoryMonitor {
  readonly #options: Required<MemoryMonitorOptions>;
  #reportedBytes = 0;
  #reportedAtMs = -Infinity;
  #uncheckedBytes = 0;
  #isUnreadableLogged = false;

  constructor(options: MemoryMonitorOptions) {
    this.#options = { residentBytes: readResidentBytes, onResident: () => {}, ...options };
  }

  start(): Undo {
    return this.#options.clock.setRepeating(CHECK_INTERVAL_MS, () => this.check());
  }

  /** Records that bytes have arrived, as memory may rise much between two checks by time. */
  recordArrived(bytes: number): void {
    this.#uncheckedBytes += bytes;
    if (this.#uncheckedBytes >= CHECK_BYTES) this.check();
  }

  check(): void {
    const { clock, log, memoryMb, holdings, residentBytes } = this.#options;
    this.#uncheckedBytes = 0;
    const resident = residentBytes();
    if (resident === null) return this.#reportUnreadable();
    this.#options.onResident(resident);
    const now = clock.now();
    const isNear = memoryMb !== null && resident >= NEAR_FRACTION * memoryMb * MIB;
    const isHigher = resident >= this.#reportedBytes + STEP_BYTES;
    if (!isHigher && !(isNear && now - this.#reportedAtMs >= NEAR_INTERVAL_MS)) return;
    this.#reportedBytes = Math.max(this.#reportedBytes, resident);
    this.#reportedAtMs = now;
    const { used_heap_size, external_memory } = getHeapStatistics();
    log.state("memory_high", {
      residentMib: Math.round(resident / MIB),
      limitMib: memoryMb ?? undefined,
      isNear,
      heapUsedMib: Math.round(used_heap_size / MIB),
      externalMib: Math.round(external_memory / MIB),
      ...holdings(),
    });
  }

  #reportUnreadable(): void {
    if (this.#isUnreadableLogged) return;
    this.#isUnreadableLogged = true;
    this.#options.log.state("memory_unreadable", this.#options.holdings());
  }
}
