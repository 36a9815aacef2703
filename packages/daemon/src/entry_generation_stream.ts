/**
 * One stream over which an entry receives a generation from its side.
 *
 * @module
 */
import type { TokenCursor } from "@wisteriapick/delivery";
import type {
  End,
  EndpointLoad,
  Fail,
  Link,
  LinkStream,
  Message,
  NotRunReply,
  Resume,
  Run,
} from "@wisteriapick/wire";

/** How a stream ended. `broken`: the remaining tokens must be requested again. */
export type GenerationStreamResult =
  | { readonly type: "end"; readonly end: End }
  | { readonly type: "not_run"; readonly reply: NotRunReply }
  | { readonly type: "fail"; readonly fail: Fail }
  | { readonly type: "broken"; readonly reason: "link" | "gap" | "misrouted" | "silent" }
  | { readonly type: "detached" };

/** Receives what arrives on a {@link GenerationStream}. */
export interface GenerationStreamHandler {
  onAdmitted(load: EndpointLoad): void;
  onTokens(offset: number, items: readonly string[]): void;
}

/** Opens a stream for a generation and checks what arrives on it. */
export class GenerationStream {
  readonly result: Promise<GenerationStreamResult>;
  #resolveResult: (res: GenerationStreamResult) => void = () => {};
  #isSettled = false;
  #stream: LinkStream | null = null;
  readonly #gen: string;
  readonly #cursor: TokenCursor;
  readonly #handler: GenerationStreamHandler;

  constructor(
    link: Link,
    opening: Run | Resume,
    cursor: TokenCursor,
    handler: GenerationStreamHandler,
  ) {
    this.#gen = opening.gen;
    this.#cursor = cursor;
    this.#handler = handler;
    this.result = new Promise((resolve) => {
      this.#resolveResult = resolve;
    });
    this.#stream = link.openStream(opening, {
      onMessage: (msg) => this.#onMessage(msg),
      onClose: () => this.#finish({ type: "broken", reason: "link" }),
    });
  }

  /** Closes the stream; the generation continues at the side for its grace time. */
  detach(): void {
    this.#finish({ type: "detached" });
  }

  /** Holds tokens back at the side while the caller is slow; the stream stays open. */
  pause(): void {
    this.#stream?.pause();
  }

  resume(): void {
    this.#stream?.resume();
  }

  /** Abandons the stream, so that the remaining tokens are requested again. */
  breakOff(reason: "silent"): void {
    this.#finish({ type: "broken", reason: reason });
  }

  #onMessage(msg: Message): void {
    if (this.#isSettled) return;
    // A message for another generation on this stream means that this one's messages may be on another stream.
    const about = "about" in msg ? msg.about : undefined;
    if (about !== undefined && about !== this.#gen) {
      return this.#finish({ type: "broken", reason: "misrouted" });
    }
    switch (msg.kind) {
      case "admitted":
        return this.#handler.onAdmitted(msg.load);
      case "tokens":
        return this.#onTokens(msg.offset, msg.items);
      case "not_run":
        return this.#finish({ type: "not_run", reply: msg });
      case "fail":
        return this.#finish({ type: "fail", fail: msg });
      case "end":
        return this.#onEnd(msg);
    }
  }

  #onTokens(offset: number, items: readonly string[]): void {
    const res = this.#cursor.accept(offset, items);
    if (res.type === "gap") return this.#finish({ type: "broken", reason: "gap" });
    if (res.type === "duplicate") return;
    this.#handler.onTokens(this.#cursor.next - res.items.length, res.items);
  }

  #onEnd(end: End): void {
    // The end counts more tokens than have arrived, so some are missing.
    if (end.reason !== "cancelled" && end.completionTokens > this.#cursor.next) {
      return this.#finish({ type: "broken", reason: "gap" });
    }
    this.#finish({ type: "end", end });
  }

  #finish(res: GenerationStreamResult): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    if (res.type === "broken" || res.type === "detached") this.#stream?.abort();
    else this.#stream?.end();
    this.#resolveResult(res);
  }
}
