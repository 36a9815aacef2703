/**
 * Relays plain service calls: tries one side after another until one may have run the call.
 *
 * @module
 */
import {
  type Clock,
  type EndpointId,
  type Metrics,
  type Refusal,
  Rng,
  type VersionId,
} from "@wisteriapick/core";
import type { RequestOutcome } from "@wisteriapick/control";
import {
  type AttemptOutcome,
  type Placement,
  type PlacementRequest,
  RetryPolicy,
} from "@wisteriapick/policy";
import type { Call, EndpointLoad } from "@wisteriapick/wire";
import { CallAttempt, type CallResponseSink, type CallResult } from "./call_attempt.ts";
import type { EndpointDirectory, EndpointRecord } from "./endpoint_directory.ts";
import type { LinkSource } from "./link_source.ts";
import { OutcomeRecorder } from "./outcome_recorder.ts";
import type { ReplayableBody } from "./replayable_body.ts";
import { RequestAttempts } from "./request_attempts.ts";

/** Dependencies of a {@link CallRelay}. */
export interface CallRelayDependencies {
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
  readonly links: LinkSource;
  readonly placement: Placement;
  readonly metrics: Metrics;
  readonly maxHops: number;
  readonly idleTimeoutMs: number;
  readonly versionOf: (endpoint: EndpointId) => VersionId | null;
  /** Called with each load report that a response carries. */
  readonly recordLoad: (load: EndpointLoad) => void;
  readonly retry?: RetryPolicy;
  /** Called with each attempt outcome that counts as evidence about its version. */
  readonly onOutcome?: (outcome: RequestOutcome) => void;
}

/** A call to relay. */
export interface CallRequest {
  readonly call: Omit<Call, "kind" | "version" | "attempt" | "remainingMs">;
  readonly versions: readonly VersionId[];
  /** Endpoints that the call must not be sent to. */
  readonly ineligibleEndpoints?: ReadonlySet<EndpointId>;
  /** Pattern of the route, by which evidence is grouped; method and path by default. */
  readonly route?: string;
  readonly body: ReplayableBody;
  /** Monotonic time by which the response head must arrive. */
  readonly deadlineMs: number;
  /** Aborted when the caller has disconnected. */
  readonly callerSignal: AbortSignal;
}

/** How a call ended. `refusal` is `null` where the service responded, whatever the status. */
export interface CallOutcome {
  readonly result: "answered" | "refused" | "failed" | "broken" | "caller_gone";
  readonly refusal: Refusal | null;
  readonly endpoint: EndpointId | null;
  readonly attempts: number;
  /** Whether a side was allowed to run the call and nothing proves that it did not. */
  readonly mayHaveRun: boolean;
}

/** Relays calls for one entry. */
export class CallRelay {
  readonly #deps: CallRelayDependencies;
  readonly #retry: RetryPolicy;

  constructor(deps: CallRelayDependencies) {
    this.#deps = deps;
    this.#retry = deps.retry ?? new RetryPolicy(new Rng(1), { maxHops: deps.maxHops });
  }

  /** Runs a call. A response goes to the sink; a refusal is returned and not sent. */
  async run(req: CallRequest, sink: CallResponseSink): Promise<CallOutcome> {
    const { clock, metrics, placement, directory } = this.#deps;
    const attempts = this.#makeAttempts(req);
    const deps = { clock, metrics, retry: this.#retry };
    for (;;) {
      const now = clock.now();
      if (req.callerSignal.aborted) return outcomeOf(attempts, "caller_gone", null);
      if (now >= req.deadlineMs) return outcomeOf(attempts, "refused", attempts.deadlineRefusal());
      const chosen = attempts.choose(placement, now);
      const target = chosen === null ? undefined : directory.get(chosen.endpoint);
      let refusal: Refusal | null = null;
      if (chosen !== null && target !== undefined) {
        const observed = new ObservedSink(sink);
        const res = await this.#attempt(req, attempts, target, chosen.placementRequest, observed);
        const finalOutcome = this.#concludeAttempt(req, attempts, res, observed.isCommitted);
        if (finalOutcome !== null) return finalOutcome;
        if (res.type !== "answered") refusal = attemptRefusal(res);
      }
      const finalRefusal = await attempts.decideNext(refusal, deps);
      if (finalRefusal !== null) return outcomeOf(attempts, "refused", finalRefusal);
    }
  }

  async #attempt(
    req: CallRequest,
    attempts: RequestAttempts,
    target: EndpointRecord,
    placementRequest: PlacementRequest,
    sink: ObservedSink,
  ): Promise<CallResult> {
    const { clock, placement, links, idleTimeoutMs } = this.#deps;
    const { endpoint } = target;
    const startMs = clock.now();
    const knownVersion = this.#deps.versionOf(endpoint);
    const version = knownVersion !== null && req.versions.includes(knownVersion)
      ? knownVersion
      : req.versions[0]!;
    attempts.begin(endpoint, version);
    placement.recordSent(endpoint, placementRequest, startMs);
    const recordOutcome = (ev: AttemptOutcome) =>
      placement.recordOutcome(endpoint, ev, clock.now());
    const link = await links.get(target.side).catch(() => null);
    if (link === null) {
      recordOutcome({ type: "failed", reason: "link_lost" });
      return { type: "not_sent" };
    }
    const remainingMs = Math.max(0, req.deadlineMs - clock.now());
    const { service, method, path } = req.call;
    const route = req.route ?? `${method} ${path.split("?", 1)[0]}`;
    const recorder = new OutcomeRecorder({ service, version, route, endpoint });
    const call: Call = {
      ...req.call,
      kind: "call",
      version,
      attempt: attempts.count,
      remainingMs,
    };
    const attempt = new CallAttempt(link, call, {
      clock,
      body: req.body,
      sink,
      headTimeoutMs: remainingMs,
      idleTimeoutMs,
      callerSignal: req.callerSignal,
      onAdmitted: (load) => {
        this.#deps.recordLoad(load);
        recorder.recordAdmitted(load);
        recordOutcome({ type: "admitted", load });
      },
      onHead: () => {
        recorder.recordFirstToken(clock.now() - startMs);
        recordOutcome({ type: "first_token", waitMs: clock.now() - startMs });
      },
    });
    const res = await attempt.result;
    recordOutcome(toAttemptOutcome(res));
    this.#reportAttempt(req, attempts, endpoint, res, { recorder, status: sink.status });
    return res;
  }

