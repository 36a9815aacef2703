/**
 * The response of one generation as its caller receives it: one head, each event once and in order, whichever engines
 * they come from.
 *
 * @module
 */
import type { Undo } from "@wisteriapick/core";
import { type EventBatch, EventReader, type StreamFault } from "./event_reader.ts";
import { type HeaderList, type Rejection, rejectOrAbort, type Responder } from "./inbound.ts";
import type { KeptFailure } from "./kept_failure.ts";

/** Options of {@link CallerStream}. */
export interface CallerStreamOptions {
  readonly responder: Responder;
  /** Id of the last event that the caller already had when it sent the request; 0 if it gets all events. */
  readonly lastEventId: number;
  /** Monotonic time of the request's arrival, in milliseconds. */
  readonly arrivedAtMs: number;
}

/**
 * Delivers a generation to its caller.
 *
 * @example
 * ```ts
 * const stream = new CallerStream({ responder, lastEventId: 0, arrivedAtMs });
 * stream.begin(200, headers);
 * const batch = stream.read(chunk);
 * if (batch.count > 0) stream.write(batch.bytes);
 * ```
 */
export class CallerStream {
  readonly #responder: Responder;
  readonly #arrivedAtMs: number;
  readonly #firstId: number;
  #reader: EventReader;
  #hasBegun = false;
  #isRejected = false;
  #isStalled = false;
  /** When the last event arrived, or the request was first sent; 0 before that. */
  #lastEventAtMs = 0;
  #longestGapMs = 0;
  #firstEventMs: number | null = null;

  constructor({ responder, lastEventId, arrivedAtMs }: CallerStreamOptions) {
    this.#responder = responder;
    this.#arrivedAtMs = arrivedAtMs;
    this.#firstId = lastEventId;
    this.#reader = new EventReader(lastEventId);
  }

  /** Id of the last event that was forwarded, or that the caller already had when it resumed the stream. */
  get lastEventId(): number {
    return this.#reader.lastId;
  }

  /** Number of events that were forwarded. */
  get forwardedEvents(): number {
    return this.#reader.lastId - this.#firstId;
  }

  /** Whether the response has begun. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  /** Whether the caller takes no more bytes now. */
  get isStalled(): boolean {
    return this.#isStalled;
  }

  /** Whether an event of the present segment has arrived in part. */
  get hasPartialEvent(): boolean {
    return this.#reader.hasPartialEvent;
  }

  /** Why the present segment cannot be forwarded; `null` if it can. */
  get fault(): StreamFault | null {
    return this.#reader.fault;
  }

  /** When the last event arrived, or the request was first sent, in milliseconds; 0 before that. */
  get lastEventAtMs(): number {
    return this.#lastEventAtMs;
  }

  /** Time from arrival to the first event, in milliseconds; `null` before it. */
  get firstEventMs(): number | null {
    return this.#firstEventMs;
  }

  /** Longest time between two events, in milliseconds. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  /** Calls `onClose` if the caller disconnects, and `onDrain` each time it takes more bytes after a stall. */
  watch({ onClose, onDrain }: {
    readonly onClose: () => void;
    readonly onDrain: () => void;
  }): Undo[] {
    return [
      this.#responder.registerClose(onClose),
      this.#responder.registerDrain(() => {
        this.#isStalled = false;
        onDrain();
      }),
    ];
  }

  /** Prepares for the events of a segment, which is sent now. */
  beginSegment(nowMs: number): void {
    // The new engine sends an event that was cut off once more in full, so its partial bytes are discarded.
    this.#reader = new EventReader(this.#reader.lastId);
    if (this.#lastEventAtMs === 0) this.#lastEventAtMs = nowMs;
  }

  /** Begins the response with an engine's head. */
  begin(status: number, headers: HeaderList): void {
    this.#hasBegun = true;
    this.#responder.writeHead(status, headers, null);
  }

  /** Begins the response with a failure that was held back. */
  beginFailure(failure: KeptFailure): void {
    this.#hasBegun = true;
    if (!failure.writeTo(this.#responder)) this.#isStalled = true;
  }

  /** Takes bytes of the present segment. Returns the events that they complete and that the caller does not have. */
  read(chunk: Buffer): EventBatch {
    return this.#reader.push(chunk);
  }

  /** Records that events have arrived. Returns whether they include the first one. */
  recordEvents(nowMs: number): boolean {
    const isFirst = this.#firstEventMs === null;
    if (isFirst) this.#firstEventMs = nowMs - this.#arrivedAtMs;
    else this.#longestGapMs = Math.max(this.#longestGapMs, nowMs - this.#lastEventAtMs);
    this.#lastEventAtMs = nowMs;
    return isFirst;
  }

  /** Writes bytes of the body. */
  write(bytes: Buffer): void {
    if (!this.#responder.write(bytes)) this.#isStalled = true;
  }

  /** Ends a complete response. */
  end(): void {
    this.#responder.end();
  }

  /** Cuts a response that has begun. */
  abort(): void {
    this.#responder.abort();
  }

  /**
   * Responds in place of an engine, once.
   *
   * @throws what the responder raised.
   */
  reject(rejection: Rejection): void {
    if (this.#isRejected) return;
    this.#isRejected = true;
    rejectOrAbort(this.#responder, rejection);
  }
}
