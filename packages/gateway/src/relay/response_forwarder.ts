/**
 * Forwards what the engines of a run respond to its caller: the events of successes, and failures unchanged. A failure
 * is held back where another engine may run the request.
 *
 * @module
 */
import type { GapConditions, MeasuredGaps } from "@wisteriapick/policy";
import type { CallerStream } from "./caller_stream.ts";
import type { RelayContext } from "./context.ts";
import { isDisturbed } from "./disturbance.ts";
import type { InboundRequest } from "./inbound.ts";
import { KeptFailure } from "./kept_failure.ts";
import { deniesRun } from "./response_check.ts";
import type { RunLoss, RunSegment, SignedHead } from "./run_segment.ts";

/**
 * Time after its first event from which an engine counts as having begun a response well. An engine that crashes on a
 * prompt does so with the first event, which may still arrive.
 */
const BEGUN_WELL_MS = 250;

/**
 * What the end of a run shows of its engine: `served` a response, which may be a rejection of the request; `failed` it,
 * or let it reach its deadline; `abandoned`, that the caller left while the engine had it.
 */
export type EngineOutcome = "served" | "failed" | "abandoned";

/** Status from which a response says that the endpoint failed, rather than that it rejects the request. */
const MIN_FAILURE_STATUS = 500;

/** Callbacks to the run. */
export interface ForwarderEvents {
  /** Whether the engine has been requested to stop the run. */
  isStopping(): boolean;
  /** Whether several engines may have run the request, the present one included. */
  mayHaveRunTwice(): boolean;
  /** Events have arrived; `isFirst` for the first ones of the segment. */
  onEvents(isFirst: boolean): void;
  /** Gaps between events that say something of the engine. */
  onGaps(gaps: MeasuredGaps): void;
  /** It shows how the engine has dealt with the run. */
  onEngineOutcome(outcome: EngineOutcome): void;
  /** The response to the caller is complete. */
  onEnd(outcome: "answered" | "endpoint_failure"): void;
  /** Nothing more of the segment can be forwarded. */
  onLoss(segment: RunSegment, loss: RunLoss): void;
}

/** Options of {@link ResponseForwarder}. */
export interface ResponseForwarderOptions {
  readonly ctx: RelayContext;
  readonly req: InboundRequest;
  readonly caller: CallerStream;
  readonly events: ForwarderEvents;
}

/**
 * Forwards the responses of one run's engines, of which one at a time has the run.
 *
 * @example
 * ```ts
 * const forwarder = new ResponseForwarder({ ctx, req, caller, events });
 * forwarder.receiveHead(segment, head);
 * const wantsMore = forwarder.receiveData(segment, chunk);
 * forwarder.receiveEnd(segment);
 * ```
 */
export class ResponseForwarder {
  readonly #ctx: RelayContext;
  readonly #req: InboundRequest;
  readonly #caller: CallerStream;
  readonly #events: ForwarderEvents;
  /** Failure that is delivered if no other engine succeeds. */
  #failure: KeptFailure | null = null;

  constructor({ ctx, req, caller, events }: ResponseForwarderOptions) {
    this.#ctx = ctx;
    this.#req = req;
    this.#caller = caller;
    this.#events = events;
  }

