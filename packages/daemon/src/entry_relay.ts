/**
 * Relays one generation: chooses sides and runs it again elsewhere where nothing was delivered.
 *
 * @module
 */
import {
  type Clock,
  type EndpointId,
  type GenerationId,
  type Metrics,
  type Refusal,
  type RefusalReason,
  Rng,
  type VersionId,
} from "@wisteriapick/core";
import type { RequestOutcome } from "@wisteriapick/control";
import {
  type CompletionHead,
  type CompletionRequest,
  type ResumeSigner,
  TokenCursor,
} from "@wisteriapick/delivery";
import {
  type AttemptOutcome,
  type Placement,
  type PlacementRequest,
  Quarantine,
  RetryPolicy,
} from "@wisteriapick/policy";
import type { End, EndpointLoad, NotRunReply, Run } from "@wisteriapick/wire";
import type { EndpointDirectory, EndpointRecord } from "./endpoint_directory.ts";
import { type FollowerResult, followGeneration, type FollowLimits } from "./entry_follower.ts";
import type { AnswerSink } from "./entry_sinks.ts";
import type { LinkSource } from "./link_source.ts";
import { OutcomeRecorder } from "./outcome_recorder.ts";
import { RequestAttempts } from "./request_attempts.ts";

/** Bounds of {@link GenerationRelay}. */
export interface RelayLimits extends FollowLimits {
  /** Endpoints asked one after the other. */
  readonly maxHops: number;
  /** Validity of resume ids. */
  readonly resumeTtlMs: number;
}

/** Bounds for production use. */
export const RELAY_LIMITS: RelayLimits = {
  maxHops: 3,
  resumeWindowMs: 10_000,
  undeliveredWindowMs: 1_000,
  resumeBackoffMs: 100,
  silenceMs: 5_000,
  resumeTtlMs: 600_000,
};

/** Parts that a relay works with. */
export interface RelayDeps {
  readonly clock: Clock;
  readonly directory: EndpointDirectory;
  readonly links: LinkSource;
  readonly placement: Placement;
  readonly signer: ResumeSigner;
  readonly metrics: Metrics;
  readonly limits: RelayLimits;
  readonly makeGenerationId: () => GenerationId;
  /** The version that an endpoint is known to run. */
  readonly versionOf: (endpoint: EndpointId) => VersionId | null;
  /** Requests that crash endpoints, as far as this entry knows. */
  readonly quarantine?: Quarantine;
  readonly retry?: RetryPolicy;
  /** Told of each load that an answer carries. */
  readonly noteLoad: (load: EndpointLoad) => void;
  /** Told of each attempt that is evidence about its version. */
  readonly onOutcome?: (outcome: RequestOutcome) => void;
}

/** Placement learns of one gap in so many; evidence about versions counts all. */
const GAP_SAMPLE = 8;
/** Tokens after which a request no longer counts as the one that crashed an endpoint. */
const CLEAR_TOKENS = 8;

/** One request. */
export interface RelayRequest {
  /** The parts of the message that stay the same for each attempt. */
  readonly run: Omit<Run, "kind" | "gen" | "version" | "attempt" | "remainingMs">;
  readonly versions: readonly VersionId[];
  /** Endpoints that the request must not go to. */
  readonly barred?: ReadonlySet<EndpointId>;
  readonly completion: CompletionRequest;
  readonly expectedTokens: number;
  /** Monotonic time after which it must not start. */
  readonly deadlineMs: number;
  /** Aborted when the caller is gone. */
  readonly gone: AbortSignal;
}

/** How a request ended; for logs and evidence. */
export interface RelayOutcome {
  readonly gen: GenerationId | null;
  readonly endpoint: EndpointId | null;
  readonly version: VersionId | null;
  readonly attempts: number;
  /** Tokens of a whole answer; 0 otherwise. */
  readonly tokens: number;
  readonly result: "end" | "refused" | "failed" | "caller_gone";
  readonly refusal: Refusal | null;
}

interface Job {
  readonly req: RelayRequest;
  readonly sink: AnswerSink;
  readonly tries: RequestAttempts;
  gen: GenerationId | null;
}

/** Relays generations for one entry. */
export class GenerationRelay {
  readonly #deps: RelayDeps;
  readonly #quarantine: Quarantine;
  readonly #retry: RetryPolicy;

  constructor(deps: RelayDeps) {
    this.#deps = deps;
    this.#quarantine = deps.quarantine ?? new Quarantine();
    this.#retry = deps.retry ?? new RetryPolicy(new Rng(1), { maxHops: deps.limits.maxHops });
  }

