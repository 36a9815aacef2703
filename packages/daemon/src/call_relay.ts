/**
 * Relays one plain service call: tries sides until one may have run it.
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
import { CallAttempt, type CallResult, type CallSink } from "./call_attempt.ts";
import type { EndpointDirectory, EndpointRecord } from "./endpoint_directory.ts";
import type { LinkSource } from "./link_source.ts";
import { OutcomeRecorder } from "./outcome_recorder.ts";
import type { ReplayableBody } from "./replayable_body.ts";
import { RequestAttempts } from "./request_attempts.ts";

/** Parts that a call relay works with. */
export interface CallRelayDeps {
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
  readonly links: LinkSource;
  readonly placement: Placement;
  readonly metrics: Metrics;
  readonly maxHops: number;
  readonly silenceMs: number;
  readonly versionOf: (endpoint: EndpointId) => VersionId | null;
  /** Told of each load that an answer carries. */
  readonly noteLoad: (load: EndpointLoad) => void;
  readonly retry?: RetryPolicy;
  /** Told of each attempt that is evidence about its version. */
  readonly onOutcome?: (outcome: RequestOutcome) => void;
}

/** One call. */
export interface CallRequest {
  readonly call: Omit<Call, "kind" | "version" | "attempt" | "remainingMs">;
  readonly versions: readonly VersionId[];
  /** Endpoints that the call must not go to. */
  readonly barred?: ReadonlySet<EndpointId>;
  /** The route's pattern, by which evidence is told apart; method and path by default. */
  readonly route?: string;
  readonly body: ReplayableBody;
  /** Monotonic time by which the answer's head must arrive. */
  readonly deadlineMs: number;
  readonly gone: AbortSignal;
}

/** How a call ended. `refusal` is `null` for an answer, whatever its status. */
export interface CallOutcome {
  readonly result: "answered" | "refused" | "failed" | "broken" | "caller_gone";
  readonly refusal: Refusal | null;
  readonly endpoint: EndpointId | null;
  readonly attempts: number;
  /** Whether some side was allowed to run it and nothing proves that it did not. */
  readonly mayHaveRun: boolean;
}

/** Relays calls for one entry. */
export class CallRelay {
  readonly #deps: CallRelayDeps;
  readonly #retry: RetryPolicy;

  constructor(deps: CallRelayDeps) {
    this.#deps = deps;
    this.#retry = deps.retry ?? new RetryPolicy(new Rng(1), { maxHops: deps.maxHops });
  }

  /** Runs a call. A refusal is returned, not sent; an answer goes to the sink. */
  async run(req: CallRequest, sink: CallSink): Promise<CallOutcome> {
    const { clock, metrics, placement, directory } = this.#deps;
    const tries = this.#makeTries(req);
    const deps = { clock, metrics, retry: this.#retry };
    for (;;) {
      const now = clock.now();
      if (req.gone.aborted) return outcome(tries, "caller_gone", null);
      if (now >= req.deadlineMs) return outcome(tries, "refused", tries.late());
      const chosen = tries.choose(placement, now);
      const target = chosen === null ? undefined : directory.get(chosen.endpoint);
      let refusal: Refusal | null = null;
      if (chosen !== null && target !== undefined) {
        const watched = new WatchedSink(sink);
        const res = await this.#attempt(req, tries, target, chosen.place, watched);
        const done = this.#judge(req, tries, res, watched.committed);
        if (done !== null) return done;
        if (res.type !== "answered") refusal = attemptRefusal(res);
      }
      const last = await tries.next(refusal, deps);
      if (last !== null) return outcome(tries, "refused", last);
    }
  }

  async #attempt(
    req: CallRequest,
    tries: RequestAttempts,
    target: EndpointRecord,
    place: PlacementRequest,
    sink: WatchedSink,
  ): Promise<CallResult> {
    const { clock, placement, links, silenceMs } = this.#deps;
    const { endpoint } = target;
    const startMs = clock.now();
    const known = this.#deps.versionOf(endpoint);
    const version = known !== null && req.versions.includes(known) ? known : req.versions[0]!;
    tries.begin(endpoint, version);
    placement.recordSent(endpoint, place, startMs);
    const record = (ev: AttemptOutcome) => placement.recordOutcome(endpoint, ev, clock.now());
    const link = await links.get(target.side).catch(() => null);
    if (link === null) {
      record({ type: "failed", reason: "link_lost" });
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
      attempt: tries.attempts,
      remainingMs,
    };
    const attempt = new CallAttempt(link, call, {
      clock,
      body: req.body,
      sink,
      startMs: remainingMs,
      silenceMs,
      gone: req.gone,
      onAdmitted: (load) => {
        this.#deps.noteLoad(load);
        recorder.admitted(load);
        record({ type: "admitted", load });
      },
      onHead: () => {
        recorder.first(clock.now() - startMs);
        record({ type: "first_token", waitMs: clock.now() - startMs });
      },
    });
    const res = await attempt.done;
    record(attemptOutcome(res));
    this.#learn(req, tries, endpoint, res, { recorder, status: sink.status });
    return res;
  }

