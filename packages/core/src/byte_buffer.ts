/**
 * Collects bytes that arrive in pieces of any size.
 *
 * Load pattern: a body in pieces of one byte. A list of the pieces takes a hundred times the memory of their bytes, and
 * joining them at each arrival takes time that grows with the square of the length.
 *
 * @module
 */

const MIN_BLOCK_BYTES = 256;

/**
 * Bytes in one block of memory, which doubles when it is full.
 *
 * @example
 * ```ts
 * const buffer = new ByteBuffer();
 * buffer.append(chunk);
 * const body = buffer.bytes();
 * ```
 */
export class ByteBuffer {
  readonly #expectedBytes: number;
  #block: Buffer = Buffer.alloc(0);
  #length = 0;

  /** `expectedBytes` is allocated at once with the first piece, where the length is known; the system gives it as used. */
  constructor({ expectedBytes = 0 }: { readonly expectedBytes?: number } = {}) {
    this.#expectedBytes = expectedBytes;
  }

  /** Number of bytes that were appended. */
  get length(): number {
    return this.#length;
  }

  /** Copies a piece to the end. */
  append(piece: Uint8Array): void {
    const length = this.#length + piece.length;
    if (length > this.#block.length) this.#grow(length);
    this.#block.set(piece, this.#length);
    this.#length = length;
  }

  /** The bytes so far, without a copy. They do not change when more are appended. */
  bytes(): Buffer {
    return this.#block.subarray(0, this.#length);
  }

  #grow(length: number): void {
    const usual = this.#length === 0 ? this.#expectedBytes : 2 * this.#block.length;
    const size = Math.max(length, usual, MIN_BLOCK_BYTES);
    const block = Buffer.allocUnsafeSlow(size);
    block.set(this.bytes());
    this.#block = block;
  }
}
