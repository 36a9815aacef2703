/**
 * One generation for one caller: sent to an engine, passed on event by event, and continued on another engine from
 * its memory where its engine leaves.
 *
 * @module
 */
import type { EndpointId, RefusalReason, Undo } from "@wisteriapick/core";
import type { ForecastItem } from "@wisteriapick/policy";
import type { EndpointRow } from "../state/fleet.ts";
import type { UpstreamCall, UpstreamFailure } from "../upstream/connection.ts";
import type { RunMemory } from "../upstream/dialect.ts";
import type { UpstreamEndpoint } from "../upstream/endpoint.ts";
import { classifyResponseHead } from "./response_check.ts";
import type { RelayContext } from "./context.ts";
import { EventReader } from "./event_reader.ts";
import type { InboundRequest, Rejection, Responder } from "./inbound.ts";

/** Time per output token on a shared engine, in milliseconds. */
const OUTPUT_TOKEN_MS = 10;

/**
 * Where a run stands: `waiting` for an engine; `sent`, without an event yet; `streaming`; `stopping`, while its engine
 * is asked to stop it for a move; `over`.
 */
export type RunPhase = "waiting" | "sent" | "streaming" | "stopping" | "over";

/** How an engine's part of a run ended without the run's end. */
export interface RunLoss {
  /** `not_run` where the engine proved that it did not take the request. */
  readonly type: "not_run" | "unreachable" | "misdirected" | "lost";
  readonly message: string;
}

/** What the owner of a run does when it changes. */
export interface RunEvents {
  /** The engine's part ended without the end of the run. The owner places the run again or ends it. */
  onLoss(run: StreamRun, loss: RunLoss): void;
  /** The run is over. */
  onOver(run: StreamRun): void;
  /** The first event of the run, or of a part that goes on elsewhere, has come. */
  onProgress(run: StreamRun): void;
}

/** Options of {@link StreamRun}. */
export interface StreamRunOptions {
  readonly ctx: RelayContext;
  readonly req: InboundRequest;
  readonly responder: Responder;
  readonly tokensPerEvent: number;
  readonly events: RunEvents;
}

/** Where a run is sent. */
export interface RunTarget {
  readonly row: EndpointRow;
  readonly goOnFrom: RunMemory | null;
  readonly enginePriority: number;
  readonly why: string;
}

/** One generation under way. */
export class StreamRun {
  readonly req: InboundRequest;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly tokensPerEvent: number;
  readonly responder: Responder;
  readonly #ctx: RelayContext;
  readonly #events: RunEvents;
  readonly #undos: Undo[] = [];
  readonly #engines: EndpointId[] = [];
  #phase: RunPhase = "waiting";
  #part: RunPart | null = null;
  #reader: EventReader;
  #hasHead = false;
  #lastEventAtMs = 0;
  #longestGapMs = 0;
  #firstEventMs: number | null = null;
  #stalled = false;
  #isComplete = false;

  constructor({ ctx, req, responder, tokensPerEvent, events }: StreamRunOptions) {
    this.#ctx = ctx;
    this.req = req;
    this.responder = responder;
    this.tokensPerEvent = tokensPerEvent;
    this.promptTokens = req.generation?.promptTokens ?? 0;
    this.maxTokens = req.generation?.maxOutputTokens ?? 0;
    this.#events = events;
    this.#reader = new EventReader(req.lastEventId ?? 0);
  }

  get id(): string {
    return this.req.requestId;
  }

  get phase(): RunPhase {
    return this.#phase;
  }

  /** Whether the engine is being asked to stop the run for a move. */
  get isStopping(): boolean {
    return this.#phase === "stopping";
  }

  /** The engine that has the run. */
  get endpoint(): UpstreamEndpoint | null {
    return this.#part?.endpoint ?? null;
  }

  /** Id of the last event that the caller has. */
  get lastEventId(): number {
    return this.#reader.lastId;
  }

  /** Output tokens so far, as far as events show. */
  get producedTokens(): number {
    return this.#reader.lastId * this.tokensPerEvent;
  }

  /** Memory that the run occupies at its engine. */
  get memoryTokens(): number {
    return this.promptTokens + this.producedTokens;
  }

