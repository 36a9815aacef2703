/**
 * The interface of links: authenticated connections that carry many streams of typed messages.
 *
 * @module
 */
import type { DataCentreId, HostId, ProcessId, Undo, WpError } from "@wisteriapick/core";
import type { Message, Role } from "./messages.ts";

/** Who is at an end of a link. */
export interface Identity {
  readonly role: Role;
  readonly process: ProcessId;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
}

/** Receives what arrives on one stream. */
export interface StreamHandler {
  onMessage(msg: Message): void;
  /**
   * Called once: `null` after both ends ended the stream, otherwise why it broke, including by this end's own
   * `abort`. A stream is released only when both ends have called `end`, or one end `abort`.
   */
  onClose(err: WpError | null): void;
  /** Called once when the peer says that it sends no more. */
  onEnd?(): void;
  /** Called when credit is available again after `send` returned false. */
  onDrain?(): void;
}

/** One stream on a link. Messages arrive in order and at most once. */
export abstract class LinkStream {
  /** Sends or queues a message. Returns false when the peer's credit is used up: wait for `onDrain`. */
  abstract send(msg: Message): boolean;
  /** Says that this end sends no more. */
  abstract end(): void;
  /** Breaks the stream at both ends. */
  abstract abort(): void;
  /**
   * Grants the peer no more credit until `resume`. What is in flight, at most one window and one message, still
   * arrives. A receiver calls it while its own reader is slow, so that the backlog stays at the sender.
   */
  pause(): void {}
  /** Grants credit again, at once for all that has arrived. */
  resume(): void {}
}

/** An authenticated connection. */
export abstract class Link {
  abstract readonly peer: Identity;
  abstract readonly open: boolean;
  /**
   * Opens a stream with its first message.
   *
   * @throws WpFailure of type `link` where the link is closed or the message exceeds a frame; nothing was sent then.
   */
  abstract openStream(msg: Message, handler: StreamHandler): LinkStream;
  /** Sends one message outside any stream; dropped where the link is closed. */
  abstract notify(msg: Message): void;
  /**
   * Opens a stream, resolves with the first answer, and ends it. Rejects with a `WpFailure` of type `timeout` (5 s by
   * default) or `link`.
   */
  abstract request(msg: Message, options?: { timeoutMs?: number }): Promise<Message>;
  abstract close(): void;
  /** Calls `fn` once when the link closes, with the reason. */
  abstract registerCloseListener(fn: (err: WpError) => void): Undo;
}

/** Handles what peers start. */
export interface LinkAcceptor {
  onStream(link: Link, msg: Message, stream: LinkStream): StreamHandler;
  onNotify(link: Link, msg: Message): void;
  onLink?(link: Link): void;
}
