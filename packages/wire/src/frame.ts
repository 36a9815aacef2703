/**
 * The frame codec: a 4-byte big-endian length, then one CBOR array `[kind, correlationId, body]`.
 *
 * @module
 */
import type { LinkReason } from "@wisteriapick/core";
import { Decoder, Encoder } from "cbor-x";
import { isPlainCbor } from "./cbor_check.ts";

/** Largest frame, without its length field. */
export const MAX_FRAME_BYTES = 1_048_576;
/** Largest frame before the peer is authenticated; a hello needs under 700 bytes. */
export const MAX_HANDSHAKE_FRAME_BYTES = 4_096;
/** Bytes of the length field. */
export const LENGTH_BYTES = 4;

const OPTIONS = { useRecords: false, tagUint8Array: false, mapsAsObjects: true } as const;
const encoder = new Encoder(OPTIONS);
const decoder = new Decoder(OPTIONS);

/** One decoded frame. `body` is not yet checked. */
export interface Frame {
  readonly kind: number;
  readonly correlationId: number;
  readonly body: unknown;
  /** Size on the wire without the length field. */
  readonly bytes: number;
}

/** Why frames cannot be read. */
export type FrameFault = Extract<
  LinkReason,
  "frame_too_large" | "frame_malformed" | "frame_truncated"
>;

/**
 * Encodes the part of a frame after its length field.
 *
 * @example
 * ```ts
 * const payload = encodePayload(1, 0, null);
 * ```
 */
export function encodePayload(kind: number, correlationId: number, body: unknown): Buffer {
  return encoder.encode([kind, correlationId, body]);
}

/** Decodes one payload, or returns `null` where it is not a frame. Byte strings in it are views of `buf`. */
export function decodePayload(buf: Buffer, start: number, end: number): Frame | null {
  if (!isPlainCbor(buf, start, end)) return null;
  let value: unknown;
  try {
    value = decoder.decode(buf.subarray(start, end));
  } catch {
    return null;
  }
  if (!Array.isArray(value) || value.length !== 3) return null;
  const [kind, correlationId, body] = value;
  if (!Number.isSafeInteger(kind) || !Number.isSafeInteger(correlationId)) return null;
  if (kind < 0 || correlationId < 0) return null;
  return { kind, correlationId, body, bytes: end - start };
}

/**
 * Cuts a byte stream into frames.
 *
 * @example
 * ```ts
 * const reader = new FrameReader();
 * const fault = reader.push(chunk, (frame) => handle(frame));
 * ```
 */
export class FrameReader {
  /** Largest payload accepted; raised once the peer is authenticated. */
  maxBytes: number = MAX_HANDSHAKE_FRAME_BYTES;
  #parts: Buffer[] = [];
  #held = 0;
  /** Bytes needed before the next frame can be read. */
  #needed = LENGTH_BYTES;

  /** Whether the stream stands inside a frame. */
  get partial(): boolean {
    return this.#held > 0;
  }

  /**
   * Takes the next bytes and calls `fn` for each whole frame; `fn` returns false to stop reading for good. Returns
   * what is wrong with the stream, or `null`.
   */
  push(chunk: Buffer, fn: (frame: Frame) => boolean): FrameFault | null {
    const buf = this.#join(chunk);
    if (buf === null) return null;
    let pos = 0;
    this.#needed = LENGTH_BYTES;
    while (buf.length - pos >= LENGTH_BYTES) {
      const size = buf.readUInt32BE(pos);
      if (size > this.maxBytes) return "frame_too_large";
      const end = pos + LENGTH_BYTES + size;
      if (end > buf.length) {
        this.#needed = LENGTH_BYTES + size;
        break;
      }
      const frame = decodePayload(buf, pos + LENGTH_BYTES, end);
      if (frame === null) return "frame_malformed";
      pos = end;
      if (!fn(frame)) return null;
    }
    this.#hold(buf, pos);
    return null;
  }

  /** Collects chunks until a frame may be whole, so that a large frame is joined once. */
  #join(chunk: Buffer): Buffer | null {
    if (this.#held === 0) return chunk;
    this.#parts.push(chunk);
    this.#held += chunk.length;
    if (this.#held < this.#needed) return null;
    const buf = this.#parts.length === 1 ? this.#parts[0]! : Buffer.concat(this.#parts);
    this.#parts = [];
    this.#held = 0;
    return buf;
  }

  #hold(buf: Buffer, pos: number): void {
    if (pos === buf.length) return;
    this.#parts = [buf.subarray(pos)];
    this.#held = buf.length - pos;
  }
}
