/**
 * The relay: finds the route and the account of a request, and either rejects it or passes it to the code that handles
 * its kind.
 *
 * @module
 */
import { type Arrival, canTakeWhileStopping, dueAtMs, OutlierEjection } from "@wisteriapick/policy";
import type { CallerLimits, RouteConfig } from "../config/types.ts";
import { RETRY_AFTER_ELSEWHERE_MS } from "./access_control.ts";
import type { RelayContext } from "./context.ts";
import type { EngineDispatcher } from "./engine_dispatcher.ts";
import type { InboundHead, InboundRequest, Rejection, RequestStage, Responder } from "./inbound.ts";
import { PlainCall } from "./plain_call.ts";
import type { StreamRun } from "./stream_run.ts";

/** How far the stop of a process has come. */
export interface StopProgress {
  /** Time since the order to stop, in milliseconds. */
  readonly sinceMs: number;
  /** Time until requests in progress are ended, in milliseconds. */
  readonly remainingMs: number;
  /** Time that this process needs for one request or response on each open connection, in milliseconds. */
  readonly turnMs: number;
}

/** Options of {@link Relay}. */
export interface RelayOptions {
  readonly ctx: RelayContext;
  readonly dispatcher: EngineDispatcher;
  /** How far the stop of this process has come; `null` while it is not stopping. */
  readonly stop: () => StopProgress | null;
  /** Whether there is another gateway that is not stopping, to which a rejected caller can go. */
  readonly hasServingPeer: () => boolean;
  /** Whether this host is overloaded and others have the capacity to take its new streams. */
  readonly shouldShedStreams: () => boolean;
}

/** Limits until a configuration is known. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Rejection of a request in whose handling an unexpected error was raised before it was sent. */
const INTERNAL_ERROR: Rejection = {
  reason: "internal",
  notRun: true,
  retryAfterMs: RETRY_AFTER_ELSEWHERE_MS,
};
/** Time that a call takes, in milliseconds: several times what almost all take. */
const USUAL_CALL_MS = 600;
/** Time until a generation's first event, in milliseconds. */
const USUAL_FIRST_EVENT_MS = 1_500;
/** Time for each output token that a generation may have, in milliseconds; most generations take half of it. */
const OUTPUT_TOKEN_MS = 5;
/** Output time within which about half of the long generations end, in milliseconds. */
const MEDIAN_LONG_OUTPUT_MS = 4_500;
/** Admits or rejects callers' requests, and dispatches those that it admits. */
export class Relay {
  readonly #options: RelayOptions;
  readonly #ejection = new OutlierEjection();
  readonly #calls = new Set<PlainCall>();

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /** Whether routes and endpoints are known. */
  isReady(): boolean {
    return this.#options.ctx.fleet.isKnown;
  }

  /** Whether requests with a key are rejected here, as the configuration is too old. */
  shouldLeave(): boolean {
    return this.#options.ctx.keys.state !== "held";
  }

  limits(): CallerLimits {
    return this.#options.ctx.fleet.routes?.config.limits ?? DEFAULT_LIMITS;
  }

  /** Checks a request's head before its body is read. Returns false after rejecting the request. */
  accept(head: InboundHead, responder: Responder): boolean {
    const access = this.#options.ctx.access.check(head);
    if (access.type === "allowed") return true;
    this.#reject(head, access.rejection, responder);
    return false;
  }

