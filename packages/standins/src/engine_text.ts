/**
 * Text that the model engine's stand-in generates. It depends on the generation id and the prompt only, so that a test
 * can tell which generation's response it received and whether two responses were spliced.
 *
 * @module
 */
import { createHash } from "node:crypto";

// Plausible for catalogue texts of postcards as well as care reports of drysuits.
const WORDS =
  ("the a with of and in on for from by woven kente strip silk cotton loom gold green blue " +
    "weaver pattern border village museum market card print shop curator artist colour thread " +
    "Accra Osu Tema Legon Bonwire harbour light rain drum palm cloth frame paper ink edge " +
    "drysuit seal zip neck wrist cuff valve lining seam glue dry rinse salt warm cold check " +
    "Otaru Niseko Hakodate guide diver size tag report repair patch leak test shows bright " +
    "clean worn small large old new fine soft strong long").split(" ");

/** Shape of a response. */
export interface TextShape {
  /** Tokens after which the generation ends by itself. */
  readonly outputTokens: number;
}

const SHORT_SHARE = 0.4;
const SHORT_MIN_TOKENS = 3;
const SHORT_RANGE_TOKENS = 12;
const LONG_MIN_TOKENS = 60;
const LONG_RANGE_TOKENS = 340;

function digestOf(gen: string, prompt: string): Buffer {
  return createHash("sha256").update(`${gen}\n${prompt}`).digest();
}

/**
 * Draws the length of a response in tokens: a short tag, or up to several hundred tokens. It depends on the prompt
 * only, so that the same request has the same length on every engine. A prompt can request a length with `[tokens=N]`.
 *
 * @example
 * ```ts
 * drawOutputTokens("Sort this artwork [tokens=5]"); // 5
 * ```
 */
export function drawOutputTokens(prompt: string): number {
  const requested = /\[tokens=(\d{1,6})\]/.exec(prompt);
  if (requested !== null) return Math.max(1, Number(requested[1]));
  const digest = digestOf("", prompt);
  const draw = digest.readUInt32BE(0) / 0x1_0000_0000;
  const span = digest.readUInt32BE(4) / 0x1_0000_0000;
  if (draw < SHORT_SHARE) return SHORT_MIN_TOKENS + Math.floor(span * SHORT_RANGE_TOKENS);
  // Squaring makes long responses rarer than short ones.
  return LONG_MIN_TOKENS + Math.floor(span * span * LONG_RANGE_TOKENS);
}

/** The tokens of one generation. */
export class TextSource {
  readonly #seed: Buffer;

  constructor(gen: string, prompt: string) {
    this.#seed = digestOf(gen, prompt);
  }

  /** The token at an offset, with its leading space except at offset 0. */
  token(offset: number): string {
    const at = (offset * 7) % 28;
    const mixed = this.#seed.readUInt32BE(at) ^ Math.imul(offset + 1, 0x9e3779b1);
    const word = WORDS[(mixed >>> 0) % WORDS.length]!;
    return offset === 0 ? word : ` ${word}`;
  }

  /** The first `count` tokens, concatenated. */
  text(count: number): string {
    return Array.from({ length: count }, (_, i) => this.token(i)).join("");
  }
}

/** The complete text that an engine returns for a generation of `count` tokens. */
export function expectedText(gen: string, prompt: string, count: number): string {
  return new TextSource(gen, prompt).text(count);
}

const CHARS_PER_TOKEN = 4;
const PREFIX_BLOCK_TOKENS = 16;
const MAX_PREFIXES = 64;

/** Number of tokens of a prompt, at {@link CHARS_PER_TOKEN} characters each. */
export function countPromptTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARS_PER_TOKEN));
}

/** Prefixes of a prompt in whole blocks, shortest first, with the hashes that key them in an engine's cache. */
export function promptPrefixes(prompt: string): { hash: string; tokens: number }[] {
  const blockChars = PREFIX_BLOCK_TOKENS * CHARS_PER_TOKEN;
  const hash = createHash("sha256");
  const prefixes: { hash: string; tokens: number }[] = [];
  const blocks = Math.min(MAX_PREFIXES, Math.floor(prompt.length / blockChars));
  for (let i = 0; i < blocks; i++) {
    hash.update(prompt.slice(i * blockChars, (i + 1) * blockChars));
    const digest = hash.copy().digest("hex").slice(0, 16);
    prefixes.push({ hash: digest, tokens: (i + 1) * PREFIX_BLOCK_TOKENS });
  }
  return prefixes;
}
