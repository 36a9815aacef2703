/**
 * Structural validation of untrusted CBOR before it is decoded.
 *
 * @module
 */

/** Maximum nesting in a frame; the deepest message has 5 levels. */
const MAX_DEPTH = 16;

const MAJOR_BYTES = 2;
const MAJOR_TEXT = 3;
const MAJOR_ARRAY = 4;
const MAJOR_MAP = 5;
const MAJOR_TAG = 6;
const MAJOR_SIMPLE = 7;

/**
 * Returns whether `buf[start, end)` holds exactly one CBOR item of plain data: no tags, maps or indefinite lengths,
 * nested at most 16 levels, and no length that exceeds the bytes present.
 *
 * The protocol uses plain data only, but the decoder has no option to reject anything else: it creates regular
 * expressions, errors and sets from tags, overflows the call stack on deep nesting, and retains shared tables. Frames
 * are checked before decoding because the first ones arrive before the peer is authenticated.
 *
 * @example
 * ```ts
 * isPlainCbor(Buffer.from([0x81, 0x01]), 0, 2); // true: [1]
 * ```
 */
export function isPlainCbor(buf: Uint8Array, start: number, end: number): boolean {
  const remainingItems = new Array<number>(MAX_DEPTH);
  let depth = 0;
  let pos = start;
  for (;;) {
    if (pos >= end) return false;
    const head = buf[pos++]!;
    const major = head >> 5;
    const info = head & 0x1f;
    let arg = info;
    if (info >= 24) {
      if (info > 27) return false;
      const size = 1 << (info - 24);
      if (pos + size > end) return false;
      arg = 0;
      for (let i = 0; i < size; i++) arg = arg * 256 + buf[pos++]!;
    }
    if (major === MAJOR_TEXT || major === MAJOR_BYTES) {
      if (arg > end - pos) return false;
      pos += arg;
    } else if (major === MAJOR_ARRAY) {
      if (arg > end - pos || depth === MAX_DEPTH) return false;
      if (arg > 0) {
        remainingItems[depth++] = arg;
        continue;
      }
    } else if (major === MAJOR_MAP || major === MAJOR_TAG) {
      return false;
    } else if (major === MAJOR_SIMPLE && !isPlainSimple(info)) {
      return false;
    }
    while (depth > 0 && --remainingItems[depth - 1]! === 0) depth--;
    if (depth === 0) return pos === end;
  }
}

/** Whether a simple value is false, true, null, undefined or a floating-point number. */
function isPlainSimple(info: number): boolean {
  return info >= 20 && info <= 27 && info !== 24;
}
