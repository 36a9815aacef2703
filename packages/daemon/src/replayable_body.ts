/**
 * A request body that can be sent more than once as long as it is small.
 *
 * @module
 */

/** Largest body that is retained for another attempt. */
export const MAX_REPLAYABLE_BYTES = 65_536;

/** Reads a body once and provides it to one attempt after another. */
export class ReplayableBody {
  readonly #it: AsyncIterator<Buffer>;
  readonly #maxBytes: number;
  #retained: Buffer[] = [];
  /** Index of the first retained chunk. */
  #base = 0;
  #bytes = 0;
  #isExhausted = false;
  #pendingRead: Promise<void> | null = null;

  constructor(
    source: AsyncIterable<Buffer>,
    { maxBytes = MAX_REPLAYABLE_BYTES }: { maxBytes?: number } = {},
  ) {
    this.#it = source[Symbol.asyncIterator]();
    this.#maxBytes = maxBytes;
  }

  /** Whether every chunk read so far is still retained. */
  get isReplayable(): boolean {
    return this.#base === 0;
  }

  /** The body from its first byte; valid only while {@link ReplayableBody.isReplayable}. */
  async *chunks(): AsyncIterable<Buffer> {
    let next = 0;
    for (;;) {
      while (next - this.#base < this.#retained.length) yield this.#retained[next++ - this.#base]!;
      if (this.#isExhausted) return;
      await this.#pull();
    }
  }

  // One read is shared, as an abandoned attempt may still be waiting for it.
  #pull(): Promise<void> {
    this.#pendingRead ??= this.#read().finally(() => {
      this.#pendingRead = null;
    });
    return this.#pendingRead;
  }

  async #read(): Promise<void> {
    const res = await this.#it.next();
    if (res.done) {
      this.#isExhausted = true;
      return;
    }
    this.#bytes += res.value.length;
    if (this.#bytes > this.#maxBytes) {
      this.#base += this.#retained.length;
      this.#retained = [];
    }
    this.#retained.push(res.value);
  }
}
