/**
 * Crowds of callers that observe no limits.
 *
 * @module
 */
import { connect, type Socket } from "node:net";

/** Options of {@link Crowd}. */
export interface CrowdOptions {
  /** Whether responses are read. */
  readonly isReading?: boolean;
  /** Whether a connection that was closed is opened anew. */
  readonly reopens?: boolean;
  /** Bytes that each connection writes and reads in a second; as many as are taken by default. */
  readonly bytesPerSecond?: number;
  /** Bytes that each connection writes before it becomes slow; none by default. */
  readonly quickBytes?: number;
}

/** Most bytes that are written to a connection at once. */
const WRITE_BYTES = 65_536;
/** Time without progress after which a crowd is held up, in milliseconds. */
const SETTLE_POLL_MS = 500;
/** Time after which a crowd that still gets rid of bytes is not waited for, in milliseconds. */
const MAX_SETTLE_MS = 10_000;
/** Time between two writes of a connection that writes slowly, in milliseconds. */
const PACE_MS = 100;
/** Time after which a connection that was closed is opened anew, in milliseconds. */
const REOPEN_MS = 50;

/**
 * Connections that each write a text. They read nothing unless the options say so.
 *
 * @example
 * ```ts
 * const crowd = new Crowd({ host: "127.0.0.1", port });
 * for (let i = 0; i < 150; i++) crowd.add(() => bytes);
 * crowd.close();
 * ```
 */
export class Crowd {
  readonly #address: { readonly host: string; readonly port: number };
  readonly #options: CrowdOptions;
  readonly #sockets = new Set<Socket>();
  /** Bytes that were sent on connections that are gone. */
  #sentBefore = 0;
  #isClosed = false;

  constructor(
    address: { readonly host: string; readonly port: number },
    options: CrowdOptions = {},
  ) {
    this.#address = address;
    this.#options = options;
  }

  /**
   * Adds a connection that writes bytes as fast as they are taken, and then stays open. Each connection that is opened
   * anew calls `makeBytes` again, as a request that is sent again has an id of its own.
   */
  add(makeBytes: () => Buffer): void {
    const bytes = makeBytes();
    const socket = connect(this.#address.port, this.#address.host);
    this.#sockets.add(socket);
    socket.on("error", () => {});
    const { bytesPerSecond, quickBytes = 0 } = this.#options;
    if (bytesPerSecond !== undefined) {
      socket.write(bytes.subarray(0, quickBytes));
      return this.#pace(socket, bytes.subarray(quickBytes), bytesPerSecond);
    }
    if (this.#options.isReading) socket.resume();
    else socket.pause();
    if (this.#options.reopens) socket.once("close", () => this.#reopen(socket, makeBytes));
    let written = 0;
    const next = () => {
      while (written < bytes.length && !socket.destroyed) {
        const block = bytes.subarray(written, written + WRITE_BYTES);
        written += block.length;
        if (!socket.write(block)) return void socket.once("drain", next);
      }
    };
    next();
  }

  /** Writes and reads so many bytes in a second. */
  #pace(socket: Socket, bytes: Buffer, bytesPerSecond: number): void {
    const perTurn = Math.ceil(bytesPerSecond * PACE_MS / 1_000);
    let written = 0;
    const timer = setInterval(() => {
      if (written < bytes.length) socket.write(bytes.subarray(written, written += perTurn));
      socket.read(Math.min(perTurn, socket.readableLength));
    }, PACE_MS);
    socket.on("readable", () => {});
    socket.once("close", () => clearInterval(timer));
  }

  #reopen(socket: Socket, makeBytes: () => Buffer): void {
    if (this.#isClosed) return;
    this.#sentBefore += socket.bytesWritten;
    this.#sockets.delete(socket);
    setTimeout(() => this.#isClosed || this.add(makeBytes), REOPEN_MS);
  }

  /** Whether all connections have been opened or have failed to. */
  get isConnected(): boolean {
    return [...this.#sockets].every(({ connecting }) => !connecting);
  }

  /** Bytes that the connections have handed to the system so far. */
  get sentBytes(): number {
    return [...this.#sockets].reduce(
      (sum, { bytesWritten, writableLength }) => sum + bytesWritten - writableLength,
      this.#sentBefore,
    );
  }

  /**
   * Resolves when the connections have sent all, are held up or have had some seconds. `onPoll` is called in between.
   */
  async settle(onPoll: () => void): Promise<void> {
    const endsAtMs = performance.now() + MAX_SETTLE_MS;
    let before = -1;
    while ((!this.isConnected || this.sentBytes !== before) && performance.now() < endsAtMs) {
      before = this.sentBytes;
      await new Promise((resolve) => setTimeout(resolve, SETTLE_POLL_MS));
      onPoll();
    }
  }

  close(): void {
    this.#isClosed = true;
    for (const socket of this.#sockets) socket.destroy();
  }
}

/** A request with a chunked body that lacks its last chunk. `fields` are whole lines of its head. */
export function unendedBody({ path, fields, bytes, chunkBytes }: {
  readonly path: string;
  readonly fields: string;
  readonly bytes: number;
  readonly chunkBytes: number;
}): Buffer {
  const head = `POST ${path} HTTP/1.1\r\n${fields}Transfer-Encoding: chunked\r\n\r\n`;
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  return Buffer.from(head + chunk.repeat(Math.floor(bytes / chunkBytes)), "latin1");
}

/**
 * Requests that are sent one after the other; `fieldsOf` is called for each, and returns whole lines of its head. With a
 * body, the fields have to state its length.
 */
export function requestsAhead(
  { requestLine, fieldsOf, count, body = "" }: {
    readonly requestLine: string;
    readonly fieldsOf: (i: number) => string;
    readonly count: number;
    readonly body?: string;
  },
): Buffer {
  const requests = Array.from(
    { length: count },
    (_, i) => `${requestLine} HTTP/1.1\r\n${fieldsOf(i)}\r\n${body}`,
  );
  return Buffer.from(requests.join(""), "latin1");
}
