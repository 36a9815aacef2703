/**
 * Relays one call to a plain service: its response is buffered where possible, and failed calls are retried at other
 * endpoints where that is allowed.
 *
 * @module
 */
import { ByteBuffer, type EndpointId, type RefusalReason, type Undo } from "@wisteriapick/core";
import { chooseCallEndpoint, OutlierEjection } from "@wisteriapick/policy";
import type { RequestOutcome } from "../observe/metrics.ts";
import { runAll } from "../observe/run_all.ts";
import { ANOTHER_AT_ADDRESS, type EndpointRow } from "../state/fleet.ts";
import type { UpstreamCall, UpstreamFailure } from "../upstream/connection.ts";
import type { ResponseHead } from "../upstream/dialect.ts";
import type { UpstreamEndpoint } from "../upstream/endpoint.ts";
import { RETRY_AFTER_ELSEWHERE_MS } from "./access_control.ts";
import { isDisturbed } from "./disturbance.ts";
import { recordNotices } from "./endpoint_notices.ts";
import { classifyResponseHead, deniesRun, type HeadVerdict } from "./response_check.ts";
import { isWithinColdLimit } from "./cold_limit.ts";
import type { RelayContext } from "./context.ts";
import {
  type InboundRequest,
  type Rejection,
  rejectOrAbort,
  type RequestStage,
  type Responder,
} from "./inbound.ts";
import { isEndPlanned } from "./planned_end.ts";
import { chooseService } from "./service_choice.ts";

/** An idempotent call also goes to a second endpoint after this many times the endpoint's usual latency. */
const SLOW_FACTOR = 5;
/** Earliest time at which a call counts as slow, in milliseconds. */
const SLOW_MIN_MS = 120;
/** Fraction of the remaining time after which a call without a response counts as slow at the latest. */
const SLOW_FRACTION_OF_TIME_LEFT = 0.35;
/** Retry delay given to callers when every endpoint was full, in milliseconds: a few times the work of a call. */
const RETRY_AFTER_FULL_MS = 150;
/** Retry delay given to callers while no endpoint is usable, in milliseconds. */
const RETRY_AFTER_NO_ENDPOINT_MS = 400;
/** Retry delay given to callers while another call tries what this one shares with it, in milliseconds. */
const RETRY_AFTER_TRIAL_MS = 300;
/** Status from which a response, which may come at once, says nothing of the endpoint's speed. */
const MIN_REFUSAL_STATUS = 400;
/** Fraction of the target latency for which a call waits for a permit of a limited endpoint. */
const PERMIT_WAIT_FRACTION = 0.6;

/** A signed failure of an endpoint, delivered if no other endpoint succeeds. */
interface EndpointFailure {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** Options of {@link PlainCall}. */
export interface PlainCallOptions {
  readonly ejection: OutlierEjection;
  /** Called once, when the call has ended. */
  readonly onEnd: () => void;
}

/** One call in progress. */
export class PlainCall {
  readonly #ctx: RelayContext;
  readonly #req: InboundRequest;
  readonly #responder: Responder;
  readonly #ejection: OutlierEjection;
  readonly #onEnd: () => void;
  readonly #attempts = new Set<Attempt>();
  readonly #attemptedEndpoints = new Set<EndpointId>();
  readonly #undos: Undo[] = [];
  #stopSlowTimer: Undo = () => {};
  /** Number of endpoints that may run the request, as far as is known. */
  #reached = 0;
  /** Number of endpoints that have received the request, including those that refused it. */
  #arrivals = 0;
  /** Number of attempts that have ended and may have run the call. */
  #runsPossible = 0;
  #wasRefused = false;
  /** Time for which calls like this one are not sent, in milliseconds; `null` if they are. */
  #quarantinedForMs: number | null = null;
  /** Why the call may not be sent any more, as its key was taken away; `null` if it may. */
  #withdrawal: Rejection | null = null;
  /** Endpoints that could take the call if this gateway had a permit. */
  #limitedEndpoints: readonly EndpointId[] = [];
  /** Time until which the call waits for a permit; `null` before it has to. */
  #permitWaitEndsAtMs: number | null = null;
  #stopPermitWait: Undo = () => {};
  #failure: EndpointFailure | null = null;
  #committed: Attempt | null = null;
  /** Whether the head of the response may have been written. */
  #hasResponseBegun = false;
  #hasEnded = false;

