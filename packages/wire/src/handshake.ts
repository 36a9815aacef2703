/**
 * The handshake: `hello` and `auth` in both directions. Each end proves that it holds the cluster key.
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
const MAX_REFUSAL_TEXT = 200;
const REFUSALS: readonly LinkReason[] = ["protocol_version", "authentication", "frame_malformed"];

/** Which end of the connection a process is. */
export type End = "connector" | "acceptor";

/** A range of protocol versions. */
export interface VersionRange {
  readonly min: number;
  readonly max: number;
}

/** What a finished handshake establishes. */
export interface Established {
  readonly peer: Identity;
  /** The newest protocol version that both ends speak. */
  readonly version: number;
}

/** Options of {@link Handshake}. */
export interface HandshakeOptions {
  readonly end: End;
  readonly identity: Identity;
  readonly clusterKey: Uint8Array | string;
  readonly versions: VersionRange | typeof PROTOCOL_VERSIONS;
}

/** One running handshake. The acceptor proves itself only to a connector that has proved itself first. */
export class Handshake {
  readonly #options: HandshakeOptions;
  readonly #socket: FrameSocket;
  readonly #done: (est: Established) => void;
  readonly #own: Hello;
  #peer: Hello | null = null;

  constructor(options: HandshakeOptions, socket: FrameSocket, done: (est: Established) => void) {
    this.#options = options;
    this.#socket = socket;
    this.#done = done;
    this.#own = {
      ...options.identity,
      minVersion: options.versions.min,
      maxVersion: options.versions.max,
      nonce: randomBytes(NONCE_BYTES),
    };
    if (options.end === "connector") this.#sendHello();
  }

  /** Takes the next frame of the peer. */
  onFrame(frame: Frame): void {
    if (frame.correlationId !== 0) return this.#refuse("frame_malformed", "unexpected frame");
    if (frame.kind === FRAME.refused) return this.#refused(frame.body);
    if (frame.kind === FRAME.hello && this.#peer === null) return this.#onHello(frame.body);
    if (frame.kind === FRAME.auth && this.#peer !== null) return this.#onAuth(frame.body);
    this.#refuse("authentication", "the first frames are hello and auth");
  }

  #onHello(body: unknown): void {
    try {
      this.#peer = helloBody.decode(body);
    } catch (e) {
      return this.#refuse("frame_malformed", `hello: ${toWpError(e).message}`);
    }
    if (this.#version() === null) {
      const { min, max } = this.#options.versions;
      return this.#refuse("protocol_version", `supported protocol versions: ${min} to ${max}`);
    }
    const nonce = this.#peer.nonce;
    if (nonce.length !== NONCE_BYTES || timingSafeEqual(nonce, this.#own.nonce)) {
      return this.#refuse("authentication", "unusable nonce");
    }
    if (this.#options.end === "connector") this.#sendAuth();
    else this.#sendHello();
  }

  #onAuth(body: unknown): void {
    const other: End = this.#options.end === "connector" ? "acceptor" : "connector";
    if (!(body instanceof Uint8Array) || body.length !== MAC_BYTES) {
      return this.#refuse("authentication", "not authenticated");
    }
    if (!timingSafeEqual(body, this.#mac(other))) {
      return this.#refuse("authentication", "not authenticated");
    }
    if (this.#options.end === "acceptor") this.#sendAuth();
    const { role, process, host, dataCentre } = this.#peer!;
    this.#done({ peer: { role, process, host, dataCentre }, version: this.#version()! });
  }

  /** The newest version in both ranges, or `null`. */
  #version(): number | null {
    const newest = Math.min(this.#own.maxVersion, this.#peer!.maxVersion);
    const oldest = Math.max(this.#own.minVersion, this.#peer!.minVersion);
    return newest >= oldest ? newest : null;
  }

  #sendHello(): void {
    this.#socket.write(encodePayload(FRAME.hello, 0, helloBody.encode(this.#own)));
  }

  #sendAuth(): void {
    this.#socket.write(encodePayload(FRAME.auth, 0, this.#mac(this.#options.end)));
  }

  /**
   * The proof of one end. It covers both hellos, so nonces, roles and version ranges cannot be altered on the way, and
   * names the end, so a proof cannot be sent back to its maker.
   */
  #mac(end: End): Buffer {
    const own = transcript(this.#own);
    const peer = transcript(this.#peer!);
    const hellos = this.#options.end === "connector" ? [own, peer] : [peer, own];
    const proved = JSON.stringify(["wisteriapick link", end, ...hellos]);
    return createHmac("sha256", this.#options.clusterKey).update(proved).digest();
  }

  /** Tells the peer why it is refused, then closes. */
  #refuse(reason: LinkReason, message: string): void {
    this.#socket.write(encodePayload(FRAME.refused, 0, [reason, message]));
    this.#socket.close(linkError(reason, message));
  }

  #refused(body: unknown): void {
    this.#socket.fail(refusalError(body));
  }
}

function transcript(hello: Hello): unknown[] {
  const { minVersion, maxVersion, role, process, host, dataCentre, nonce } = hello;
  const hex = Buffer.from(nonce).toString("hex");
  return [minVersion, maxVersion, role, process, host, dataCentre, hex];
}

/** Reads a refusal. The peer is not authenticated, so only known reasons and short texts are taken over. */
function refusalError(body: unknown): LinkError {
  const [reason, message] = Array.isArray(body) ? body : [];
  const known = REFUSALS.find((r) => r === reason);
  if (known === undefined || typeof message !== "string") {
    return linkError("frame_malformed", "malformed refusal");
  }
  return linkError(known, `refused by peer: ${message.slice(0, MAX_REFUSAL_TEXT)}`);
}
