/**
 * A client for the streaming chat completions of an entry.
 *
 * @module
 */
import { type Dispatcher, request } from "undici";

/** How a streamed completion ended. */
export interface CompletionEnd {
  readonly status: number;
  /** Error type if the request was refused or failed, `null` otherwise. */
  readonly error: string | null;
  readonly finishReason: string | null;
}

interface Chunk {
  readonly type?: string;
  readonly error?: { readonly type?: string };
  readonly choices?: {
    readonly delta?: { readonly content?: string | null };
    readonly text?: string;
    readonly finish_reason?: string | null;
  }[];
}

/**
 * Posts a chat completion with `stream: true` and calls `onText` for each text delta.
 *
 * Refusals and failures that the entry reports are returned as `error`; connection errors are thrown.
 *
 * @example
 * ```ts
 * const end = await streamCompletion(url, key, body, (text) => process.stdout.write(text));
 * ```
 */
export async function streamCompletion(
  url: string,
  key: string,
  body: unknown,
  onText: (text: string) => void,
  { dispatcher, signal }: { dispatcher?: Dispatcher; signal?: AbortSignal } = {},
): Promise<CompletionEnd> {
  const res = await request(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
    body: JSON.stringify(body),
    dispatcher,
    signal,
  });
  const status = res.statusCode;
  if (status !== 200) {
    return { status, error: errorType(await res.body.text(), status), finishReason: null };
  }
  let finishReason: string | null = null;
  let error: string | null = null;
  let isDone = false;
  for await (const data of sseData(res.body)) {
    if (data === "[DONE]") {
      isDone = true;
      break;
    }
    const chunk = JSON.parse(data) as Chunk;
    const choice = chunk.choices?.[0];
    const text = choice?.delta?.content ?? choice?.text;
    if (typeof text === "string" && text !== "") onText(text);
    finishReason = choice?.finish_reason ?? finishReason;
    if (choice === undefined && chunk.choices === undefined) {
      error = chunk.error?.type ?? chunk.type ?? "unknown_event";
    }
  }
  if (!isDone && finishReason === null) error ??= "stream_broken";
  return { status, error, finishReason };
}

function errorType(body: string, status: number): string {
  try {
    const problem = JSON.parse(body) as Chunk;
    return problem.type ?? problem.error?.type ?? `status_${status}`;
  } catch {
    return `status_${status}`;
  }
}

/** Yields the `data` field of each server-sent event. */
async function* sseData(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let incomplete = "";
  for await (const bytes of body) {
    const events = (incomplete + decoder.decode(bytes, { stream: true })).split("\n\n");
    incomplete = events.pop()!;
    for (const event of events) {
      const lines = event.split("\n").filter((l) => l.startsWith("data:"));
      if (lines.length > 0) yield lines.map((l) => l.slice(5).trimStart()).join("\n");
    }
  }
}
