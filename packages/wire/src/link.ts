/**
 * The interface of links: authenticated connections that carry many streams of typed messages.
 *
 * @module
 */
import type { DataCentreId, HostId, ProcessId, Undo, WpError } from "@wisteriapick/core";
import { type Message, PROTOCOL_VERSIONS, type Role } from "./messages.ts";

/** Identity of the process at one end of a link. */
export interface Identity {
  readonly role: Role;
  readonly process: ProcessId;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
}

/** Receives the events of one stream. */
export interface StreamHandler {
  onMessage(msg: Message): void;
  /**
   * Called once when the stream closes: with `null` after both ends called `end`, otherwise with the error, also for
   * this end's own `abort`. A stream is released only when both ends have called `end`, or one end `abort`.
   */
  onClose(err: WpError | null): void;
  /** Called once when the peer has called `end`. */
  onEnd?(): void;
  /** Called when credit is available again after `send` returned false. */
  onDrain?(): void;
}

/** One stream on a link. Messages arrive in order and at most once. */
export abstract class LinkStream {
  /**
   * Sends or queues a message. Returns false if the stream is ended or backpressured; in the latter case, `onDrain`
   * is called when more may be sent.
   */
  abstract send(msg: Message): boolean;
  /** Half-closes the stream: this end sends no more messages. */
  abstract end(): void;
  /** Closes the stream with an error at both ends. */
  abstract abort(): void;
  /**
   * Returns no more credit to the peer until `resume`. Data in flight, at most one window and one message, still
   * arrives. A receiver calls this while its own reader is slow, so that the backlog stays at the sender.
   */
  pause(): void {}
  /** Returns credit again, immediately for all data received meanwhile. */
  resume(): void {}
}

/** An authenticated connection that carries streams. */
export abstract class Link {
  abstract readonly peer: Identity;
  abstract readonly open: boolean;
  /** Protocol version of this link. */
  get version(): number {
    return PROTOCOL_VERSIONS.max;
  }
  /** Bytes that wait to be sent, without those in the buffers of the operating system. */
  get queuedBytes(): number {
    return 0;
  }
  /**
   * Opens a stream with its first message.
   *
   * @throws WpFailure of type `link` if the link is closed or the message exceeds a frame; nothing is sent then.
   */
  abstract openStream(msg: Message, handler: StreamHandler): LinkStream;
  /** Sends one message outside any stream; it is dropped if the link is closed. */
  abstract notify(msg: Message): void;
  /**
   * Opens a stream, resolves with the first message received on it, and ends it. Rejects with a `WpFailure` of type
   * `timeout` (after 5 s by default) or `link`.
   */
  abstract request(msg: Message, options?: { timeoutMs?: number }): Promise<Message>;
  abstract close(): void;
  /** Calls `fn` once with the error when the link closes. */
  abstract registerCloseListener(fn: (err: WpError) => void): Undo;
}

/** Observes the notifications on links. Sizes are those of frames, without their length field. */
export interface LinkTrafficObserver {
  recordSent(kind: Message["kind"], bytes: number): void;
  recordReceived(kind: Message["kind"], bytes: number): void;
}

/** Handles the links, streams and notifications that peers open or send. */
export interface LinkAcceptor {
  onStream(link: Link, msg: Message, stream: LinkStream): StreamHandler;
  onNotify(link: Link, msg: Message): void;
  onLink?(link: Link): void;
  /** Called when all that waited to be sent on a link has been sent. */
  onDrain?(link: Link): void;
}
