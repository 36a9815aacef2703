/**
 * A request body that can be sent again while it is small.
 *
 * @module
 */

/** Bytes of a body that are kept for another attempt. */
export const REPLAY_BYTES = 65_536;

/** Reads a body once and gives it to one attempt after another. */
export class ReplayableBody {
  readonly #it: AsyncIterator<Buffer>;
  readonly #maxBytes: number;
  #kept: Buffer[] = [];
  #base = 0;
  #bytes = 0;
  #done = false;
  #pulling: Promise<void> | null = null;

  constructor(
    source: AsyncIterable<Buffer>,
    { maxBytes = REPLAY_BYTES }: { maxBytes?: number } = {},
  ) {
    this.#it = source[Symbol.asyncIterator]();
    this.#maxBytes = maxBytes;
  }

  /** Whether everything that was read is still there. */
  get replayable(): boolean {
    return this.#base === 0;
  }

  /** The whole body from its start; only while {@link ReplayableBody.replayable}. */
  async *chunks(): AsyncIterable<Buffer> {
    let next = 0;
    for (;;) {
      while (next - this.#base < this.#kept.length) yield this.#kept[next++ - this.#base]!;
      if (this.#done) return;
      await this.#pull();
    }
  }

  // One read is shared: an attempt that was given up may still be waiting for it.
  #pull(): Promise<void> {
    this.#pulling ??= this.#read().finally(() => {
      this.#pulling = null;
    });
    return this.#pulling;
  }

  async #read(): Promise<void> {
    const res = await this.#it.next();
    if (res.done) {
      this.#done = true;
      return;
    }
    this.#bytes += res.value.length;
    if (this.#bytes > this.#maxBytes) {
      this.#base += this.#kept.length;
      this.#kept = [];
    }
    this.#kept.push(res.value);
  }
}