  /** Reports what an attempt shows about versions and endpoints. */
  #reportAttempt(
    req: CallRequest,
    attempts: RequestAttempts,
    id: EndpointId,
    res: CallResult,
    { recorder, status }: { recorder: OutcomeRecorder; status: number },
  ): void {
    const { onOutcome = () => {}, recordLoad } = this.#deps;
    if (res.type === "answered") onOutcome(recorder.makeResponseOutcome({ failed: status >= 500 }));
    if (res.type === "failed" && res.refusal.notRun !== true) {
      const failure = recorder.makeFailureOutcome(res.refusal.type);
      if (failure !== null) onOutcome(failure);
    }
    if (res.type !== "not_run") return;
    const { reason, load } = res.reply;
    recordLoad(load);
    // The endpoint may be tried again for the version that it runs.
    if (reason === "version_mismatch" && req.versions.includes(load.version)) attempts.allow(id);
  }

  /** Decides whether the end of an attempt ends the call; `null` leaves that to the retry policy. */
  #concludeAttempt(
    req: CallRequest,
    attempts: RequestAttempts,
    res: CallResult,
    isCommitted: boolean,
  ): CallOutcome | null {
    if (res.type === "answered") return outcomeOf(attempts, "answered", null);
    const refusal = attemptRefusal(res);
    attempts.recordFailure(refusal);
    if (isCommitted) return outcomeOf(attempts, "broken", refusal);
    if (res.type === "caller_gone") return outcomeOf(attempts, "caller_gone", null);
    const isPastDeadline = refusal.type === "deadline_exceeded";
    return isPastDeadline || !req.body.isReplayable ? outcomeOf(attempts, "failed", refusal) : null;
  }

  #makeAttempts(req: CallRequest): RequestAttempts {
    const { service, account, repeatable } = req.call;
    const { versions, deadlineMs, ineligibleEndpoints = new Set() } = req;
    return new RequestAttempts({
      placementRequest: { service, account, promptTokens: 0, prefixes: [], expectedTokens: 1 },
      versions,
      ineligibleEndpoints,
      repeatable,
      arrivedAtMs: this.#deps.clock.now(),
      deadlineMs,
    });
  }
}

/** Records whether the response head has been sent to the caller, and its status. */
class ObservedSink implements CallResponseSink {
  isCommitted = false;
  status = 0;
  readonly #sink: CallResponseSink;

  constructor(sink: CallResponseSink) {
    this.#sink = sink;
  }

  writeHead(...args: Parameters<CallResponseSink["writeHead"]>): void {
    this.isCommitted = true;
    this.status = args[0];
    this.#sink.writeHead(...args);
  }

  write(...args: Parameters<CallResponseSink["write"]>): boolean {
    return this.#sink.write(...args);
  }

  end(): void {
    this.#sink.end();
  }
}

function toAttemptOutcome(res: CallResult): AttemptOutcome {
  switch (res.type) {
    case "answered":
      return { type: "ended" };
    case "not_run":
      return { type: "not_run", reason: res.reply.reason, load: res.reply.load };
    case "failed":
      return { type: "failed", reason: res.refusal.type };
    case "caller_gone":
      return { type: "abandoned" };
    default:
      return { type: "failed", reason: "link_lost" };
  }
}

function attemptRefusal(res: Exclude<CallResult, { type: "answered" }>): Refusal {
  switch (res.type) {
    case "not_sent":
      return { type: "link_lost", message: "the side could not be reached", notRun: true };
    case "not_run": {
      const { reason, retryAfterMs } = res.reply;
      return { type: reason, message: "the endpoint refused the call", notRun: true, retryAfterMs };
    }
    case "failed":
      return res.refusal;
    case "lost": {
      // The side calls its endpoint only after the first body message.
      const notRun = res.mayHaveRun ? "unknown" : true;
      return { type: "link_lost", message: `the response was lost (${res.reason})`, notRun };
    }
    case "caller_gone":
      return { type: "cancelled", message: "the caller has disconnected", notRun: "unknown" };
  }
}

function outcomeOf(
  { endpoint, count: attempts, notRun }: RequestAttempts,
  result: CallOutcome["result"],
  refusal: Refusal | null,
): CallOutcome {
  return { result, refusal, endpoint, attempts, mayHaveRun: notRun !== true };
}