  /** Longest time that the rest of the output takes, in milliseconds. */
  get remainingMs(): number {
    return (this.maxTokens - this.producedTokens) * OUTPUT_TOKEN_MS;
  }

  /** Whether the caller has received a part of the answer. */
  get hasDelivered(): boolean {
    return this.#hasHead;
  }

  /** Whether the whole answer has been passed on. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Time from arrival to the first event; `null` before it. */
  get firstEventMs(): number | null {
    return this.#firstEventMs;
  }

  /** Time since the last event, or since the run was sent. */
  silentMs(nowMs: number): number {
    return nowMs - this.#lastEventAtMs;
  }

  /** The run as it counts in a forecast of memory. */
  forecastItem(curve: Float64Array): ForecastItem {
    return {
      curve,
      promptTokens: this.promptTokens,
      produced: this.producedTokens,
      maxTokens: this.maxTokens,
    };
  }

  /** Begins to watch the caller and the deadline. */
  start(): void {
    const { clock } = this.#ctx;
    this.#undos.push(
      this.responder.registerClose(() => this.#finish("caller_left")),
      this.responder.registerDrain(() => this.#onDrain()),
      clock.setTimer(this.req.dueAtMs - clock.now(), () => this.#onDue()),
    );
  }

  /** Sends the request to an engine, or has it go on there. */
  send({ row, goOnFrom, enginePriority, why }: RunTarget): void {
    const { clock, dialect, upstreams, log, metrics } = this.#ctx;
    const now = clock.now();
    this.#part?.drop();
    const remainingMs = this.req.dueAtMs - now;
    const request = dialect.encode(this.req, {
      endpoint: row.record,
      remainingMs,
      enginePriority,
      resumeFrom: goOnFrom,
    });
    const part = new RunPart(this.#ctx, this.req.requestId, upstreams.of(row), {
      onSignedHead: (p, status, headers, isSuccess) =>
        this.#onSignedHead(p, status, headers, isSuccess),
      onData: (p, chunk) => this.#onData(p, chunk),
      onEnd: (p) => this.#onPartEnd(p),
      onLoss: (p, loss) => this.#onPartLoss(p, loss),
    });
    this.#engines.push(row.record.id);
    if (row.coldUntilMs > now) this.#ctx.coldLimiter.recordSent(row.record.id, now);
    // Bytes of an event that was cut off come again, whole, from the engine that goes on.
    this.#reader = new EventReader(this.#reader.lastId);
    this.#part = part;
    this.#phase = this.#hasHead ? "streaming" : "sent";
    if (this.#lastEventAtMs === 0) this.#lastEventAtMs = now;
    metrics.countAttempt("sent");
    log.request("run_sent", {
      req: this.id,
      endpoint: row.record.id,
      why,
      promptTokens: this.promptTokens,
      afterEvent: this.#reader.lastId,
      remainingMs: Math.round(remainingMs),
      revision: row.revision,
    });
    part.start(request);
  }

  /** Says that the engine is being asked to stop the run; the end of its stream is then no loss. */
  beginStop(): void {
    if (this.#phase === "streaming" || this.#phase === "sent") this.#phase = "stopping";
  }

  /** Says that the engine did not stop the run after all. */
  endStop(): void {
    if (this.#phase !== "stopping") return;
    this.#phase = this.#hasHead ? "streaming" : "sent";
    const loss = this.#part?.pendingLoss ?? null;
    if (loss !== null) this.#events.onLoss(this, loss);
  }

  /** Gives the engine's part up as lost, as nothing comes from there any more. */
  giveUpPart(message: string): void {
    const part = this.#part;
    if (part === null || this.#phase === "over") return;
    part.drop();
    this.#onPartLoss(part, { type: "lost", message });
  }

  /** Answers in place of an engine where nothing was delivered; cuts the stream otherwise. */
  fail(rejection: Rejection): void {
    if (this.#phase === "over") return;
    if (this.#hasHead) {
      this.responder.abort();
      this.#finish("cut", rejection.reason);
      return;
    }
    this.responder.reject(rejection);
    this.#ctx.metrics.countRejection(rejection.reason);
    this.#finish("rejected", rejection.reason, rejection);
  }

  #onSignedHead(
    part: RunPart,
    status: number,
    headers: InboundRequest["headers"],
    isSuccess: boolean,
  ): void {
    if (part !== this.#part) return;
    if (this.#hasHead) {
      if (isSuccess) return;
      part.drop();
      return this.#onPartLoss(part, { type: "lost", message: `answered ${status} midway` });
    }
    // A signed failure is the endpoint's answer; it is passed on like any other body.
    part.passThrough = !isSuccess;
    this.#hasHead = true;
    this.responder.writeHead(status, headers, null);
  }

  #onData(part: RunPart, chunk: Buffer): boolean {
    if (part !== this.#part) return false;
    if (part.passThrough) return this.#pass(chunk);
    const batch = this.#reader.push(chunk);
    if (batch.count > 0) {
      this.#recordEvents(part);
      this.#pass(batch.bytes);
    }
    if (this.#reader.fault !== null) {
      part.drop();
      part.endpoint.recordFailure();
      this.#onPartLoss(part, { type: "lost", message: this.#reader.fault });
      return false;
    }
    return !this.#stalled;
  }

  #pass(bytes: Buffer): boolean {
    if (!this.responder.write(bytes)) this.#stalled = true;
    return !this.#stalled;
  }

  #recordEvents(part: RunPart): void {
    const now = this.#ctx.clock.now();
    if (this.#firstEventMs === null) {
      this.#firstEventMs = now - this.req.arrivedAtMs;
      this.#ctx.metrics.observeFirstEvent(this.req.route.id, this.#firstEventMs);
    } else {
      this.#longestGapMs = Math.max(this.#longestGapMs, now - this.#lastEventAtMs);
    }
    this.#lastEventAtMs = now;
    if (this.#phase === "sent") this.#phase = "streaming";
    if (!part.hasProgress) {
      part.hasProgress = true;
      part.endpoint.recordResponse(now - part.startedAtMs);
      this.#events.onProgress(this);
    }
  }

  #onPartEnd(part: RunPart): void {
    if (part !== this.#part) return;
    if (part.passThrough) {
      this.responder.end();
      return this.#finish("endpoint_failure");
    }
    const isWhole = this.#hasHead && !this.#reader.hasPartialEvent && this.#reader.lastId > 0;
    // Without a stated length a stopped stream ends like a complete one; the answer to the order tells.
    if (!isWhole || (this.#phase === "stopping" && !part.hasFraming)) {
      return this.#onPartLoss(part, { type: "lost", message: "stream ended early" });
    }
    this.#isComplete = true;
    this.responder.end();
    this.#finish("answered");
  }

  #onPartLoss(part: RunPart, loss: RunLoss): void {
    if (part !== this.#part || this.#phase === "over") return;
    part.pendingLoss = loss;
    if (part.passThrough) {
      this.responder.abort();
      return this.#finish("cut", loss.message);
    }
    if (this.#phase === "stopping") return;
    this.#ctx.log.request("run_lost", {
      req: this.id,
      endpoint: part.endpoint.id,
      loss: loss.type,
      message: loss.message,
      afterEvent: this.#reader.lastId,
    });
    this.#events.onLoss(this, loss);
  }

  #onDrain(): void {
    this.#stalled = false;
    this.#part?.resume();
  }

  #onDue(): void {
    if (this.#phase === "over") return;
    const notRun = this.#engines.length === 0 ? true : "unknown";
    this.fail({ reason: "deadline_exceeded", notRun });
  }

  #finish(
    outcome: "answered" | "endpoint_failure" | "rejected" | "cut" | "caller_left",
    detail?: RefusalReason | string,
    rejection?: Rejection,
  ): void {
    if (this.#phase === "over") return;
    this.#phase = "over";
    for (const undo of this.#undos) undo();
    this.#part?.drop();
    const { clock, log, metrics } = this.#ctx;
    const ms = clock.now() - this.req.arrivedAtMs;
    metrics.countRequest(this.req.route.id, outcome, ms);
    if (this.#firstEventMs !== null) metrics.observeLongestGap(this.#longestGapMs);
    log.request("request_over", {
      req: this.id,
      route: this.req.route.id,
      account: this.req.account?.id,
      outcome,
      detail,
      engines: this.#engines,
      events: this.#reader.lastId,
      firstEventMs: this.#firstEventMs === null ? undefined : Math.round(this.#firstEventMs),
      longestGapMs: Math.round(this.#longestGapMs),
      ms: Math.round(ms),
      notRun: rejection?.notRun,
      retryAfterMs: rejection?.retryAfterMs,
    });
    this.#events.onOver(this);
  }
}

interface PartEvents {
  onSignedHead(
    part: RunPart,
    status: number,
    headers: InboundRequest["headers"],
    isSuccess: boolean,
  ): void;
  onData(part: RunPart, chunk: Buffer): boolean;
  onEnd(part: RunPart): void;
  onLoss(part: RunPart, loss: RunLoss): void;
}

/** The part of a run at one engine. */
class RunPart {
  readonly endpoint: UpstreamEndpoint;
  readonly startedAtMs: number;
  /** Whether the body is passed on as it is, not as events. */
  passThrough = false;
  hasProgress = false;
  /** Whether the body's end is marked, so that a broken connection is told from it. */
  hasFraming = true;
  /** How the part ended while the run was being stopped. */
  pendingLoss: RunLoss | null = null;
  readonly #ctx: RelayContext;
  readonly #requestId: string;
  readonly #events: PartEvents;
  #call: UpstreamCall | null = null;
  #over = false;

  constructor(
    ctx: RelayContext,
    requestId: string,
    endpoint: UpstreamEndpoint,
    events: PartEvents,
  ) {
    this.#ctx = ctx;
    this.#requestId = requestId;
    this.endpoint = endpoint;
    this.#events = events;
    this.startedAtMs = ctx.clock.now();
  }

  start(request: Parameters<UpstreamEndpoint["pool"]["send"]>[0]): void {
    this.endpoint.inFlight++;
    this.#call = this.endpoint.pool.send(request, {
      onHead: (status, headers) => this.#onHead(status, headers),
      onData: (chunk) => this.#over ? false : this.#events.onData(this, chunk),
      onEnd: () => {
        if (this.#leave()) this.#events.onEnd(this);
      },
      onFailure: (failure) => this.#onFailure(failure),
    });
    // The call may have failed before it was known here.
    if (this.#over) this.#call.abort();
  }

  resume(): void {
    this.#call?.resume();
  }

  /** Closes the connection; the engine then gives the run up. */
  drop(): void {
    if (this.#leave()) this.#call?.abort();
  }

  #onHead(status: number, rawHeaders: readonly string[]): void {
    if (this.#over) return;
    const head = this.#ctx.dialect.readHead(status, rawHeaders);
    const verdict = classifyResponseHead(head, this.#requestId);
    if (verdict === "success" || verdict === "failure") {
      this.hasFraming = head.isFramed;
      if (verdict === "failure") this.endpoint.recordFailure();
      return this.#events.onSignedHead(this, head.status, head.headers, verdict === "success");
    }
    this.#ctx.metrics.countAttempt(verdict);
    this.drop();
    if (verdict === "not_run" || verdict === "misdirected") {
      return this.#events.onLoss(this, { type: verdict, message: `answered ${head.status}` });
    }
    this.endpoint.recordFailure();
    this.#events.onLoss(this, { type: "lost", message: `${verdict} answer` });
  }

  #onFailure(failure: UpstreamFailure): void {
    if (!this.#leave()) return;
    this.#ctx.metrics.countAttempt(failure.type);
    if (!failure.sent) {
      this.endpoint.recordUnreachable(this.#ctx.clock.now());
      return this.#events.onLoss(this, { type: "unreachable", message: failure.message });
    }
    // An engine that breaks off has mostly crashed; it is left alone for a moment.
    this.endpoint.recordUnreachable(this.#ctx.clock.now());
    this.#events.onLoss(this, { type: "lost", message: failure.message });
  }

  /** Returns whether the part was still under way. */
  #leave(): boolean {
    if (this.#over) return false;
    this.#over = true;
    this.endpoint.inFlight--;
    return true;
  }
}
