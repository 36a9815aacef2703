/**
 * Injected time. Decisions never read the process clock directly, so tests and experiments are repeatable.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

/** Takes back what a `register…` or timer call did. Calling it twice is harmless. */
export type Undo = () => void;

/** A source of time and timers. */
export abstract class Clock {
  /** Monotonic milliseconds from an arbitrary origin. */
  abstract now(): number;
  /** Unix time in milliseconds. Only deadlines set by operators use it. */
  abstract wall(): number;
  /** Calls `fn` once after `ms` milliseconds. */
  abstract setTimer(ms: number, fn: () => void): Undo;

  /** Resolves after `ms` milliseconds of this clock. */
  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.setTimer(ms, resolve);
    });
  }

  /** Calls `fn` every `ms` milliseconds until undone. */
  setRepeating(ms: number, fn: () => void): Undo {
    let undo: Undo = () => {};
    let stopped = false;
    const arm = () => {
      undo = this.setTimer(ms, () => {
        fn();
        if (!stopped) arm();
      });
    };
    arm();
    return () => {
      stopped = true;
      undo();
    };
  }
}

/** The clock of the running process. */
export class SystemClock extends Clock {
  now(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  setTimer(ms: number, fn: () => void): Undo {
    const timer = setTimeout(fn, ms);
    return () => clearTimeout(timer);
  }
}

interface ManualTimer {
  readonly at: number;
  readonly seq: number;
  readonly fn: () => void;
}

/**
 * A clock that moves only when told to. Timers fire in order of time, then of registration.
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
  // A binary heap ordered by (at, seq); experiments keep tens of thousands of timers.
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

  /** Moves time forward by `ms`, firing every timer that falls due. */
  advance(ms: number): void {
    const until = this.#now + ms;
    while (this.#heap.length > 0 && this.#heap[0]!.at <= until) this.#fireNext();
    this.#now = until;
  }

  /** Fires the next timer and moves to its time. Returns false when none is left. */
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

  #before(a: ManualTimer, b: ManualTimer): boolean {
    return a.at < b.at || (a.at === b.at && a.seq < b.seq);
  }

  #push(timer: ManualTimer): void {
    const heap = this.#heap;
    let i = heap.push(timer) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!this.#before(timer, heap[parent]!)) break;
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
      if (child + 1 < heap.length && this.#before(heap[child + 1]!, heap[child]!)) child++;
      if (!this.#before(heap[child]!, last)) break;
      heap[i] = heap[child]!;
      i = child;
    }
    heap[i] = last;
    return top;
  }
}
