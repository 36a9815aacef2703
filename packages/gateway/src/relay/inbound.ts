/**
 * A caller's request as the relay sees it, and the way back to the caller.
 *
 * @module
 */
import type { NotRun, RefusalReason, Undo } from "@wisteriapick/core";
import type { AccountConfig, RouteConfig } from "../config/types.ts";

/** Header fields as name and value, repeated names in order. */
export type HeaderList = readonly (readonly [string, string])[];

/** A part of a prompt that requests may share. */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

/** What a request says of the generation that it asks for. */
export interface GenerationParameters {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output; right at the median and often far off. `null` where none is given. */
  readonly lengthHintTokens: number | null;
  /** Parts in the order of the prompt; the last one belongs to the request or its session. */
  readonly promptSegments: readonly PromptSegment[];
}

/** What a caller's header section says, without fields that concern one connection or that only the system sets. */
export interface InboundHead {
  /** The caller's id of this request, as sent. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query, as sent. */
  readonly target: string;
  readonly hostname: string;
  /** Fields to pass on. */
  readonly headers: HeaderList;
  /** Time for which the caller waits, from its arrival; `null` where it does not say. */
  readonly deadlineMs: number | null;
  /** The key that the caller presents. */
  readonly key: string | null;
  readonly generation: GenerationParameters | null;
  /** Position in a stream after which the caller asks to go on. */
  readonly lastEventId: number | null;
}

/** A request that has been read and is allowed. */
export interface InboundRequest extends InboundHead {
  readonly route: RouteConfig;
  readonly account: AccountConfig | null;
  readonly body: Buffer | null;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAtMs: number;
  /** Monotonic time by which the caller must have its answer: its own deadline or the route's, whichever is first. */
  readonly dueAtMs: number;
}

/** An answer of the gateway itself in place of an endpoint's. */
export interface Rejection {
  readonly reason: RefusalReason;
  /** Whether the request ran. `true` is a promise that it did not run and never will. */
  readonly notRun: NotRun;
  /** When the caller should come back; only where a later try may help. */
  readonly retryAfterMs?: number;
}

/** The way back to one caller. */
export abstract class Responder {
  /** Whether the caller has gone. */
  abstract readonly isClosed: boolean;
  /** Begins an answer. `contentLength` is `null` where it is not known. */
  abstract writeHead(status: number, headers: HeaderList, contentLength: number | null): void;
  /** Passes bytes on. Returns false where the caller does not keep up: wait for `onDrain`. */
  abstract write(chunk: Buffer): boolean;
  /** Ends a complete answer. */
  abstract end(): void;
  /** Cuts an answer that has begun, so that it does not look complete. */
  abstract abort(): void;
  /** Answers in place of an endpoint. Only before `head`. */
  abstract reject(rejection: Rejection): void;
  /** Calls `fn` when the caller goes before its answer is complete. */
  abstract registerClose(fn: () => void): Undo;
  /** Calls `fn` each time the caller takes more bytes after `write` returned false. */
  abstract registerDrain(fn: () => void): Undo;
}
