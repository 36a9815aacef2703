/**
 * Relays one plain service call: tries sides until one may have run it.
 *
 * @module
 */
import type {
  Clock,
  EndpointId,
  Metrics,
  Refusal,
  RefusalReason,
  VersionId,
} from "@wisteriapick/core";
import type { AttemptOutcome, Placement, PlacementRequest } from "@wisteriapick/policy";
import type { Call, EndpointLoad } from "@wisteriapick/wire";
import { CallAttempt, type CallResult, type CallSink } from "./call_attempt.ts";
import type { Directory, DirectoryEntry } from "./directory.ts";
import type { LinkSource } from "./link_source.ts";
import type { ReplayableBody } from "./replayable_body.ts";

/** Parts that a call relay works with. */
export interface CallRelayDeps {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly links: LinkSource;
  readonly placement: Placement;
  readonly metrics: Metrics;
  readonly maxHops: number;
  readonly silenceMs: number;
  readonly versionOf: (endpoint: EndpointId) => VersionId | null;
  /** Told of each load that an answer carries. */
  readonly noteLoad: (load: EndpointLoad) => void;
}

/** One call. */
export interface CallRequest {
  readonly call: Omit<Call, "kind" | "version" | "attempt" | "remainingMs">;
  readonly versions: readonly VersionId[];
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

interface Progress {
  attempts: number;
  endpoint: EndpointId | null;
  readonly excluded: Set<EndpointId>;
  last: Refusal | null;
  mayHaveRun: boolean;
}

/** Relays calls for one entry. */
export class CallRelay {
  readonly #deps: CallRelayDeps;

  constructor(deps: CallRelayDeps) {
    this.#deps = deps;
  }

  /** Runs a call. A refusal is returned, not sent; an answer goes to the sink. */
  async run(req: CallRequest, sink: CallSink): Promise<CallOutcome> {
    const progress: Progress = {
      attempts: 0,
      endpoint: null,
      excluded: new Set(),
      last: null,
      mayHaveRun: false,
    };
    while (progress.attempts < this.#deps.maxHops) {
      const now = this.#deps.clock.now();
      if (req.gone.aborted) return outcome(progress, "caller_gone", null);
      if (now >= req.deadlineMs) return refused(progress, "deadline_exceeded");
      const place = placementRequest(req, progress);
      const chosen = this.#deps.placement.choose(place, now);
      const target = chosen === null ? undefined : this.#deps.directory.get(chosen);
      if (target === undefined) return refused(progress, "no_endpoint");
      const watched = new WatchedSink(sink);
      const res = await this.#attempt(req, progress, target, place, watched);
      const done = this.#judge(req, progress, res, watched.committed);
      if (done !== null) return done;
    }
    return refused(progress, "hops_exhausted");
  }

  async #attempt(
    req: CallRequest,
    progress: Progress,
    target: DirectoryEntry,
    place: PlacementRequest,
    sink: CallSink,
  ): Promise<CallResult> {
    const { clock, placement, links, silenceMs } = this.#deps;
    const startMs = clock.now();
    progress.attempts++;
    progress.endpoint = target.endpoint;
    progress.excluded.add(target.endpoint);
    placement.recordSent(target.endpoint, place, startMs);
    const record = (ev: AttemptOutcome) =>
      placement.recordOutcome(target.endpoint, ev, clock.now());
    const link = await links.get(target.side).catch(() => null);
    if (link === null) {
      record({ type: "failed", reason: "link_lost" });
      return { type: "not_sent" };
    }
    const known = this.#deps.versionOf(target.endpoint);
    const version = known !== null && req.versions.includes(known) ? known : req.versions[0]!;
    const remainingMs = Math.max(0, req.deadlineMs - clock.now());
    const call: Call = {
      ...req.call,
      kind: "call",
      version,
      attempt: progress.attempts,
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
        record({ type: "admitted", load });
      },
      onHead: () => record({ type: "first_token", waitMs: clock.now() - startMs }),
    });
    const res = await attempt.done;
    record(attemptOutcome(res));
    if (res.type === "not_run") {
      const { reason, load } = res.reply;
      this.#deps.noteLoad(load);
      // It may be asked again for the version that it runs.
      if (reason === "version_mismatch" && req.versions.includes(load.version)) {
        progress.excluded.delete(target.endpoint);
      }
    }
    return res;
  }

  /** Decides how an attempt's end ends the call; `null` means that the next side is tried. */
  #judge(
    req: CallRequest,
    progress: Progress,
    res: CallResult,
    committed: boolean,
  ): CallOutcome | null {
    if (res.type === "answered") return outcome(progress, "answered", null);
    const refusal = attemptRefusal(res);
    if (refusal.notRun !== true) progress.mayHaveRun = true;
    if (committed) return outcome(progress, "broken", refusal);
    if (res.type === "caller_gone") return outcome(progress, "caller_gone", null);
    progress.last = refusal;
    const again = refusal.notRun === true || req.call.repeatable;
    const late = refusal.type === "deadline_exceeded";
    if (!again || late || !req.body.replayable) return outcome(progress, "failed", refusal);
    this.#deps.metrics.countRetry(refusal.type);
    return null;
  }
}

/** Notes whether the caller has seen the head of an answer. */
class WatchedSink implements CallSink {
  committed = false;
  readonly #sink: CallSink;

  constructor(sink: CallSink) {
    this.#sink = sink;
  }

  head(...args: Parameters<CallSink["head"]>): void {
    this.committed = true;
    this.#sink.head(...args);
  }

  write(...args: Parameters<CallSink["write"]>): boolean {
    return this.#sink.write(...args);
  }

  end(): void {
    this.#sink.end();
  }
}

function placementRequest(req: CallRequest, progress: Progress): PlacementRequest {
  return {
    service: req.call.service,
    account: req.call.account,
    versions: req.versions,
    promptTokens: 0,
    prefixes: [],
    expectedTokens: 1,
    excluded: progress.excluded,
  };
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
  progress: Progress,
  result: CallOutcome["result"],
  refusal: Refusal | null,
): CallOutcome {
  const { endpoint, attempts, mayHaveRun } = progress;
  return { result, refusal, endpoint, attempts, mayHaveRun };
}

const MESSAGES: Partial<Record<RefusalReason, string>> = {
  deadline_exceeded: "the deadline passed before an endpoint took the call",
  no_endpoint: "no endpoint can take the call at present",
  hops_exhausted: "no endpoint that was tried took the call",
};

function refused(progress: Progress, type: RefusalReason): CallOutcome {
  const { last, mayHaveRun } = progress;
  const reason = last === null || type === "deadline_exceeded" ? type : last.type;
  const message = last === null ? MESSAGES[type]! : `${MESSAGES[type]}: ${last.message}`;
  const retryAfterMs = last?.retryAfterMs ?? (type === "no_endpoint" ? 1_000 : undefined);
  const notRun = mayHaveRun ? "unknown" : true;
  return outcome(progress, "refused", { type: reason, message, notRun, retryAfterMs });
}
