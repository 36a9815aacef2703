/**
 * Summarises a prompt for placement and quarantine, without its text.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Characters that each prefix adds; engines cache prompts in blocks, so finer steps gain nothing. */
export const PREFIX_BLOCK_CHARS = 256;
/** Largest number of prefixes for a prompt; keeps messages small for long prompts. */
export const MAX_PREFIXES = 16;
/** Average length of a token of English text; the engine's own count is exact. */
const CHARS_PER_TOKEN = 4;
/** Estimated tokens that each prefix adds. */
export const PREFIX_BLOCK_TOKENS = PREFIX_BLOCK_CHARS / CHARS_PER_TOKEN;

/** Estimated length, prefixes and digest of a prompt. */
export interface PromptSummary {
  readonly promptTokens: number;
  /** Hashes of prefixes of increasing length. */
  readonly prefixes: readonly string[];
  readonly digest: string;
}

/**
 * Summarises a prompt; the digest also covers `route` and `service`.
 *
 * @example
 * ```ts
 * const { promptTokens, prefixes, digest } = promptShape("chat", "scribe", prompt);
 * ```
 */
export function summarisePrompt(route: string, service: string, prompt: string): PromptSummary {
  const prefixes: string[] = [];
  const running = createHash("sha256").update(service);
  const blocks = Math.min(MAX_PREFIXES, Math.floor(prompt.length / PREFIX_BLOCK_CHARS));
  for (let i = 0; i < blocks; i++) {
    running.update(prompt.slice(i * PREFIX_BLOCK_CHARS, (i + 1) * PREFIX_BLOCK_CHARS));
    prefixes.push(running.copy().digest("base64url").slice(0, 16));
  }
  const digest = createHash("sha256").update(`${route}\0${service}\0${prompt}`);
  return {
    promptTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
    prefixes,
    digest: digest.digest("base64url").slice(0, 22),
  };
}
