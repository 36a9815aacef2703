/**
 * The frame codec: a 4-byte big-endian length, then one CBOR array `[kind, correlationId, body]`.
 *
 * @module
 */
import type { LinkReason } from "@wisteriapick/core";
import { Decoder, Encoder } from "cbor-x";
import { isPlainCbor } from "./cbor_check.ts";

/** Maximum size of a frame, without its length field. */
export const MAX_FRAME_BYTES = 1_048_576;
/** Maximum size of a frame before the peer is authenticated; a hello takes less than 700 bytes. */
export const MAX_HANDSHAKE_FRAME_BYTES = 4_096;
/** Size of the length field. */
export const LENGTH_BYTES = 4;

const OPTIONS = { useRecords: false, tagUint8Array: false, mapsAsObjects: true } as const;
const encoder = new Encoder(OPTIONS);
const decoder = new Decoder(OPTIONS);

/** A decoded frame whose `body` is not validated yet. */
export interface Frame {
  readonly kind: number;
  readonly correlationId: number;
  readonly body: unknown;
  /** Size on the wire, without the length field. */
  readonly bytes: number;
}

/** Reasons for which a byte stream cannot be read as frames. */
export type FrameFault = Extract<
  LinkReason,
  "frame_too_large" | "frame_malformed" | "frame_truncated"
>;

/**
 * Encodes a frame without its length field.
 *
 * @example
 * ```ts
 * const payload = encodePayload(1, 0, null);
 * ```
 */
export function encodePayload(kind: number, correlationId: number, body: unknown): Buffer {
  return encoder.encode([kind, correlationId, body]);
}

/** Decodes one payload; returns `null` if it is not a valid frame. Byte strings in the result are views of `buf`. */
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
 * Splits a byte stream into frames.
 *
 * @example
 * ```ts
 * const reader = new FrameReader();
 * const fault = reader.push(chunk, (frame) => handle(frame));
 * ```
 */
export class FrameReader {
  /** Maximum payload accepted; raised once the peer is authenticated. */
  maxPayloadBytes: number = MAX_HANDSHAKE_FRAME_BYTES;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  /** Buffered bytes at which the next frame may be complete. */
  #neededBytes = LENGTH_BYTES;

  /** Whether part of a frame has been received. */
  get isPartial(): boolean {
    return this.#bufferedBytes > 0;
  }

  /**
   * Reads the next bytes and calls `fn` for each complete frame; `fn` returns false to stop reading permanently.
   * Returns the fault of the stream, or `null` if there is none.
   */
  push(chunk: Buffer, fn: (frame: Frame) => boolean): FrameFault | null {
    const buf = this.#joinWhenComplete(chunk);
    if (buf === null) return null;
    let pos = 0;
    this.#neededBytes = LENGTH_BYTES;
    while (buf.length - pos >= LENGTH_BYTES) {
      const size = buf.readUInt32BE(pos);
      if (size > this.maxPayloadBytes) return "frame_too_large";
      const end = pos + LENGTH_BYTES + size;
      if (end > buf.length) {
        this.#neededBytes = LENGTH_BYTES + size;
        break;
      }
      const frame = decodePayload(buf, pos + LENGTH_BYTES, end);
      if (frame === null) return "frame_malformed";
      pos = end;
      if (!fn(frame)) return null;
    }
    this.#buffer(buf, pos);
    return null;
  }

  /** Collects chunks until a frame may be complete, so that a large frame is concatenated only once. */
  #joinWhenComplete(chunk: Buffer): Buffer | null {
    if (this.#bufferedBytes === 0) return chunk;
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes < this.#neededBytes) return null;
    const buf = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
    this.#chunks = [];
    this.#bufferedBytes = 0;
    return buf;
  }

  #buffer(buf: Buffer, pos: number): void {
    if (pos === buf.length) return;
    this.#chunks = [buf.subarray(pos)];
    this.#bufferedBytes = buf.length - pos;
  }
}
