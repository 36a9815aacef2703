/**
 * Decides which arriving bodies give up their room for others.
 *
 * Load pattern: callers that send most of a body and stop. Their bodies keep all room for as long as they like, and each
 * other request with a body is refused meanwhile.
 *
 * @module
 */

/** Bytes that have to arrive of a body within {@link STALLED_MS} so that it is not stalled. */
const PROGRESS_BYTES = 16_384;
/** Time after which a body without this progress is stalled, in milliseconds. */
export const STALLED_MS = 2_000;

/** A body that is arriving. */
export interface BodyProgress {
  /** Records that so many bytes of the body have arrived in total. */
  record(arrivedBytes: number, nowMs: number): void;
  end(): void;
}

interface Arriving {
  /** When the body last had progress, and how much of it had arrived. */
  progressAtMs: number;
  progressBytes: number;
  readonly refuse: () => number;
}

/**
 * The bodies that arrive at one gateway, in the order of their last progress.
 *
 * @example
 * ```ts
 * const progress = stalled.add(nowMs, () => refuseAndReturnFreedBytes());
 * progress.record(arrivedBytes, nowMs);
 * if (!budget.takeBody(bytes)) stalled.makeRoom(bytes, nowMs);
 * ```
 */
export class StalledBodies {
  readonly #arriving = new Set<Arriving>();

  /** Adds a body. `refuse` refuses its request, and returns how many bytes of room that gave back. */
  add(nowMs: number, refuse: () => number): BodyProgress {
    const body: Arriving = { progressAtMs: nowMs, progressBytes: 0, refuse };
    this.#arriving.add(body);
    return {
      record: (arrivedBytes, now) => this.#record(body, arrivedBytes, now),
      end: () => this.#arriving.delete(body),
    };
  }

  /**
   * Refuses bodies that are stalled, those without progress for the longest time first, until so many bytes are free.
   * Returns how many bodies it refused.
   */
  makeRoom(bytes: number, nowMs: number): number {
    let freed = 0;
    let refused = 0;
    for (const body of this.#arriving) {
      if (freed >= bytes || nowMs - body.progressAtMs < STALLED_MS) break;
      this.#arriving.delete(body);
      freed += body.refuse();
      refused++;
    }
    return refused;
  }

  #record(body: Arriving, arrivedBytes: number, nowMs: number): void {
    if (arrivedBytes - body.progressBytes < PROGRESS_BYTES || !this.#arriving.has(body)) return;
    body.progressBytes = arrivedBytes;
    body.progressAtMs = nowMs;
    this.#arriving.delete(body);
    this.#arriving.add(body);
  }
}
