/**
 * Estimates how much of the prompts at an engine is still to be prefilled.
 *
 * Load pattern: several gateways send prompts of thousands of tokens to one engine, which prefills one after the other.
 * None of the gateways sees how far the engine is with the prompts of the others.
 *
 * @module
 */

/** A prompt at an engine whose first event has not been seen. */
export interface PendingPrompt {
  readonly tokens: number;
  readonly sinceMs: number;
}

/**
 * Prompt tokens that are still to be prefilled, where an engine takes one prompt after the other.
 *
 * @example
 * ```ts
 * prefillBacklog([{ tokens: 3_000, sinceMs: 0 }, { tokens: 3_000, sinceMs: 100 }], 6, 600); // 2400
 * ```
 */
export function prefillBacklog(
  prompts: readonly PendingPrompt[],
  tokensPerMs: number,
  nowMs: number,
): number {
  let tokens = 0;
  let atMs = -Infinity;
  for (const prompt of [...prompts].sort((a, b) => a.sinceMs - b.sinceMs)) {
    tokens = Math.max(0, tokens - (prompt.sinceMs - atMs) * tokensPerMs) + prompt.tokens;
    atMs = prompt.sinceMs;
  }
  return prompts.length === 0 ? 0 : Math.max(0, tokens - (nowMs - atMs) * tokensPerMs);
}

/** The same where each prompt is prefilled as if it were alone. */
export function prefillWithoutQueue(
  prompts: readonly PendingPrompt[],
  tokensPerMs: number,
  nowMs: number,
): number {
  return prompts.reduce(
    (sum, { tokens, sinceMs }) => sum + Math.max(0, tokens - (nowMs - sinceMs) * tokensPerMs),
    0,
  );
}
