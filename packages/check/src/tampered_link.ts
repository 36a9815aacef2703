/**
 * A link whose incoming messages a test alters, to violate a property on purpose.
 *
 * @module
 */
import { Link, type LinkStream, type Message, type StreamHandler } from "@wisteriapick/wire";

/** Alters a message that arrives on a stream opened with `opening`. */
export type Tamper = (opening: Message, msg: Message) => Message;

/** Passes each message that arrives on a stream opened by this end through a {@link Tamper} function. */
export class TamperedLink extends Link {
  readonly #link: Link;
  readonly #tamper: Tamper;

  constructor(link: Link, tamper: Tamper) {
    super();
    this.#link = link;
    this.#tamper = tamper;
  }

  get peer() {
    return this.#link.peer;
  }

  get open() {
    return this.#link.open;
  }

  openStream(opening: Message, handler: StreamHandler): LinkStream {
    return this.#link.openStream(opening, {
      onMessage: (msg) => handler.onMessage(this.#tamper(opening, msg)),
      onClose: (err) => handler.onClose(err),
      onDrain: () => handler.onDrain?.(),
    });
  }

  notify(msg: Message): void {
    this.#link.notify(msg);
  }

  request(msg: Message, options?: { timeoutMs?: number }): Promise<Message> {
    return this.#link.request(msg, options);
  }

  close(): void {
    this.#link.close();
  }

  registerCloseListener(fn: Parameters<Link["registerCloseListener"]>[0]) {
    return this.#link.registerCloseListener(fn);
  }
}