  /** Runs a request and gives its answer to the sink. */
  async run(req: RelayRequest, sink: AnswerSink): Promise<RelayOutcome> {
    const { clock, metrics, placement, directory } = this.#deps;
    const job: Job = { req, sink, tries: this.#makeTries(req), gen: null };
    const deps = { clock, metrics, retry: this.#retry };
    for (;;) {
      if (req.gone.aborted) return outcome(job, "caller_gone", null);
      const now = clock.now();
      if (now >= req.deadlineMs) return this.#fail(job, job.tries.late());
      const quarantinedMs = this.#quarantine.remainingMs(req.run.digest, now);
      if (quarantinedMs > 0) return this.#fail(job, quarantined(job, quarantinedMs));
      const chosen = job.tries.choose(placement, now);
      const target = chosen === null ? undefined : directory.get(chosen.endpoint);
      const res = chosen === null || target === undefined
        ? null
        : await this.#attempt(job, target, chosen.place);
      if (res !== null && "result" in res) return res;
      const last = await job.tries.next(res, deps);
      if (last !== null) return this.#fail(job, last);
    }
  }

  /** Makes one attempt. Returns how the request ended, or why another endpoint is to be asked. */
  async #attempt(
    job: Job,
    target: EndpointRecord,
    place: PlacementRequest,
  ): Promise<RelayOutcome | Refusal> {
    const { clock, placement, limits, links } = this.#deps;
    const { req, sink, tries } = job;
    const startMs = clock.now();
    const run = this.#makeRun(job, target, startMs);
    const { service, route } = req.run;
    const { endpoint } = target;
    const recorder = new OutcomeRecorder({ service, version: run.version, route, endpoint });
    const record = (ev: AttemptOutcome) => placement.recordOutcome(endpoint, ev, clock.now());
    let lastMs = startMs;
    let batches = 0;
    let suspect = run.suspectCrashes! > 0;
    tries.begin(endpoint, run.version);
    sink.begin(...this.#head(req, run.gen, target));
    placement.recordSent(endpoint, place, startMs);
    const res = await followGeneration(target.side, run, {
      clock,
      links,
      limits,
      sink,
      cursor: new TokenCursor(0),
      gone: req.gone,
      onAdmitted: (load) => {
        this.#deps.noteLoad(load);
        recorder.admitted(load);
        record({ type: "admitted", load });
      },
      onTokens: (offset) => {
        const now = clock.now();
        if (offset === 0) {
          recorder.first(now - startMs);
          record({ type: "first_token", waitMs: now - startMs });
        } else {
          recorder.gap(now - lastMs);
          if (++batches % GAP_SAMPLE === 0) record({ type: "gap", gapMs: now - lastMs });
        }
        lastMs = now;
        if (suspect && offset >= CLEAR_TOKENS) {
          suspect = false;
          this.#quarantine.recordCleared(req.run.digest, now);
        }
      },
    });
    record(attemptOutcome(res));
    this.#learn(job, endpoint, res, recorder);
    return this.#settle(job, target, res);
  }

  #makeRun(job: Job, target: EndpointRecord, startMs: number): Run {
    const { req, tries } = job;
    const known = this.#deps.versionOf(target.endpoint);
    const version = known !== null && req.versions.includes(known) ? known : req.versions[0]!;
    const gen = this.#deps.makeGenerationId();
    job.gen = gen;
    return {
      ...req.run,
      kind: "run",
      gen,
      version,
      attempt: tries.attempts + 1,
      suspectCrashes: this.#quarantine.crashCount(req.run.digest, startMs),
      remainingMs: Math.max(0, req.deadlineMs - startMs),
    };
  }

  /** Takes over what an attempt says about requests, versions and endpoints. */
  #learn(job: Job, endpoint: EndpointId, res: FollowerResult, recorder: OutcomeRecorder): void {
    const { onOutcome = () => {} } = this.#deps;
    switch (res.type) {
      case "end":
        return onOutcome(recorder.answered({ failed: false }));
      case "not_run":
        return this.#noteMismatch(job, endpoint, res.reply);
      case "fail": {
        if (res.suspects !== undefined) {
          this.#quarantine.merge(res.suspects, this.#deps.clock.now());
        }
        const failure = res.refusal.notRun === true ? null : recorder.failure(res.refusal.type);
        if (failure !== null) onOutcome(failure);
      }
    }
  }

