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

function refuseInvalid(message: string): never {
  const refusal: Refusal = { type: "invalid_request", message, notRun: true };
  refuse(refusal);
}

function textOf(msg: z.output<typeof MessageSchema>): string {
  const { content } = msg;
  if (typeof content === "string") return content;
  return (content ?? []).map((part) => part.text).join("");
}

function formatChatPrompt(messages: readonly z.output<typeof MessageSchema>[]): string {
  const turns = messages.map((msg) => `<|${msg.role}|>\n${textOf(msg)}\n`);
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
    refuseInvalid("the request body is not valid JSON");
  }
  try {
    if (format === "chat") {
      const chat = ChatSchema.parse(json);
      return toCompletionRequest(format, chat, formatChatPrompt(chat.messages));
    }
    const text = TextSchema.parse(json);
    return toCompletionRequest(format, text, [text.prompt].flat()[0]!);
  } catch (e) {
    if (e instanceof WpFailure || !(e instanceof z.ZodError)) throw e;
    const issue = e.issues[0]!;
    refuseInvalid(`${issue.path.join(".") || "body"}: ${issue.message}`);
  }
}

function toCompletionRequest(
  format: "chat" | "text",
  body: z.output<typeof CommonSchema>,
  prompt: string,
): CompletionRequest {
  return {
    format,
    model: body.model,
    prompt,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
    ...(body.stop == null ? {} : { stop: [body.stop].flat() }),
    ...(body.temperature == null ? {} : { temperature: body.temperature }),
  };
}
