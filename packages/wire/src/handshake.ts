/**
 * The handshake: `hello` and `auth` frames in both directions, by which each end proves that it holds the cluster key.
 *
 * @module
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { type LinkReason, toWpError } from "@wisteriapick/core";
import { encodePayload, type Frame } from "./frame.ts";
import { type FrameSocket, type LinkError, linkError } from "./frame_socket.ts";
import type { Identity } from "./link.ts";
import { FRAME, helloBody } from "./message_codec.ts";
import type { Hello, PROTOCOL_VERSIONS } from "./messages.ts";

const NONCE_BYTES = 32;
const MAC_BYTES = 32;
const MAX_REFUSAL_TEXT_CHARS = 200;
const HANDSHAKE_REFUSAL_REASONS: readonly LinkReason[] = [
  "protocol_version",
  "authentication",
  "frame_malformed",
];

/** The end of a connection: the one that connected or the one that accepted. */
export type LinkEnd = "connector" | "acceptor";

/** A range of protocol versions. */
export interface VersionRange {
  readonly min: number;
  readonly max: number;
}

/** Result of a completed handshake. */
export interface Established {
  readonly peer: Identity;
  /** The newest protocol version that both ends support. */
  readonly version: number;
}

/** Options of {@link Handshake}. */
export interface HandshakeOptions {
  readonly end: LinkEnd;
  readonly identity: Identity;
  readonly clusterKey: Uint8Array | string;
  readonly versions: VersionRange | typeof PROTOCOL_VERSIONS;
}

/** A handshake in progress. The acceptor sends its proof only after the connector's proof has been verified. */
export class Handshake {
  readonly #options: HandshakeOptions;
  readonly #socket: FrameSocket;
  readonly #onEstablished: (established: Established) => void;
  readonly #ownHello: Hello;
  #peerHello: Hello | null = null;

  constructor(
    options: HandshakeOptions,
    socket: FrameSocket,
    onEstablished: (established: Established) => void,
  ) {
    this.#options = options;
    this.#socket = socket;
    this.#onEstablished = onEstablished;
    this.#ownHello = {
      ...options.identity,
      minVersion: options.versions.min,
      maxVersion: options.versions.max,
      nonce: randomBytes(NONCE_BYTES),
    };
    if (options.end === "connector") this.#sendHello();
  }

  /** Handles the next frame from the peer. */
  onFrame(frame: Frame): void {
    if (frame.correlationId !== 0) return this.#refuse("frame_malformed", "unexpected frame");
    if (frame.kind === FRAME.refused) return this.#onRefused(frame.body);
    if (frame.kind === FRAME.hello && this.#peerHello === null) return this.#onHello(frame.body);
    if (frame.kind === FRAME.auth && this.#peerHello !== null) return this.#onAuth(frame.body);
    this.#refuse("authentication", "expected hello, then auth");
  }

  #onHello(body: unknown): void {
    try {
      this.#peerHello = helloBody.decode(body);
    } catch (e) {
      return this.#refuse("frame_malformed", `hello: ${toWpError(e).message}`);
    }
    if (this.#negotiatedVersion() === null) {
      const { min, max } = this.#options.versions;
      return this.#refuse("protocol_version", `supported protocol versions: ${min} to ${max}`);
    }
    const nonce = this.#peerHello.nonce;
    if (nonce.length !== NONCE_BYTES || timingSafeEqual(nonce, this.#ownHello.nonce)) {
      return this.#refuse("authentication", "nonce has the wrong length or is reflected");
    }
    if (this.#options.end === "connector") this.#sendAuth();
    else this.#sendHello();
  }

  #onAuth(body: unknown): void {
    const peerEnd: LinkEnd = this.#options.end === "connector" ? "acceptor" : "connector";
    if (!(body instanceof Uint8Array) || body.length !== MAC_BYTES) {
      return this.#refuse("authentication", "not authenticated");
    }
    if (!timingSafeEqual(body, this.#mac(peerEnd))) {
      return this.#refuse("authentication", "not authenticated");
    }
    if (this.#options.end === "acceptor") this.#sendAuth();
    const { role, process, host, dataCentre } = this.#peerHello!;
    this.#onEstablished({
      peer: { role, process, host, dataCentre },
      version: this.#negotiatedVersion()!,
    });
  }

  /** The newest version in both ranges, or `null` if the ranges do not overlap. */
  #negotiatedVersion(): number | null {
    const newest = Math.min(this.#ownHello.maxVersion, this.#peerHello!.maxVersion);
    const oldest = Math.max(this.#ownHello.minVersion, this.#peerHello!.minVersion);
    return newest >= oldest ? newest : null;
  }

  #sendHello(): void {
    this.#socket.write(encodePayload(FRAME.hello, 0, helloBody.encode(this.#ownHello)));
  }

  #sendAuth(): void {
    this.#socket.write(encodePayload(FRAME.auth, 0, this.#mac(this.#options.end)));
  }

  /**
   * Computes the proof of one end. It covers both hellos, so that nonces, roles and version ranges cannot be altered in
   * transit, and includes the end, so that a proof cannot be reflected to its sender.
   */
  #mac(end: LinkEnd): Buffer {
    const own = transcript(this.#ownHello);
    const peer = transcript(this.#peerHello!);
    const hellos = this.#options.end === "connector" ? [own, peer] : [peer, own];
    const macInput = JSON.stringify(["wisteriapick link", end, ...hellos]);
    return createHmac("sha256", this.#options.clusterKey).update(macInput).digest();
  }

  /** Sends the reason to the peer, then closes the connection. */
  #refuse(reason: LinkReason, message: string): void {
    this.#socket.write(encodePayload(FRAME.refused, 0, [reason, message]));
    this.#socket.close(linkError(reason, message));
  }

  #onRefused(body: unknown): void {
    this.#socket.fail(refusalError(body));
  }
}

function transcript(hello: Hello): unknown[] {
  const { minVersion, maxVersion, role, process, host, dataCentre, nonce } = hello;
  const hex = Buffer.from(nonce).toString("hex");
  return [minVersion, maxVersion, role, process, host, dataCentre, hex];
}

/** Parses a refusal. As the peer is not authenticated, only known reasons and a truncated text are used. */
function refusalError(body: unknown): LinkError {
  const [reason, message] = Array.isArray(body) ? body : [];
  const known = HANDSHAKE_REFUSAL_REASONS.find((r) => r === reason);
  if (known === undefined || typeof message !== "string") {
    return linkError("frame_malformed", "malformed refusal");
  }
  return linkError(known, `refused by peer: ${message.slice(0, MAX_REFUSAL_TEXT_CHARS)}`);
}