  /** Takes over what an attempt says about versions and endpoints. */
  #learn(
    req: CallRequest,
    tries: RequestAttempts,
    endpoint: EndpointId,
    res: CallResult,
    { recorder, status }: { recorder: OutcomeRecorder; status: number },
  ): void {
    const { onOutcome = () => {}, noteLoad } = this.#deps;
    if (res.type === "answered") onOutcome(recorder.answered({ failed: status >= 500 }));
    if (res.type === "failed" && res.refusal.notRun !== true) {
      const failure = recorder.failure(res.refusal.type);
      if (failure !== null) onOutcome(failure);
    }
    if (res.type !== "not_run") return;
    const { reason, load } = res.reply;
    noteLoad(load);
    // It may be asked again for the version that it runs.
    if (reason === "version_mismatch" && req.versions.includes(load.version)) tries.allow(endpoint);
  }

  /** Decides how an attempt's end ends the call; `null` means that the retry policy is asked. */
  #judge(
    req: CallRequest,
    tries: RequestAttempts,
    res: CallResult,
    committed: boolean,
  ): CallOutcome | null {
    if (res.type === "answered") return outcome(tries, "answered", null);
    const refusal = attemptRefusal(res);
    tries.failed(refusal);
    if (committed) return outcome(tries, "broken", refusal);
    if (res.type === "caller_gone") return outcome(tries, "caller_gone", null);
    const late = refusal.type === "deadline_exceeded";
    return late || !req.body.replayable ? outcome(tries, "failed", refusal) : null;
  }

  #makeTries(req: CallRequest): RequestAttempts {
    const { service, account, repeatable } = req.call;
    const { versions, deadlineMs, barred = new Set() } = req;
    return new RequestAttempts({
      place: { service, account, promptTokens: 0, prefixes: [], expectedTokens: 1 },
      versions,
      barred,
      repeatable,
      arrivedAtMs: this.#deps.clock.now(),
      deadlineMs,
    });
  }
}

/** Notes whether the caller has seen the head of an answer. */
class WatchedSink implements CallSink {
  committed = false;
  status = 0;
  readonly #sink: CallSink;

  constructor(sink: CallSink) {
    this.#sink = sink;
  }

  head(...args: Parameters<CallSink["head"]>): void {
    this.committed = true;
    this.status = args[0];
    this.#sink.head(...args);
  }

  write(...args: Parameters<CallSink["write"]>): boolean {
    return this.#sink.write(...args);
  }

  end(): void {
    this.#sink.end();
  }
}

function attemptOutcome(res: CallResult): AttemptOutcome {
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
      return { type: reason, message: "the endpoint refused", notRun: true, retryAfterMs };
    }
    case "failed":
      return res.refusal;
    case "lost": {
      // The side asks its endpoint only after the first body message.
      const notRun = res.released ? "unknown" : true;
      return { type: "link_lost", message: `the answer was lost (${res.why})`, notRun };
    }
    case "caller_gone":
      return { type: "cancelled", message: "the caller is gone", notRun: "unknown" };
  }
}

function outcome(
  { endpoint, attempts, notRun }: RequestAttempts,
  result: CallOutcome["result"],
  refusal: Refusal | null,
): CallOutcome {
  return { result, refusal, endpoint, attempts, mayHaveRun: notRun !== true };
}
