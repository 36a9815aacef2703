/**
 * Splits the body of a stream into complete server-sent events and checks that their ids increase by one.
 *
 * @module
 */

import { ByteBuffer } from "@wisteriapick/core";

/** Complete events found in the bytes of one `push`. */
export interface EventBatch {
  /** The events' bytes, unchanged; empty where no event is complete yet. */
  readonly bytes: Buffer;
  readonly count: number;
}

/** Reason for which a stream cannot be forwarded. */
export type StreamFault =
  | "event_missing"
  | "event_without_id"
  | "event_too_large"
  | "events_repeated";

const LF = 0x0a;
const EMPTY = Buffer.alloc(0);
/** Largest event, in bytes; a stream with a larger one is faulty, as an engine's events hold a few tokens. */
const MAX_EVENT_BYTES = 262_144;
/**
 * Events of one stream whose ids do not increase, before the stream counts as faulty. A few are dropped without harm;
 * a stream that repeats events without end makes no progress, and reading it takes the whole processor: dropped events
 * meet no back-pressure.
 */
const MAX_REPEATED_EVENTS = 1_000;
const ID_FIELD = "id:";

/**
 * Reads one stream. Events whose ids were forwarded before are dropped, so that the caller of a resumed run receives
 * each event once.
 *
 * @example
 * ```ts
 * const reader = new EventReader(0);
 * const batch = reader.push(Buffer.from("id: 1\ndata: a\n\n"));
 * ```
 */
export class EventReader {
  /** Bytes of an event that is not complete yet. */
  #pending = new ByteBuffer();
  #lastId: number;
  /** Id of the last event of this stream, which may repeat events of an earlier one. */
  #lastReadId = 0;
  #repeated = 0;
  #fault: StreamFault | null = null;

  /** `lastId` is the id of the last event that the caller has received. */
  constructor(lastId: number) {
    this.#lastId = lastId;
  }

  get lastId(): number {
    return this.#lastId;
  }

  get fault(): StreamFault | null {
    return this.#fault;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.#pending.length > 0;
  }

  /** Takes the next bytes and returns the events that they complete; after a fault, none. */
  push(chunk: Buffer): EventBatch {
    if (this.#fault !== null) return { bytes: EMPTY, count: 0 };
    const known = this.#pending.length;
    if (known > 0) this.#pending.append(chunk);
    const buf = known > 0 ? this.#pending.bytes() : chunk;
    const events: Buffer[] = [];
    let start = 0;
    let count = 0;
    for (;;) {
      // The blank line may begin with the last byte that was there before.
      const end = eventEnd(buf, Math.max(start, known - 1));
      if (end < 0) break;
      const isNew = this.#accept(buf, start, end);
      if (this.#fault !== null) break;
      if (isNew) {
        events.push(buf.subarray(start, end));
        count++;
      }
      start = end;
    }
    this.#keep(buf, start, known > 0);
    if (this.#pending.length > MAX_EVENT_BYTES) this.#fault = "event_too_large";
    return { bytes: events.length === 1 ? events[0]! : Buffer.concat(events), count };
  }

  /** Keeps the bytes from `start` on, which are in `#pending` already if nothing precedes them there. */
  #keep(buf: Buffer, start: number, isPending: boolean): void {
    if (isPending && start === 0) return;
    // A new buffer, as the events before `start` are still being written from the old one.
    this.#pending = new ByteBuffer();
    this.#pending.append(buf.subarray(start));
  }

  /** Returns whether the event is new to the caller. */
  #accept(buf: Buffer, start: number, end: number): boolean {
    const id = eventId(buf, start, end);
    if (id === null) {
      this.#fault = "event_without_id";
      return false;
    }
    if (id <= this.#lastReadId && ++this.#repeated > MAX_REPEATED_EVENTS) {
      this.#fault = "events_repeated";
      return false;
    }
    this.#lastReadId = id;
    if (id <= this.#lastId) return false;
    if (id !== this.#lastId + 1) {
      this.#fault = "event_missing";
      return false;
    }
    this.#lastId = id;
    return true;
  }
}

/** Position after the first blank line at or after `from`, which ends an event; -1 if there is none. */
function eventEnd(buf: Buffer, from: number): number {
  let at = from;
  for (;;) {
    at = buf.indexOf(LF, at);
    if (at < 0 || at + 1 >= buf.length) return -1;
    if (buf[at + 1] === LF) return at + 2;
    at++;
  }
}

/** The number in the event's `id` field, or `null`. */
function eventId(buf: Buffer, start: number, end: number): number | null {
  let line = start;
  while (line < end) {
    const lineEnd = buf.indexOf(LF, line);
    if (buf.toString("latin1", line, line + ID_FIELD.length) === ID_FIELD) {
      const text = buf.toString("latin1", line + ID_FIELD.length, lineEnd).trim();
      return /^\d{1,15}$/.test(text) ? Number(text) : null;
    }
    line = lineEnd + 1;
  }
  return null;
}
