/**
 * Generations that the model engine's stand-in holds, and the connections that stream them.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Clock, GenerationId } from "@wisteriapick/core";
import type { EngineEvent, EngineGeneration } from "@wisteriapick/clients";
import { TextSource } from "./engine_text.ts";

/** Encoding of a stream: newline-delimited JSON or server-sent events. */
export type StreamFormat = "ndjson" | "sse";

/** The last event of a stream. */
export type StreamEnd = Extract<EngineEvent, { type: "end" }> | {
  readonly type: "error";
  readonly status: number;
  readonly message: string;
};

function encode(format: StreamFormat, event: EngineEvent | StreamEnd): string {
  const json = JSON.stringify(event);
  return format === "sse" ? `data: ${json}\n\n` : `${json}\n`;
}

/** Streams one generation to one connection. */
class Follower {
  readonly #res: ServerResponse;
  readonly #format: StreamFormat;
  readonly #held: HeldGeneration;
  #next: number;
  #isBlocked = false;
  #isEnded = false;

  constructor(held: HeldGeneration, res: ServerResponse, format: StreamFormat, offset: number) {
    this.#held = held;
    this.#res = res;
    this.#format = format;
    this.#next = offset;
    const type = format === "sse" ? "text/event-stream" : "application/x-ndjson";
    res.writeHead(200, { "content-type": type });
    res.flushHeaders();
    res.on("drain", () => {
      this.#isBlocked = false;
      this.pump();
    });
  }

  /** Writes new tokens until the connection's buffer is full, and the end once all tokens are written. */
  pump(): void {
    if (this.#isEnded || this.#res.destroyed) return;
    while (!this.#isBlocked && this.#next < this.#held.produced) {
      const offset = this.#next++;
      this.#write({ type: "token", offset, text: this.#held.text.token(offset) });
    }
    if (this.#isBlocked || this.#held.end === null) return;
    this.#isEnded = true;
    this.#res.end(encode(this.#format, this.#held.end));
  }

  keepAlive(): void {
    if (this.#isEnded || this.#isBlocked || this.#res.destroyed) return;
    this.#res.write(this.#format === "sse" ? ":\n\n" : "\n");
  }

  break(): void {
    this.#res.destroy();
  }

  #write(event: EngineEvent): void {
    this.#isBlocked = !this.#res.write(encode(this.#format, event));
  }
}

/** One generation with its progress and the connections that stream it. */
export class HeldGeneration {
  readonly gen: GenerationId;
  readonly text: TextSource;
  readonly promptTokens: number;
  produced = 0;
  end: StreamEnd | null = null;
  endedAtMs = Infinity;
  readonly #followers = new Set<Follower>();

  constructor(gen: GenerationId, prompt: string, promptTokens: number) {
    this.gen = gen;
    this.text = new TextSource(gen, prompt);
    this.promptTokens = promptTokens;
  }

  /** Streams the generation to a connection from token `offset`. */
  follow(res: ServerResponse, format: StreamFormat, offset: number): void {
    const follower = new Follower(this, res, format, offset);
    this.#followers.add(follower);
    res.once("close", () => this.#followers.delete(follower));
    follower.pump();
  }

  advance(produced: number): void {
    this.produced = produced;
    for (const follower of this.#followers) follower.pump();
  }

  finish(end: StreamEnd, nowMs: number): void {
    this.end = end;
    this.endedAtMs = nowMs;
    for (const follower of this.#followers) follower.pump();
  }

  keepAlive(): void {
    for (const follower of this.#followers) follower.keepAlive();
  }

  break(): void {
    for (const follower of this.#followers) follower.break();
  }
}

const MAX_SEEN_IDS = 200_000;

/** The generations that one engine process holds; lost when it crashes. */
export class HeldGenerations {
  readonly #clock: Clock;
  readonly #retainMs: number;
  readonly #held = new Map<GenerationId, HeldGeneration>();
  /** Ids are retained longer than their text, so that a late duplicate is still recognised. Oldest first. */
  readonly #seen = new Set<GenerationId>();

  constructor(clock: Clock, { retainMs }: { retainMs: number }) {
    this.#clock = clock;
    this.#retainMs = retainMs;
  }

  /** Adds a generation. Returns `null` when its id has been seen before. */
  create(gen: GenerationId, prompt: string, promptTokens: number): HeldGeneration | null {
    if (this.#seen.has(gen)) return null;
    this.#seen.add(gen);
    if (this.#seen.size > MAX_SEEN_IDS) this.#seen.delete(this.#seen.values().next().value!);
    const held = new HeldGeneration(gen, prompt, promptTokens);
    this.#held.set(gen, held);
    return held;
  }

  get(gen: GenerationId): HeldGeneration | undefined {
    return this.#held.get(gen);
  }

  list(): EngineGeneration[] {
    return [...this.#held.values()].map((h) => ({
      gen: h.gen,
      produced: h.produced,
      done: h.end !== null,
    }));
  }

  /** Discards generations that ended at least `retainMs` ago. */
  sweep(): void {
    const before = this.#clock.now() - this.#retainMs;
    for (const held of this.#held.values()) {
      if (held.endedAtMs <= before) this.#held.delete(held.gen);
    }
  }

  keepAlive(): void {
    for (const held of this.#held.values()) held.keepAlive();
  }

  /** Breaks every connection and discards all generations and ids. */
  discardAll(): void {
    for (const held of this.#held.values()) held.break();
    this.#held.clear();
    this.#seen.clear();
  }
}
