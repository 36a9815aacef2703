/**
 * Relays one call to a plain service: whole answers, tried again elsewhere where that is allowed.
 *
 * @module
 */
import type { EndpointId, RefusalReason, Undo } from "@wisteriapick/core";
import { chooseCallEndpoint, OutlierEjection } from "@wisteriapick/policy";
import type { EndpointRow } from "../state/fleet.ts";
import type { UpstreamCall, UpstreamFailure } from "../upstream/connection.ts";
import type { ResponseHead } from "../upstream/dialect.ts";
import type { UpstreamEndpoint } from "../upstream/endpoint.ts";
import { classifyResponseHead, type HeadVerdict } from "./response_check.ts";
import type { RelayContext } from "./context.ts";
import type { InboundRequest, Rejection, Responder } from "./inbound.ts";
import { chooseService } from "./service_choice.ts";

/** Body bytes held back until an answer is whole; a longer answer is passed on as it comes. */
const MAX_HELD_BYTES = 262_144;
/** An answer that takes this many times as long as usual makes an idempotent call go to a second endpoint as well. */
const SLOW_FACTOR = 5;
/** Earliest time at which a call counts as slow, in milliseconds. */
const SLOW_MIN_MS = 120;
/** Part of the time left after which an unanswered call counts as slow at the latest. */
const SLOW_PART_OF_TIME_LEFT = 0.35;
/** When a caller should come back after every endpoint was full, in milliseconds: a few times the work of a call. */
const RETRY_FULL_MS = 150;
/** When a caller should come back where no endpoint can be used, in milliseconds. */
const RETRY_NO_ENDPOINT_MS = 400;

/** A signed failure of an endpoint, kept in case no other endpoint does better. */
interface EndpointFailure {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** One call under way. */
export class PlainCall {
  readonly #ctx: RelayContext;
  readonly #req: InboundRequest;
  readonly #responder: Responder;
  readonly #ejection: OutlierEjection;
  readonly #attempts = new Set<Attempt>();
  readonly #tried = new Set<EndpointId>();
  readonly #undos: Undo[] = [];
  #stopSlowTimer: Undo = () => {};
  /** Endpoints that the request has reached, as far as is known. */
  #reached = 0;
  #mayHaveRun = false;
  #wasRefused = false;
  #failure: EndpointFailure | null = null;
  #committed: Attempt | null = null;
  #over = false;

  constructor(
    ctx: RelayContext,
    req: InboundRequest,
    responder: Responder,
    ejection: OutlierEjection,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.#responder = responder;
    this.#ejection = ejection;
  }

  start(): void {
    const { clock } = this.#ctx;
    this.#undos.push(
      this.#responder.registerClose(() => this.#onCallerLeft()),
      clock.setTimer(this.#req.dueAtMs - clock.now(), () => this.#onDue()),
    );
    this.#next("first");
  }

  get #isIdempotent(): boolean {
    return this.#req.route.kind === "idempotent";
  }

  /** Sends the call to one more endpoint, or ends it where there is none. */
  #next(why: string): void {
    const now = this.#ctx.clock.now();
    if (this.#reached >= this.#req.route.maxEndpoints) return this.#giveUp();
    const row = this.#choose(now);
    if (row === null) return this.#giveUp();
    if (this.#reached > 0 && !this.#ctx.budget.take(now, this.#ctx.gatewayCount())) {
      this.#ctx.log.request("repeat_denied", { req: this.#req.requestId, why });
      return this.#giveUp();
    }
    if (this.#reached > 0) this.#ctx.metrics.countRetry(why);
    this.#send(row, why, now);
  }

  #choose(now: number): EndpointRow | null {
    const { fleet, upstreams, rng, dataCentre } = this.#ctx;
    const { route } = this.#req;
    const service = chooseService(fleet, route, rng);
    if (service === null) return null;
    const untried = fleet.usable(service, route.regions)
      .filter((row) => !this.#tried.has(row.record.id));
    const rows = this.#ctx.moves.allowed(service, untried, this.#req.requestId);
    this.#ejection.update(fleet.ofService(service).map((row) => upstreams.of(row)), now);
    const healthy = rows.filter((row) => upstreams.of(row).isHealthy(now));
    const bearing = (healthy.length > 0 ? healthy : rows).filter((row) => this.#bears(row, now));
    const candidates = bearing.map((row) => {
      const endpoint = upstreams.of(row);
      return {
        row,
        inFlight: endpoint.inFlight,
        slots: row.record.slots,
        latencyMs: endpoint.latencyMs,
        isLocal: row.record.dataCentre === dataCentre,
        isConnected: endpoint.pool.hasIdle,
      };
    });
    const options = { gatewayCount: this.#ctx.gatewayCount(), rng };
    return chooseCallEndpoint(candidates, options)?.row ?? null;
  }

  #recordVersion(attempt: Attempt, failed: boolean): void {
    const { record } = attempt.endpoint;
    this.#ctx.moves.record({
      service: record.service,
      version: record.version,
      route: this.#req.route.id,
      failed,
      slow: attempt.elapsedMs > this.#req.route.targetLatencyMs,
    });
  }

