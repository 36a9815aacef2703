/**
 * One generation for one caller: sent to an engine, forwarded event by event, and resumed from its memory at another
 * engine if its engine leaves or crashes.
 *
 * @module
 */
import type { EndpointId, NotRun, RefusalReason, Undo } from "@wisteriapick/core";
import { type ForecastItem, type MeasuredGaps, RunAttempts } from "@wisteriapick/policy";
import type { RequestOutcome } from "../observe/metrics.ts";
import type { EndpointRecord } from "../config/types.ts";
import type { EndpointRow } from "../state/fleet.ts";
import type { RunMemory } from "../upstream/dialect.ts";
import type { UpstreamEndpoint } from "../upstream/endpoint.ts";
import { runAll } from "../observe/run_all.ts";
import { RETRY_AFTER_ELSEWHERE_MS } from "./access_control.ts";
import { CallerStream } from "./caller_stream.ts";
import type { RelayContext } from "./context.ts";
import type { InboundRequest, Rejection, RequestStage, Responder } from "./inbound.ts";
import { type EngineOutcome, ResponseForwarder } from "./response_forwarder.ts";
import { RunLog } from "./run_log.ts";
import { type RunLoss, RunSegment } from "./run_segment.ts";

export type { MeasuredGaps } from "@wisteriapick/policy";
export type { EngineOutcome } from "./response_forwarder.ts";
export type { RunLoss } from "./run_segment.ts";

/** Time for one output token on a shared engine, in milliseconds. */
const OUTPUT_TOKEN_MS = 10;

/**
 * Phase of a run: `waiting` for an engine; `sent` to one, without an event yet; `streaming`; `stopping`, when its
 * engine has been requested to stop it for a migration; `ended`.
 */
export type RunPhase = "waiting" | "sent" | "streaming" | "stopping" | "ended";

/** Callbacks to the owner of a run. */
export interface RunEvents {
  /** The segment at the engine ended before the run did. The owner places the run again or ends it. */
  onLoss(run: StreamRun, loss: RunLoss): void;
  /** The run has ended. */
  onEnd(run: StreamRun): void;
  /** The first event of the run, or of a resumed segment, has arrived. */
  onProgress(run: StreamRun): void;
  /** Gaps between events that say something of the engine. */
  onGaps?(run: StreamRun, gaps: MeasuredGaps): void;
}

/** Options of {@link StreamRun}. */
export interface StreamRunOptions {
  readonly ctx: RelayContext;
  readonly req: InboundRequest;
  readonly responder: Responder;
  readonly tokensPerEvent: number;
  readonly events: RunEvents;
}

/** The engine that a run is sent to, and how. */
export interface RunTarget {
  readonly row: EndpointRow;
  readonly resumeFrom: RunMemory | null;
  readonly enginePriority: number;
  readonly reason: string;
}

/** One generation in progress. */
export class StreamRun {
  readonly req: InboundRequest;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly tokensPerEvent: number;
  readonly #ctx: RelayContext;
  readonly #caller: CallerStream;
  readonly #forwarder: ResponseForwarder;
  readonly #log: RunLog;
  readonly #events: RunEvents;
  readonly #undos: Undo[] = [];
  readonly #attempts = new RunAttempts<EndpointRecord>();
  #phase: RunPhase = "waiting";
  #segment: RunSegment | null = null;
  #isComplete = false;
  #engineOutcome: EngineOutcome | null = null;

