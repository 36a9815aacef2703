/**
 * A caller's request as the relay receives it, and the interface through which the relay responds.
 *
 * @module
 */
import type { NotRun, RefusalReason, Undo } from "@wisteriapick/core";
import type { Trait } from "@wisteriapick/policy";
import type { AccountConfig, RouteConfig } from "../config/types.ts";

/** Header fields as pairs of name and value; repeated names keep their order. */
export type HeaderList = readonly (readonly [string, string])[];

/** A segment of a prompt that several requests may share. */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

/** The parameters of the generation that a request asks for. */
export interface GenerationParameters {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /**
   * The caller's estimate of the output length; right at the median and often far off. `null` where none is given.
   */
  readonly lengthHintTokens: number | null;
  /** Segments in the order of the prompt; the last one belongs to the request or its session. */
  readonly promptSegments: readonly PromptSegment[];
}

/**
 * The content of a caller's header section, without fields that concern one connection or that only the system sets.
 */
export interface InboundHead {
  /** The caller's id of this request, as sent. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query, as sent. */
  readonly target: string;
  readonly hostname: string;
  /** Fields to forward to the endpoint. */
  readonly headers: HeaderList;
  /** Time for which the caller waits, from the request's arrival, in milliseconds; `null` where it is not stated. */
  readonly deadlineMs: number | null;
  /** The API key that the caller presents; `null` where it presents none. */
  readonly apiKey: string | null;
  readonly generation: GenerationParameters | null;
  /** Id of the event after which the caller wants to resume a stream; `null` for a new one. */
  readonly lastEventId: number | null;
}

/** A request that has been read and is allowed. */
export interface InboundRequest extends InboundHead {
  readonly route: RouteConfig;
  readonly account: AccountConfig | null;
  readonly body: Buffer | null;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAtMs: number;
  /**
   * Monotonic time by which the caller must have its response, in milliseconds: the earlier of the caller's deadline
   * and the route's.
   */
  readonly dueAtMs: number;
}

/**
 * How far a request has come: `waiting` before an endpoint has received it; `sent` to one, which may run it;
 * `streaming` once its response has begun.
 */
export type RequestStage = "waiting" | "sent" | "streaming";

/** A response by the gateway itself in place of an endpoint's. */
export interface Rejection {
  readonly reason: RefusalReason;
  /** Whether it is certain that the request did not run. `true` guarantees that it did not run and never will. */
  readonly notRun: NotRun;
  /** Time after which the caller should retry, in milliseconds; only where a retry may help. */
  readonly retryAfterMs?: number;
  /** Age of the configuration in force, where that is the reason, in milliseconds. */
  readonly configAgeMs?: number;
  /** What the request shares with others that crash endpoints, where it is quarantined. */
  readonly trait?: Trait;
}

/** Sends the response to one caller. */
export abstract class Responder {
  /** Whether the caller has disconnected. */
  abstract readonly isClosed: boolean;
  /** Begins the response. `contentLength` is `null` where it is not known. */
  abstract writeHead(status: number, headers: HeaderList, contentLength: number | null): void;
  /** Writes bytes of the body. Returns false under back-pressure: wait for the callback of {@link registerDrain}. */
  abstract write(chunk: Buffer): boolean;
  /** Ends a complete response. */
  abstract end(): void;
  /**
   * Aborts a response that has begun, so that it does not look complete, or a request that cannot be rejected: a
   * connection that is closed without a response promises nothing. Further calls do nothing.
   */
  abstract abort(): void;
  /** Responds in place of an endpoint. Only before `writeHead`. */
  abstract reject(rejection: Rejection): void;
  /** Calls `fn` if the caller disconnects before its response is complete. */
  abstract registerClose(fn: () => void): Undo;
  /** Calls `fn` each time the caller takes more bytes after `write` returned false. */
  abstract registerDrain(fn: () => void): Undo;
}

/**
 * Rejects a request, or aborts it if that fails, so that its caller does not wait for ever.
 *
 * @throws what `reject` raised.
 */
export function rejectOrAbort(responder: Responder, rejection: Rejection): void {
  try {
    responder.reject(rejection);
  } catch (e) {
    responder.abort();
    throw e;
  }
}