  constructor(
    ctx: RelayContext,
    req: InboundRequest,
    responder: Responder,
    { ejection, onEnd }: PlainCallOptions,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.#responder = responder;
    this.#ejection = ejection;
    this.#onEnd = onEnd;
  }

  start(): void {
    this.#contain(() => {
      const { clock, setPolledTimer } = this.#ctx;
      this.#undos.push(
        this.#responder.registerClose(() => this.#contain(() => this.#onCallerLeft())),
        setPolledTimer(
          this.#req.dueAtMs - clock.now(),
          () => this.#contain(() => this.#onDeadline()),
        ),
      );
      this.#sendNext("first");
    });
  }

  /** Runs what a callback of this call does. An error ends this call only, with what is known of it so far. */
  #contain(work: () => void): void {
    this.#ctx.errors.run("call", work, () => this.#endAfterError());
  }

  /** Ends the call after an unexpected error, which may have kept the result of an attempt from being recorded. */
  #endAfterError(): void {
    if (this.#hasEnded) return;
    const rejection: Rejection = this.#attemptedEndpoints.size > 0
      ? { reason: "internal", notRun: "unknown" }
      : { reason: "internal", notRun: true, retryAfterMs: RETRY_AFTER_ELSEWHERE_MS };
    try {
      if (this.#hasResponseBegun) this.#responder.abort();
      else rejectOrAbort(this.#responder, rejection);
    } finally {
      try {
        this.#abortAttempts();
      } finally {
        if (this.#hasResponseBegun) this.#finish("cut", null, "internal");
        else this.#finish("rejected", null, "internal", rejection);
      }
    }
  }

  /** Whether an endpoint whose attempt has ended may have run the call. */
  get #mayHaveRun(): boolean {
    return this.#runsPossible > 0;
  }

  /** Whether an endpoint may have run the call, or run it now, by the attempts that have ended or are in progress. */
  get #mayHaveRunElsewhere(): boolean {
    return this.#mayHaveRun || [...this.#attempts].some((a) => a.hasBeenSent);
  }

  /** The failure that is delivered without a further attempt; `null` if it would deny that another endpoint ran the call. */
  #truthfulFailure(): EndpointFailure | null {
    const isOnlyRun = this.#runsPossible === 1 && ![...this.#attempts].some((a) => a.hasBeenSent);
    const isTrue = this.#failure === null || isOnlyRun || !deniesRun(this.#failure.head.status);
    return isTrue ? this.#failure : null;
  }

  get #isIdempotent(): boolean {
    return this.#req.route.kind === "idempotent";
  }

  /** Sends the call to one more endpoint, or ends it where no further attempt is possible. */
  #sendNext(reason: string): void {
    const now = this.#ctx.clock.now();
    if (this.#reached >= this.#req.route.maxEndpoints) return this.#finishWithoutRetry();
    this.#withdrawal = this.#ctx.access.refusalToSend(this.#req);
    if (this.#withdrawal !== null) return this.#finishWithoutRetry();
    const admission = this.#ctx.crashes.admission(this.#req);
    if (admission.type !== "send") {
      const isRefused = admission.type === "refused";
      this.#quarantinedForMs = isRefused ? admission.retryAfterMs : RETRY_AFTER_TRIAL_MS;
      return this.#finishWithoutRetry();
    }
    const row = this.#chooseEndpoint(now);
    if (row === null) {
      if (this.#limitedEndpoints.length > 0) return this.#waitForPermit(reason, now);
      return this.#finishWithoutRetry();
    }
    if (this.#arrivals > 0) {
      const { requestId } = this.#req;
      const repeat = { requestId, service: row.record.service, reason };
      if (!this.#ctx.repeats.take(repeat)) return this.#finishWithoutRetry();
    }
    this.#send(row, reason, now);
  }

  /** Waits for a permit of a limited endpoint, or ends the call where none can come soon enough. */
  #waitForPermit(reason: string, now: number): void {
    const { clock, limits } = this.#ctx;
    const { route, arrivedAtMs, account } = this.#req;
    const waitMs = PERMIT_WAIT_FRACTION * route.targetLatencyMs;
    const endsAtMs = this.#permitWaitEndsAtMs ??= Math.max(now, arrivedAtMs + waitMs);
    this.#stopPermitWait();
    if (now + limits.expectedWaitMs(this.#limitedEndpoints) >= endsAtMs) {
      return this.#finishWithoutRetry();
    }
    const waited = new Set(this.#limitedEndpoints);
    const retry = () => {
      this.#stopPermitWait();
      if (!this.#hasEnded) this.#sendNext(reason);
    };
    const undos = [
      limits.registerListener(account?.priority ?? route.priority, (endpoint) => {
        if (waited.has(endpoint)) this.#contain(retry);
      }),
      clock.setTimer(endsAtMs - now, () => this.#contain(retry)),
    ];
    this.#stopPermitWait = () => {
      for (const undo of undos) undo();
    };
  }

  #chooseEndpoint(now: number): EndpointRow | null {
    const { fleet, upstreams, rng, dataCentre } = this.#ctx;
    const { route } = this.#req;
    const service = chooseService(fleet, route, rng);
    if (service === null) return null;
    const unattempted = fleet.usable(service, route.regions)
      .filter((row) => !this.#attemptedEndpoints.has(row.record.id));
    const rows = this.#ctx.moves.allowedEndpoints(service, unattempted, this.#req.requestId);
    this.#ejection.update(fleet.ofService(service).map((row) => upstreams.of(row)), now);
    const healthy = rows.filter((row) => upstreams.of(row).isHealthy(now));
    const preferred = healthy.length > 0 ? healthy : rows;
    const available = preferred.filter((row) => isWithinColdLimit(this.#ctx, row, now));
    let permitted = this.#withPermit(available, now);
    if (permitted.length === 0 && this.#limitedEndpoints.length > 0) {
      // An endpoint that failed recently is better than none.
      permitted = rows.filter((row) =>
        !preferred.includes(row) && isWithinColdLimit(this.#ctx, row, now) &&
        this.#ctx.limits.mayTake(row.record.id)
      );
    }
    // Of each endpoint, one gateway sees few calls; all of them together tell a slow one from a slow moment.
    const speeds = this.#ctx.speeds.ofService(service);
    const candidates = permitted.map((row) => {
      const endpoint = upstreams.of(row);
      return {
        row,
        inFlight: endpoint.inFlight,
        slots: row.record.slots,
        latencyMs: speeds?.expectedCallMs(row.record.id, now) ?? endpoint.latencyMs,
        isLocal: row.record.dataCentre === dataCentre,
        isConnected: endpoint.pool.hasIdle,
      };
    });
    const options = { gatewayCount: this.#ctx.gatewayCount(), rng };
    return chooseCallEndpoint(candidates, options)?.row ?? null;
  }

  /** The endpoints to which a request may be sent now. Permits are asked for the others. */
  #withPermit(rows: readonly EndpointRow[], now: number): readonly EndpointRow[] {
    const { limits } = this.#ctx;
    const limited = rows.filter((row) => !limits.mayTake(row.record.id));
    if (limited.length === 0) {
      this.#limitedEndpoints = [];
      return rows;
    }
    const { route, account, arrivedAtMs } = this.#req;
    const endsAtMs = this.#permitWaitEndsAtMs ??
      arrivedAtMs + PERMIT_WAIT_FRACTION * route.targetLatencyMs;
    const need = {
      rank: account?.priority ?? route.priority,
      waitMs: limited.length < rows.length ? 0 : endsAtMs - now,
    };
    for (const { record } of limited) limits.request(record.id, need);
    this.#limitedEndpoints = limited.map(({ record }) => record.id);
    return rows.filter((row) => limits.mayTake(row.record.id));
  }

  #recordVersionOutcome(attempt: Attempt, isFailure: boolean): void {
    const { record } = attempt.endpoint;
    this.#ctx.moves.record({
      service: record.service,
      version: record.version,
      route: this.#req.route.id,
      isFailure,
      isSlow: attempt.elapsedMs > this.#req.route.targetLatencyMs,
    });
  }

  /** Records an attempt that another one has overtaken, if it is late enough to count against its version. */
  #recordOvertaken(attempt: Attempt): void {
    const isSlow = attempt.elapsedMs > this.#req.route.targetLatencyMs;
    if (isSlow) this.#recordVersionOutcome(attempt, false);
  }

  #send(row: EndpointRow, reason: string, now: number): void {
    const { upstreams, dialect, log, metrics } = this.#ctx;
    const endpoint = upstreams.of(row);
    const remainingMs = this.#req.dueAtMs - now;
    const request = dialect.encode(this.#req, {
      endpoint: row.record,
      remainingMs,
      enginePriority: null,
      resumeFrom: null,
    });
    this.#attemptedEndpoints.add(row.record.id);
    this.#ctx.limits.take(row.record.id);
    this.#reached++;
    this.#arrivals++;
    if (row.coldUntilMs > now) this.#ctx.coldLimiter.recordSent(row.record.id, now);
    log.request("call_sent", {
      req: this.#req.requestId,
      endpoint: row.record.id,
      why: reason,
      attempt: this.#reached,
      inFlight: endpoint.inFlight,
      latencyMs: Math.round(endpoint.latencyMs),
      remainingMs: Math.round(remainingMs),
      era: row.era,
      revision: row.revision,
    });
    const attempt = new Attempt(this.#ctx, this.#req, endpoint, {
      contain: (work) => this.#contain(work),
      onVerdict: (a, verdict) => this.#onVerdict(a, verdict),
      onBufferFull: (a) => this.#commit(a),
      onComplete: (a) => this.#onComplete(a),
      onFailed: (a, failure) => this.#onFailed(a, failure),
    });
    this.#attempts.add(attempt);
    this.#ctx.crashes.recordSent(this.#req);
    metrics.countAttempt("sent");
    this.#armSlowTimer(endpoint, remainingMs);
    attempt.start({
      ...request,
      mayStillSend: () =>
        this.#ctx.access.refusalToSend(this.#req) === null &&
        this.#ctx.fleet.endpoints.get(row.record.id)?.phase !== "leaving",
    });
  }

  /**
   * Starts the timer after which the response is overdue: the endpoint then gets no new calls for a moment, and an
   * idempotent call also goes to a second endpoint. The first response is delivered.
   */
  #armSlowTimer(endpoint: UpstreamEndpoint, remainingMs: number): void {
    this.#stopSlowTimer();
    const slowAfterMs = Math.max(SLOW_MIN_MS, SLOW_FACTOR * endpoint.latencyMs);
    const ms = Math.min(slowAfterMs, SLOW_FRACTION_OF_TIME_LEFT * remainingMs);
    this.#stopSlowTimer = this.#ctx.setPolledTimer(ms, () =>
      this.#contain(() => {
        if (this.#committed !== null || this.#hasEnded) return;
        endpoint.recordOverdue(this.#ctx.clock.now());
        if (this.#isIdempotent && this.#canRetry()) this.#sendNext("slow");
      }));
  }

  #canRetry(): boolean {
    const now = this.#ctx.clock.now();
    if (this.#reached >= this.#req.route.maxEndpoints) return false;
    const row = this.#chooseEndpoint(now);
    return row !== null && this.#ctx.repeats.isAllowed(row.record.service);
  }

  #onVerdict(attempt: Attempt, verdict: HeadVerdict): void {
    if (verdict !== "not_run" && verdict !== "misdirected") this.#recordBegan();
    if (verdict === "success" || verdict === "failure") return;
    attempt.abort();
    this.#attempts.delete(attempt);
    switch (verdict) {
      case "not_run":
        // The route limits the endpoints that run a request, and this one did not.
        this.#reached--;
        this.#wasRefused = true;
        attempt.endpoint.recordRefusal(this.#ctx.clock.now());
        this.#ctx.metrics.countAttempt("not_run");
        return this.#retry("endpoint_full");
      case "misdirected":
        // Another endpoint has the address, so the chosen one is gone.
        this.#reached--;
        this.#ctx.fleet.markLeaving(attempt.endpoint.id, ANOTHER_AT_ADDRESS);
        this.#ctx.metrics.countAttempt("misdirected");
        return this.#retry("misdirected");
      case "foreign":
      case "spoiled":
        this.#recordVersionOutcome(attempt, true);
        this.#runsPossible++;
        attempt.endpoint.recordFailure();
        this.#ctx.metrics.countAttempt(verdict);
        return this.#retry(verdict);
    }
  }

  #onComplete(attempt: Attempt): void {
    if (this.#hasEnded) return;
    this.#attempts.delete(attempt);
    const { head, body } = attempt.response();
    this.#recordVersionOutcome(attempt, head.status >= 500);
    if (attempt === this.#committed) {
      this.#responder.end();
      return this.#finish("answered", attempt);
    }
    const isFalseDenial = deniesRun(head.status) && this.#mayHaveRunElsewhere;
    if (this.#isIdempotent && (head.status >= 500 || isFalseDenial)) {
      if (!isFalseDenial) this.#failure = { head, body };
      this.#runsPossible++;
      attempt.endpoint.recordFailure();
      this.#ctx.metrics.countAttempt("failure");
      return this.#retry("endpoint_failure");
    }
    this.#deliver(head, body, attempt);
  }

  #onFailed(attempt: Attempt, failure: UpstreamFailure): void {
    this.#attempts.delete(attempt);
    if (this.#hasEnded) return;
    this.#ctx.metrics.countAttempt(failure.type);
    if (attempt === this.#committed) {
      this.#recordVersionOutcome(attempt, true);
      this.#responder.abort();
      return this.#finish("cut", attempt, failure.message);
    }
    if (!failure.sent) {
      // Nothing was sent, so the endpoint does not count as reached.
      this.#reached--;
      this.#arrivals--;
      if (failure.type === "unsendable") {
        return this.#reject({ reason: "invalid_request", notRun: true });
      }
      if (failure.type !== "withdrawn") {
        attempt.endpoint.recordUnreachable(this.#ctx.clock.now());
      }
      return this.#retry("unreachable");
    }
    this.#runsPossible++;
    this.#recordBegan();
    attempt.endpoint.recordFailure();
    this.#recordVersionOutcome(attempt, true);
    const { record } = attempt.endpoint;
    if (failure.type === "connection_lost" && !isEndPlanned(this.#ctx, record)) {
      this.#ctx.crashes.recordCrash(this.#req, record, { hasBegun: attempt.hasHead });
    }
    this.#retry("lost");
  }

  /** Retries the call after an attempt without a response to deliver, or ends it. */
  #retry(reason: RefusalReason | string): void {
    if (this.#hasEnded || this.#attempts.size > 0) return;
    this.#ctx.log.request("call_failed", {
      req: this.#req.requestId,
      why: reason,
      reached: this.#reached,
      mayHaveRun: this.#mayHaveRun,
    });
    if (this.#mayHaveRun && !this.#isIdempotent) return this.#finishWithoutRetry();
    this.#sendNext(reason);
  }

  /** Ends the call without a further attempt. */
  #finishWithoutRetry(): void {
    if (this.#hasEnded || this.#attempts.size > 0) return;
    const failure = this.#truthfulFailure();
    if (failure !== null) return this.#deliver(failure.head, failure.body, null);
    if (this.#mayHaveRun) return this.#reject({ reason: "upstream_failed", notRun: "unknown" });
    if (this.#withdrawal !== null) return this.#reject(this.#withdrawal);
    if (this.#quarantinedForMs !== null) {
      const retryAfterMs = this.#quarantinedForMs;
      return this.#reject({ reason: "quarantined", notRun: true, retryAfterMs });
    }
    if (this.#limitedEndpoints.length > 0) {
      const waitMs = this.#ctx.limits.expectedWaitMs(this.#limitedEndpoints);
      const retryAfterMs = Math.max(RETRY_AFTER_FULL_MS, waitMs);
      return this.#reject({ reason: "overloaded", notRun: true, retryAfterMs });
    }
    const pausedForMs = this.#pausedForMs();
    if (pausedForMs !== null) {
      return this.#reject({ reason: "overloaded", notRun: true, retryAfterMs: pausedForMs });
    }
    const retryAfterMs = this.#wasRefused ? RETRY_AFTER_FULL_MS : RETRY_AFTER_NO_ENDPOINT_MS;
    const reason = this.#wasRefused ? "overloaded" : "no_endpoint";
    this.#reject({ reason, notRun: true, retryAfterMs });
  }

  /** Time until an endpoint accepts requests again, in milliseconds; `null` unless all have requested a pause. */
  #pausedForMs(): number | null {
    const { fleet } = this.#ctx;
    const { targets, regions } = this.#req.route;
    const times = targets.map(({ service }) => fleet.pausedForMs(service, regions));
    const known = times.filter((ms) => ms !== null);
    return known.length > 0 ? Math.min(...known) : null;
  }

  #deliver(head: ResponseHead, body: Buffer, attempt: Attempt | null): void {
    if (attempt !== null) this.#ctx.crashes.recordHarmless(this.#req, attempt.startedAtMs);
    for (const other of this.#attempts) this.#recordOvertaken(other);
    this.#abortAttempts();
    this.#hasResponseBegun = true;
    this.#responder.writeHead(head.status, head.headers, body.length);
    if (body.length > 0) this.#responder.write(body);
    this.#responder.end();
    this.#finish(head.status < 500 ? "answered" : "endpoint_failure", attempt);
  }

  #reject(rejection: Rejection): void {
    this.#responder.reject(rejection);
    this.#finish("rejected", null, rejection.reason, rejection);
  }

  #onDeadline(): void {
    if (this.#hasEnded) return;
    for (const attempt of this.#attempts) this.#recordVersionOutcome(attempt, true);
    this.#endWithoutResponse("deadline_exceeded");
  }

  /** How far the call has come. */
  get stage(): RequestStage {
    if (this.#committed !== null) return "streaming";
    return this.#attempts.size > 0 || this.#mayHaveRun ? "sent" : "waiting";
  }

  /** Ends the call as the process ends. */
  giveUp(): void {
    this.#contain(() => {
      if (!this.#hasEnded) this.#endWithoutResponse("draining");
    });
  }

  /** Ends the call before an attempt has completed, with what is known so far. */
  #endWithoutResponse(reason: RefusalReason): void {
    const wasSent = this.#mayHaveRunElsewhere;
    const failure = this.#truthfulFailure();
    this.#abortAttempts();
    if (this.#committed !== null) {
      this.#responder.abort();
      return this.#finish("cut", null, reason);
    }
    if (failure !== null) return this.#deliver(failure.head, failure.body, null);
    this.#reject({ reason, notRun: wasSent ? "unknown" : true });
  }

  #onCallerLeft(): void {
    if (this.#hasEnded) return;
    for (const attempt of this.#attempts) this.#recordVersionOutcome(attempt, false);
    this.#abortAttempts();
    this.#finish("caller_left", null);
  }

  /** Counts the call as one that an endpoint has begun to run, also if it failed or its response never came. */
  #recordBegan(): void {
    this.#ctx.recordBegan(this.#req.account?.id ?? null, this.#req.requestId);
  }

  #abortAttempts(): void {
    if (this.#attempts.size > 0) this.#recordBegan();
    for (const attempt of this.#attempts) attempt.abort();
    this.#attempts.clear();
  }

  /** Starts to stream a response that is too long to be buffered; the call can then no longer be retried. */
  #commit(attempt: Attempt): boolean {
    this.#stopSlowTimer();
    this.#committed = attempt;
    for (const other of this.#attempts) {
      if (other === attempt) continue;
      this.#recordOvertaken(other);
      other.abort();
      this.#attempts.delete(other);
    }
    const { head, body } = attempt.response();
    this.#hasResponseBegun = true;
    this.#responder.writeHead(head.status, head.headers, head.contentLength);
    this.#undos.push(
      this.#responder.registerDrain(() => this.#contain(() => attempt.resume())),
    );
    attempt.forwardTo((chunk) => this.#responder.write(chunk));
    return this.#responder.write(body);
  }

  #finish(
    outcome: RequestOutcome,
    attempt: Attempt | null,
    detail?: string,
    rejection?: Rejection,
  ): void {
    this.#hasEnded = true;
    runAll([
      this.#onEnd,
      this.#stopSlowTimer,
      this.#stopPermitWait,
      () => this.#ctx.crashes.recordEnded(this.#req),
      ...this.#undos,
      () => this.#recordEnd(outcome, attempt, detail, rejection),
    ]);
  }

  #recordEnd(
    outcome: RequestOutcome,
    attempt: Attempt | null,
    detail: string | undefined,
    rejection: Rejection | undefined,
  ): void {
    const { clock, log, metrics } = this.#ctx;
    const ms = clock.now() - this.#req.arrivedAtMs;
    metrics.countRequest(this.#req.route.id, outcome, ms);
    if (rejection !== undefined) metrics.countRejection(rejection.reason);
    log.request("request_over", {
      req: this.#req.requestId,
      route: this.#req.route.id,
      account: this.#req.account?.id,
      outcome,
      endpoint: attempt?.endpoint.id,
      attempts: this.#reached,
      sends: this.#attemptedEndpoints.size,
      ms: Math.round(ms),
      detail,
      notRun: rejection?.notRun,
      retryAfterMs: rejection?.retryAfterMs,
      configAgeMs: rejection?.configAgeMs,
    });
  }
}