  /** An endpoint that was asked for the wrong version may be asked again for the one it runs. */
  #noteMismatch(job: Job, endpoint: EndpointId, { reason, load }: NotRunReply): void {
    this.#deps.noteLoad(load);
    if (reason === "version_mismatch" && job.req.versions.includes(load.version)) {
      job.tries.allow(endpoint);
    }
  }

  #settle(job: Job, target: EndpointRecord, res: FollowerResult): RelayOutcome | Refusal {
    const { sink, tries } = job;
    if (res.type === "end") return this.#finish(job, res.end);
    if (res.type === "caller_gone") {
      // Nobody can ask for an answer whose id no caller has seen.
      if (!sink.committed) this.#cancel(job, target);
      return outcome(job, "caller_gone", null);
    }
    const refusal = attemptRefusal(res);
    if (sink.committed) return this.#fail(job, { ...refusal, notRun: false });
    if (res.type === "lost") this.#cancel(job, target);
    tries.failed(refusal);
    return refusal;
  }

  #finish(job: Job, end: End): RelayOutcome {
    if (end.reason === "cancelled") {
      const message = "the generation was cancelled";
      return this.#fail(job, { type: "cancelled", message, notRun: false });
    }
    job.sink.end(end.reason, end);
    return { ...outcome(job, "end", null), tokens: end.completionTokens };
  }

  #fail(job: Job, refusal: Refusal): RelayOutcome {
    this.#deps.metrics.countRefusal(refusal.type);
    job.sink.fail(refusal);
    return outcome(job, refusal.notRun === true ? "refused" : "failed", refusal);
  }

  #cancel(job: Job, target: EndpointRecord): void {
    const msg = { kind: "cancel", gen: job.gen!, account: job.req.run.account } as const;
    this.#deps.links.get(target.side).then((link) => link.notify(msg)).catch(() => {});
  }

  #makeTries(req: RelayRequest): RequestAttempts {
    const { service, account, promptTokens, prefixes } = req.run;
    const { expectedTokens, versions, deadlineMs, barred = new Set() } = req;
    return new RequestAttempts({
      place: { service, account, promptTokens, prefixes, expectedTokens },
      versions,
      barred,
      repeatable: true,
      arrivedAtMs: this.#deps.clock.now(),
      deadlineMs,
    });
  }

  #head(req: RelayRequest, gen: GenerationId, target: EndpointRecord): [CompletionHead, string] {
    const wallMs = this.#deps.clock.wall();
    const created = Math.floor(wallMs / 1_000);
    const { format, includeUsage } = req.completion;
    const { service, account } = req.run;
    const signedRef = this.#deps.signer.sign({
      dataCentre: target.dataCentre,
      side: target.side,
      gen,
      account,
      service,
      format,
      created,
      includeUsage,
      expiresMs: wallMs + this.#deps.limits.resumeTtlMs,
    });
    return [{ format, gen, model: service, created }, signedRef];
  }
}

/** Failures that say nothing about the endpoint. */
const NO_FAULT: ReadonlySet<RefusalReason> = new Set([
  "cancelled",
  "deadline_exceeded",
  "generation_unknown",
  "resume_expired",
  "resume_forbidden",
]);

function quarantined({ tries }: Job, retryAfterMs: number): Refusal {
  const message = "this request crashed the endpoints that ran it";
  return { type: "quarantined", message, notRun: tries.notRun, retryAfterMs };
}

function outcome(
  { gen, tries }: Job,
  result: RelayOutcome["result"],
  refusal: Refusal | null,
): RelayOutcome {
  const { endpoint, version, attempts } = tries;
  return { gen, endpoint, version, attempts, tokens: 0, result, refusal };
}

function attemptOutcome(res: FollowerResult): AttemptOutcome {
  switch (res.type) {
    case "end":
      return { type: "ended", load: res.end.load };
    case "not_run":
      return { type: "not_run", reason: res.reply.reason, load: res.reply.load };
    case "not_sent":
    case "lost":
      return { type: "failed", reason: "link_lost" };
    case "fail":
      return failOutcome(res);
    case "caller_gone":
      return { type: "abandoned" };
  }
}

function failOutcome(
  { refusal, load }: Extract<FollowerResult, { type: "fail" }>,
): AttemptOutcome {
  const { type: reason, notRun } = refusal;
  if (notRun === true && load !== undefined) return { type: "not_run", reason, load };
  return NO_FAULT.has(reason) ? { type: "abandoned" } : { type: "failed", reason };
}

type Unanswered = Exclude<FollowerResult, { type: "end" | "caller_gone" }>;

function attemptRefusal(res: Unanswered): Refusal {
  switch (res.type) {
    case "not_run":
      return notRunRefusal(res.reply.reason, res.reply.retryAfterMs);
    case "not_sent":
      return { type: "link_lost", message: "the side could not be reached", notRun: true };
    case "lost":
      return { type: "side_lost", message: "the side was lost", notRun: "unknown" };
    case "fail":
      return res.refusal;
  }
}

function notRunRefusal(type: RefusalReason, retryAfterMs?: number): Refusal {
  return { type, message: "the endpoint refused", notRun: true, retryAfterMs };
}