  /** Whether a cold endpoint bears one more request. */
  #bears(row: EndpointRow, now: number): boolean {
    if (row.coldUntilMs <= now) return true;
    const perSecond = this.#ctx.fleet.routes?.service(row.record.service)?.coldPerSecond ?? 0;
    if (perSecond === 0) return true;
    return this.#ctx.coldLimiter.allows(row.record.id, perSecond, this.#ctx.gatewayCount(), now);
  }

  #send(row: EndpointRow, why: string, now: number): void {
    const { upstreams, dialect, log, metrics } = this.#ctx;
    const endpoint = upstreams.of(row);
    this.#tried.add(row.record.id);
    this.#reached++;
    if (row.coldUntilMs > now) this.#ctx.coldLimiter.recordSent(row.record.id, now);
    const remainingMs = this.#req.dueAtMs - now;
    const request = dialect.encode(this.#req, {
      endpoint: row.record,
      remainingMs,
      enginePriority: null,
      resumeFrom: null,
    });
    log.request("call_sent", {
      req: this.#req.requestId,
      endpoint: row.record.id,
      why,
      attempt: this.#reached,
      inFlight: endpoint.inFlight,
      latencyMs: Math.round(endpoint.latencyMs),
      remainingMs: Math.round(remainingMs),
      revision: row.revision,
    });
    const attempt = new Attempt(this.#ctx, this.#req, endpoint, {
      onVerdict: (a, verdict) => this.#onVerdict(a, verdict),
      onLong: (a) => this.#commit(a),
      onWhole: (a) => this.#onWhole(a),
      onFailed: (a, failure) => this.#onFailed(a, failure),
    });
    this.#attempts.add(attempt);
    metrics.countAttempt("sent");
    this.#armSlowTimer(endpoint, remainingMs);
    attempt.start(request);
  }

  /**
   * An endpoint whose answer is overdue is passed over for a moment. An idempotent call goes to a second endpoint as
   * well; the first answer counts.
   */
  #armSlowTimer(endpoint: UpstreamEndpoint, remainingMs: number): void {
    this.#stopSlowTimer();
    const usual = Math.max(SLOW_MIN_MS, SLOW_FACTOR * endpoint.latencyMs);
    const ms = Math.min(usual, SLOW_PART_OF_TIME_LEFT * remainingMs);
    this.#stopSlowTimer = this.#ctx.clock.setTimer(ms, () => {
      if (this.#committed !== null || this.#over) return;
      endpoint.recordOverdue(this.#ctx.clock.now());
      if (this.#isIdempotent && this.#canRepeat()) this.#next("slow");
    });
  }

  #canRepeat(): boolean {
    const now = this.#ctx.clock.now();
    return this.#reached < this.#req.route.maxEndpoints && this.#choose(now) !== null &&
      this.#ctx.budget.remaining(now, this.#ctx.gatewayCount()) >= 1;
  }

  #onVerdict(attempt: Attempt, verdict: HeadVerdict): void {
    if (verdict === "success" || verdict === "failure") return;
    attempt.drop();
    this.#attempts.delete(attempt);
    switch (verdict) {
      case "not_run":
        this.#wasRefused = true;
        this.#ctx.metrics.countAttempt("not_run");
        return this.#retry("endpoint_full");
      case "misdirected":
        // Another endpoint has the address, so this service's was not reached.
        this.#reached--;
        this.#ctx.metrics.countAttempt("misdirected");
        return this.#retry("misdirected");
      case "foreign":
      case "spoiled":
        this.#recordVersion(attempt, true);
        this.#mayHaveRun = true;
        attempt.endpoint.recordFailure();
        this.#ctx.metrics.countAttempt(verdict);
        return this.#retry(verdict);
    }
  }

  #onWhole(attempt: Attempt): void {
    if (this.#over) return;
    this.#attempts.delete(attempt);
    if (attempt === this.#committed) {
      this.#responder.end();
      return this.#finish("answered", attempt);
    }
    const { head, body } = attempt.answer();
    this.#recordVersion(attempt, head.status >= 500);
    if (head.status >= 500 && this.#isIdempotent) {
      this.#failure = { head, body };
      this.#mayHaveRun = true;
      attempt.endpoint.recordFailure();
      this.#ctx.metrics.countAttempt("failure");
      return this.#retry("endpoint_failure");
    }
    this.#deliver(head, body, attempt);
  }

  #onFailed(attempt: Attempt, failure: UpstreamFailure): void {
    this.#attempts.delete(attempt);
    if (this.#over) return;
    this.#ctx.metrics.countAttempt(failure.type);
    if (attempt === this.#committed) {
      this.#responder.abort();
      return this.#finish("cut", attempt, failure.message);
    }
    if (!failure.sent) {
      // Nothing left this process, so the endpoint does not count as tried by the request.
      this.#reached--;
      attempt.endpoint.recordUnreachable(this.#ctx.clock.now());
      return this.#retry("unreachable");
    }
    this.#mayHaveRun = true;
    attempt.endpoint.recordFailure();
    this.#recordVersion(attempt, true);
    this.#ctx.crashes.recordCrash(this.#req, attempt.endpoint.record);
    this.#retry("lost");
  }

  /** Goes on after an attempt that brought nothing to deliver. */
  #retry(why: RefusalReason | string): void {
    if (this.#over || this.#attempts.size > 0) return;
    this.#ctx.log.request("call_failed", {
      req: this.#req.requestId,
      why,
      reached: this.#reached,
      mayHaveRun: this.#mayHaveRun,
    });
    if (this.#mayHaveRun && !this.#isIdempotent) return this.#giveUp();
    this.#next(why);
  }

  /** Ends the call where nothing more is tried. */
  #giveUp(): void {
    if (this.#over || this.#attempts.size > 0) return;
    if (this.#failure !== null) return this.#deliver(this.#failure.head, this.#failure.body, null);
    if (this.#mayHaveRun) return this.#reject({ reason: "upstream_failed", notRun: "unknown" });
    const retryAfterMs = this.#wasRefused ? RETRY_FULL_MS : RETRY_NO_ENDPOINT_MS;
    const reason = this.#wasRefused ? "overloaded" : "no_endpoint";
    this.#reject({ reason, notRun: true, retryAfterMs });
  }

  #deliver(head: ResponseHead, body: Buffer, attempt: Attempt | null): void {
    this.#ctx.crashes.recordCompleted(this.#req);
    this.#dropAttempts();
    this.#responder.writeHead(head.status, head.headers, body.length);
    if (body.length > 0) this.#responder.write(body);
    this.#responder.end();
    this.#finish(head.status < 500 ? "answered" : "endpoint_failure", attempt);
  }

  #reject(rejection: Rejection): void {
    this.#responder.reject(rejection);
    this.#finish("rejected", null, rejection.reason, rejection);
  }

  #onDue(): void {
    if (this.#over) return;
    const wasSent = this.#attempts.size > 0 || this.#mayHaveRun;
    if (this.#committed !== null) {
      this.#dropAttempts();
      this.#responder.abort();
      return this.#finish("cut", null, "deadline");
    }
    this.#dropAttempts();
    if (this.#failure !== null) return this.#deliver(this.#failure.head, this.#failure.body, null);
    this.#reject({ reason: "deadline_exceeded", notRun: wasSent ? "unknown" : true });
  }

  #onCallerLeft(): void {
    if (this.#over) return;
    this.#dropAttempts();
    this.#finish("caller_left", null);
  }

  #dropAttempts(): void {
    for (const attempt of this.#attempts) attempt.drop();
    this.#attempts.clear();
  }

  /** Begins to pass on an answer that is too long to be held back; it can no longer be tried elsewhere. */
  #commit(attempt: Attempt): void {
    this.#stopSlowTimer();
    this.#committed = attempt;
    for (const other of this.#attempts) {
      if (other === attempt) continue;
      other.drop();
      this.#attempts.delete(other);
    }
    const { head, body } = attempt.answer();
    this.#responder.writeHead(head.status, head.headers, head.contentLength);
    this.#undos.push(this.#responder.registerDrain(() => attempt.resume()));
    attempt.passOn((chunk) => this.#responder.write(chunk));
    this.#responder.write(body);
  }

  #finish(
    outcome: "answered" | "endpoint_failure" | "rejected" | "cut" | "caller_left",
    attempt: Attempt | null,
    detail?: string,
    rejection?: Rejection,
  ): void {
    this.#over = true;
    this.#stopSlowTimer();
    for (const undo of this.#undos) undo();
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
      ms: Math.round(ms),
      detail,
      notRun: rejection?.notRun,
      retryAfterMs: rejection?.retryAfterMs,
    });
  }
}

