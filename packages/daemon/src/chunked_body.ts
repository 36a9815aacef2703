/**
 * The body of a streamed HTTP answer, with one write to the socket for each chunk.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

const LAST_CHUNK = "0\r\n\r\n";

/**
 * Frames chunks itself. `node:http` writes size, text and line end of a chunk as three buffers, which costs an entry
 * more than the token in between.
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

  /** Takes over the body of an answer whose head has been written. */
  constructor(res: ServerResponse) {
    this.#res = res;
    // A caller of HTTP/1.0 gets no chunks.
    this.#framed = res.chunkedEncoding;
    res.chunkedEncoding = false;
  }

  /** Writes text as one chunk. Returns false when the caller is slow: wait for `drain` of the response. */
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
