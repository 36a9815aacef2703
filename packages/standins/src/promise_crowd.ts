/**
 * Callers that send requests ahead, and what each request was answered with.
 *
 * @module
 */
import { connect, type Socket } from "node:net";

/** A request that was sent ahead on one connection. */
export interface AheadRequest {
  readonly id: string;
  readonly bytes: Buffer;
}

/** The response to one request. */
export interface AheadResponse {
  readonly status: number;
  /** The body as it arrived, with its framing. */
  readonly body: string;
}

/** Reads responses of one connection, one after the other. */
class ResponseReader {
  readonly responses: AheadResponse[] = [];
  #status = 0;
  #body = "";
  #text = "";
  /** Bytes of the present body that are missing; `null` if it is chunked, `undefined` between responses. */
  #missing: number | null | undefined;

  push(chunk: Buffer): void {
    this.#text += chunk.toString("latin1");
    while (this.#missing === undefined ? this.#readHead() : this.#readBody());
  }

  #readBody(): boolean {
    if (this.#missing === null) {
      const end = /^(?:[0-9a-f]+\r\n[^]*?\r\n)??0\r\n\r\n/i.exec(this.#text);
      const last = end === null ? this.#text.indexOf("\r\n0\r\n\r\n") + 2 : 0;
      if (end === null && last < 2) return false;
      this.#take(end?.[0].length ?? last + 5);
      return this.#endResponse();
    }
    const taken = Math.min(this.#missing!, this.#text.length);
    this.#take(taken);
    this.#missing! -= taken;
    return this.#missing === 0 && this.#endResponse();
  }

  #take(length: number): void {
    this.#body += this.#text.slice(0, length);
    this.#text = this.#text.slice(length);
  }

  #endResponse(): true {
    this.responses.push({ status: this.#status, body: this.#body });
    this.#body = "";
    this.#missing = undefined;
    return true;
  }

  #readHead(): boolean {
    const end = this.#text.indexOf("\r\n\r\n");
    if (end < 0) return false;
    const head = this.#text.slice(0, end);
    this.#text = this.#text.slice(end + 4);
    this.#status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]);
    const isChunked = /transfer-encoding: chunked/i.test(head);
    this.#missing = isChunked ? null : Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
    return true;
  }
}

/**
 * Connections that each send requests ahead and read the responses.
 *
 * @example
 * ```ts
 * crowd.add({ host, port }, [{ id: "order-1", bytes }]);
 * for (const [id, { status }] of crowd.responses()) check(id, status);
 * ```
 */
export class PromiseCrowd {
  readonly #connections: {
    readonly socket: Socket;
    readonly ids: readonly string[];
    readonly reader: ResponseReader;
  }[] = [];

  /** Adds a connection that sends requests, and resumes sending as they are taken. */
  add(
    { host, port }: { readonly host: string; readonly port: number },
    requests: readonly AheadRequest[],
  ): void {
    const socket = connect(port, host);
    const reader = new ResponseReader();
    socket.on("error", () => {});
    socket.on("data", (chunk) => reader.push(chunk));
    socket.write(Buffer.concat(requests.map(({ bytes }) => bytes)));
    this.#connections.push({ socket, ids: requests.map(({ id }) => id), reader });
  }

  /** Whether all requests were answered, or their connections are closed. */
  get isOver(): boolean {
    return this.#connections.every(({ socket, ids, reader }) =>
      socket.destroyed || reader.responses.length >= ids.length
    );
  }

  /** The response to each request that has a whole one, by its id. */
  responses(): Map<string, AheadResponse> {
    return new Map(
      this.#connections.flatMap(({ ids, reader }) =>
        reader.responses.map((res, i) => [ids[i]!, res] as const)
      ),
    );
  }

  close(): void {
    for (const { socket } of this.#connections) socket.destroy();
  }
}
