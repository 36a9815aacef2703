/**
 * A client for event streams, controlled by a test.
 *
 * @module
 */
import { once } from "node:events";
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { CLIENT_KEY, waitUntil } from "./fixtures.ts";

/** One server-sent event. */
export interface SseEvent {
  readonly id: string | null;
  readonly event: string | null;
  readonly data: string;
}

/** A request for an event stream, with what has been received so far. */
export class SseClient {
  status = 0;
  headers: IncomingMessage["headers"] = {};
  /** Whether the connection has ended, in any way. */
  hasEnded = false;
  isBroken = false;
  readonly events: SseEvent[] = [];
  body = "";
  readonly #req: ClientRequest;
  #unparsed = "";
  #res: IncomingMessage | null = null;

  constructor(
    url: string,
    options: { method?: string; body?: unknown; key?: string; lastEventId?: string } = {},
  ) {
    const { method = "POST", body, key = CLIENT_KEY, lastEventId } = options;
    this.#req = request(url, {
      method,
      headers: {
        authorization: `Bearer ${key}`,
        "content-type": "application/json",
        ...(lastEventId === undefined ? {} : { "last-event-id": lastEventId }),
      },
    });
    this.#req.on("response", (res) => this.#onResponse(res));
    this.#req.on("error", () => this.#onEnd(true));
    this.#req.end(body === undefined ? undefined : JSON.stringify(body));
  }

  /** Offsets of the tokens received, read from their event ids. */
  get offsets(): number[] {
    const ids = this.events.filter((e) => e.id !== null).map((e) => Number(e.id!.split(".")[2]));
    return ids.filter((n) => n >= 0);
  }

  /** The text of the tokens received. */
  get text(): string {
    const chunks = this.events.filter((e) => e.data.startsWith("{")).map((e) => JSON.parse(e.data));
    return chunks.map((c) => c.choices?.[0]?.delta?.content ?? c.choices?.[0]?.text ?? "").join("");
  }

  get lastId(): string {
    return this.events.filter((e) => e.id !== null).at(-1)!.id!;
  }

  /** Whether the stream ended with the marker of a complete response. */
  get isCompleted(): boolean {
    return this.events.at(-1)?.data === "[DONE]";
  }

  /** The typed error event that ended the stream, if one did. */
  get error(): { type: string; not_run: unknown } | null {
    const event = this.events.find((e) => e.event === "error");
    return event === undefined ? null : JSON.parse(event.data);
  }

  /** Waits until `n` tokens have arrived or the connection has ended. */
  async waitForTokens(n: number): Promise<void> {
    await waitUntil(() => this.offsets.length >= n || this.hasEnded);
  }

  async waitForEnd(): Promise<this> {
    await waitUntil(() => this.hasEnded);
    return this;
  }

  /** Closes the caller's connection. */
  abort(): void {
    this.#req.destroy();
  }

  pause(): void {
    this.#res!.pause();
  }

  resume(): void {
    this.#res!.resume();
  }

  #onResponse(res: IncomingMessage): void {
    this.#res = res;
    this.status = res.statusCode!;
    this.headers = res.headers;
    res.setEncoding("utf8");
    res.on("data", (text: string) => this.#onText(text));
    res.on("end", () => this.#onEnd(false));
    res.on("error", () => this.#onEnd(true));
    void once(res, "close").then(() => this.#onEnd(!res.complete)).catch(() => {});
  }

  #onText(text: string): void {
    this.body += text;
    const blocks = (this.#unparsed + text).split("\n\n");
    this.#unparsed = blocks.pop()!;
    for (const block of blocks) this.events.push(parseEvent(block));
  }

  #onEnd(broken: boolean): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.isBroken = broken;
  }
}

function parseEvent(text: string): SseEvent {
  const field = (name: string) => {
    const line = text.split("\n").find((l) => l.startsWith(`${name}: `));
    return line === undefined ? null : line.slice(name.length + 2);
  };
  return { id: field("id"), event: field("event"), data: field("data") ?? "" };
}

/** Requests a streamed chat completion. */
export function streamChat(
  url: string,
  { tokens = 5, key, prompt = "Describe the bowl" }: {
    tokens?: number;
    key?: string;
    prompt?: string;
  } = {},
): SseClient {
  const messages = [{ role: "user", content: prompt }];
  const body = { model: "scribe", stream: true, max_tokens: tokens, messages };
  return new SseClient(`${url}/v1/chat/completions`, { body, key });
}

/** Requests the remaining tokens of a response. */
export function resumeChat(
  url: string,
  lastEventId: string,
  { key, method = "GET" }: { key?: string; method?: string } = {},
): SseClient {
  return new SseClient(`${url}/v1/chat/completions`, { method, lastEventId, key });
}

/** The offsets 0 to n - 1. */
export function range(n: number): number[] {
  return Array.from({ length: n }, (_, i) => i);
}
