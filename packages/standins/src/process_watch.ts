/**
 * Watches what a process takes of its host, and ends it as the host does.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";

const MEMORY_INTERVAL_MS = 10;
const DESCRIPTOR_INTERVAL_MS = 20;
const KIB_PER_MIB = 1_024;

/** Memory of a process, in MiB. */
export interface ProcessMemory {
  readonly residentMb: number;
  /** Resident memory without pages of files, such as those of the program itself. */
  readonly anonymousMb: number;
}

/** Memory of a process now; `null` if it has ended. */
export function memoryOf(pid: number): ProcessMemory | null {
  let status: string;
  try {
    status = readFileSync(`/proc/${pid}/status`, "utf8");
  } catch {
    return null;
  }
  const read = (name: string) => Number(new RegExp(`${name}:\\s+(\\d+) kB`).exec(status)?.[1] ?? 0);
  return {
    residentMb: Math.ceil(read("VmRSS") / KIB_PER_MIB),
    anonymousMb: Math.ceil(read("RssAnon") / KIB_PER_MIB),
  };
}

/** Number of descriptors that a process has open; 0 if it has ended. */
export function descriptorsOf(pid: number): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return 0;
  }
}

/** A process that is watched. */
export interface WatchedProcess {
  /** Id of the process; `undefined` while none runs. */
  readonly pid: () => number | undefined;
  readonly kill: () => void;
}

/**
 * Watches the memory of a process, and kills it once `isOver` says so.
 *
 * @example
 * ```ts
 * const watch = new MemoryWatch(watched, ({ residentMb }) => residentMb > 178);
 * watch.stop();
 * ```
 */
export class MemoryWatch {
  peak: ProcessMemory = { residentMb: 0, anonymousMb: 0 };
  hasKilled = false;
  readonly #timer: NodeJS.Timeout;

  constructor({ pid, kill }: WatchedProcess, isOver: (memory: ProcessMemory) => boolean) {
    this.#timer = setInterval(() => {
      const id = pid();
      const memory = id === undefined ? null : memoryOf(id);
      if (memory === null) return;
      this.peak = {
        residentMb: Math.max(this.peak.residentMb, memory.residentMb),
        anonymousMb: Math.max(this.peak.anonymousMb, memory.anonymousMb),
      };
      if (this.hasKilled || !isOver(memory)) return;
      this.hasKilled = true;
      kill();
    }, MEMORY_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }
}

/** Watches the open descriptors of a process. */
export class DescriptorWatch {
  peak = 0;
  readonly #timer: NodeJS.Timeout;

  constructor({ pid }: Pick<WatchedProcess, "pid">) {
    this.#timer = setInterval(() => {
      const id = pid();
      if (id !== undefined) this.peak = Math.max(this.peak, descriptorsOf(id));
    }, DESCRIPTOR_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }
}
