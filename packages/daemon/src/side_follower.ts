/**
 * One entry that receives a generation's tokens from the side.
 *
 * @module
 */
import type { GenerationLog } from "@wisteriapick/delivery";
import type { End, Fail, LinkStream } from "@wisteriapick/wire";

/** The message that ends a generation. */
export type GenerationEnd = End | Fail;

/** Tokens of one message at most, and their characters: with 3 bytes each, a fifth of a frame. */
const MAX_BATCH_TOKENS = 1_024;
const MAX_BATCH_CHARS = 65_536;
/** Longest token that a side passes on; a batch of one such token still fits into a frame. */
export const MAX_TOKEN_CHARS = MAX_BATCH_CHARS;

/** The leading tokens that fit into one message; at least one. */
function takeBatch(tokens: readonly string[]): readonly string[] {
  let chars = 0;
  for (let i = 0; i < tokens.length; i++) {
    chars += tokens[i]!.length;
    if (i > 0 && chars > MAX_BATCH_CHARS) return tokens.slice(0, i);
  }
  return tokens;
}

/** Sends a log from an offset on, as fast as the entry's credit allows. */
export class Follower {
  readonly #stream: LinkStream;
  readonly #log: GenerationLog<GenerationEnd>;
  readonly #about: string;
  #next: number;
  #isBlocked = false;
  #isCompleted = false;

  constructor(
    stream: LinkStream,
    log: GenerationLog<GenerationEnd>,
    { about, offset }: { about: string; offset: number },
  ) {
    this.#stream = stream;
    this.#log = log;
    this.#about = about;
    this.#next = offset;
  }

  /** Sends what is new. Returns true once everything including the end has been sent. */
  flush(): boolean {
    if (this.#isCompleted || this.#isBlocked) return this.#isCompleted;
    while (this.#next < this.#log.length && !this.#isBlocked) {
      const items = takeBatch(this.#log.read(this.#next, MAX_BATCH_TOKENS));
      const offset = this.#next;
      this.#next += items.length;
      this.#isBlocked = !this.#stream.send({ kind: "tokens", offset, items, about: this.#about });
    }
    if (this.#isBlocked || this.#log.end === null) return false;
    this.#isCompleted = true;
    this.#stream.send({ ...this.#log.end.value, about: this.#about });
    this.#stream.end();
    return true;
  }

  /** Called when the entry gave credit again. */
  resume(): boolean {
    this.#isBlocked = false;
    return this.flush();
  }
}
