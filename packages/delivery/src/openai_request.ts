/**
 * Parsing of OpenAI-compatible completion requests.
 *
 * @module
 */
import { type Refusal, refuse, WpFailure } from "@wisteriapick/core";
import { z } from "zod";

/** Tokens generated where a request does not say how many. */
export const DEFAULT_MAX_TOKENS = 4_096;
/** Largest number of tokens of one answer; bounds the memory of its log. */
export const MAX_MAX_TOKENS = 65_536;

const TextPartSchema = z.object({ type: z.literal("text"), text: z.string() });
const MessageSchema = z.object({
  role: z.enum(["system", "developer", "user", "assistant", "tool", "function"]),
  content: z.union([z.string(), z.array(TextPartSchema), z.null()]).optional(),
  name: z.string().optional(),
});
const maxTokens = z.number().int().positive().max(MAX_MAX_TOKENS).nullish();
const CommonSchema = z.object({
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: maxTokens,
  max_completion_tokens: maxTokens,
  stop: z.union([z.string(), z.array(z.string()).max(4)]).nullish(),
  temperature: z.number().min(0).max(2).nullish(),
  n: z.literal(1, "expected 1: one answer for each request").nullish(),
});
const ChatSchema = CommonSchema.extend({ messages: z.array(MessageSchema).min(1) });
const TextSchema = CommonSchema.extend({
  prompt: z.union([z.string(), z.array(z.string()).length(1)]),
});

/** A generation request in the terms of this system. */
export interface CompletionRequest {
  readonly format: "chat" | "text";
  readonly model: string;
  readonly prompt: string;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  readonly maxTokens: number;
  readonly stop?: readonly string[];
  readonly temperature?: number;
}

function invalid(message: string): never {
  const refusal: Refusal = { type: "invalid_request", message, notRun: true };
  refuse(refusal);
}

function messageText(msg: z.output<typeof MessageSchema>): string {
  const { content } = msg;
  if (typeof content === "string") return content;
  return (content ?? []).map((part) => part.text).join("");
}

function chatPrompt(messages: readonly z.output<typeof MessageSchema>[]): string {
  const turns = messages.map((msg) => `<|${msg.role}|>\n${messageText(msg)}\n`);
  return `${turns.join("")}<|assistant|>\n`;
}

/**
 * Parses a request body. Refuses with `invalid_request` and the key path that is wrong.
 *
 * @example
 * ```ts
 * const req = parseCompletionRequest("chat", '{"model":"scribe","messages":[…]}');
 * ```
 */
export function parseCompletionRequest(format: "chat" | "text", body: string): CompletionRequest {
  let json: unknown;
  try {
    json = JSON.parse(body);
  } catch {
    invalid("the request body is not valid JSON");
  }
  try {
    if (format === "chat") {
      const chat = ChatSchema.parse(json);
      return makeRequest(format, chat, chatPrompt(chat.messages));
    }
    const text = TextSchema.parse(json);
    return makeRequest(format, text, [text.prompt].flat()[0]!);
  } catch (e) {
    if (e instanceof WpFailure || !(e instanceof z.ZodError)) throw e;
    const issue = e.issues[0]!;
    invalid(`${issue.path.join(".") || "body"}: ${issue.message}`);
  }
}

function makeRequest(
  format: "chat" | "text",
  common: z.output<typeof CommonSchema>,
  prompt: string,
): CompletionRequest {
  return {
    format,
    model: common.model,
    prompt,
    stream: common.stream ?? false,
    includeUsage: common.stream_options?.include_usage ?? false,
    maxTokens: common.max_completion_tokens ?? common.max_tokens ?? DEFAULT_MAX_TOKENS,
    ...(common.stop == null ? {} : { stop: [common.stop].flat() }),
    ...(common.temperature == null ? {} : { temperature: common.temperature }),
  };
}
