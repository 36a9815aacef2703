/**
 * Follows one generation at one side over one stream.
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

/** How following ended. `broken`: the rest must be asked for again. */
export type FollowResult =
  | { readonly type: "end"; readonly end: End }
  | { readonly type: "not_run"; readonly reply: NotRunReply }
  | { readonly type: "fail"; readonly fail: Fail }
  | { readonly type: "broken"; readonly why: "link" | "gap" | "crossed" | "silent" }
  | { readonly type: "detached" };

/** Receives what arrives. */
export interface FollowHandler {
  onAdmitted(load: EndpointLoad): void;
  onTokens(offset: number, items: readonly string[]): void;
}

/** One stream of one generation. */
export class Follow {
  readonly done: Promise<FollowResult>;
  #settle: (res: FollowResult) => void = () => {};
  #settled = false;
  #stream: LinkStream | null = null;
  readonly #gen: string;
  readonly #cursor: TokenCursor;
  readonly #handler: FollowHandler;

  constructor(link: Link, opening: Run | Resume, cursor: TokenCursor, handler: FollowHandler) {
    this.#gen = opening.gen;
    this.#cursor = cursor;
    this.#handler = handler;
    this.done = new Promise((resolve) => {
      this.#settle = resolve;
    });
    this.#stream = link.openStream(opening, {
      onMessage: (msg) => this.#onMessage(msg),
      onClose: () => this.#finish({ type: "broken", why: "link" }),
    });
  }

  /** Stops following; the generation goes on at the side for its grace time. */
  detach(): void {
    this.#finish({ type: "detached" });
  }

  /** Lets tokens wait at the side while the caller is slow; the stream stays open. */
  pause(): void {
    this.#stream?.pause();
  }

  resume(): void {
    this.#stream?.resume();
  }

  /** Gives the stream up, so that the rest is asked for again. */
  giveUp(why: "silent"): void {
    this.#finish({ type: "broken", why });
  }

  #onMessage(msg: Message): void {
    if (this.#settled) return;
    // An answer to another request on this stream means that this request's own answer may be elsewhere.
    const about = "about" in msg ? msg.about : undefined;
    if (about !== undefined && about !== this.#gen) {
      return this.#finish({ type: "broken", why: "crossed" });
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
    if (res.type === "gap") return this.#finish({ type: "broken", why: "gap" });
    if (res.type === "duplicate") return;
    this.#handler.onTokens(this.#cursor.next - res.items.length, res.items);
  }

  #onEnd(end: End): void {
    // The end counts more tokens than have arrived: some are missing.
    if (end.reason !== "cancelled" && end.completionTokens > this.#cursor.next) {
      return this.#finish({ type: "broken", why: "gap" });
    }
    this.#finish({ type: "end", end });
  }

  #finish(res: FollowResult): void {
    if (this.#settled) return;
    this.#settled = true;
    if (res.type === "broken" || res.type === "detached") this.#stream?.abort();
    else this.#stream?.end();
    this.#settle(res);
  }
}