  /** Takes the signed head of an engine's response. */
  receiveHead(segment: RunSegment, { status, headers, isSuccess }: SignedHead): void {
    if (this.#caller.hasBegun) {
      if (isSuccess) return;
      segment.abort();
      const message = `response status ${status} after the stream began`;
      return this.#events.onLoss(segment, { type: "lost", message });
    }
    if (deniesRun(status) && this.#events.mayHaveRunTwice()) {
      // It is true of this engine only, and the caller would send the request once more.
      segment.abort();
      const message = `response status ${status} after another engine may have run the request`;
      return this.#events.onLoss(segment, { type: "failed", message });
    }
    if (status >= MIN_FAILURE_STATUS && this.#req.route.isResumable) {
      segment.failure = new KeptFailure({ status, headers, budget: this.#ctx.budget });
      return;
    }
    // A signed failure is the endpoint's response, so its body is forwarded unchanged.
    segment.isPassThrough = !isSuccess;
    if (!isSuccess) {
      this.#events.onEngineOutcome(status >= MIN_FAILURE_STATUS ? "failed" : "served");
    }
    this.#caller.begin(status, headers);
  }

  /** Takes bytes of the body. Returns whether more may follow now. */
  receiveData(segment: RunSegment, chunk: Buffer): boolean {
    if (segment.failure !== null && segment.failure.append(chunk)) return true;
    if (segment.failure !== null) return this.#forwardFailure(segment, segment.failure);
    if (segment.isPassThrough) return this.#forward(segment, chunk);
    const batch = this.#caller.read(chunk);
    if (batch.count > 0) {
      this.#recordEvents(segment, batch.count);
      this.#forward(segment, batch.bytes);
    }
    if (this.#caller.fault !== null) {
      segment.abort();
      segment.endpoint.recordFailure();
      this.#events.onLoss(segment, { type: "lost", message: this.#caller.fault });
      return false;
    }
    return !this.#caller.isStalled;
  }

  /** Takes the end of the body, which may be that of the response to the caller. */
  receiveEnd(segment: RunSegment): void {
    if (segment.isPassThrough) {
      this.#caller.end();
      return this.#events.onEnd("endpoint_failure");
    }
    if (segment.failure !== null) {
      const { failure } = segment;
      segment.failure = null;
      this.#failure?.release();
      this.#failure = failure;
      this.#ctx.metrics.countAttempt("failure");
      const message = `response status ${failure.status}`;
      return this.#events.onLoss(segment, { type: "failed", message });
    }
    // Without framing, a new run that omits what the caller has ends in the same way if its engine crashes before then.
    const mayHaveOmittedAll = segment.isNewRun && !segment.hasProgress && !segment.hasFraming;
    const isEndOfStream = this.#caller.hasBegun && !this.#caller.hasPartialEvent &&
      this.#caller.lastEventId > 0 && !mayHaveOmittedAll;
    // Without framing, a stopped stream ends like a complete one; the response to the copy order tells them apart.
    if (!isEndOfStream || (segment.mayBeStopped && !segment.hasFraming)) {
      const message = "stream ended early";
      const isDisconnected = !segment.hasFraming;
      return this.#events.onLoss(segment, { type: "lost", message, isDisconnected });
    }
    const gaps = segment.gaps.endSpan(this.#caller.lastEventAtMs, this.#gapConditions);
    if (gaps !== null) this.#events.onGaps(gaps);
    this.#events.onEngineOutcome("served");
    this.#recordBegunWell(segment, segment.firstEventAtMs ?? segment.startedAtMs);
    this.#caller.end();
    this.#events.onEnd("answered");
  }

  /**
   * Delivers the failure that was held back. Returns false if there is none, or if it would deny that another engine may
   * have run the request.
   */
  deliverFailure(): boolean {
    if (this.#failure === null) return false;
    if (deniesRun(this.#failure.status) && this.#events.mayHaveRunTwice()) return false;
    this.#caller.beginFailure(this.#failure);
    this.#caller.end();
    return true;
  }

  /** Frees what is held back. */
  release(): void {
    this.#failure?.release();
  }

  /** Forwards a failure that is too large to be held; the request can then no longer be repeated. */
  #forwardFailure(segment: RunSegment, failure: KeptFailure): boolean {
    segment.failure = null;
    segment.isPassThrough = true;
    this.#events.onEngineOutcome("failed");
    this.#caller.beginFailure(failure);
    return !this.#caller.isStalled;
  }

  #forward(segment: RunSegment, bytes: Buffer): boolean {
    this.#caller.write(bytes);
    if (this.#caller.isStalled) segment.gaps.recordStall();
    return !this.#caller.isStalled;
  }

  #recordEvents(segment: RunSegment, count: number): void {
    const now = this.#ctx.clock.now();
    const gaps = segment.gaps.recordEvents(count, now, this.#gapConditions);
    if (gaps !== null) this.#events.onGaps(gaps);
    if (this.#caller.recordEvents(now)) {
      this.#ctx.metrics.observeFirstEvent(this.#req.route.id, now - this.#req.arrivedAtMs);
      this.#ctx.recordBegan(this.#req.account?.id ?? null, this.#req.requestId);
    }
    const { firstEventAtMs } = segment;
    if (firstEventAtMs !== null && now - firstEventAtMs >= BEGUN_WELL_MS) {
      this.#recordBegunWell(segment, firstEventAtMs);
    }
    const isFirst = !segment.hasProgress;
    if (isFirst) {
      segment.firstEventAtMs = now;
      segment.endpoint.recordResponse(now - segment.startedAtMs);
    }
    this.#events.onEvents(isFirst);
  }

  /** What may hold up events other than the engine. */
  get #gapConditions(): GapConditions {
    return {
      isStalled: this.#caller.isStalled,
      isStopping: this.#events.isStopping(),
      isDisturbed: (spanMs) => isDisturbed(this.#ctx, spanMs),
    };
  }

  #recordBegunWell(segment: RunSegment, atMs: number): void {
    if (segment.hasBegunWell) return;
    segment.hasBegunWell = true;
    this.#ctx.crashes.recordHarmless(this.#req, atMs);
  }
}
