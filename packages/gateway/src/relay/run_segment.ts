/**
 * The segment of a run at one engine: the request that was sent there, and what its response proves.
 *
 * @module
 */
import { GapMeter, type RunLossType } from "@wisteriapick/policy";
import type { UpstreamCall, UpstreamFailure } from "../upstream/connection.ts";
import type { UpstreamEndpoint } from "../upstream/endpoint.ts";
import type { RelayContext } from "./context.ts";
import { recordNotices } from "./endpoint_notices.ts";
import type { HeaderList } from "./inbound.ts";
import type { KeptFailure } from "./kept_failure.ts";
import { classifyResponseHead } from "./response_check.ts";

/** Why the segment of a run at one engine ended before the run did. */
export interface RunLoss {
  readonly type: RunLossType;
  readonly message: string;
  /** Whether the connection to the engine ended, as in a crash. */
  readonly isDisconnected?: boolean;
}

/** Head of a response that the engine has signed for this request. */
export interface SignedHead {
  readonly status: number;
  readonly headers: HeaderList;
  readonly isSuccess: boolean;
}

/** Callbacks to the run. */
export interface SegmentEvents {
  /** Runs what a callback of the segment does, so that an error ends the run. */
  contain(work: () => void): void;
  onSignedHead(segment: RunSegment, head: SignedHead): void;
  onData(segment: RunSegment, chunk: Buffer): boolean;
  onEnd(segment: RunSegment): void;
  onLoss(segment: RunSegment, loss: RunLoss): void;
}

/** The segment of a run at one engine. */
export class RunSegment {
  readonly endpoint: UpstreamEndpoint;
  /** Whether the engine runs the request from its beginning, rather than from a copy of a run's memory. */
  readonly isNewRun: boolean;
  readonly startedAtMs: number;
  /** Failure that the engine responds with, as far as it has arrived; `null` unless it is held back. */
  failure: KeptFailure | null = null;
  /** Whether the body is forwarded unchanged instead of being parsed as events. */
  isPassThrough = false;
  /** Whether the head of a response has arrived. */
  hasHead = false;
  /** When the first event of this segment arrived; `null` before it. */
  firstEventAtMs: number | null = null;
  hasBegunWell = false;
  /** Measures the gaps between the events of this segment. */
  readonly gaps = new GapMeter();
  /** Whether the end of the body is marked, so that it can be distinguished from a broken connection. */
  hasFraming = true;
  /** Whether the engine was ordered to stop the run, and has not refused each of the orders. */
  mayBeStopped = false;
  #hasUnansweredStop = false;
  /** Loss of the segment while the run was being stopped; reported if the stop is cancelled. */
  pendingLoss: RunLoss | null = null;
  readonly #ctx: RelayContext;
  readonly #requestId: string;
  readonly #events: SegmentEvents;
  #call: UpstreamCall | null = null;
  #hasEnded = false;

  constructor(
    ctx: RelayContext,
    requestId: string,
    endpoint: UpstreamEndpoint,
    isNewRun: boolean,
    events: SegmentEvents,
  ) {
    this.#ctx = ctx;
    this.#requestId = requestId;
    this.endpoint = endpoint;
    this.isNewRun = isNewRun;
    this.#events = events;
    this.startedAtMs = ctx.clock.now();
  }

  get isInProgress(): boolean {
    return this.#call !== null && !this.#hasEnded;
  }

  /** Whether nothing of the request has left this process, as the connection is being opened. */
  get isConnecting(): boolean {
    return this.isInProgress && !this.#call!.hasBeenSent;
  }

  /** Frees what has arrived of a failure that is held back. */
  dropFailure(): void {
    this.failure?.release();
    this.failure = null;
  }

  /** Records the outcome of an order to stop the run that brought no copy. */
  recordStopOrder({ isRefused }: { readonly isRefused: boolean }): void {
    if (!isRefused) this.#hasUnansweredStop = true;
    this.mayBeStopped = this.#hasUnansweredStop;
  }

  get hasProgress(): boolean {
    return this.firstEventAtMs !== null;
  }

  /** Time since the first event of this segment, in milliseconds; `null` before it. */
  writingMs(nowMs: number): number | null {
    return this.firstEventAtMs === null ? null : Math.round(nowMs - this.firstEventAtMs);
  }

  start(request: Parameters<UpstreamEndpoint["pool"]["send"]>[0]): void {
    this.endpoint.inFlight++;
    this.#call = this.endpoint.pool.send(request, {
      onHead: (status, headers) => this.#events.contain(() => this.#onHead(status, headers)),
      onData: (chunk) => {
        let wantsMore = false;
        this.#events.contain(() => {
          if (!this.#hasEnded) wantsMore = this.#events.onData(this, chunk);
        });
        return wantsMore;
      },
      onEnd: () =>
        this.#events.contain(() => {
          if (this.#end()) this.#events.onEnd(this);
        }),
      onFailure: (failure) => this.#events.contain(() => this.#onFailure(failure)),
    });
  }

  resume(): void {
    this.#call?.resume();
  }

  /** Closes the connection, upon which the engine cancels the run. */
  abort(): void {
    if (this.#end()) this.#call?.abort();
  }

  #onHead(rawStatus: number, rawHeaders: readonly string[]): void {
    if (this.#hasEnded) return;
    this.hasHead = true;
    const head = this.#ctx.dialect.readHead(rawStatus, rawHeaders);
    const verdict = classifyResponseHead(head, this.#requestId);
    recordNotices(this.#ctx, this.endpoint, { head, verdict, sentAtMs: this.startedAtMs });
    if (verdict === "success" || verdict === "failure") {
      this.hasFraming = head.isFramed;
      if (verdict === "failure") this.endpoint.recordFailure();
      const { status, headers } = head;
      return this.#events.onSignedHead(this, { status, headers, isSuccess: verdict === "success" });
    }
    this.#ctx.metrics.countAttempt(verdict);
    this.abort();
    if (verdict === "not_run" || verdict === "misdirected") {
      return this.#events.onLoss(this, {
        type: verdict,
        message: `response status ${head.status}`,
      });
    }
    this.endpoint.recordFailure();
    this.#events.onLoss(this, { type: "lost", message: `${verdict} response` });
  }

  #onFailure(failure: UpstreamFailure): void {
    if (!this.#end()) return;
    this.#ctx.metrics.countAttempt(failure.type);
    if (failure.type === "withdrawn" || failure.type === "unsendable") {
      return this.#events.onLoss(this, { type: failure.type, message: failure.message });
    }
    if (!failure.sent) {
      this.endpoint.recordUnreachable(this.#ctx.clock.now());
      return this.#events.onLoss(this, { type: "unreachable", message: failure.message });
    }
    // An engine that breaks off a response has usually crashed, so it gets no new requests for a moment.
    this.endpoint.recordUnreachable(this.#ctx.clock.now());
    const isDisconnected = failure.type === "connection_lost";
    if (isDisconnected) this.#ctx.suspect(this.endpoint.id);
    this.#events.onLoss(this, { type: "lost", message: failure.message, isDisconnected });
  }

  /** Marks the segment as ended. Returns whether it was still in progress. */
  #end(): boolean {
    if (this.#hasEnded) return false;
    this.#hasEnded = true;
    this.endpoint.inFlight--;
    return true;
  }
}