  constructor({ ctx, req, responder, tokensPerEvent, events }: StreamRunOptions) {
    this.#ctx = ctx;
    this.req = req;
    this.tokensPerEvent = tokensPerEvent;
    this.promptTokens = req.generation?.promptTokens ?? 0;
    this.maxTokens = req.generation?.maxOutputTokens ?? 0;
    this.#events = events;
    this.#caller = new CallerStream({
      responder,
      // On routes without resumption a caller gets all events.
      lastEventId: req.route.isResumable ? req.lastEventId ?? 0 : 0,
      arrivedAtMs: req.arrivedAtMs,
    });
    this.#log = new RunLog({ ctx, req, caller: this.#caller });
    this.#forwarder = new ResponseForwarder({
      ctx,
      req,
      caller: this.#caller,
      events: {
        isStopping: () => this.isStopping,
        mayHaveRunTwice: () => this.#attempts.engines.length > 1,
        onEvents: (isFirst) => {
          if (this.#phase === "sent") this.#phase = "streaming";
          if (isFirst) events.onProgress(this);
        },
        onGaps: (gaps) => events.onGaps?.(this, gaps),
        onEngineOutcome: (outcome) => this.#engineOutcome = outcome,
        onEnd: (outcome) => {
          this.#isComplete = outcome === "answered";
          this.#finish(outcome);
        },
        onLoss: (segment, loss) => this.#onSegmentLoss(segment, loss),
      },
    });
  }

  get id(): string {
    return this.req.requestId;
  }

  get phase(): RunPhase {
    return this.#phase;
  }

  /** Whether the engine has been requested to stop the run for a migration. */
  get isStopping(): boolean {
    return this.#phase === "stopping";
  }

  /** The engine that the run was last sent to; `null` before it is sent, and while it waits to be sent anew. */
  get endpoint(): UpstreamEndpoint | null {
    return this.#phase === "waiting" ? null : this.#segment?.endpoint ?? null;
  }

  /** Id of the last event that was forwarded, or that the caller already had when it resumed the stream. */
  get lastEventId(): number {
    return this.#caller.lastEventId;
  }

  /**
   * Output tokens so far, computed from the events. The caller may name an event that no response has, so those that it
   * states to have count for no more than the largest output.
   */
  get producedTokens(): number {
    const { forwardedEvents, lastEventId } = this.#caller;
    const stated = Math.min(lastEventId * this.tokensPerEvent, this.maxTokens);
    return Math.max(stated, forwardedEvents * this.tokensPerEvent);
  }

  /** Memory that the run occupies at its engine, in tokens. */
  get memoryTokens(): number {
    return this.promptTokens + this.producedTokens;
  }

  /** Ids of the prompt's segments that other requests may have too: all but the last. */
  get sharedSegments(): readonly string[] {
    return (this.req.generation?.promptSegments ?? []).slice(0, -1).map(({ id }) => id);
  }

  /** Longest time that the rest of the output can take, in milliseconds. */
  get remainingMs(): number {
    return (this.maxTokens - this.producedTokens) * OUTPUT_TOKEN_MS;
  }

  /** Whether the present engine has sent the head of its response. */
  get hasBegun(): boolean {
    return this.#segment?.hasHead ?? false;
  }

  /** Whether the present engine has sent an event. */
  get hasProgress(): boolean {
    return this.#segment?.hasProgress ?? false;
  }

  /** Whether the present engine has begun its response well. */
  get hasBegunWell(): boolean {
    return this.#segment?.hasBegunWell ?? false;
  }

  /** Whether the response to the caller has begun. */
  get hasDelivered(): boolean {
    return this.#caller.hasBegun;
  }

  /** Whether the complete response has been forwarded. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /**
   * What the end of the run shows of the engine that had it; `null` if nothing, or if its loss was reported by
   * {@link RunEvents.onLoss}.
   */
  get engineOutcome(): EngineOutcome | null {
    return this.#engineOutcome;
  }

  /** Time since the run was sent to its present engine, in milliseconds; 0 before it. */
  get atEngineMs(): number {
    return this.#segment === null ? 0 : this.#ctx.clock.now() - this.#segment.startedAtMs;
  }

  /** Time from arrival to the first event, in milliseconds; `null` before it. */
  get firstEventMs(): number | null {
    return this.#caller.firstEventMs;
  }

  /** Time since the last event, or since the run was first sent, in milliseconds. */
  silentMs(nowMs: number): number {
    return nowMs - this.#caller.lastEventAtMs;
  }

  /** The run as an item of a memory forecast. */
  forecastItem(curve: Float64Array): ForecastItem {
    return {
      curve,
      promptTokens: this.promptTokens,
      produced: this.producedTokens,
      maxTokens: this.maxTokens,
    };
  }

  /** Starts to watch for the caller's disconnection and the deadline. */
  start(): void {
    const { clock, setPolledTimer } = this.#ctx;
    this.#undos.push(
      ...this.#caller.watch({
        onClose: () => this.#contain(() => this.#onCallerLeft()),
        onDrain: () => this.#contain(() => this.#segment?.resume()),
      }),
      setPolledTimer(
        this.req.dueAtMs - clock.now(),
        () => this.#contain(() => this.#onDeadline()),
      ),
    );
  }

  /** Runs what a callback of this run does. An error ends this run only, with what is known of it so far. */
  #contain(work: () => void): void {
    this.#ctx.errors.run("stream", work, () => this.failInternally());
  }

  /** Ends the run after an unexpected error in its handling. */
  failInternally(): void {
    if (this.#phase === "ended") return;
    const rejection: Rejection = this.mayHaveRun
      ? { reason: "internal", notRun: "unknown" }
      : { reason: "internal", notRun: true, retryAfterMs: RETRY_AFTER_ELSEWHERE_MS };
    try {
      if (this.#caller.hasBegun) this.#caller.abort();
      else this.#caller.reject(rejection);
    } finally {
      if (this.#caller.hasBegun) this.#finish("cut", "internal");
      else this.#finish("rejected", "internal", rejection);
    }
  }

  /** Sends the request to an engine, or resumes it there. Fails the run if requests like it crash engines. */
  send(target: RunTarget): void {
    this.#contain(() => this.#send(target));
  }

  #send({ row, resumeFrom, enginePriority, reason }: RunTarget): void {
    const { clock, dialect, upstreams, crashes } = this.#ctx;
    const refusal = this.refusalToSend(resumeFrom);
    if (refusal !== null) return this.fail(refusal);
    const admission = crashes.admission(this.req);
    if (admission.type === "refused") {
      const { retryAfterMs, trait } = admission;
      return this.fail({ reason: "quarantined", notRun: this.#notRun, retryAfterMs, trait });
    }
    const now = clock.now();
    const remainingMs = this.req.dueAtMs - now;
    const request = dialect.encode(this.req, {
      endpoint: row.record,
      remainingMs,
      enginePriority,
      resumeFrom,
      afterEvent: this.#afterEvent,
    });
    // What cannot be encoded uses up no permit.
    crashes.recordSent(this.req);
    this.#ctx.limits.take(row.record.id);
    this.#segment?.abort();
    const isNewRun = resumeFrom === null;
    const segment = new RunSegment(this.#ctx, this.req.requestId, upstreams.of(row), isNewRun, {
      contain: (work) => this.#contain(work),
      onSignedHead: (seg, head) => {
        if (seg === this.#segment) this.#forwarder.receiveHead(seg, head);
      },
      onData: (seg, chunk) => {
        if (seg !== this.#segment) return false;
        this.#ctx.recordArrived(chunk.length);
        return this.#forwarder.receiveData(seg, chunk);
      },
      onEnd: (seg) => {
        if (seg === this.#segment) this.#forwarder.receiveEnd(seg);
      },
      onLoss: (seg, loss) => this.#onSegmentLoss(seg, loss),
    });
    this.#attempts.recordSent(row.record);
    if (row.coldUntilMs > now) this.#ctx.coldLimiter.recordSent(row.record.id, now);
    this.#caller.beginSegment(now);
    this.#segment = segment;
    this.#phase = phaseAt(segment);
    this.#log.recordSent(row, { reason, remainingMs, sharedSegments: this.sharedSegments });
    segment.start({
      ...request,
      mayStillSend: () =>
        resumeFrom !== null ||
        this.#ctx.fleet.endpoints.get(row.record.id)?.phase !== "leaving" &&
          (this.#caller.hasBegun || this.#ctx.access.refusalToSend(this.req) === null),
    });
  }

  /**
   * Why the run may not be sent to an engine now; `null` if it may. One that is under way goes on, whatever happens to
   * its caller's key: a key ends for requests that are sent after it was taken away.
   */
  refusalToSend(resumeFrom: RunMemory | null = null): Rejection | null {
    if (this.#caller.hasBegun || resumeFrom !== null) return null;
    const refusal = this.#ctx.access.refusalToSend(this.req);
    if (refusal === null || !this.mayHaveRun) return refusal;
    return { reason: "engine_lost", notRun: "unknown" };
  }

  /** Whether an engine may have run the request, so that it can be sent anew only if its stream may be resumed. */
  get mayHaveRun(): boolean {
    return this.#attempts.mayHaveRun({ isConnecting: this.#segment?.isConnecting === true });
  }

  /** Engines that have refused the run or may have run it, which do not get it again. */
  get triedEngines(): ReadonlySet<EndpointId> {
    return this.#attempts.tried;
  }

  /** Number of engines that may have run the request, except for those that have certainly ended since. */
  get reachedEngines(): number {
    const { fleet } = this.#ctx;
    return this.#attempts.reached((engine) => fleet.hasEnded(engine));
  }

  /** Id of the last event that the caller has, for an engine that runs the request anew; `null` if it has none. */
  get #afterEvent(): number | null {
    const { route, lastEventId } = this.req;
    if (!route.isResumable) return null;
    return this.#caller.lastEventId > 0 ? this.#caller.lastEventId : lastEventId;
  }

  /** Records that the run, whose engine has lost it, waits for another engine to run it anew. */
  beginWait(): void {
    if (this.#phase !== "ended") this.#phase = "waiting";
  }

  /** Number of times that the run was sent. */
  get sends(): number {
    return this.#attempts.sends;
  }

  /** Why the last segment ended before the run did; `null` if none has. */
  get lastLoss(): RunLoss["type"] | null {
    return this.#segment?.pendingLoss?.type ?? null;
  }

  /** Number of times that the run has reached an engine, including those that refused it. */
  get arrivals(): number {
    return this.#attempts.arrivals;
  }

  /** Records that the engine has been requested to stop the run, so that the end of its stream is not a loss. */
  beginStop(): void {
    if (this.#phase !== "streaming" && this.#phase !== "sent") return;
    this.#phase = "stopping";
    if (this.#segment !== null) this.#segment.mayBeStopped = true;
  }

  /**
   * Lets the run go on after an order to stop it that brought no copy, and reports a loss that occurred meanwhile.
   * Unless `isRefused`, the engine may have stopped the run, or stop it later. It may refuse a further order because the
   * one before it, whose response was lost, is in progress or done.
   */
  cancelStop({ isRefused }: { readonly isRefused: boolean }): void {
    if (this.#phase !== "stopping") return;
    if (this.#segment !== null) this.#segment.recordStopOrder({ isRefused });
    this.#phase = this.#segment === null ? "sent" : phaseAt(this.#segment);
    const loss = this.#segment?.pendingLoss ?? null;
    if (loss !== null) this.#events.onLoss(this, loss);
  }

  /** Treats the segment at the current engine as lost, as the engine no longer sends anything. */
  abandonSegment(message: string): void {
    const segment = this.#segment;
    if (segment === null || this.#phase === "ended") return;
    segment.abort();
    this.#onSegmentLoss(segment, { type: "lost", message });
  }

  /**
   * Rejects the request where nothing was delivered; aborts the stream otherwise. A failure that was held back is
   * delivered in place of a rejection.
   */
  fail(rejection: Rejection): void {
    if (this.#phase === "ended") return;
    if (this.#caller.hasBegun) {
      this.#caller.abort();
      this.#finish("cut", rejection.reason);
      return;
    }
    if (this.#forwarder.deliverFailure()) {
      return this.#finish("endpoint_failure", rejection.reason);
    }
    const truthful = this.#withoutFalsePromise(rejection);
    this.#caller.reject(truthful);
    this.#ctx.metrics.countRejection(truthful.reason);
    this.#finish("rejected", truthful.reason, truthful);
  }

  /** A run that waits to be sent anew may have run before, whatever the reason for which it is not sent. */
  #withoutFalsePromise(rejection: Rejection): Rejection {
    if (rejection.notRun !== true || !this.mayHaveRun) return rejection;
    if (rejection.reason === "quarantined") return { ...rejection, notRun: "unknown" };
    return { reason: "engine_lost", notRun: "unknown" };
  }

  #onSegmentLoss(segment: RunSegment, loss: RunLoss): void {
    if (segment !== this.#segment || this.#phase === "ended") return;
    segment.dropFailure();
    segment.pendingLoss = loss;
    this.#attempts.recordLoss(segment.endpoint.id, loss.type);
    if (segment.isPassThrough) {
      this.#engineOutcome = "failed";
      this.#caller.abort();
      return this.#finish("cut", loss.message);
    }
    if (this.#phase === "stopping") return;
    this.#log.recordLoss(segment, loss, this.sharedSegments);
    this.#events.onLoss(this, loss);
  }

  /** Whether an engine has the run now. */
  get #isAtEngine(): boolean {
    return this.#segment?.isInProgress ?? false;
  }

  #onCallerLeft(): void {
    if (this.#isAtEngine) this.#engineOutcome ??= "abandoned";
    this.#finish("caller_left");
  }

  #onDeadline(): void {
    if (this.#phase === "ended") return;
    if (this.#isAtEngine) this.#engineOutcome = "failed";
    this.fail({ reason: "deadline_exceeded", notRun: this.#notRun });
  }

  /** How far the run has come for its caller. */
  get stage(): RequestStage {
    if (this.#caller.hasBegun) return "streaming";
    return this.mayHaveRun ? "sent" : "waiting";
  }

  /** Ends the run as the process ends. */
  giveUp(): void {
    this.#contain(() => this.fail({ reason: "draining", notRun: this.#notRun }));
  }

  get #notRun(): NotRun {
    return this.mayHaveRun ? "unknown" : true;
  }

  #finish(
    outcome: RequestOutcome,
    detail?: RefusalReason | string,
    rejection?: Rejection,
  ): void {
    if (this.#phase === "ended") return;
    this.#phase = "ended";
    const { engines, sends } = this.#attempts;
    runAll([
      ...this.#undos,
      () => this.#ctx.crashes.recordEnded(this.req),
      () => this.#segment?.abort(),
      () => this.#segment?.dropFailure(),
      () => this.#forwarder.release(),
      () => this.#log.recordEnd({ outcome, detail, rejection, engines, sends }),
      // The owner frees what the run occupies.
      () => this.#events.onEnd(this),
    ]);
  }
}

/** Phase of a run that is at an engine. A new run can be copied and stopped only once its first event has arrived. */
function phaseAt(segment: RunSegment): RunPhase {
  return segment.isNewRun && !segment.hasProgress ? "sent" : "streaming";
}
