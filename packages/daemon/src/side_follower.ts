/**
 * One entry that receives a generation's tokens from the side.
 *
 * @module
 */
import type { GenerationLog } from "@wisteriapick/delivery";
import type { End, Fail, LinkStream } from "@wisteriapick/wire";

/** The message that ends a generation. */
export type GenerationEnd = End | Fail;

/** Tokens of one message at most; keeps a message far below the size of a frame. */
const MAX_BATCH_TOKENS = 1_024;

/** Sends a log from an offset on, as fast as the entry's credit allows. */
export class Follower {
  readonly #stream: LinkStream;
  readonly #log: GenerationLog<GenerationEnd>;
  readonly #about: string;
  #next: number;
  #blocked = false;
  #done = false;

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
    if (this.#done || this.#blocked) return this.#done;
    while (this.#next < this.#log.length && !this.#blocked) {
      const items = this.#log.read(this.#next, MAX_BATCH_TOKENS);
      const offset = this.#next;
      this.#next += items.length;
      this.#blocked = !this.#stream.send({ kind: "tokens", offset, items, about: this.#about });
    }
    if (this.#blocked || this.#log.end === null) return false;
    this.#done = true;
    this.#stream.send({ ...this.#log.end.value, about: this.#about });
    this.#stream.end();
    return true;
  }

  /** Called when the entry gave credit again. */
  drained(): boolean {
    this.#blocked = false;
    return this.flush();
  }
}
