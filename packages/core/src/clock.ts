/**
 * Clocks passed to the code that needs time. Decisions never read the process clock directly, so that tests and
 * experiments are reproducible.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

/** Reverts a `register…` call or cancels a timer. Calling it more than once has no further effect. */
export type Undo = () => void;

/** A source of time and timers. */
export abstract class Clock {
  /** Monotonic time in milliseconds since an arbitrary origin. */
  abstract now(): number;
  /** Unix time in milliseconds, used only for deadlines set by operators. */
  abstract wall(): number;
  /** Calls `fn` once after `ms` milliseconds, however many they are; never if they are infinitely many. */
  abstract setTimer(ms: number, fn: () => void): Undo;

  /** Resolves after `ms` milliseconds of this clock. */
  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.setTimer(ms, resolve);
    });
  }

  /** Calls `fn` every `ms` milliseconds until the returned function is called, also after a call that has thrown. */
  setRepeating(ms: number, fn: () => void): Undo {
    let undo: Undo = () => {};
    let stopped = false;
    const schedule = () => {
      undo = this.setTimer(ms, () => {
        try {
          fn();
        } finally {
          if (!stopped) schedule();
        }
      });
    };
    schedule();
    return () => {
      stopped = true;
      undo();
    };
  }
}

/** Longest time of a timer of Node.js, in milliseconds, which takes a longer one for 1 ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The clock of the operating system. */
export class SystemClock extends Clock {
  now(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  setTimer(ms: number, fn: () => void): Undo {
    let timer: NodeJS.Timeout;
    const arm = (leftMs: number) => {
      timer = leftMs > MAX_TIMER_MS
        ? setTimeout(() => arm(leftMs - MAX_TIMER_MS), MAX_TIMER_MS)
        : setTimeout(fn, leftMs);
    };
    arm(ms);
    return () => clearTimeout(timer);
  }
}

interface ManualTimer {
  readonly at: number;
  readonly seq: number;
  readonly fn: () => void;
}

/**
 * A clock that advances only on request. Timers fire in order of time, then of registration.
 *
 * @example
 * ```ts
 * const clock = new ManualClock();
 * clock.setTimer(10, () => console.log("fired"));
 * clock.advance(10);
 * ```
 */
export class ManualClock extends Clock {
  #now = 0;
  #seq = 0;
  readonly #wallOffset: number;
  // A binary heap ordered by (at, seq), as experiments have tens of thousands of timers pending.
  readonly #heap: ManualTimer[] = [];
  readonly #cancelled = new Set<number>();

  constructor({ wallStart = 1_700_000_000_000 }: { wallStart?: number } = {}) {
    super();
    this.#wallOffset = wallStart;
  }

  now(): number {
    return this.#now;
  }

  wall(): number {
    return this.#wallOffset + this.#now;
  }

  setTimer(ms: number, fn: () => void): Undo {
    const seq = this.#seq++;
    let pending = true;
    const fire = () => {
      pending = false;
      fn();
    };
    this.#push({ at: this.#now + Math.max(0, ms), seq, fn: fire });
    return () => {
      if (pending) this.#cancelled.add(seq);
      pending = false;
    };
  }

  /** Advances time by `ms` and fires the timers that become due. */
  advance(ms: number): void {
    const until = this.#now + ms;
    while (this.#heap.length > 0 && this.#heap[0]!.at <= until) this.#fireNext();
    this.#now = until;
  }

  /** Advances to the next timer and fires it. Returns false if there is none. */
  step(): boolean {
    while (this.#heap.length > 0) {
      if (this.#fireNext()) return true;
    }
    return false;
  }

  #fireNext(): boolean {
    const timer = this.#pop();
    if (this.#cancelled.delete(timer.seq)) return false;
    this.#now = Math.max(this.#now, timer.at);
    timer.fn();
    return true;
  }

  #isBefore(a: ManualTimer, b: ManualTimer): boolean {
    return a.at < b.at || (a.at === b.at && a.seq < b.seq);
  }

  #push(timer: ManualTimer): void {
    const heap = this.#heap;
    let i = heap.push(timer) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!this.#isBefore(timer, heap[parent]!)) break;
      heap[i] = heap[parent]!;
      i = parent;
    }
    heap[i] = timer;
  }

  #pop(): ManualTimer {
    const heap = this.#heap;
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && this.#isBefore(heap[child + 1]!, heap[child]!)) child++;
      if (!this.#isBefore(heap[child]!, last)) break;
      heap[i] = heap[child]!;
      i = child;
    }
    heap[i] = last;
    return top;
  }
}