interface AttemptEvents {
  /** Runs what a callback of the attempt does, so that an error ends the call. */
  contain(work: () => void): void;
  onVerdict(attempt: Attempt, verdict: HeadVerdict): void;
  /** The body exceeds the buffer. Returns whether more of it is to be read now. */
  onBufferFull(attempt: Attempt): boolean;
  onComplete(attempt: Attempt): void;
  onFailed(attempt: Attempt, failure: UpstreamFailure): void;
}

/** One attempt of the call, at one endpoint. */
class Attempt {
  readonly endpoint: UpstreamEndpoint;
  readonly #ctx: RelayContext;
  readonly #req: InboundRequest;
  readonly #events: AttemptEvents;
  #body = new ByteBuffer();
  /** Bytes of the body that the budget counts for this attempt. */
  #heldBytes = 0;
  #head: ResponseHead | null = null;
  #call: UpstreamCall | null = null;
  #forward: ((chunk: Buffer) => boolean) | null = null;
  #startedAtMs = 0;
  #inFlightAtStart = 0;
  #hasEnded = false;

  constructor(
    ctx: RelayContext,
    req: InboundRequest,
    endpoint: UpstreamEndpoint,
    events: AttemptEvents,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.endpoint = endpoint;
    this.#events = events;
  }

  start(request: Parameters<UpstreamEndpoint["pool"]["send"]>[0]): void {
    this.#startedAtMs = this.#ctx.clock.now();
    this.#inFlightAtStart = ++this.endpoint.inFlight;
    this.#call = this.endpoint.pool.send(request, {
      onHead: (status, headers) => this.#events.contain(() => this.#onHead(status, headers)),
      onData: (chunk) => {
        let wantsMore = false;
        this.#events.contain(() => wantsMore = this.#onData(chunk));
        return wantsMore;
      },
      onEnd: () => this.#events.contain(() => this.#onEnd()),
      onFailure: (failure) => this.#events.contain(() => this.#onFailure(failure)),
    });
  }

  /** Whether the head of the response has arrived. */
  get hasHead(): boolean {
    return this.#head !== null;
  }

  /** Whether bytes of the request may have left this process; false while its connection is being opened. */
  get hasBeenSent(): boolean {
    return this.#call?.hasBeenSent ?? false;
  }

  get startedAtMs(): number {
    return this.#startedAtMs;
  }

  get elapsedMs(): number {
    return this.#ctx.clock.now() - this.startedAtMs;
  }

  /** The head and the body buffered so far. */
  response(): { head: ResponseHead; body: Buffer } {
    return { head: this.#head!, body: this.#body.bytes() };
  }

  /** Passes the rest of the body to `fn` instead of buffering it. */
  forwardTo(fn: (chunk: Buffer) => boolean): void {
    this.#body = new ByteBuffer();
    this.#forward = fn;
    this.#releaseHeld();
  }

  resume(): void {
    this.#call?.resume();
  }

  /** Aborts the attempt; one without a response for long counts as a failure of the endpoint. */
  abort(): void {
    if (this.#hasEnded) return;
    const isOverdue = this.#head === null &&
      this.#ctx.clock.now() - this.startedAtMs >= SLOW_MIN_MS;
    if (isOverdue) this.endpoint.recordFailure();
    this.#end();
    this.#call?.abort();
  }

  #onHead(status: number, headers: readonly string[]): void {
    if (this.#hasEnded) return;
    this.#head = this.#ctx.dialect.readHead(status, headers);
    const verdict = classifyResponseHead(this.#head, this.#req.requestId);
    const judged = { head: this.#head, verdict, sentAtMs: this.startedAtMs };
    recordNotices(this.#ctx, this.endpoint, judged);
    this.#events.onVerdict(this, verdict);
  }

  #onData(chunk: Buffer): boolean {
    if (this.#hasEnded) return false;
    const { budget } = this.#ctx;
    this.#ctx.recordArrived(chunk.length);
    if (this.#forward !== null) return this.#forward(chunk);
    this.#body.append(chunk);
    this.#heldBytes += chunk.length;
    budget.takeResponse(chunk.length);
    // A longer response is streamed to the caller.
    if (this.#body.length <= budget.responseBufferBytes) return true;
    return this.#events.onBufferFull(this);
  }

  #onEnd(): void {
    if (this.#hasEnded) return;
    this.#end();
    const ms = this.elapsedMs;
    this.endpoint.recordResponse(ms);
    this.#recordSpeed(ms);
    this.#events.onComplete(this);
  }

  #onFailure(failure: UpstreamFailure): void {
    if (this.#hasEnded) return;
    this.#end();
    this.#events.onFailed(this, failure);
  }

  /**
   * Records the response time, unless the caller or this process may have delayed it. A failure or a refusal may come at
   * once, and says nothing of the endpoint's speed.
   */
  #recordSpeed(ms: number): void {
    const { speeds, clock } = this.#ctx;
    const isRefusal = (this.#head?.status ?? MIN_REFUSAL_STATUS) >= MIN_REFUSAL_STATUS;
    if (isRefusal || this.#forward !== null || isDisturbed(this.#ctx, ms)) return;
    const { id, record } = this.endpoint;
    const sample = { ms, inFlight: this.#inFlightAtStart, slots: record.slots };
    speeds.ofEndpoint(id)?.recordCall(id, sample, clock.now());
  }

  #end(): void {
    this.#hasEnded = true;
    this.endpoint.inFlight--;
    this.#releaseHeld();
  }

  #releaseHeld(): void {
    this.#ctx.budget.releaseResponse(this.#heldBytes);
    this.#heldBytes = 0;
  }
}
