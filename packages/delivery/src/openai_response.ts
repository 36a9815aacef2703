/**
 * Encoding of OpenAI-compatible answers, whole and in chunks.
 *
 * @module
 */
import type { GenerationId, ServiceId } from "@wisteriapick/core";

/** What all chunks of one answer have in common. */
export interface CompletionHead {
  readonly format: "chat" | "text";
  readonly gen: GenerationId;
  readonly model: ServiceId;
  /** Unix seconds. */
  readonly created: number;
}

/** Token counts of one answer. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** How an answer ended. */
export type FinishReason = "stop" | "length";

/** The id an answer carries, for example `chatcmpl-g-01`. */
export function completionId(head: CompletionHead): string {
  return `${head.format === "chat" ? "chatcmpl" : "cmpl"}-${head.gen}`;
}

/** The `usage` object of the OpenAI API. */
export function encodeUsage(usage: Usage): Record<string, unknown> {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}

function commonFields(head: CompletionHead, object: string): Record<string, unknown> {
  return { id: completionId(head), object, created: head.created, model: head.model };
}

/** A whole answer as JSON text. */
export function encodeBufferedResponse(
  head: CompletionHead,
  text: string,
  reason: FinishReason,
  usage: Usage,
): string {
  const chat = head.format === "chat";
  const choice = chat
    ? { index: 0, message: { role: "assistant", content: text, refusal: null } }
    : { index: 0, text };
  return JSON.stringify({
    ...commonFields(head, chat ? "chat.completion" : "text_completion"),
    choices: [{ ...choice, logprobs: null, finish_reason: reason }],
    usage: encodeUsage(usage),
  });
}

/** JSON before and after a token's text, so that a token costs one `JSON.stringify` of a short string. */
export interface ChunkTemplate {
  readonly before: string;
  readonly after: string;
}

const TOKEN_PLACEHOLDER = "\u0001token\u0001";

function encodeChunk(
  head: CompletionHead,
  choices: unknown[],
  extra: Record<string, unknown> = {},
): string {
  const object = head.format === "chat" ? "chat.completion.chunk" : "text_completion";
  return JSON.stringify({ ...commonFields(head, object), choices, ...extra });
}

/** The template of token chunks. */
export function makeChunkTemplate(head: CompletionHead): ChunkTemplate {
  const chat = head.format === "chat";
  const choice = chat
    ? { index: 0, delta: { content: TOKEN_PLACEHOLDER } }
    : { index: 0, text: TOKEN_PLACEHOLDER };
  const json = encodeChunk(head, [{ ...choice, logprobs: null, finish_reason: null }]);
  const [before, after] = json.split(JSON.stringify(TOKEN_PLACEHOLDER)) as [string, string];
  return { before, after };
}

/** The first chunk of a chat answer, which names the role; `null` for text answers. */
export function encodeFirstChunk(head: CompletionHead): string | null {
  if (head.format === "text") return null;
  const delta = { role: "assistant", content: "" };
  return encodeChunk(head, [{ index: 0, delta, logprobs: null, finish_reason: null }]);
}

/** The chunk that carries the finish reason. */
export function encodeLastChunk(head: CompletionHead, reason: FinishReason): string {
  const choice = head.format === "chat" ? { index: 0, delta: {} } : { index: 0, text: "" };
  return encodeChunk(head, [{ ...choice, logprobs: null, finish_reason: reason }]);
}

/** The chunk that carries the usage, for requests with `stream_options.include_usage`. */
export function encodeUsageChunk(head: CompletionHead, usage: Usage): string {
  return encodeChunk(head, [], { usage: encodeUsage(usage) });
}

/** The answer of `GET /v1/models`. */
export function encodeModelList(models: readonly ServiceId[]): string {
  const data = models.map((id) => ({
    id,
    object: "model",
    created: 0,
    owned_by: "wisteriapick",
  }));
  return JSON.stringify({ object: "list", data });
}