  /** Handles a request whose body has been read. */
  handle(head: InboundHead, body: Buffer | null, arrival: Arrival, responder: Responder): void {
    // From where it is sent on, a request contains its errors itself.
    this.#options.ctx.errors.run(
      "request",
      () => this.#handle(head, body, arrival, responder),
      () => this.#rejectAfterError(head, responder),
    );
  }

  /** Rejects a request after an unexpected error. What raised it may raise it again. */
  #rejectAfterError(head: InboundHead, responder: Responder): void {
    try {
      this.#reject(head, INTERNAL_ERROR, responder);
    } catch (e) {
      responder.abort();
      throw e;
    }
  }

  #handle(head: InboundHead, body: Buffer | null, arrival: Arrival, responder: Responder): void {
    // The configuration may have changed while the body was read.
    const access = this.#options.ctx.access.check(head);
    if (access.type === "rejected") return this.#reject(head, access.rejection, responder);
    const { ctx, dispatcher } = this.#options;
    const { route, account } = access;
    const timeoutMs = Math.min(route.timeoutMs, head.deadlineMs ?? Infinity);
    const dueMs = dueAtMs(arrival, { timeoutMs, nowMs: ctx.clock.now() });
    const req: InboundRequest = {
      ...head,
      route,
      account,
      body,
      arrivedAtMs: dueMs - timeoutMs,
      dueAtMs: dueMs,
    };
    ctx.repeats.recordRequest(route);
    // A request whose body took all of its time has none left, and an endpoint would work for nobody.
    if (req.dueAtMs <= ctx.clock.now()) {
      const rejection = {
        reason: "deadline_exceeded",
        notRun: true,
        retryAfterMs: RETRY_AFTER_ELSEWHERE_MS,
      } as const;
      return this.#reject(head, rejection, responder);
    }
    const admission = ctx.crashes.admission(req);
    if (admission.type === "refused") {
      const rejection = {
        reason: "quarantined",
        notRun: true,
        retryAfterMs: admission.retryAfterMs,
        trait: admission.trait,
      } as const;
      return this.#reject(head, rejection, responder);
    }
    if (!this.#canFinish(req)) {
      const rejection = {
        reason: "draining",
        notRun: true,
        retryAfterMs: RETRY_AFTER_ELSEWHERE_MS,
      } as const;
      return this.#reject(head, rejection, responder);
    }
    if (route.kind === "streaming" && this.#isGeneration(route)) {
      if (this.#options.shouldShedStreams()) {
        const rejection = {
          reason: "host_overloaded",
          notRun: true,
          retryAfterMs: RETRY_AFTER_ELSEWHERE_MS,
        } as const;
        return this.#reject(head, rejection, responder);
      }
      return dispatcher.submit(req, responder);
    }
    const call: PlainCall = new PlainCall(ctx, req, responder, {
      ejection: this.#ejection,
      onEnd: () => this.#calls.delete(call),
    });
    this.#calls.add(call);
    call.start();
  }

  /**
   * Responds to all requests whose response has not begun, as the process ends. The response says that a request did
   * not run only if it was not sent, so what waits is ended first: the end of a run sends the next one to its engine.
   * Returns how many had been sent and how many had not.
   */
  endUnbegun(): { readonly waiting: number; readonly sent: number } {
    const waiting = this.#end("waiting");
    return { waiting, sent: this.#end("sent") };
  }

  /** Ends all requests in progress. Returns how many there were. */
  endAll(): number {
    const requests = this.#inProgress();
    for (const request of requests) request.giveUp();
    return requests.length;
  }

  /**
   * Rejects generations that no engine has taken yet and that are no longer likely to end before this process does, as
   * long as their callers can go to another gateway.
   */
  releaseLate(): void {
    const stop = this.#options.stop();
    if (stop === null || !this.#options.hasServingPeer()) return;
    for (const run of [...this.#options.dispatcher.runs]) {
      if (run.stage !== "waiting") continue;
      if (this.#usualMs(run.req) + stop.turnMs <= stop.remainingMs) continue;
      run.fail({ reason: "draining", notRun: true, retryAfterMs: RETRY_AFTER_ELSEWHERE_MS });
    }
  }

  /** Ends the requests of a stage. Returns how many there were. */
  #end(stage: RequestStage): number {
    const requests = this.#inProgress().filter((request) => request.stage === stage);
    for (const request of requests) request.giveUp();
    return requests.length;
  }

  #inProgress(): (PlainCall | StreamRun)[] {
    return [...this.#calls, ...this.#options.dispatcher.runs];
  }

  /** Whether a request can be taken although this process may be stopping. */
  #canFinish(req: InboundRequest): boolean {
    const stop = this.#options.stop();
    if (stop === null) return true;
    return canTakeWhileStopping({
      sinceStopMs: stop.sinceMs,
      remainingMs: stop.remainingMs,
      usualMs: this.#usualMs(req),
      longestMs: req.dueAtMs - this.#options.ctx.clock.now(),
      turnMs: stop.turnMs,
    });
  }

  /** Time that a request like this one usually takes, in milliseconds. */
  #usualMs({ generation }: InboundRequest): number {
    if (generation === null) return USUAL_CALL_MS;
    const outputMs = OUTPUT_TOKEN_MS * generation.maxOutputTokens;
    // While every gateway is stopping, an even chance to finish here is better than none elsewhere.
    const maxOutputMs = this.#options.hasServingPeer() ? Infinity : MEDIAN_LONG_OUTPUT_MS;
    return USUAL_FIRST_EVENT_MS + Math.min(outputMs, maxOutputMs);
  }

  #isGeneration(route: RouteConfig): boolean {
    const { fleet } = this.#options.ctx;
    return route.targets.some((t) => fleet.routes?.service(t.service)?.engine !== null);
  }

  #reject(head: InboundHead, rejection: Rejection, responder: Responder): void {
    const { ctx } = this.#options;
    ctx.metrics.countRejection(rejection.reason);
    ctx.log.request("request_rejected", {
      req: head.requestId,
      host: head.hostname,
      target: head.target.slice(0, 80),
      reason: rejection.reason,
      configVersion: ctx.fleet.routes?.config.version,
      retryAfterMs: rejection.retryAfterMs,
      configAgeMs: roundedOrUndefined(rejection.configAgeMs),
      trait: rejection.trait,
    });
    responder.reject(rejection);
  }
}

function roundedOrUndefined(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
