/**
 * The relay: looks up the route and the account of a request and has it answered.
 *
 * @module
 */
import { OutlierEjection } from "@wisteriapick/policy";
import type { AccountConfig, CallerLimits, RouteConfig } from "../config/types.ts";
import type { RelayContext } from "./context.ts";
import type { EngineDispatcher } from "./engine_dispatcher.ts";
import type { InboundHead, InboundRequest, Rejection, Responder } from "./inbound.ts";
import { PlainCall } from "./plain_call.ts";

/** Options of {@link Relay}. */
export interface RelayOptions {
  readonly ctx: RelayContext;
  readonly dispatcher: EngineDispatcher;
  /** Time until this process ends; `null` while it is not stopping. */
  readonly remainingMs: () => number | null;
  /** Whether a caller that is sent away finds another gateway that is not stopping. */
  readonly hasServingPeer: () => boolean;
  /** Whether this host is too slow for new streams while others have time for them. */
  readonly shouldShedStreams: () => boolean;
}

/** Limits before a configuration is known. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** When a caller should come back where no configuration is known yet, in milliseconds. */
const RETRY_NOT_READY_MS = 500;
/** Time that a call is given by a stopping process, in milliseconds: several times what almost all take. */
const CALL_TIME_MS = 600;
/** Time to a generation's first event that a stopping process must have left, in milliseconds. */
const FIRST_EVENT_TIME_MS = 1_500;
/** Time for each output token that a generation may have, in milliseconds: half of it for most. */
const OUTPUT_TOKEN_MS = 5;
/** Output time in which about half of the long generations end, in milliseconds. */
const FAIR_CHANCE_MS = 4_500;
/** When a caller should come back to another gateway, in milliseconds. */
const RETRY_ELSEWHERE_MS = 20;

/** What a head is allowed to do. */
type Access =
  | {
    readonly type: "allowed";
    readonly route: RouteConfig;
    readonly account: AccountConfig | null;
  }
  | { readonly type: "rejected"; readonly rejection: Rejection };

/** Answers requests. */
export class Relay {
  readonly #options: RelayOptions;
  readonly #ejection = new OutlierEjection();

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /** Whether routes and endpoints are known. */
  isReady(): boolean {
    return this.#options.ctx.fleet.isKnown;
  }

  limits(): CallerLimits {
    return this.#options.ctx.fleet.routes?.config.limits ?? DEFAULT_LIMITS;
  }

  /** Looks at a head before the body is read. Returns false after it has rejected the request. */
  accept(head: InboundHead, responder: Responder): boolean {
    const access = this.#access(head);
    if (access.type === "allowed") return true;
    this.#reject(head, access.rejection, responder);
    return false;
  }

  /** Has a whole request answered. */
  handle(head: InboundHead, body: Buffer | null, arrivedAtMs: number, responder: Responder): void {
    // The configuration may have changed while the body came in.
    const access = this.#access(head);
    if (access.type === "rejected") return this.#reject(head, access.rejection, responder);
    const { ctx, dispatcher } = this.#options;
    const { route, account } = access;
    const waitMs = Math.min(route.timeoutMs, head.deadlineMs ?? Infinity);
    const req: InboundRequest = {
      ...head,
      route,
      account,
      body,
      arrivedAtMs,
      dueAtMs: arrivedAtMs + waitMs,
    };
    ctx.budget.recordRequest(arrivedAtMs);
    const refusedForMs = ctx.crashes.refusedForMs(req);
    if (refusedForMs > 0) {
      const rejection = {
        reason: "quarantined",
        notRun: true,
        retryAfterMs: refusedForMs,
      } as const;
      return this.#reject(head, rejection, responder);
    }
    if (this.#endsBefore(this.#timeNeededMs(req))) {
      const rejection = {
        reason: "draining",
        notRun: true,
        retryAfterMs: RETRY_ELSEWHERE_MS,
      } as const;
      return this.#reject(head, rejection, responder);
    }
    if (route.kind === "streaming" && this.#isGeneration(route)) {
      if (this.#options.shouldShedStreams()) {
        const rejection = {
          reason: "host_overloaded",
          notRun: true,
          retryAfterMs: RETRY_ELSEWHERE_MS,
        } as const;
        return this.#reject(head, rejection, responder);
      }
      return dispatcher.submit(req, responder);
    }
    new PlainCall(ctx, req, responder, this.#ejection).start();
  }

  /** Time that a stopping process must have left to take a request. */
  #timeNeededMs({ generation }: InboundRequest): number {
    if (generation === null) return CALL_TIME_MS;
    const outputMs = OUTPUT_TOKEN_MS * generation.maxOutputTokens;
    // Where every gateway stops, a fair chance here is better than none.
    const worthTrying = this.#options.hasServingPeer() ? Infinity : FAIR_CHANCE_MS;
    return FIRST_EVENT_TIME_MS + Math.min(outputMs, worthTrying);
  }

  #isGeneration(route: RouteConfig): boolean {
    const { fleet } = this.#options.ctx;
    return route.targets.some((t) => fleet.routes?.service(t.service)?.engine !== null);
  }

  #endsBefore(ms: number): boolean {
    const remaining = this.#options.remainingMs();
    return remaining !== null && remaining < ms;
  }

  #access(head: InboundHead): Access {
    const { routes } = this.#options.ctx.fleet;
    if (routes === null) {
      return rejected({ reason: "not_ready", notRun: true, retryAfterMs: RETRY_NOT_READY_MS });
    }
    const route = routes.find(head.hostname, head.target);
    if (route === null) return rejected({ reason: "unknown_route", notRun: true });
    if (!routes.config.requiresKeys || route.isPublic) {
      return { type: "allowed", route, account: this.#accountOf(head) };
    }
    const account = this.#accountOf(head);
    if (account === null) return rejected({ reason: "unauthenticated", notRun: true });
    return { type: "allowed", route, account };
  }

  #accountOf(head: InboundHead): AccountConfig | null {
    const { routes } = this.#options.ctx.fleet;
    return head.key === null ? null : routes?.accountOf(head.key) ?? null;
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
    });
    responder.reject(rejection);
  }
}

function rejected(rejection: Rejection): Access {
  return { type: "rejected", rejection };
}
