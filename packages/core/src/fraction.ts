/**
 * Choices that depend on an id alone, so that every process and every retry makes the same one.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** A number in [0, 1) that depends only on the text, for example `fractionOf(`${move}/${request}`)`. */
export function fractionOf(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0) / 2 ** 32;
}
