/**
 * A peer that sends raw frames, for tests of what links reject, and a relay that can stop forwarding.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { encodePayload, type Frame, FrameReader, MAX_FRAME_BYTES } from "../src/frame.ts";
import { FrameSocket } from "../src/frame_socket.ts";
import { type Established, Handshake } from "../src/handshake.ts";
import { type Address, PROTOCOL_VERSIONS } from "../src/mod.ts";
import { CLUSTER_KEY, makeIdentity } from "./fixtures.ts";

/** Prepends the length field to a payload. */
export function framed(payload: Uint8Array): Buffer {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(payload.length);
  return Buffer.concat([length, payload]);
}

/** Encodes a frame, including its length field. */
export function frameBytes(kind: number, correlationId: number, body: unknown): Buffer {
  return framed(encodePayload(kind, correlationId, body));
}

/** A connection that sends arbitrary bytes and records the frames received. */
export class RawPeer {
  readonly socket: Socket;
  readonly frames: Frame[] = [];
  closed = false;

  constructor(socket: Socket) {
    this.socket = socket;
    const reader = new FrameReader();
    reader.maxPayloadBytes = MAX_FRAME_BYTES;
    socket.on("data", (chunk: Buffer) => {
      reader.push(Buffer.from(chunk), (frame) => this.frames.push(frame) > 0);
    });
    socket.on("error", () => {});
    socket.on("close", () => this.closed = true);
  }

  static connect({ host, port }: Address): RawPeer {
    return new RawPeer(connect({ host, port }));
  }

  send(bytes: Uint8Array): void {
    this.socket.write(bytes);
  }
}

/** Opens a raw connection and completes the handshake with the right key. */
export async function connectAuthenticated({ host, port }: Address): Promise<Socket> {
  const socket = connect({ host, port });
  const frames = new FrameSocket(socket, {
    onFrame: (frame) => handshake.onFrame(frame),
    onDrain: () => {},
    onClose: () => {},
  });
  let finish: (est: Established) => void;
  const done = new Promise<Established>((resolve) => finish = resolve);
  const handshake = new Handshake(
    {
      end: "connector",
      identity: makeIdentity("entry"),
      clusterKey: CLUSTER_KEY,
      versions: PROTOCOL_VERSIONS,
    },
    frames,
    (est) => finish(est),
  );
  await done;
  socket.removeAllListeners("data");
  socket.on("data", () => {});
  return socket;
}

/** Forwards bytes between clients and a target. Connections that are open when `silence` is called stay silent. */
export class Relay {
  readonly #server: Server;
  readonly #pairs: (readonly [Socket, Socket])[] = [];
  /** The chunks sent by each client. */
  readonly sent: Buffer[][] = [];

  constructor(target: Address) {
    this.#server = createServer((client) => {
      const sent: Buffer[] = [];
      this.sent.push(sent);
      client.on("data", (chunk: Buffer) => sent.push(Buffer.from(chunk)));
      const upstream = connect({ host: target.host, port: target.port });
      for (const socket of [client, upstream]) socket.on("error", () => {});
      client.pipe(upstream);
      upstream.pipe(client);
      this.#pairs.push([client, upstream]);
    });
  }

  async listen(): Promise<Address> {
    this.#server.listen({ host: "127.0.0.1", port: 0 });
    await once(this.#server, "listening");
    return { host: "127.0.0.1", port: (this.#server.address() as AddressInfo).port };
  }

  /** Stops forwarding on all open connections without closing them. */
  silence(): void {
    for (const [client, upstream] of this.#pairs) {
      for (const socket of [client, upstream]) {
        socket.unpipe();
        socket.resume();
      }
    }
  }

  close(): void {
    for (const socket of this.#pairs.flat()) socket.destroy();
    this.#server.close();
  }
}
