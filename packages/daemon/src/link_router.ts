/**
 * Hands what peers start on a link to the part of the process that registered for its kind.
 *
 * @module
 */
import { raise, type Revision, type Undo } from "@wisteriapick/core";
import type { Link, LinkAcceptor, LinkStream, Message, StreamHandler } from "@wisteriapick/wire";

/** Handles streams that open with one kind of message. */
export type StreamOpener<K extends Message["kind"]> = (
  link: Link,
  msg: Extract<Message, { kind: K }>,
  stream: LinkStream,
) => StreamHandler;

/** Handles one kind of message outside streams. */
export type NotifyHandler<K extends Message["kind"]> = (
  link: Link,
  msg: Extract<Message, { kind: K }>,
) => void;

const IGNORE: StreamHandler = { onMessage() {}, onClose() {} };

/**
 * A link acceptor made of handlers for each kind of message.
 *
 * @example
 * ```ts
 * const router = new LinkRouter();
 * const undo = router.registerStream("run", (link, run, stream) => side.onRun(link, run, stream));
 * ```
 */
export class LinkRouter implements LinkAcceptor {
  readonly #streams = new Map<string, StreamOpener<Message["kind"]>>();
  readonly #notifies = new Map<string, Set<NotifyHandler<Message["kind"]>>>();
  readonly #links = new Set<Link>();
  readonly #revisionListeners = new Set<(link: Link, revision: Revision) => void>();

  /** The open links that peers made. */
  get links(): ReadonlySet<Link> {
    return this.#links;
  }

  registerStream<K extends Message["kind"]>(kind: K, opener: StreamOpener<K>): Undo {
    this.#assertUnregistered(this.#streams, kind);
    this.#streams.set(kind, opener as unknown as StreamOpener<Message["kind"]>);
    return () => void this.#streams.delete(kind);
  }

  /** Several parts of a process may listen to the same kind. */
  registerNotify<K extends Message["kind"]>(kind: K, handler: NotifyHandler<K>): Undo {
    const handlers = this.#notifies.get(kind) ?? new Set();
    const added = handler as unknown as NotifyHandler<Message["kind"]>;
    handlers.add(added);
    this.#notifies.set(kind, handlers);
    return () => void handlers.delete(added);
  }

  /** Calls `fn` with the configuration revision of each request, call and load report, before it is handled. */
  registerRevisionListener(fn: (link: Link, revision: Revision) => void): Undo {
    this.#revisionListeners.add(fn);
    return () => void this.#revisionListeners.delete(fn);
  }

  onLink(link: Link): void {
    this.#links.add(link);
    link.registerCloseListener(() => void this.#links.delete(link));
  }

  onStream(link: Link, msg: Message, stream: LinkStream): StreamHandler {
    this.#notifyRevision(link, msg);
    const opener = this.#streams.get(msg.kind);
    if (opener !== undefined) return opener(link, msg, stream);
    stream.abort();
    return IGNORE;
  }

  onNotify(link: Link, msg: Message): void {
    this.#notifyRevision(link, msg);
    for (const handler of this.#notifies.get(msg.kind) ?? []) handler(link, msg);
  }

  #notifyRevision(link: Link, msg: Message): void {
    const revision = msg.kind === "load"
      ? msg.load.revision
      : msg.kind === "run" || msg.kind === "call"
      ? msg.revision
      : null;
    if (revision === null) return;
    for (const fn of this.#revisionListeners) fn(link, revision);
  }

  #assertUnregistered(map: ReadonlyMap<string, unknown>, kind: string): void {
    if (map.has(kind)) {
      raise({ type: "duplicate_registration", message: `${kind} is already handled` });
    }
  }
}