interface AttemptEvents {
  onVerdict(attempt: Attempt, verdict: HeadVerdict): void;
  /** The body exceeds what is held back. */
  onLong(attempt: Attempt): void;
  onWhole(attempt: Attempt): void;
  onFailed(attempt: Attempt, failure: UpstreamFailure): void;
}

/** The call at one endpoint. */
class Attempt {
  readonly endpoint: UpstreamEndpoint;
  readonly #ctx: RelayContext;
  readonly #req: InboundRequest;
  readonly #events: AttemptEvents;
  readonly #chunks: Buffer[] = [];
  #heldBytes = 0;
  #head: ResponseHead | null = null;
  #call: UpstreamCall | null = null;
  #passOn: ((chunk: Buffer) => boolean) | null = null;
  #startedAtMs = 0;
  #over = false;

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
    this.endpoint.inFlight++;
    this.#call = this.endpoint.pool.send(request, {
      onHead: (status, headers) => this.#onHead(status, headers),
      onData: (chunk) => this.#onData(chunk),
      onEnd: () => this.#onEnd(),
      onFailure: (failure) => this.#onFailure(failure),
    });
  }

  get elapsedMs(): number {
    return this.#ctx.clock.now() - this.#startedAtMs;
  }

  /** Head and the body held so far. */
  answer(): { head: ResponseHead; body: Buffer } {
    return { head: this.#head!, body: Buffer.concat(this.#chunks) };
  }

  /** Passes the rest of the body on instead of holding it. */
  passOn(fn: (chunk: Buffer) => boolean): void {
    this.#chunks.length = 0;
    this.#passOn = fn;
  }

  resume(): void {
    this.#call?.resume();
  }

  /** Gives the attempt up. */
  drop(): void {
    if (this.#over) return;
    const isUnanswered = this.#head === null &&
      this.#ctx.clock.now() - this.#startedAtMs >= SLOW_MIN_MS;
    if (isUnanswered) this.endpoint.recordFailure();
    this.#leave();
    this.#call?.abort();
  }

  #onHead(status: number, headers: readonly string[]): void {
    if (this.#over) return;
    this.#head = this.#ctx.dialect.readHead(status, headers);
    this.#events.onVerdict(this, classifyResponseHead(this.#head, this.#req.requestId));
  }

  #onData(chunk: Buffer): boolean {
    if (this.#over) return false;
    if (this.#passOn !== null) return this.#passOn(chunk);
    this.#chunks.push(chunk);
    this.#heldBytes += chunk.length;
    if (this.#heldBytes > MAX_HELD_BYTES) this.#events.onLong(this);
    return true;
  }

  #onEnd(): void {
    if (this.#over) return;
    this.#leave();
    this.endpoint.recordResponse(this.#ctx.clock.now() - this.#startedAtMs);
    this.#events.onWhole(this);
  }

  #onFailure(failure: UpstreamFailure): void {
    if (this.#over) return;
    this.#leave();
    this.#events.onFailed(this, failure);
  }

  #leave(): void {
    this.#over = true;
    this.endpoint.inFlight--;
  }
}
