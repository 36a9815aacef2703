/**
 * The body of a streamed HTTP response, with one socket write for each chunk.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

const LAST_CHUNK = "0\r\n\r\n";

/**
 * Writes chunked transfer coding itself: `node:http` writes the size, text and line end of a chunk as three buffers,
 * which costs an entry more than the token they carry.
 *
 * @example
 * ```ts
 * res.writeHead(200, SSE_HEADERS);
 * const body = new ChunkedBody(res);
 * body.write("data: x\n\n");
 * body.end();
 * ```
 */
export class ChunkedBody {
  readonly #res: ServerResponse;
  readonly #framed: boolean;

  /** Takes over the body of a response whose head has been written. */
  constructor(res: ServerResponse) {
    this.#res = res;
    // HTTP/1.0 has no chunked transfer coding.
    this.#framed = res.chunkedEncoding;
    res.chunkedEncoding = false;
  }

  /** Writes text as one chunk. Returns false while the caller is slow; the response then emits `drain`. */
  write(text: string): boolean {
    if (text === "") return true;
    if (!this.#framed) return this.#res.write(text);
    const size = Buffer.byteLength(text).toString(16);
    return this.#res.write(`${size}\r\n${text}\r\n`);
  }

  end(): void {
    this.#res.end(this.#framed ? LAST_CHUNK : undefined);
  }
}
