/**
 * Hash-based choices that depend on an id alone, so that every process and every retry makes the same choice.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Maps a text to a uniformly distributed number in [0, 1), for example `fractionOf(`${move}/${request}`)`. */
export function fractionOf(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0) / 2 ** 32;
}
